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

// fakeDaemon is one daemon of a fakeFleet.
type fakeDaemon struct {
	viewer.Member
	runner      *Runner
	processGate *processGate
	stopRunner  context.CancelFunc
	// unreachableSince is the time since which the daemon's gossip reaches no other daemon; zero if
	// it is reachable.
	unreachableSince time.Time
	stopped          bool
}

// fakeFleet is a set of daemons that share one store and one set of endpoints.
type fakeFleet struct {
	store    *fakeStore
	services *fakeServices

	mu       sync.Mutex
	daemons  []*fakeDaemon
	handlers map[string]messenger.Handler
	replies  []callerReply
	wg       sync.WaitGroup
}

// callerReply is the result that a caller received.
type callerReply struct {
	key   string
	order Order
	err   error
	// hasRun reports that the order had run by the time the caller got the reply.
	hasRun bool
}

func newFakeFleet(faults []sendFault) *fakeFleet {
	f := &fakeFleet{store: newFakeStore(), services: newFakeServices(faults), handlers: make(map[string]messenger.Handler)}
	for range fleetSize {
		f.startDaemon()
	}
	return f
}

// startDaemon adds a daemon to the fleet.
func (f *fakeFleet) startDaemon() {
	f.mu.Lock()
	n := uint64(len(f.daemons) + 1)
	name := fmt.Sprintf("entry-%d", n)
	ctx, cancel := context.WithCancel(context.Background())
	d := &fakeDaemon{
		Member: viewer.Member{Name: name, Peers: name, Boot: n, State: viewer.StateAlive}, processGate: &processGate{}, stopRunner: cancel,
	}
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	rec := New(Config{Store: gatedStore{f.store, d.processGate}, Owner: OwnerName(name, n)})
	d.runner = NewRunner(ctx, RunnerConfig{
		Recorder: rec, Router: router.New(router.Config{}), View: func() viewer.View { return f.viewOf(d) }, Name: name,
		Peers: fakePeers{f, name}, Services: gatedServices{f.services, d.processGate}, Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
	})
	go func() {
		// The error is ignored: Run returns nil once its context ends or the daemon drains.
		_ = d.runner.Run(ctx)
	}()
}

// viewOf returns the members as one daemon sees them through gossip.
func (f *fakeFleet) viewOf(observer *fakeDaemon) viewer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var members []viewer.Member
	for _, d := range f.daemons {
		m := d.Member
		unreachable := !d.unreachableSince.IsZero() && now.Sub(d.unreachableSince) > failureDetectionTime || !observer.unreachableSince.IsZero() && now.Sub(observer.unreachableSince) > failureDetectionTime
		if d != observer && unreachable {
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

func (f *fakeFleet) findHandler(from, to, kind string) (fromGate, toGate *processGate, h messenger.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		if d.Name == from {
			fromGate = d.processGate
		}
		if d.Name == to && !d.stopped {
			toGate, h = d.processGate, f.handlers[to+" "+kind]
		}
	}
	return fromGate, toGate, h
}

// nthRunning returns the running daemon with index n modulo their number, or nil if none is
// running.
func (f *fakeFleet) nthRunning(n int) *fakeDaemon {
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

func (f *fakeFleet) setUnreachable(d *fakeDaemon, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !unreachable {
		d.unreachableSince = time.Time{}
	} else if d.unreachableSince.IsZero() {
		d.unreachableSince = time.Now()
	}
}

func (f *fakeFleet) stop(d *fakeDaemon) {
	f.setUnreachable(d, true)
	f.mu.Lock()
	d.stopped = true
	f.mu.Unlock()
	d.processGate.kill()
	d.stopRunner()
}

// drain stops a daemon as planned, after it has drained.
func (f *fakeFleet) drain(d *fakeDaemon) {
	f.mu.Lock()
	d.State = viewer.StateLeaving
	f.mu.Unlock()
	f.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		// The error is ignored: other daemons take over what is left after the timeout.
		_ = d.runner.Drain(ctx)
		f.stop(d)
	})
}

func (f *fakeFleet) postOrder(d *fakeDaemon, e scheduleEvent) {
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
		f.replies = append(f.replies, callerReply{key: name, order: o, err: err, hasRun: f.services.hasRun(name)})
	})
}

// scheduleEvent is one event of a random test schedule: a submitted order or a fault.
type scheduleEvent struct {
	Kind string
	// N selects the daemon, Key the order.
	N, Key int
	Async  bool
	// After is the time since the previous event, For the duration of a fault.
	After, For time.Duration
}

func (f *fakeFleet) applyEvent(e scheduleEvent) {
	d := f.nthRunning(e.N)
	if d == nil {
		f.startDaemon()
		d = f.nthRunning(0)
	}
	switch e.Kind {
	case "post":
		f.postOrder(d, e)
	case "kill":
		f.stop(d)
		f.startDaemon()
	case "drain":
		if d.State == viewer.StateAlive {
			f.drain(d)
			f.startDaemon()
		}
	case "pause":
		f.setUnreachable(d, true)
		wake := d.processGate.pause()
		time.AfterFunc(e.For, func() {
			wake()
			f.setReachable(d)
		})
	case "cut":
		f.setUnreachable(d, true)
		time.AfterFunc(e.For, func() { f.setReachable(d) })
	case "store away":
		f.store.setFaults(func(s *fakeStore) { s.unavailable = true })
		time.AfterFunc(e.For, func() { f.store.setFaults(func(s *fakeStore) { s.unavailable = false }) })
	case "answers lost":
		f.store.setFaults(func(s *fakeStore) { s.answersToLose += 1 + e.N%3 })
	case "writes late":
		f.store.setFaults(func(s *fakeStore) { s.writesToDelay += 1 + e.N%2 })
	case "services away":
		f.services.setUnavailable(true)
		time.AfterFunc(e.For, func() { f.services.setUnavailable(false) })
	}
}

// setReachable makes a daemon reachable again, unless it was stopped.
func (f *fakeFleet) setReachable(d *fakeDaemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.stopped {
		d.unreachableSince = time.Time{}
	}
}
