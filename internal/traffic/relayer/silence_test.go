package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
)

// silentOnce returns an answer of one token that comes after a silence, and counts the requests in n.
func silentOnce(silence time.Duration, n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		select {
		case <-time.After(silence):
			writeStatus(w, r, http.StatusOK, testEvent("r", 0, "a", "stop")+testEnd)
		case <-r.Context().Done():
		}
	}
}

// An engine is sound, silent for a while before its first token, and no retry can follow: the retry budget is
// used up, or there is no other engine and this one was tried again once. The caller must get the answer
// (LOST).
func TestSilentEngineIsKeptWithoutARetry(t *testing.T) {
	for _, tc := range []struct {
		name         string
		allowsRetry  bool
		silence      time.Duration
		wantRequests int64
	}{
		{"no place in the retry budget", false, 1200 * time.Millisecond, 1},
		{"no other engine", true, 4500 * time.Millisecond, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, 0)
			b.route.Target = loader.Target{First: loader.Duration(100 * time.Millisecond), Token: loader.Duration(time.Minute)}
			b.relayer.cfg.AllowRetry = func() bool { return tc.allowsRetry }
			var requests atomic.Int64
			answer := silentOnce(tc.silence, &requests)
			b.addScriptedEngine(t, answer, answer, answer, answer, answer, answer)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var sink textSink
			if err := b.relayer.Run(ctx, b.job("r"), &sink); err != nil || sink.text.String() != "a" {
				t.Errorf("got text %q (%v), want the whole answer", sink.text.String(), err)
			}
			if got := requests.Load(); got != tc.wantRequests {
				t.Errorf("got %d requests at the engine, want %d", got, tc.wantRequests)
			}
		})
	}
}

// Forty answers are silent at once at two engines, and the retry budget allows five retries. All callers must
// get their answers.
func TestMassOfSilentEnginesWithFewRetries(t *testing.T) {
	b := newFixture(t, 0)
	b.route.Target = loader.Target{First: loader.Duration(100 * time.Millisecond), Token: loader.Duration(time.Minute)}
	var retries, requests atomic.Int64
	b.relayer.cfg.AllowRetry = func() bool { return retries.Add(1) <= 5 }
	const jobs = 40
	answers := make([]http.HandlerFunc, 2*jobs)
	for i := range answers {
		answers[i] = silentOnce(1200*time.Millisecond, &requests)
	}
	b.addScriptedEngine(t, answers...)
	b.addScriptedEngine(t, answers...)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var whole atomic.Int64
	for range jobs {
		wg.Go(func() {
			var sink textSink
			if err := b.relayer.Run(ctx, b.job("r"), &sink); err == nil && sink.text.String() == "a" {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	if got := whole.Load(); got != jobs {
		t.Errorf("got %d whole answers, want %d", got, jobs)
	}
	if got := requests.Load(); got > jobs+5 {
		t.Errorf("got %d requests at the engines, want %d at most", got, jobs+5)
	}
}

// An engine is dead and silent, nothing can follow and the caller sets no deadline. The job must end at last.
func TestDeadEngineEndsAtLast(t *testing.T) {
	b := newFixture(t, 0)
	b.route.Target = loader.Target{First: loader.Duration(100 * time.Millisecond), Token: loader.Duration(time.Minute)}
	b.relayer.cfg.AllowRetry, b.relayer.cfg.ResumeTimeout = func() bool { return false }, time.Second
	var requests atomic.Int64
	b.addScriptedEngine(t, silentOnce(time.Minute, &requests))
	b.runRefusedJob(context.Background(), t, &textSink{})
}
