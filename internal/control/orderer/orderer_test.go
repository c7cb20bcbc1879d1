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

// engine obeys orders, and checks fencing numbers if told to.
type engine struct {
	mu       sync.Mutex
	fencing  bool
	fence    uint64
	versions map[string]bool
	log      []inferrer.Order
}

func (e *engine) Order(_ context.Context, o inferrer.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.Fence < e.fence {
		return inferrer.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.log = append(e.log, o)
	if o.Kind == inferrer.OrderLoad {
		e.versions[o.Version] = true
	} else {
		delete(e.versions, o.Version)
	}
	return nil
}

func (e *engine) loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.versions))
}

// late is an engine as a paused holder sees it: its orders arrive only when the
// holder is woken.
type late struct {
	*engine
	woken chan struct{}
	began chan struct{}
}

func (l *late) Order(ctx context.Context, o inferrer.Order) error {
	l.began <- struct{}{}
	<-l.woken
	return l.engine.Order(ctx, o)
}

// store is a weight store that lets a number of loads begin.
type store struct{ left int }

func (s *store) Fetch(context.Context, string) (fetcher.Weights, error) {
	if s.left == 0 {
		return fetcher.Weights{}, &fetcher.LimitError{RetryAfter: time.Minute}
	}
	s.left--
	return fetcher.Weights{}, nil
}

// bench is one engine with what a holder is told.
type bench struct {
	now          time.Time
	engine       *engine
	load, unload []string
	grant        dutykeeper.Grant
	held         bool
	store        *store
}

func newBench(fencing bool) *bench {
	return &bench{
		now: time.Unix(1000, 0), engine: &engine{fencing: fencing, versions: make(map[string]bool)}, held: true,
		store: &store{left: 1000}, load: []string{"v1"}, grant: dutykeeper.Grant{Epoch: 1, Since: time.Unix(900, 0)},
	}
}

func (b *bench) orderer(e Engine) *Orderer {
	set := loader.Set{
		Pools:    []loader.Pool{{Name: "p", Domain: "d", Fencing: b.engine.fencing}},
		Versions: []loader.Version{{Name: "v1", Model: "m", Pools: []string{"p"}}, {Name: "v2", Model: "m", Pools: []string{"p"}}, {Name: "v3", Model: "m"}},
	}
	load, unload, grant := b.load, b.unload, b.grant
	return New(Config{
		View: func() viewer.View {
			return viewer.View{Set: set, Endpoints: []viewer.Endpoint{{
				Name: "e", Domain: "d", Pool: "p", Role: lister.RoleEngine, State: viewer.StateAlive, Versions: b.engine.loaded(),
			}}}
		},
		Wanted:  func(loader.Set) ([]string, []string) { return load, unload },
		Held:    func(string) (dutykeeper.Grant, bool) { return grant, b.held },
		Dial:    func(string) Engine { return e },
		Fetcher: b.store, Now: func() time.Time { return b.now },
	})
}

func (b *bench) run(t *testing.T, o *Orderer, d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(tickPeriod) {
		o.Tick(t.Context())
	}
}

func TestWantedStateIsOrdered(t *testing.T) {
	b := newBench(true)
	b.engine.versions["v2"] = true
	b.load, b.unload = []string{"v1", "v3"}, []string{"v2"}
	b.run(t, b.orderer(b.engine), time.Second)
	if got := b.engine.loaded(); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("got versions %v, want v1 loaded, v2 not, and v3 not as it is of another pool", got)
	}
	if n := len(b.engine.log); n != 2 {
		t.Errorf("got %d orders, want 2", n)
	}
}

// TestTwoHolders pauses a holder in the middle of an order, lets another take
// over and bring the engine to another state, and wakes the first.
func TestTwoHolders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		b := newBench(fencing)
		paused := &late{engine: b.engine, woken: make(chan struct{}), began: make(chan struct{}, 9)}
		old := b.orderer(paused)
		done := make(chan struct{})
		go func() {
			old.Tick(t.Context())
			close(done)
		}()
		<-paused.began

		b.now = b.now.Add(10 * time.Second)
		b.load, b.unload = []string{"v2"}, []string{"v1"}
		b.grant = dutykeeper.Grant{Epoch: 2, Since: b.now}
		next := b.orderer(b.engine)
		b.run(t, next, takeoverWait-tickPeriod)
		if n := len(b.engine.log); (n == 0) == fencing {
			t.Errorf("fencing %v: got %d orders within the old holder's longest one, want some only with fencing", fencing, n)
		}
		b.run(t, next, time.Second)
		close(paused.woken)
		<-done
		b.run(t, next, 2*repeatTime)
		if got := b.engine.loaded(); !slices.Equal(got, []string{"v2"}) {
			t.Errorf("fencing %v: got versions %v in the end, want the new holder's v2", fencing, got)
		}
	}
}

// TestNoOrderWithoutDuty wants no order from a holder that has lost its duty.
func TestNoOrderWithoutDuty(t *testing.T) {
	b := newBench(false)
	b.held = false
	b.run(t, b.orderer(b.engine), time.Second)
	if n := len(b.engine.log); n != 0 {
		t.Errorf("got %d orders, want 0", n)
	}
}

// TestAssertedAgain wants a new holder to order the wanted state even where the
// engine reports it already, as the report may be old.
func TestAssertedAgain(t *testing.T) {
	b := newBench(false)
	b.engine.versions["v1"] = true
	b.grant = dutykeeper.Grant{Epoch: 5, Since: b.now}
	b.run(t, b.orderer(b.engine), takeoverWait+time.Second)
	want := inferrer.Order{Kind: inferrer.OrderLoad, Version: "v1", Fence: 5}
	if !slices.Equal(b.engine.log, []inferrer.Order{want}) {
		t.Errorf("got orders %+v, want one of %+v", b.engine.log, want)
	}
}

func TestWeightStoreHoldsLoads(t *testing.T) {
	b := newBench(true)
	b.load = []string{"v1", "v2"}
	b.store.left = 1
	o := b.orderer(b.engine)
	b.run(t, o, 30*time.Second)
	if got := len(b.engine.loaded()); got != 1 {
		t.Errorf("got %d versions loaded at the weight store's rate, want 1", got)
	}
	b.store.left = 1
	b.run(t, o, 40*time.Second)
	if got := len(b.engine.loaded()); got != 2 {
		t.Errorf("got %d versions loaded after the wait, want 2", got)
	}
}

func TestFailedOrderIsRepeated(t *testing.T) {
	b := newBench(true)
	broken := &failing{engine: b.engine, left: 2}
	b.run(t, b.orderer(broken), 3*repeatTime)
	if got := b.engine.loaded(); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("got versions %v, want v1 after two failed orders", got)
	}
}

// failing fails a number of orders.
type failing struct {
	*engine
	left int
}

func (f *failing) Order(ctx context.Context, o inferrer.Order) error {
	if f.left > 0 {
		f.left--
		return errors.New("connection reset")
	}
	return f.engine.Order(ctx, o)
}
