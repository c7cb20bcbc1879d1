package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/router"
)

// attemptCounter counts the attempts that go through an HTTP client.
type attemptCounter struct {
	http.RoundTripper
	attempts atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *attemptCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(inferrer.HeaderAttempt) != "" {
		c.attempts.Add(1)
	}
	return c.RoundTripper.RoundTrip(r)
}

// TestPooledConnectionsAfterStall checks that the attempt after a stall uses a new connection,
// and that later attempts use pooled ones again once the answer has gone on.
func TestPooledConnectionsAfterStall(t *testing.T) {
	b := newFixture(t, 0)
	b.route.Target = loader.Target{First: loader.Duration(time.Minute), Token: loader.Duration(100 * time.Millisecond)}
	fresh := &attemptCounter{RoundTripper: inferrer.NewUnpooledHTTP().Transport}
	b.relayer.cfg.FreshHTTP = &http.Client{Transport: fresh}
	cutAfter := func(token int, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			writeStatus(w, r, http.StatusOK, testEvent("r", token, text, ""))
			panic(http.ErrAbortHandler)
		}
	}
	stall := func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, r, http.StatusOK, testEvent("r", 0, "a", ""))
		<-r.Context().Done()
	}
	last := func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, r, http.StatusOK, testEvent("r", 3, "d", "stop")+testEnd)
	}
	b.addScriptedEngine(t, stall, cutAfter(1, "b"), cutAfter(2, "c"), last)
	var sink textSink
	if err := b.relayer.Run(t.Context(), b.job("r"), &sink); err != nil {
		t.Fatal(err)
	}
	if got := fresh.attempts.Load(); got != 1 || sink.text.String() != "abcd" {
		t.Errorf("got %d attempts over new connections, text %q; want 1, abcd", got, sink.text.String())
	}
}

// TestStallOfLeavingEngine checks that an attempt that stalled at an engine which reports that
// it leaves has an error with a readable text, and that the engine is not tried again.
func TestStallOfLeavingEngine(t *testing.T) {
	b := newFixture(t, 1)
	b.engines[0].SetLeaving(true)
	p := newJobProgress()
	err := b.relayer.handleStall(t.Context(), b.job("r"), p, router.Choice{Endpoint: b.view.Endpoints[0], Version: testVersion}, errStalled)
	if text := err.Error(); strings.Contains(text, "%!") || !errors.Is(err, inferrer.ErrLeaving) || !errors.Is(err, errStalled) {
		t.Errorf("got error %q, want a stall at an engine that is leaving", text)
	}
	if !p.excluded[b.view.Endpoints[0].Name] || p.reserved != nil {
		t.Errorf("got excluded %v, reserved %v; want the engine excluded", p.excluded, p.reserved)
	}
}

// TestChunksWithoutToken has an engine send chunks without a token for ever. They are no
// progress, so that the answer must come from the next attempt.
func TestChunksWithoutToken(t *testing.T) {
	empty := func(n int) string {
		return fmt.Sprintf(`data: {"id":"r","model":%q,"created":%d,"choices":[]}`+"\n\n", testVersion, n)
	}
	usage := func(n int) string {
		return strings.Replace(testUsage("r"), `"prompt_tokens":3`, fmt.Sprintf(`"prompt_tokens":%d`, n), 1)
	}
	for name, chunk := range map[string]func(n int) string{"empty": empty, "usage": usage} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, 0)
			b.route.Target = loader.Target{First: loader.Duration(400 * time.Millisecond), Token: loader.Duration(time.Minute)}
			idle := func(w http.ResponseWriter, r *http.Request) {
				writeStatus(w, r, http.StatusOK, "")
				for n := 0; r.Context().Err() == nil; n++ {
					_, _ = fmt.Fprint(w, chunk(n))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			}
			b.addScriptedEngine(t, idle, func(w http.ResponseWriter, r *http.Request) {
				writeStatus(w, r, http.StatusOK, testEvent("r", 0, "a", "stop")+testEnd)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var sink textSink
			if err := b.relayer.Run(ctx, b.job("r"), &sink); err != nil || sink.text.String() != "a" {
				t.Errorf("got text %q (%v), want the answer of the second attempt", sink.text.String(), err)
			}
		})
	}
}
