package orderer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/fetcher"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
)

// fakeEngine obeys orders, and checks fencing tokens if fencing is set.
type fakeEngine struct {
	mu       sync.Mutex
	fencing  bool
	fence    uint64
	versions map[string]bool
	orders   []inferrer.Order
}

func (e *fakeEngine) Order(_ context.Context, o inferrer.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.Fence < e.fence {
		return inferrer.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if o.Kind == inferrer.OrderLoad {
		e.versions[o.Version] = true
	} else {
		delete(e.versions, o.Version)
	}
	return nil
}

func (e *fakeEngine) loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.versions))
}

// pausedEngine is an engine whose orders arrive only when their paused holder resumes.
type pausedEngine struct {
	*fakeEngine
	resumed chan struct{}
	started chan struct{}
}

func (l *pausedEngine) Order(ctx context.Context, o inferrer.Order) error {
	l.started <- struct{}{}
	<-l.resumed
	return l.fakeEngine.Order(ctx, o)
}

// weightStore is a weight store that allows a limited number of loads.
type weightStore struct{ loadsLeft int }

func (s *weightStore) Fetch(context.Context, string) (fetcher.Weights, error) {
	if s.loadsLeft == 0 {
		return fetcher.Weights{}, &fetcher.LimitError{RetryAfter: time.Minute}
	}
	s.loadsLeft--
	return fetcher.Weights{}, nil
}

// fixture is one engine with the wanted versions and the duty that its orderer sees.
type fixture struct {
	now          time.Time
	fakeEngine   *fakeEngine
	load, unload []string
	grant        dutykeeper.Grant
	held         bool
	weightStore  *weightStore
}

func newFixture(fencing bool) *fixture {
	return &fixture{
		now: time.Unix(1000, 0), fakeEngine: &fakeEngine{fencing: fencing, versions: make(map[string]bool)}, held: true,
		weightStore: &weightStore{loadsLeft: 1000}, load: []string{"v1"}, grant: dutykeeper.Grant{Epoch: 1, AcquiredAt: time.Unix(900, 0)},
	}
}

func (b *fixture) newOrderer(e Engine) *Orderer {
	set := loader.Set{
		Pools:    []loader.Pool{{Name: "p", Domain: "d", Fencing: b.fakeEngine.fencing}},
		Versions: []loader.Version{{Name: "v1", Model: "m", Pools: []string{"p"}}, {Name: "v2", Model: "m", Pools: []string{"p"}}, {Name: "v3", Model: "m"}},
	}
	load, unload, grant := b.load, b.unload, b.grant
	return New(Config{
		View: func() viewer.View {
			return viewer.View{Set: set, Endpoints: []viewer.Endpoint{{
				Name: "e", Domain: "d", Pool: "p", Role: lister.RoleEngine, State: viewer.StateAlive, Versions: b.fakeEngine.loaded(),
			}}}
		},
		WantedVersions: func(loader.Set) ([]string, []string) { return load, unload },
		HeldGrant:      func(string) (dutykeeper.Grant, bool) { return grant, b.held },
		Dial:           func(string) Engine { return e },
		Fetcher:        b.weightStore, Now: func() time.Time { return b.now },
	})
}

func (b *fixture) runFor(t *testing.T, o *Orderer, d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(tickPeriod) {
		o.Tick(t.Context())
	}
}

func TestWantedStateIsOrdered(t *testing.T) {
	b := newFixture(true)
	b.fakeEngine.versions["v2"] = true
	b.load, b.unload = []string{"v1", "v3"}, []string{"v2"}
	b.runFor(t, b.newOrderer(b.fakeEngine), time.Second)
	if got := b.fakeEngine.loaded(); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("got versions %v, want only v1: v2 is to be unloaded and v3 belongs to no pool of the engine", got)
	}
	if n := len(b.fakeEngine.orders); n != 2 {
		t.Errorf("got %d orders, want 2", n)
	}
}

