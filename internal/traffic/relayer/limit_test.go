package relayer

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

// addLimitedEngine adds an engine that names a limit in each answer, and returns a counter of its requests.
func (b *fixture) addLimitedEngine(t *testing.T, limit string) *atomic.Int64 {
	t.Helper()
	var requests atomic.Int64
	var answers []http.HandlerFunc
	for range 100 {
		answers = append(answers, func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if limit != "" {
				w.Header().Set(inferrer.HeaderLimit, limit)
			}
			writeStatus(w, r, http.StatusOK, testEvent(r.Header.Get(inferrer.HeaderRequest), 0, "x", "stop")+testEnd)
		})
	}
	b.addScriptedEngine(t, answers...)
	return &requests
}

// An engine that names a limit gets no more, while others serve; if all do, requests are refused at once with
// the time until one takes another (LIMIT).
func TestEngineLimitIsKept(t *testing.T) {
	for _, tc := range []struct {
		name, other string
		wantServed  bool
	}{
		{"another engine without a limit", "", true},
		{"all engines limited", "2", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newPatientFixture(t)
			now := time.Now()
			limits := throttler.New(throttler.Config{
				Self: "d", Members: func() []string { return []string{"d"} }, Announce: func() {}, Now: func() time.Time { return now },
				Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
			})
			b.relayer.cfg.Limits, b.relayer.cfg.Router = limits, router.New(router.Config{Policy: &router.RoundRobin{}, Limits: limits})
			limited, other := b.addLimitedEngine(t, "2"), b.addLimitedEngine(t, tc.other)
			refused := 0
			for i := range 40 {
				now = now.Add(100 * time.Millisecond)
				err := b.relayer.Run(t.Context(), b.job(fmt.Sprint("r", i)), &textSink{})
				var r *refuser.Refusal
				switch {
				case err == nil:
				case errors.As(err, &r) && r.Title == "overloaded" && r.Run == refuser.NotRun && r.RetryAfter > 0:
					refused++
				default:
					t.Fatalf("got error %v, want none or a refusal as overloaded and not run, with a time to retry", err)
				}
			}
			// 4 s at 2 requests a second, and the first one, at which nothing is known.
			if got, most := limited.Load(), int64(9); got > most || got < 4 {
				t.Errorf("got %d requests at the limited engine, want 4 to %d", got, most)
			}
			if got := refused == 0; got != tc.wantServed {
				t.Errorf("got %d of 40 requests refused and %d at the other engine, want none refused: %t", refused, other.Load(), tc.wantServed)
			}
		})
	}
}
