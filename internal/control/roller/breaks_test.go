package roller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/traffic/carrier"
)

const (
	// connectedDaemons and releaseEndpoints are the numbers of daemons, and of endpoints of each release.
	connectedDaemons, releaseEndpoints = 3, 2
	// restartTime is how long an endpoint is away after a crash, and cutTime how long a cut from it lasts.
	restartTime, cutTime = time.Second, 1500 * time.Millisecond
	// exchangeTime is the time between two exchanges of reports.
	exchangeTime = 100 * time.Millisecond
)

// manner is how an endpoint breaks off an answer.
type manner struct {
	name string
	// hasHead says that the head of the answer comes before, and isKept that endpoints keep connections open after a
	// whole answer.
	hasHead, isKept bool
}

var manners = []manner{
	{"after the head", true, true},
	{"before the head", false, true},
	{"after the head, a connection each", true, false},
	{"before the head, a connection each", false, false},
}

// disturbance is what happens to the connections of an endpoint.
type disturbance int

const (
	// disturbanceCrash ends the process of an endpoint, which is back after restartTime.
	disturbanceCrash disturbance = iota
	// disturbanceReset resets all connections to an endpoint, which lives on.
	disturbanceReset
	// disturbanceCut resets all connections to an endpoint, and each new one at once for cutTime.
	disturbanceCut
)

// load is how requests come: their number a second, and the time that each answer takes.
type load struct {
	perSecond int
	took      time.Duration
}

// connectedFleet is a simulatedFleet whose requests take time at endpoints and are sent on connections.
type connectedFleet struct {
	*simulatedFleet
	load   load
	manner manner
	// breaks returns the fraction of answers that the new release breaks off at an age of the move.
	breaks    func(age time.Duration) float64
	started   time.Time
	endpoints map[string][]*connectedEndpoint
	running   sync.WaitGroup
}

// connectedEndpoint is an endpoint of a connectedFleet.
type connectedEndpoint struct {
	name string

	// mu guards what follows.
	mu sync.Mutex
	// idle holds the times at which the idle connections of each daemon were opened.
	idle [connectedDaemons][]time.Time
	// interrupted is closed and replaced when all connections end.
	interrupted chan struct{}
	// refusesUntil and resetsUntil are the times up to which new connections are refused, or reset at once.
	refusesUntil, resetsUntil time.Time
}

func newConnectedFleet(seed uint64, l load, m manner) *connectedFleet {
	f := &connectedFleet{
		simulatedFleet: &simulatedFleet{
			rng: rand.New(rand.NewPCG(seed, 11)), store: &stateStore{states: make(map[string]State)},
			order: Order{Service: "s", Release: "v2", Within: simulatedWithin, Revision: 7},
		},
		load: l, manner: m, breaks: func(time.Duration) float64 { return 0 }, started: time.Now(), endpoints: make(map[string][]*connectedEndpoint),
	}
	for i := range connectedDaemons {
		f.rollers = append(f.rollers, f.newRoller(i))
		f.boots = append(f.boots, 1)
	}
	for _, release := range []string{"v1", "v2"} {
		for i := range releaseEndpoints {
			f.endpoints[release] = append(f.endpoints[release], &connectedEndpoint{name: fmt.Sprint(release, "-", i), interrupted: make(chan struct{})})
		}
	}
	return f
}

// disturb disturbs an endpoint now.
func (e *connectedEndpoint) disturb(d disturbance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.interrupted)
	e.interrupted = make(chan struct{})
	e.idle = [connectedDaemons][]time.Time{}
	switch d {
	case disturbanceCrash:
		e.refusesUntil = time.Now().Add(restartTime)
	case disturbanceCut:
		e.resetsUntil = time.Now().Add(cutTime)
	case disturbanceReset:
	}
}

// connection is a connection to an endpoint.
type connection struct {
	openedAt time.Time
	// interrupted is closed when all connections of the endpoint end, and isReset says that this one was reset at once.
	interrupted <-chan struct{}
	isReset     bool
}

// connect returns an idle connection of a daemon, or a new one.
func (e *connectedEndpoint) connect(daemon int, now time.Time) connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := connection{now, e.interrupted, now.Before(e.resetsUntil)}
	if idle := e.idle[daemon]; len(idle) > 0 {
		c.openedAt = idle[len(idle)-1]
		e.idle[daemon] = idle[:len(idle)-1]
	}
	return c
}

// putIdle keeps a connection of a daemon open.
func (e *connectedEndpoint) putIdle(daemon int, openedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle[daemon] = append(e.idle[daemon], openedAt)
}

func (e *connectedEndpoint) isRefusing(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.refusesUntil)
}

// run serves requests until the time of the move is over.
func (f *connectedFleet) run(t *testing.T) {
	f.running.Go(func() { f.exchangeUntilEnd(t) })
	gap := time.Second / time.Duration(f.load.perSecond)
	for age := time.Duration(0); age < simulatedWithin; age = time.Since(f.started) {
		f.begin(age)
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(gap)))
	}
	f.running.Wait()
}

func (f *connectedFleet) exchangeUntilEnd(t *testing.T) {
	for time.Since(f.started) < simulatedWithin {
		time.Sleep(exchangeTime)
		f.exchange()
		for _, r := range f.rollers {
			r.Tick(t.Context())
		}
	}
}

