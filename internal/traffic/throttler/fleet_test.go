package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	simulatedStep  = 10 * time.Millisecond
	simulatedDelay = 50 * time.Millisecond
	// daemonDemand is the requests a second at one daemon, and limitedFraction the fraction of them that
	// prefer a limited endpoint, which has little to do, over the others.
	daemonDemand    = 5
	limitedFraction = 0.5
	// contact, window and told are the times of the rule: when it begins after the first naming, over how
	// long it counts, and how long before the end of a window a daemon must have been told.
	contact = 3 * time.Second
	window  = 4 * time.Second
	told    = 500 * time.Millisecond
	// allowedFactor and allowedExtra are what the rule allows beyond the limit in a window.
	allowedFactor = 1.5
	allowedExtra  = 5
)

// arrival is a request that arrived at the endpoint.
type arrival struct {
	at     time.Time
	daemon int
}

// simulatedFleet is a fleet of daemons before one endpoint, in virtual time.
type simulatedFleet struct {
	rng       *rand.Rand
	daemons   []*Throttler
	addresses []string
	// statusPeriod is the time between two exchanges of statuses.
	statusPeriod time.Duration
	// demand is the requests a second that go to the endpoint while it has no limit, of daemonDemand at each
	// daemon. The rest goes to other endpoints.
	demand float64
	// limit is what the endpoint names, in requests a second; negative for none. born is its incarnation.
	limit float64
	born  int64
	// isCut says whether two daemons do not reach each other.
	isCut func(i, j int) bool
	// hides says whether a daemon does not know another one; nil if all know all.
	hides func(i, j int) bool

	namedAt  time.Time
	toldAt   map[int]time.Time
	arrivals []arrival
	answers  []answer
	statuses []status
	refused  int
}

// answer is an answer on its way to a daemon.
type answer struct {
	at, sentAt time.Time
	daemon     int
	limit      float64
	born       int64
}

// status is a report on its way to all daemons.
type status struct {
	at     time.Time
	daemon int
}

func newSimulatedFleet(seed uint64, daemons int, statusPeriod time.Duration) *simulatedFleet {
	f := &simulatedFleet{
		rng: rand.New(rand.NewPCG(seed, 5)), statusPeriod: statusPeriod, demand: 6, limit: -1, toldAt: make(map[int]time.Time),
		isCut: func(int, int) bool { return false },
	}
	for i := range daemons {
		f.daemons = append(f.daemons, nil)
		f.addresses = append(f.addresses, fmt.Sprint("daemon-", i))
		f.start(i)
	}
	return f
}

// start starts or restarts a daemon, which knows no limits then.
func (f *simulatedFleet) start(i int) {
	delete(f.toldAt, i)
	f.daemons[i] = New(Config{
		Self: f.addresses[i], Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
		Members: func() []string {
			if f.hides == nil {
				return f.addresses
			}
			var out []string
			for j, a := range f.addresses {
				if !f.hides(i, j) {
					out = append(out, a)
				}
			}
			return out
		},
		Announce: func() { f.statuses = append(f.statuses, status{time.Now().Add(f.statusPeriod / 2), i}) },
	})
}

// run lets callers send for a time. each is called before each step.
func (f *simulatedFleet) run(d time.Duration, each func(age time.Duration)) {
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		if each != nil {
			each(time.Since(start))
		}
		for i := range f.daemons {
			for due := f.rate(i) * simulatedStep.Seconds(); due > 0; due-- {
				if f.rng.Float64() < due {
					f.send(i)
				}
			}
		}
		f.answer()
		f.exchange(n)
		time.Sleep(simulatedStep)
	}
}

// rate returns the requests a second of a daemon that would go to the endpoint.
func (f *simulatedFleet) rate(i int) float64 {
	if l := f.daemons[i].limits["e"]; l != nil && l.born == f.born && !l.ended {
		return max(daemonDemand, f.demand/float64(len(f.daemons))) * limitedFraction
	}
	return f.demand / float64(len(f.daemons))
}

// send sends a request at one daemon unless the limit keeps it back.
func (f *simulatedFleet) send(i int) {
	d, now := f.daemons[i], time.Now()
	if d.Wait("e", f.born) > 0 {
		f.refused++
		return
	}
	d.Take("e", f.born)
	f.arrivals = append(f.arrivals, arrival{now, i})
	if f.limit >= 0 && f.namedAt.IsZero() {
		f.namedAt = now
	}
	f.answers = append(f.answers, answer{now.Add(simulatedDelay), now, i, f.limit, f.born})
}

// answer delivers the answers that are due.
func (f *simulatedFleet) answer() {
	now := time.Now()
	f.answers = slices.DeleteFunc(f.answers, func(a answer) bool {
		if a.at.After(now) {
			return false
		}
		if a.limit < 0 {
			f.daemons[a.daemon].RecordNoLimit("e", a.born, a.sentAt)
			return true
		}
		f.daemons[a.daemon].RecordLimit("e", a.born, a.limit)
		if f.toldAt[a.daemon].IsZero() {
			f.toldAt[a.daemon] = now
		}
		return true
	})
}

// exchange delivers the announced and the periodic statuses that are due.
func (f *simulatedFleet) exchange(n int) {
	now := time.Now()
	if n%int(f.statusPeriod/simulatedStep) == 0 {
		for i := range f.daemons {
			f.deliver(i)
		}
	}
	due := f.statuses
	f.statuses = nil
	for _, s := range due {
		if s.at.After(now) {
			f.statuses = append(f.statuses, s)
			continue
		}
		f.deliver(s.daemon)
	}
}

func (f *simulatedFleet) deliver(from int) {
	limits := f.daemons[from].LocalReport()
	if len(limits) == 0 {
		return
	}
	for to, d := range f.daemons {
		if to != from && !f.isCut(from, to) {
			d.RecordReport(limits, time.Now())
		}
	}
}

// mostInWindow returns the most requests of daemons that were told, in a window that ends later than contact
// after the limit was first named.
func (f *simulatedFleet) mostInWindow() int {
	most := 0
	for _, last := range f.arrivals {
		if f.namedAt.IsZero() || last.at.Sub(f.namedAt) < contact {
			continue
		}
		n := 0
		for _, a := range f.arrivals {
			at, ok := f.toldAt[a.daemon]
			if ok && last.at.Sub(at) >= told && !a.at.After(last.at) && last.at.Sub(a.at) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// check fails the test if the endpoint got more than the rule allows, or nothing of what it takes.
func (f *simulatedFleet) check(t *testing.T, seed uint64, limit float64) {
	t.Helper()
	allowed := int(allowedFactor*limit*window.Seconds() + allowedExtra)
	if got := f.mostInWindow(); got > allowed {
		t.Errorf("seed %d: got %d requests in %s at a limit of %g a second, want %d at most", seed, got, window, limit, allowed)
	}
	taken := 0
	for _, a := range f.arrivals {
		if !f.namedAt.IsZero() && a.at.Sub(f.namedAt) > contact {
			taken++
		}
	}
	since := (time.Since(f.namedAt) - contact).Seconds()
	if want := int(min(limit, f.demand) * since / 4); taken < want {
		t.Errorf("seed %d: got %d requests after %s at a limit of %g a second, want %d at least", seed, taken, contact, limit, want)
	}
}
