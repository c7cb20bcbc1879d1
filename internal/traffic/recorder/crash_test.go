package recorder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const deadlyBody = "deadly"

// crashingServices is a runner before services that crash under a request with deadlyBody.
type crashingServices struct {
	runner  *Runner
	route   loader.Route
	crashes atomic.Int64
	// crashed holds the addresses of crashed services, which leave the view.
	crashed sync.Map
	// ahead is by how much the clock of the quarantine is ahead.
	ahead      time.Duration
	quarantine *quarantiner.Quarantiner
}

func newCrashingServices(t *testing.T, n int) *crashingServices {
	t.Helper()
	c := &crashingServices{route: loader.Route{Name: "desk", Kind: loader.KindService, Idempotent: true, Versions: []loader.Share{{Version: "desk-v1", Share: 100}}}}
	c.quarantine = quarantiner.New(quarantiner.Config{
		Announce: func() {}, Now: func() time.Time { return time.Now().Add(c.ahead) }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	var endpoints []viewer.Endpoint
	for i := range n {
		endpoints = append(endpoints, viewer.Endpoint{Name: fmt.Sprint("desk-", i), Address: c.start(t), State: viewer.StateAlive, Versions: []string{"desk-v1"}})
	}
	view := viewer.View{}.WithConfig(1, loader.Set{Routes: []loader.Route{c.route}})
	isCrashed := func(e viewer.Endpoint) bool {
		_, ok := c.crashed.Load(e.Address)
		return ok
	}
	c.runner = NewRunner(t.Context(), RunnerConfig{
		Recorder: New(Config{Store: newFakeStore(), Owner: "entry-1/1"}), Router: router.New(router.Config{}), View: func() viewer.View { return view.WithEndpoints(slices.DeleteFunc(slices.Clone(endpoints), isCrashed)) }, Name: "entry-1",
		Quarantine: c.quarantine, Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
	})
	c.pass(3 * time.Second)
	return c
}

// start starts a service and returns its address.
func (c *crashingServices) start(t *testing.T) string {
	t.Helper()
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A failed read means that the attempt was cancelled.
		if body, _ := io.ReadAll(r.Body); string(body) == deadlyBody {
			srv.Listener.Close()
			c.crashed.Store(srv.Listener.Addr().String(), true)
			c.crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		for _, name := range []string{inferrer.HeaderRequest, inferrer.HeaderAttempt} {
			w.Header().Set(name, r.Header.Get(name))
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// pass lets time pass for the quarantine.
func (c *crashingServices) pass(d time.Duration) {
	c.ahead += d
	c.quarantine.Tick()
}

func (c *crashingServices) call(t *testing.T, organisation, body string) error {
	t.Helper()
	_, err := c.runner.SendIdempotent(t.Context(), organisation, c.route, Request{Method: http.MethodPost, Path: "/lamps", Body: []byte(body)})
	return err
}

// A repeated call under which services crash must not take one after the other down; others are served, and
// so is the same call of another organisation as far as anyone knows (BUDGET).
func TestCallThatCrashesServicesIsRefused(t *testing.T) {
	c := newCrashingServices(t, 8)
	if err := c.call(t, "o", "sound"); err != nil {
		t.Fatalf("got error %v for a sound call, want none", err)
	}
	for range 6 {
		// Each of them fails; what counts is what it takes down.
		_ = c.call(t, "o", deadlyBody)
		c.pass(time.Second)
	}
	if got, most := c.crashes.Load(), int64(4); got > most {
		t.Errorf("got %d crashes in six calls, want %d at most", got, most)
	}
	var r *refuser.Refusal
	if err := c.call(t, "o", deadlyBody); !errors.As(err, &r) || r.Title != "quarantined" || r.Run != refuser.NotRun || r.RetryAfter <= 0 {
		t.Errorf("got error %v, want a refusal as quarantined and not run, with a time to retry", err)
	}
	if err := c.call(t, "o", "sound"); err != nil {
		t.Errorf("got error %v for a sound call, want none", err)
	}
}

// An order under which services crash is posted under one key after the other. It must be refused as not run,
// and an order that did run under its key must still be told as such (BUDGET, REFUSED).
func TestOrderThatCrashesServicesIsRefused(t *testing.T) {
	c := newCrashingServices(t, 8)
	submit := func(key, body string) (Order, error) {
		return c.runner.Submit(t.Context(), Submission{
			Organisation: "o", Route: "desk", Key: key, Timeout: 5 * time.Second, Request: Request{Method: http.MethodPost, Path: "/lamps", Body: []byte(body)},
		})
	}
	if o, err := submit("sound", "sound"); err != nil || o.State != StateDone {
		t.Fatalf("got state %q and error %v for a sound order, want done", o.State, err)
	}
	for i := range 6 {
		// Each of them fails; what counts is what it takes down.
		_, _ = submit(fmt.Sprint("deadly-", i), deadlyBody)
		c.pass(time.Second)
	}
	if got, most := c.crashes.Load(), int64(3); got > most {
		t.Errorf("got %d crashes in six orders, want %d at most", got, most)
	}
	var r *refuser.Refusal
	if _, err := submit("deadly-7", deadlyBody); !errors.As(err, &r) || r.Title != "quarantined" || r.Run != refuser.NotRun {
		t.Errorf("got error %v, want a refusal as quarantined and not run", err)
	}
	if o, err := submit("deadly-0", deadlyBody); err == nil && o.State != StateUnknown {
		t.Errorf("got state %q for the key of an order that was sent, want unknown", o.State)
	} else if errors.As(err, &r) && r.Run == refuser.NotRun {
		t.Errorf("got error %v for the key of an order that was sent, want no claim that it did not run", err)
	}
}
