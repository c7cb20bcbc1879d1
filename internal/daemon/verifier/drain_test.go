package verifier

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
)

const (
	// balancerLag is how long the balancer of a test goes on sending.
	balancerLag    = 3 * time.Second
	balancerPeriod = 30 * time.Millisecond
)

// balancer sends whole completions until it is told to stop, by turns over
// kept connections and new ones, and returns what went wrong.
func balancer(address string, stop <-chan time.Time) []string {
	kept := &http.Client{Transport: &http.Transport{}}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wrong []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return wrong
		case <-time.After(balancerPeriod):
		}
		client := kept
		if i%2 == 0 {
			client = fresh
		}
		if err := chatOnce(client, address, 3); err != nil {
			wrong = append(wrong, fmt.Sprintf("request %d: %v", i, err))
		}
	}
}

func chatOnce(client *http.Client, address string, tokens int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+inferrer.PathChat,
		strings.NewReader(fmt.Sprintf(`{"model":"chat","max_tokens":%d,"messages":[]}`, tokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestSlowBalancer stops a daemon whose balancer goes on sending for some
// seconds, three times as long as the settings say.
func TestSlowBalancer(t *testing.T) {
	for _, tc := range []struct {
		name string
		stop func(t *testing.T, d *daemon)
	}{
		{"signal", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGTERM) }},
		{"drain command", func(t *testing.T, d *daemon) {
			out, err := exec.Command(filepath.Join(binaries, "pomelotiller"), "drain", "-a", d.operators).CombinedOutput()
			if err != nil {
				t.Fatalf("drain: %v\n%s", err, out)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			c.engine("engine-0", "portland", "--versions", "chat-v1", "--token", "10ms")
			c.service("desk-0", "portland", "--delay", "2s")
			d := c.daemon("entry-0", "portland", daemonOptions{extra: "drain: 1s\n"})
			other := c.daemon("entry-1", "worcester", daemonOptions{})
			c.publish(d, testSet())
			c.awaitGeneration(1)
			c.awaitEndpoints(2)
			s, err := openStream(d.callers, "stop", 500)
			if err != nil {
				t.Fatal(err)
			}
			if !s.next() {
				t.Fatal("got no first token")
			}
			tc.stop(t, d)
			eventually(t, startTimeout, "another daemon knows that this one leaves", func() bool {
				for _, m := range getJSON[[]viewer.Member](t, other.operators, "/members") {
					if m.Name == d.name {
						return m.State == viewer.StateLeaving
					}
				}
				return false
			})
			if status, _ := request(t, http.MethodGet, "http://"+d.callers+"/readyz", nil, nil); status != http.StatusServiceUnavailable {
				t.Errorf("got readiness status %d, want 503", status)
			}
			header := http.Header{"Idempotency-Key": {"late"}, "Prefer": {"respond-async"}}
			call(t, http.MethodPost, "http://"+d.callers+"/services/desk/orders", []byte("clean"), header)
			for _, wrong := range balancer(d.callers, time.After(balancerLag)) {
				t.Error(wrong)
			}
			if wrong := s.rest("stop", 500); wrong != "" {
				t.Error(wrong)
			}
			if code := d.wait(t); code != 0 {
				t.Errorf("got exit code %d, want 0", code)
			}
			eventually(t, startTimeout, "the order that came last is done", func() bool {
				return strings.Contains(string(call(t, http.MethodPost, "http://"+other.callers+"/services/desk/orders", []byte("clean"), header)), "clean")
			})
		})
	}
}

// TestSecondSignal ends a daemon at once whose planned stop waits for a stream.
func TestSecondSignal(t *testing.T) {
	s := newStage(t, 1, "--token", "10ms")
	d := s.daemons[0]
	stream, err := openStream(d.callers, "second", 100000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.next() {
		t.Fatal("got no first token")
	}
	d.signal(t, syscall.SIGTERM)
	eventually(t, startTimeout, "the daemon drains", func() bool { return strings.Contains(d.output(), "msg=draining") })
	d.signal(t, syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(2 * time.Second):
		t.Error("the daemon still runs two seconds after the second signal")
	}
}
