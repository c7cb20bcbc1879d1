package verifier

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/servicer"
)

// chatStream is a streamed completion that a test reads event by event.
type chatStream struct {
	res        *http.Response
	lines      *bufio.Scanner
	text       strings.Builder
	isComplete bool
	badEvent   string
}

// openStream asks a daemon for a streamed chat of n tokens.
func openStream(address, prompt string, n int) (*chatStream, error) {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, n, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+inferrer.PathChat, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	return &chatStream{res: res, lines: bufio.NewScanner(res.Body)}, nil
}

// readToken reads one token. It returns false at the end of the stream or on an invalid event.
func (s *chatStream) readToken() bool {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.isComplete = true
			return false
		}
		if strings.HasPrefix(data, `{"error"`) {
			s.badEvent = data
			return false
		}
		var c inferrer.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			s.badEvent = data
			return false
		}
		s.text.WriteString(c.Choices[0].Delta.Content)
		return true
	}
	return false
}

// readRest reads to the end of the stream. It returns a description of what is wrong with the
// answer, or an empty string.
func (s *chatStream) readRest(prompt string, n int) string {
	defer s.res.Body.Close()
	for s.readToken() {
	}
	want := generator.Text("chat-v1", "user "+prompt+" ", n)
	switch {
	case s.res.StatusCode != http.StatusOK:
		return "status " + s.res.Status
	case !s.isComplete:
		return "stream broke off: " + s.badEvent
	case s.text.String() != want:
		return fmt.Sprintf("got text %q, want %q", s.text.String(), want)
	}
	return ""
}

// newServingCluster starts four engines and three daemons in three failure domains and publishes
// testConfig.
func newServingCluster(t testing.TB, engineArgs ...string) *cluster {
	t.Helper()
	c := newCluster(t)
	args := append([]string{"--versions", "chat-v1"}, engineArgs...)
	for i, domain := range []string{"portland", "worcester", "hartford", "portland"} {
		c.startEngine(fmt.Sprintf("engine-%d", i), domain, args...)
	}
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		c.startDaemon("entry-"+domain, domain, settingsOverrides{})
	}
	c.publishConfig(c.daemons[0], testConfig())
	c.awaitGeneration(1)
	return c
}

func TestRequestsThroughAllDaemons(t *testing.T) {
	c := newServingCluster(t, "--token", "2ms")
	_, first := c.startService("desk-0", "portland")
	_, second := c.startService("desk-1", "worcester")
	c.awaitEndpoints(6)

	for _, d := range c.daemons {
		s, err := openStream(d.callerAddress, "hello", 20)
		if err != nil {
			t.Fatal(err)
		}
		if failure := s.readRest("hello", 20); failure != "" {
			t.Errorf("stream through %s: %s", d.name, failure)
		}
	}

	header := http.Header{"Idempotency-Key": {"order-1"}}
	one := mustRequest(t, http.MethodPost, "http://"+c.daemons[0].callerAddress+"/services/desk/orders", []byte("clean"), header)
	two := mustRequest(t, http.MethodPost, "http://"+c.daemons[1].callerAddress+"/services/desk/orders", []byte("clean"), header)
	if !bytes.Equal(one, two) {
		t.Errorf("got answers %s and %s, want the same", one, two)
	}
	runs := getJSON[map[string]int](t, first, "/runs")["order-1"] + getJSON[map[string]int](t, second, "/runs")["order-1"]
	if runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
	var a servicer.Answer
	if err := json.Unmarshal(one, &a); err != nil || a.Path != "/orders" || a.Body != "clean" {
		t.Errorf("got answer %s (%v), want path /orders and body clean", one, err)
	}
}

func TestStopDuringStream(t *testing.T) {
	c := newServingCluster(t, "--token", "20ms")
	c.awaitEndpoints(4)
	s, err := openStream(c.daemons[0].callerAddress, "stop", 50)
	if err != nil {
		t.Fatal(err)
	}
	if !s.readToken() {
		t.Fatal("got no first token")
	}
	c.daemons[0].signal(t, syscall.SIGTERM)
	if failure := s.readRest("stop", 50); failure != "" {
		t.Error(failure)
	}
	if code := c.daemons[0].awaitExit(t); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
}

func TestBadInput(t *testing.T) {
	c := newServingCluster(t)
	c.awaitEndpoints(4)
	url := "http://" + c.daemons[0].callerAddress
	for _, tc := range []struct {
		name, path, body string
		want             int
	}{
		{"malformed body", inferrer.PathChat, `{"model":`, http.StatusBadRequest},
		{"unknown model", inferrer.PathChat, `{"model":"none"}`, http.StatusNotFound},
		{"unknown service", "/services/none/x", "", http.StatusNotFound},
		{"no idempotency key", "/services/desk/x", "", http.StatusBadRequest},
		{"body over the limit", inferrer.PathChat, strings.Repeat("x", 5<<20), http.StatusRequestEntityTooLarge},
		{"unknown path", "/v2/chat", "", http.StatusNotFound},
		{"good request afterwards", inferrer.PathChat, `{"model":"chat","messages":[{"role":"user","content":"x"}]}`, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, b := sendRequest(t, http.MethodPost, url+tc.path, []byte(tc.body), nil); got != tc.want {
				t.Errorf("got status %d: %s, want %d", got, b, tc.want)
			}
		})
	}
	res, err := http.Post(url+inferrer.PathChat, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusUnauthorized {
		t.Errorf("got status %d without a key, want 401", res.StatusCode)
	}
}