// A holder is paused in the middle of an order. Another takes over the duty and brings the engine
// to another state, and then the first resumes: its late order must not last.
func TestPausedHolderDoesNotOverrideNewHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		b := newFixture(fencing)
		paused := &pausedEngine{fakeEngine: b.fakeEngine, resumed: make(chan struct{}), started: make(chan struct{}, 9)}
		old := b.newOrderer(paused)
		done := make(chan struct{})
		go func() {
			old.Tick(t.Context())
			close(done)
		}()
		<-paused.started

		b.now = b.now.Add(10 * time.Second)
		b.load, b.unload = []string{"v2"}, []string{"v1"}
		b.grant = dutykeeper.Grant{Epoch: 2, AcquiredAt: b.now}
		next := b.newOrderer(b.fakeEngine)
		b.runFor(t, next, takeoverWait-tickPeriod)
		if n := len(b.fakeEngine.orders); (n == 0) == fencing {
			t.Errorf("fencing %v: got %d orders before the old holder's orders have timed out, want some only with fencing", fencing, n)
		}
		b.runFor(t, next, time.Second)
		close(paused.resumed)
		<-done
		b.runFor(t, next, 2*reorderInterval)
		if got := b.fakeEngine.loaded(); !slices.Equal(got, []string{"v2"}) {
			t.Errorf("fencing %v: got versions %v in the end, want the new holder's v2", fencing, got)
		}
	}
}

// A holder that has lost its duty must send no order.
func TestNoOrderWithoutDuty(t *testing.T) {
	b := newFixture(false)
	b.held = false
	b.runFor(t, b.newOrderer(b.fakeEngine), time.Second)
	if n := len(b.fakeEngine.orders); n != 0 {
		t.Errorf("got %d orders, want 0", n)
	}
}

// A new holder orders the wanted state even if the engine reports it already, since the report may
// be outdated.
func TestNewHolderRepeatsOrdersInEffect(t *testing.T) {
	b := newFixture(false)
	b.fakeEngine.versions["v1"] = true
	b.grant = dutykeeper.Grant{Epoch: 5, AcquiredAt: b.now}
	b.runFor(t, b.newOrderer(b.fakeEngine), takeoverWait+time.Second)
	want := inferrer.Order{Kind: inferrer.OrderLoad, Version: "v1", Fence: 5}
	if !slices.Equal(b.fakeEngine.orders, []inferrer.Order{want}) {
		t.Errorf("got orders %+v, want one of %+v", b.fakeEngine.orders, want)
	}
}

func TestWeightStoreLimitsLoads(t *testing.T) {
	b := newFixture(true)
	b.load = []string{"v1", "v2"}
	b.weightStore.loadsLeft = 1
	o := b.newOrderer(b.fakeEngine)
	b.runFor(t, o, 30*time.Second)
	if got := len(b.fakeEngine.loaded()); got != 1 {
		t.Errorf("got %d versions loaded at the weight store's rate, want 1", got)
	}
	b.weightStore.loadsLeft = 1
	b.runFor(t, o, 40*time.Second)
	if got := len(b.fakeEngine.loaded()); got != 2 {
		t.Errorf("got %d versions loaded after the wait, want 2", got)
	}
}

func TestFailedOrderIsRepeated(t *testing.T) {
	b := newFixture(true)
	broken := &flakyEngine{fakeEngine: b.fakeEngine, failuresLeft: 2}
	b.runFor(t, b.newOrderer(broken), 3*reorderInterval)
	if got := b.fakeEngine.loaded(); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("got versions %v, want v1 after two failed orders", got)
	}
}

// flakyEngine fails a number of orders before it obeys.
type flakyEngine struct {
	*fakeEngine
	failuresLeft int
}

func (f *flakyEngine) Order(ctx context.Context, o inferrer.Order) error {
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return errors.New("connection reset")
	}
	return f.fakeEngine.Order(ctx, o)
}
