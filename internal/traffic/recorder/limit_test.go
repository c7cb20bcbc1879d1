package recorder

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

// A plain service that names a limit gets no more calls; further ones are refused at once with the time until
// it takes another (LIMIT).
func TestServiceLimitIsKept(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		for _, name := range []string{inferrer.HeaderRequest, inferrer.HeaderAttempt} {
			w.Header().Set(name, r.Header.Get(name))
		}
		w.Header().Set(inferrer.HeaderLimit, "2")
		w.Header().Set("Content-Length", "0")
	}))
	t.Cleanup(srv.Close)
	now := time.Now()
	limits := throttler.New(throttler.Config{
		Self: "d", Members: func() []string { return []string{"d"} }, Announce: func() {}, Now: func() time.Time { return now },
		Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	route := loader.Route{Name: "desk", Kind: loader.KindService, Idempotent: true, Versions: []loader.Share{{Version: "desk-v1", Share: 100}}}
	view := viewer.View{}.WithConfig(1, loader.Set{Routes: []loader.Route{route}}).WithEndpoints([]viewer.Endpoint{
		{Name: "desk-0", Address: srv.Listener.Addr().String(), State: viewer.StateAlive, Versions: []string{"desk-v1"}},
	})
	runner := NewRunner(t.Context(), RunnerConfig{
		Recorder: New(Config{Store: newFakeStore(), Owner: "entry-1/1"}), Router: router.New(router.Config{Limits: limits}), View: func() viewer.View { return view },
		Name: "entry-1", Limits: limits, Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
	})
	refused := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		_, err := runner.SendIdempotent(t.Context(), "o", route, Request{Method: http.MethodGet, Path: "/lamps"})
		var r *refuser.Refusal
		switch {
		case err == nil:
		case errors.As(err, &r) && r.Run == refuser.NotRun && r.RetryAfter > 0 && r.RetryAfter <= time.Second:
			refused++
		default:
			t.Fatalf("got error %v, want none or a refusal as not run, with a time to retry", err)
		}
	}
	// 4 s at 2 requests a second, and the first one, at which nothing is known.
	if got, most := calls.Load(), int64(9); got > most || got < 4 || refused == 0 {
		t.Errorf("got %d calls at the service and %d refused, want 4 to %d calls", got, refused, most)
	}
}
