package roller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/traffic/carrier"
)

const (
	simulatedDaemons = 9
	simulatedWithin  = 15 * time.Second
	// simulatedAllowance is the number of requests that a bad release may get beyond exposure.
	simulatedAllowance = 50
	predictedTime      = 15 * time.Millisecond
	// answerTarget is the latency target of the routes.
	answerTarget = 100 * time.Millisecond
)

// simulatedRoutes are the routes of the service: two thirds of its requests must not be repeated and
// rarely fail, of the others 14% fail at any release.
var simulatedRoutes = []struct {
	name     string
	fraction float64
	errors   float64
}{{"orders", 0.7, 0.004}, {"reads", 0.3, 0.14}}

// answerFault is a fault of the new release.
type answerFault struct {
	// errors and slow are the fractions of answers that fail, and that take slowFactor times longer.
	errors, slow, slowFactor float64
	// route is the only route with the fault; empty means all.
	route string
	// after is the age of the move from which on the fault shows.
	after time.Duration
}

// simulatedFleet is a fleet of daemons in virtual time that sends requests at a rate and exchanges
// statuses each tick.
type simulatedFleet struct {
	rng     *rand.Rand
	rollers []*Roller
	boots   []int64
	store   *stateStore
	fault   answerFault
	// order is the newest order, which a daemon gets when it starts.
	order Order
	// withdrawn is set once the new release has no endpoints.
	withdrawn bool
	// total and exposed count the requests until the end of the move's time, and those of them that
	// the new release got.
	total, exposed int
}

func newSimulatedFleet(seed uint64, fault answerFault) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 7)), store: &stateStore{states: make(map[string]State)}, fault: fault, order: Order{Service: "s", Release: "v2", Within: simulatedWithin, Revision: 7}}
	for i := range simulatedDaemons {
		f.rollers = append(f.rollers, f.newRoller(i))
		f.boots = append(f.boots, 1)
	}
	return f
}

func (f *simulatedFleet) newRoller(i int) *Roller {
	r := New(Config{
		Exposure: Exposure{Share: exposure, Extra: simulatedAllowance}, Members: func() int { return simulatedDaemons }, Announce: func() {}, AvailableReleases: f.availableReleases, OldestStarts: startOrder, Publisher: f.store,
		HoldsPublishDuty: func() bool { return i == 0 }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	r.Apply(f.order)
	return r
}

func (f *simulatedFleet) availableReleases(string) []string {
	if f.withdrawn {
		return []string{"v1"}
	}
	return []string{"v1", "v2"}
}

// restart replaces a daemon by a new incarnation, which knows nothing.
func (f *simulatedFleet) restart(i int) {
	f.rollers[i] = f.newRoller(i)
	f.boots[i]++
}

// run serves perSecond requests a second until the move's time is over. each is called before each
// tick with the age of the move.
func (f *simulatedFleet) run(t *testing.T, perSecond int, each func(age time.Duration)) {
	start := time.Now()
	for age := time.Duration(0); age < simulatedWithin; age = time.Since(start) {
		if each != nil {
			each(age)
		}
		for range perSecond * int(tickPeriod/time.Millisecond) / 1000 {
			f.serve(age)
		}
		f.exchange()
		for _, r := range f.rollers {
			r.Tick(t.Context())
		}
		time.Sleep(tickPeriod)
	}
}

func (f *simulatedFleet) exchange() {
	for i, r := range f.rollers {
		trials, moves := r.LocalReport()
		for j, other := range f.rollers {
			if j != i {
				other.RecordReport(fmt.Sprint(i), f.boots[i], trials, moves)
			}
		}
	}
}

// serve sends one request through a daemon drawn at random.
func (f *simulatedFleet) serve(age time.Duration) {
	r := f.rollers[f.rng.IntN(len(f.rollers))]
	route := simulatedRoutes[0]
	if f.rng.Float64() >= route.fraction {
		route = simulatedRoutes[1]
	}
	release := "v1"
	if allowed := r.AllowedReleases("s", fmt.Sprint(f.rng.Uint64())); allowed != nil && allowed("v2") {
		release = "v2"
		f.exposed++
	}
	f.total++
	r.RecordSent("s", route.name, release)
	r.RecordOutcome(f.outcome(route.name, route.errors, release, age))
}

func (f *simulatedFleet) outcome(route string, errors float64, release string, age time.Duration) carrier.Outcome {
	took := float64(predictedTime) * math.Exp(0.5*f.rng.NormFloat64())
	if f.rng.Float64() < 0.01 {
		took *= 5
	}
	o := carrier.Outcome{Service: "s", Route: route, Release: release, Endpoint: release, Predicted: predictedTime}
	if f.rng.Float64() < errors {
		o.Kind = carrier.OutcomeFailed
	}
	if d := f.fault; release == "v2" && age >= d.after && (d.route == "" || d.route == route) {
		if f.rng.Float64() < d.errors {
			o.Kind = carrier.OutcomeFailed
		}
		if f.rng.Float64() < d.slow {
			took *= d.slowFactor
		}
	}
	o.Took = time.Duration(took)
	o.Late = o.Took > answerTarget
	return o
}

// A release of which a part of the answers fails or takes several times longer must be reverted
// before it gets more than the allowed requests, also if most answers still meet the latency target,
// if only one route is hit, and if the fault starts after the release got all requests (EXPOSURE).
func TestBadReleaseIsReverted(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond int
		fault     answerFault
	}{
		{"3 in 10 answers slow, 60 a second", 60, answerFault{slow: 0.3, slowFactor: 8}},
		{"3 in 10 answers slow, 30 a second", 30, answerFault{slow: 0.3, slowFactor: 8}},
		{"half of the answers slow within the target", 60, answerFault{slow: 0.5, slowFactor: 4}},
		{"all answers slow within the target", 60, answerFault{slow: 1, slowFactor: 4}},
		{"3 in 10 answers fail", 60, answerFault{errors: 0.3}},
		{"3 in 10 answers fail, 30 a second", 30, answerFault{errors: 0.3}},
		{"a quarter of the answers fail", 60, answerFault{errors: 0.25}},
		{"half of the answers of a route that fails anyway", 60, answerFault{errors: 0.5, route: "reads"}},
		{"slow on one route", 60, answerFault{slow: 0.5, slowFactor: 8, route: "orders"}},
		{"slow from full traffic on", 60, answerFault{slow: 0.5, slowFactor: 8, after: 10 * time.Second}},
		{"failing from full traffic on, 170 a second", 170, answerFault{errors: 0.4, after: 10 * time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(seed, tc.fault)
					f.run(t, tc.perSecond, nil)
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

// A release that is no worse than the old one, or a little slower, must be completed.
func TestGoodReleaseIsCompleted(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond int
		fault     answerFault
	}{
		{"equal, 60 a second", 60, answerFault{}},
		{"equal, 170 a second", 170, answerFault{}},
		{"a fifth slower", 60, answerFault{slow: 1, slowFactor: 1.2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const seeds = 100
			reverted := 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(seed, tc.fault)
					f.run(t, tc.perSecond, nil)
					if f.store.states["s"] != StateDone {
						reverted++
					}
				})
			}
			if want := int(doubtProbability * seeds); reverted > want {
				t.Errorf("got %d of %d good releases that were not completed, want %d at most", reverted, seeds, want)
			}
		})
	}
}

// A move whose new release has lost its endpoints must not be completed: the platform then stops the
// endpoints of the old release, and the service has none.
func TestMoveWithoutEndpointsIsNotCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, answerFault{})
		f.run(t, 60, func(age time.Duration) { f.withdrawn = age > 3*time.Second })
		if got := f.store.states["s"]; got != StateActive {
			t.Errorf("got state %s, want %s", got, StateActive)
		}
	})
}

