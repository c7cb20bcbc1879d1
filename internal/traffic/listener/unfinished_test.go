package listener

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pomelotiller/internal/remote/inferrer"
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
