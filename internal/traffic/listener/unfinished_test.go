package listener

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/refuser"
)

// brokenEngine returns an engine that sends the given events in its first answer and then
// breaks off, and that answers status 500 after that.
func brokenEngine(events ...string) http.Handler {
	begun := false
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(inferrer.HeaderRequest)
		if begun {
			http.Error(w, "the engine's own words", http.StatusInternalServerError)
			return
		}
		begun = true
		w.Header().Set(inferrer.HeaderRequest, id)
		w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
		for _, e := range events {
			fmt.Fprintf(w, "data: %s\n\n", strings.Replace(e, "ID", id, 1))
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// requestOverTCP sends a completion request to a server with the listener.
func requestOverTCP(t *testing.T, l *Listener, body string) *http.Response {
	t.Helper()
	srv := httptest.NewServer(l.Handler())
	t.Cleanup(srv.Close)
	req, err := http.NewRequest(http.MethodPost, srv.URL+inferrer.PathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// TestAnswerThatBeganWithoutToken has engines break off after events that callers do not get.
// The caller must get a refusal with its own status, not one inside of a 200.
func TestAnswerThatBeganWithoutToken(t *testing.T) {
	for name, event := range map[string]string{
		"usage":        `{"id":"ID","model":"chat-v1","choices":[],"usage":{"prompt_tokens":1}}`,
		"empty":        `{"id":"ID","model":"chat-v1","choices":[]}`,
		"error":        `{"id":"ID","error":{"message":"the engine's own words"}}`,
		"foreign":      `{"id":"other","model":"chat-v1","choices":[{"delta":{"content":"a"}}]}`,
		"token number": `{"id":"ID","token":-1,"model":"chat-v1","choices":[{"delta":{"content":"a"}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			res := requestOverTCP(t, newTestListener(t, brokenEngine(event)), `{"model":"chat","stream":true,"messages":[]}`)
			b, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("got status %d, %s, body %s (%v); want a refusal with status 503", res.StatusCode, res.Header.Get("Content-Type"), b, err)
			}
		})
	}
}

// TestUnfinishedStream checks that a stream that cannot be completed ends with an error event,
// without the end marker, and with a body that HTTP does not end either.
func TestUnfinishedStream(t *testing.T) {
	g := generator.New(generator.Config{Versions: []string{testVersion}})
	g.SetAnswerFaults(generator.AnswerFaults{Fault: generator.AnswerCut, After: 2, Count: 1})
	engine := g.Handler()
	cut := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/resume") {
			http.Error(w, "no resume", http.StatusInternalServerError)
			return
		}
		engine.ServeHTTP(w, r)
	})
	l := newTestListener(t, cut)
	res := requestOverTCP(t, l, `{"model":"chat","stream":true,"messages":[]}`)
	b, err := io.ReadAll(res.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v at the end of the body, want %v", err, io.ErrUnexpectedEOF)
	}
	events := bytes.Split(bytes.TrimSpace(b), []byte("\n\n"))
	var got streamErrorEvent
	if err := json.Unmarshal(bytes.TrimPrefix(events[len(events)-1], []byte("data: ")), &got); err != nil {
		t.Fatalf("last event %s: %v", events[len(events)-1], err)
	}
	if got.Error.Run != refuser.Ran.String() || got.Error.Status != http.StatusServiceUnavailable || len(events) != 3 {
		t.Errorf("got %d events, the last %+v; want two tokens and a refusal of a request that ran", len(events), got)
	}
	if n := l.activeRequests.Load(); n != 0 {
		t.Errorf("got %d active requests after the end, want 0", n)
	}
	var counts strings.Builder
	meter.Write(&counts, l.cfg.Registry)
	if !strings.Contains(counts.String(), `requests_total{status="200"} 1`) {
		t.Errorf("got metrics %s, want the request counted", counts.String())
	}
}

// scriptedEngine returns an engine whose answers all have the given events and an end mark.
func scriptedEngine(events ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(inferrer.HeaderRequest)
		w.Header().Set(inferrer.HeaderRequest, id)
		w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
		for _, e := range append(events, "[DONE]") {
			fmt.Fprintf(w, "data: %s\n\n", strings.Replace(e, "ID", id, 1))
		}
	})
}

// TestCompleteAnswerWithoutToken has engines end their answers before any token. A caller that
// did not ask for a stream must get a refusal.
func TestCompleteAnswerWithoutToken(t *testing.T) {
	for name, events := range map[string][]string{
		"nothing":          nil,
		"no choice":        {`{"id":"ID","model":"chat-v1","choices":[]}`},
		"only usage":       {`{"id":"ID","model":"chat-v1","choices":[],"usage":{"prompt_tokens":1}}`},
		"two choices":      {`{"id":"ID","model":"chat-v1","choices":[{"finish_reason":"stop"},{"index":1,"finish_reason":"stop"}]}`},
		"no finish reason": {`{"id":"ID","model":"chat-v1","choices":[{"delta":{"content":"a"}}]}`},
		"undecodable text": {`{"id":"ID","model":"chat-v1","choices":[{"delta":{"content":5},"finish_reason":"stop"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			w := postCompletion(t, newTestListener(t, scriptedEngine(events...)), `{"model":"chat","messages":[]}`)
			if w.Code != http.StatusServiceUnavailable {
				t.Errorf("got status %d: %s, want 503", w.Code, w.Body)
			}
		})
	}
}