// A bad release must be reverted in time while daemons restart one after the other.
func TestBadReleaseIsRevertedDuringRestarts(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulatedFleet(seed, answerFault{errors: 0.4})
			next := 0
			f.run(t, 60, func(age time.Duration) {
				if age >= time.Duration(next+1)*time.Second {
					f.restart(next % simulatedDaemons)
					next++
				}
			})
			if got := f.store.states["s"]; got != StateReverted {
				t.Errorf("seed %d: got state %s, want %s", seed, got, StateReverted)
			}
			if limit := int(exposure*float64(f.total)) + simulatedAllowance; f.exposed > limit {
				t.Errorf("seed %d: got %d of %d requests at the bad release, want %d at most", seed, f.exposed, f.total, limit)
			}
		})
	}
}

// What a daemon counted before it restarted must go on counting at the others, and only once.
func TestCountsOutliveRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, answerFault{})
		restarting, other := f.rollers[1], f.rollers[2]
		for range 5 {
			restarting.RecordOutcome(carrier.Outcome{Service: "s", Route: "orders", Release: "v2", Kind: carrier.OutcomeFailed})
		}
		f.exchange()
		f.restart(1)
		f.exchange()
		f.rollers[1].RecordOutcome(carrier.Outcome{Service: "s", Route: "orders", Release: "v2", Kind: carrier.OutcomeFailed})
		f.exchange()
		f.exchange()
		candidate, _ := other.sumCounts(other.moves["s"]).totals()
		if got, want := candidate.bad, 6; got != want {
			t.Errorf("got %d bad answers of a daemon that restarted, want %d", got, want)
		}
	})
}

// Streams that break off when one endpoint crashes are one fault of it, and the counts of an earlier
// order say nothing about the present one.
func TestWhatCountsOnceOrNotAtAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, answerFault{})
		r := f.rollers[0]
		for range 5 {
			r.RecordOutcome(carrier.Outcome{Service: "s", Route: "orders", Release: "v2", Endpoint: "i", Kind: carrier.OutcomeBroken})
		}
		r.RecordReport("peer", 1, []sharer.Trial{{Service: "s", Route: "orders", Release: "v2", Bad: 9, Revision: 6}}, nil)
		candidate, _ := r.sumCounts(r.moves["s"]).totals()
		if got, want := candidate.bad, 1; got != want {
			t.Errorf("got %d bad answers of five broken at once and nine of another order, want %d", got, want)
		}
	})
}