// begin sends one request through a daemon drawn at random, to an endpoint of its release.
func (f *connectedFleet) begin(age time.Duration) {
	daemon := f.rng.IntN(connectedDaemons)
	r := f.rollers[daemon]
	release := "v1"
	if allowed := r.AllowedReleases("s", fmt.Sprint(f.rng.Uint64())); allowed != nil && allowed("v2") {
		release = "v2"
		f.exposed++
	}
	f.total++
	now := time.Now()
	up := slices.DeleteFunc(slices.Clone(f.endpoints[release]), func(e *connectedEndpoint) bool { return e.isRefusing(now) })
	if len(up) == 0 {
		return
	}
	e := up[f.rng.IntN(len(up))]
	c := e.connect(daemon, now)
	o := carrier.Outcome{Service: "s", Route: "orders", Release: release, Endpoint: e.name, Predicted: f.load.took, ConnectedAt: c.openedAt, SentAt: now}
	isBroken := release == "v2" && f.rng.Float64() < f.breaks(age)
	took := time.Duration(float64(f.load.took) * (0.5 + f.rng.Float64()))
	r.RecordSent("s", "orders", release)
	if c.isReset {
		o.Kind = carrier.OutcomeBroken
		r.RecordOutcome(o)
		return
	}
	f.running.Go(func() { f.finish(r, daemon, e, c.interrupted, o, took, isBroken) })
}

// finish waits for the end of an answer and records its outcome.
func (f *connectedFleet) finish(r *Roller, daemon int, e *connectedEndpoint, interrupted <-chan struct{}, o carrier.Outcome, took time.Duration, isBroken bool) {
	select {
	case <-interrupted:
		// A daemon reads the ends of many connections one after the other.
		time.Sleep(took / 100)
		o.Kind, o.HasHead = carrier.OutcomeBroken, f.manner.hasHead
	case <-time.After(took):
		o.Took, o.HasHead = took, !isBroken || f.manner.hasHead
		if isBroken {
			o.Kind = carrier.OutcomeBroken
		} else if f.manner.isKept {
			e.putIdle(daemon, o.ConnectedAt)
		}
	}
	r.RecordOutcome(o)
}

// A release that breaks off a part of its answers once it gets all requests must be reverted before it gets more than
// the allowed requests, however its answers end and at any load: answers that an endpoint broke off within a second
// counted once, so that the release was completed (EXPOSURE).
func TestReleaseThatBreaksOffAnswersIsReverted(t *testing.T) {
	for _, m := range manners {
		for _, tc := range []struct {
			load   load
			breaks float64
		}{
			{load{300, 10 * time.Millisecond}, 1.0 / 3},
			{load{300, 10 * time.Millisecond}, 1},
			{load{90, 10 * time.Millisecond}, 1.0 / 3},
			{load{700, 10 * time.Millisecond}, 1.0 / 3},
			{load{300, 200 * time.Millisecond}, 1.0 / 3},
			{load{700, 200 * time.Millisecond}, 1.0 / 3},
			{load{300, 10 * time.Millisecond}, 1.0 / 7},
			{load{700, 200 * time.Millisecond}, 1.0 / 7},
		} {
			t.Run(fmt.Sprintf("%s, %.2f of %d a second, %s each", m.name, tc.breaks, tc.load.perSecond, tc.load.took), func(t *testing.T) {
				for seed := range uint64(5) {
					synctest.Test(t, func(t *testing.T) {
						f := newConnectedFleet(seed, tc.load, m)
						f.breaks = func(age time.Duration) float64 {
							if age < time.Duration(fullTrafficFraction*float64(simulatedWithin)) {
								return 0
							}
							return tc.breaks
						}
						f.run(t)
						if got := f.store.states["s"]; got != StateReverted {
							t.Errorf("seed %d: got state %s, want %s", seed, got, StateReverted)
						}
						if limit := int(exposure*float64(f.total)) + simulatedAllowance; f.exposed > limit {
							t.Errorf("seed %d: got %d of %d requests at the bad release, want %d at most", seed, f.exposed, f.total, limit)
						}
					})
				}
			})
		}
	}
}

// The crash of an endpoint, a reset of its connections and a cut from it are one event each, with however many answers
// in flight: a sound release must be completed.
func TestEventAtAnEndpointIsNoFaultOfTheRelease(t *testing.T) {
	for name, d := range map[string]disturbance{"crash": disturbanceCrash, "reset": disturbanceReset, "cut": disturbanceCut} {
		for _, l := range []load{{300, 10 * time.Millisecond}, {90, 200 * time.Millisecond}, {700, 200 * time.Millisecond}} {
			for _, at := range []time.Duration{simulatedWithin / 2, simulatedWithin * 3 / 4} {
				t.Run(fmt.Sprintf("%s after %s, %d a second, %s each", name, at, l.perSecond, l.took), func(t *testing.T) {
					for seed := range uint64(3) {
						for _, m := range manners {
							synctest.Test(t, func(t *testing.T) {
								f := newConnectedFleet(seed, l, m)
								time.AfterFunc(at, func() { f.endpoints["v2"][0].disturb(d) })
								f.run(t)
								if got := f.store.states["s"]; got != StateDone {
									t.Errorf("seed %d, %s: got state %s, want %s", seed, m.name, got, StateDone)
								}
							})
						}
					}
				})
			}
		}
	}
}
