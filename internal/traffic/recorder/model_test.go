package recorder

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	// modelSeed fixes the schedules; a failure prints them and the seed.
	modelSeed   = "20261204"
	modelChecks = "80"
	fleetSize   = 3
	// unheardTime is how long a daemon is not heard of before others take it
	// for gone.
	unheardTime = 5 * time.Second
	// restTime is how long after the last fault every order has ended.
	restTime = queueTimeout + 2*time.Minute
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

func drawSchedule(t *rapid.T) ([]modelEvent, []sendFault) {
	kinds := []string{"post", "post", "post", "post", "post", "store away", "answers lost", "writes late", "services away"}
	if rapid.Bool().Draw(t, "lose daemons") {
		kinds = append(kinds, "kill", "drain", "pause", "cut")
	}
	millis := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	keys := rapid.SampledFrom([]int{2, 12}).Draw(t, "keys")
	var events []modelEvent
	for range rapid.IntRange(4, 30).Draw(t, "events") {
		after := 8
		if rapid.Bool().Draw(t, "long") {
			after = 4000
		}
		events = append(events, modelEvent{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), N: rapid.IntRange(0, 11).Draw(t, "n"), Key: rapid.IntRange(0, keys-1).Draw(t, "key"),
			Async: rapid.Bool().Draw(t, "async"), After: millis("after", after), For: millis("for", 12000),
		})
	}
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sendFault {
		return sendFault(rapid.IntRange(0, int(sendFaults)-1).Draw(t, "fault"))
	}), 0, 20).Draw(t, "faults")
	return events, faults
}

// simulate plays a schedule, lets the fleet come to rest, and returns what is
// wrong.
func simulate(events []modelEvent, faults []sendFault) []string {
	f := newFakeFleet(faults)
	for _, e := range events {
		time.Sleep(e.After)
		f.apply(e)
	}
	time.Sleep(restTime)
	f.wg.Wait()
	wrong := f.check(!slices.ContainsFunc(events, func(e modelEvent) bool {
		return slices.Contains([]string{"kill", "drain", "pause", "cut"}, e.Kind)
	}))
	f.mu.Lock()
	daemons := f.daemons
	f.mu.Unlock()
	for _, d := range daemons {
		f.stop(d)
	}
	synctest.Wait()
	return wrong
}

// check compares what callers were told, what is recorded and what ran. In a
// steady fleet all daemons could be asked at any time.
func (f *fakeFleet) check(steady bool) []string {
	var wrong []string
	fault := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	records := make(map[string]Order)
	page, err := f.store.List(context.Background(), KeyPrefix)
	if err != nil {
		fault("list: %v", err)
	}
	for _, e := range page.Entries {
		o, err := decode(e)
		if err != nil {
			fault("%v", err)
		}
		records[o.Key] = o
		switch runs := f.services.runs[o.Key]; {
		case !o.Ended():
			fault("order %s has no end: it is %s, owned by %s", o.Key, o.State, o.Owner)
		case o.State == StateRefused && runs > 0:
			fault("refused order %s ran %d times", o.Key, runs)
		case o.State == StateDone && !bytes.Equal(o.Answer.Body, f.services.answers[o.Key]):
			fault("order %s: got answer %q, want %q", o.Key, o.Answer.Body, f.services.answers[o.Key])
		}
	}
	for key, n := range f.services.runs {
		if n > 1 {
			fault("order %s ran %d times", key, n)
		}
	}
	refusedOnly := make(map[string]bool)
	for _, r := range f.replies {
		wrong = append(wrong, r.check(records, f.services.answers[r.key])...)
		if steady && r.ran && r.notRun() {
			fault("order %s was refused as not run (%v) after it ran", r.key, r.err)
		}
		if _, seen := refusedOnly[r.key]; !seen {
			refusedOnly[r.key] = true
		}
		refusedOnly[r.key] = refusedOnly[r.key] && r.notRun()
	}
	for key, only := range refusedOnly {
		if only && f.services.runs[key] > 0 {
			fault("order %s was refused as not run by each daemon and ran", key)
		}
	}
	return wrong
}

func (r modelReply) notRun() bool {
	var refusal *refuser.Refusal
	return errors.As(r.err, &refusal) && refusal.Run == refuser.NotRun || r.err == nil && r.order.State == StateRefused
}

func (r modelReply) check(records map[string]Order, answer []byte) []string {
	record, recorded := records[r.key]
	switch {
	case r.err == nil && !recorded:
		return []string{fmt.Sprintf("order %s: the caller was told %s, and there is no record", r.key, r.order.State)}
	case r.err == nil && r.order.State == StateDone && (record.State != StateDone || !bytes.Equal(r.order.Answer.Body, answer)):
		return []string{fmt.Sprintf("order %s: the caller got %q, the record is %s, the service answered %q", r.key, r.order.Answer.Body, record.State, answer)}
	}
	return nil
}

// setRapid sets a flag of rapid that the command line has not set.
func setRapid(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := flag.Set(name, f.DefValue); err != nil {
			t.Error(err)
		}
	})
}

// For any schedule of faults an order runs at most once, a recorded one comes
// to an end, and none that is refused as not run has run.
func TestOrdersUnderRandomFaults(t *testing.T) {
	setRapid(t, "rapid.seed", modelSeed)
	setRapid(t, "rapid.checks", modelChecks)
	setRapid(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		events, faults := drawSchedule(rt)
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = simulate(events, faults) })
		if len(wrong) > 0 {
			rt.Fatalf("%s\nschedule %+v\nsend faults %v", strings.Join(wrong, "\n"), events, faults)
		}
	})
}
