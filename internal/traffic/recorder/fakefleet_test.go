package recorder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/traffic/router"
)

// fakeDaemon is one runner of a fleet.
type fakeDaemon struct {
	viewer.Member
	runner *Runner
	gate   *gate
	end    context.CancelFunc
	// silent is since when nobody hears the daemon; zero if it is heard.
	silent  time.Time
	stopped bool
}

// fakeFleet is a fleet of runners with one store and one set of services.
type fakeFleet struct {
	store    *fakeStore
	services *fakeServices

	mu       sync.Mutex
	daemons  []*fakeDaemon
	handlers map[string]messenger.Handler
	replies  []modelReply
	wg       sync.WaitGroup
}

// modelReply is what a caller was told.
type modelReply struct {
	key   string
	order Order
	err   error
	// ran says that the order had run when the caller was told.
	ran bool
}

func newFakeFleet(faults []sendFault) *fakeFleet {
	f := &fakeFleet{store: newFakeStore(), services: newFakeServices(faults), handlers: make(map[string]messenger.Handler)}
	for range fleetSize {
		f.boot()
	}
	return f
}

// boot starts a daemon.
func (f *fakeFleet) boot() {
	f.mu.Lock()
	n := uint64(len(f.daemons) + 1)
	name := fmt.Sprintf("entry-%d", n)
	ctx, cancel := context.WithCancel(context.Background())
	d := &fakeDaemon{
		Member: viewer.Member{Name: name, Peers: name, Boot: n, State: viewer.StateAlive}, gate: &gate{}, end: cancel,
	}
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	rec := New(Config{Store: gatedStore{f.store, d.gate}, Owner: OwnerName(name, n)})
	d.runner = NewRunner(ctx, RunnerConfig{
		Recorder: rec, Router: router.New(router.Config{}), View: func() viewer.View { return f.view(d) }, Name: name,
		Peers: fakePeers{f, name}, Services: gatedServices{f.services, d.gate}, Tracer: tracer.Off(), Registry: metrics.NewRegistry(),
	})
	go func() {
		// Run ends with its context or with the drain, and has no other error.
		_ = d.runner.Run(ctx)
	}()
}

// view is what gossip tells one daemon of the others.
func (f *fakeFleet) view(of *fakeDaemon) viewer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var members []viewer.Member
	for _, d := range f.daemons {
		m := d.Member
		unheard := !d.silent.IsZero() && now.Sub(d.silent) > unheardTime || !of.silent.IsZero() && now.Sub(of.silent) > unheardTime
		if d != of && unheard {
			m.State = viewer.StateGone
		}
		members = append(members, m)
	}
	shares := []loader.Share{{Version: "desk-v1", Share: 100}}
	return viewer.View{}.WithConfig(1, loader.Set{Routes: []loader.Route{
		{Name: "desk", Kind: loader.KindService, Versions: shares, Status: "/status/{key}"},
		{Name: "ledger", Kind: loader.KindService, Versions: shares},
	}}).WithMembers(members).WithEndpoints([]viewer.Endpoint{
		{Name: "desk-0", Address: "desk-0", State: viewer.StateAlive, Versions: []string{"desk-v1"}},
	})
}

func (f *fakeFleet) route(from, to, kind string) (fromGate, toGate *gate, h messenger.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		if d.Name == from {
			fromGate = d.gate
		}
		if d.Name == to && !d.stopped {
			toGate, h = d.gate, f.handlers[to+" "+kind]
		}
	}
	return fromGate, toGate, h
}

// alive returns the n-th of the daemons that run, counted round; nil if none
// does.
func (f *fakeFleet) alive(n int) *fakeDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*fakeDaemon
	for _, d := range f.daemons {
		if !d.stopped {
			running = append(running, d)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[n%len(running)]
}

func (f *fakeFleet) hush(d *fakeDaemon, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !silent {
		d.silent = time.Time{}
	} else if d.silent.IsZero() {
		d.silent = time.Now()
	}
}

func (f *fakeFleet) stop(d *fakeDaemon) {
	f.hush(d, true)
	f.mu.Lock()
	d.stopped = true
	f.mu.Unlock()
	d.gate.kill()
	d.end()
}

// drain is a planned stop.
func (f *fakeFleet) drain(d *fakeDaemon) {
	f.mu.Lock()
	d.State = viewer.StateLeaving
	f.mu.Unlock()
	f.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		// What is left when the time is over goes to others.
		_ = d.runner.Drain(ctx)
		f.stop(d)
	})
}

func (f *fakeFleet) post(d *fakeDaemon, e modelEvent) {
	route, name := "ledger", fmt.Sprintf("key-%d", e.Key)
	if e.Key%2 == 0 {
		route = "desk"
	}
	f.wg.Go(func() {
		o, err := d.runner.Submit(context.Background(), Submission{
			Organisation: "granite", Route: route, Key: name, Async: e.Async,
			Request: Request{Method: "POST", Path: "/orders", Body: []byte(name)},
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		if d.stopped {
			o, err = Order{}, errKilled
		}
		f.replies = append(f.replies, modelReply{key: name, order: o, err: err, ran: f.services.ran(name)})
	})
}

// modelEvent is one step of a schedule.
type modelEvent struct {
	Kind string
	// N picks the daemon, Key the order.
	N, Key int
	Async  bool
	// After is the time since the event before, For the length of a fault.
	After, For time.Duration
}

func (f *fakeFleet) apply(e modelEvent) {
	d := f.alive(e.N)
	if d == nil {
		f.boot()
		d = f.alive(0)
	}
	switch e.Kind {
	case "post":
		f.post(d, e)
	case "kill":
		f.stop(d)
		f.boot()
	case "drain":
		if d.State == viewer.StateAlive {
			f.drain(d)
			f.boot()
		}
	case "pause":
		f.hush(d, true)
		wake := d.gate.pause()
		time.AfterFunc(e.For, func() {
			wake()
			f.heard(d)
		})
	case "cut":
		f.hush(d, true)
		time.AfterFunc(e.For, func() { f.heard(d) })
	case "store away":
		f.store.set(func(s *fakeStore) { s.down = true })
		time.AfterFunc(e.For, func() { f.store.set(func(s *fakeStore) { s.down = false }) })
	case "answers lost":
		f.store.set(func(s *fakeStore) { s.lose += 1 + e.N%3 })
	case "writes late":
		f.store.set(func(s *fakeStore) { s.delay += 1 + e.N%2 })
	case "services away":
		f.services.set(true)
		time.AfterFunc(e.For, func() { f.services.set(false) })
	}
}

// heard ends the silence of a daemon that runs.
func (f *fakeFleet) heard(d *fakeDaemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.stopped {
		d.silent = time.Time{}
	}
}
