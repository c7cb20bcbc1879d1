package limiter

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	rate  = 1000.0
	burst = 1000.0
)

func newAllowances(full bool, at time.Time) *Allowances {
	a := NewAllowances(Config{StartFull: full})
	a.Configure([]registrar.Organisation{{Name: "o", Rate: rate, Burst: burst}}, at)
	return a
}

// admitAll sends requests of cost 10 for a span, and returns the cost of all that are admitted.
func admitAll(a *Allowances, from time.Time, span time.Duration) float64 {
	total := 0.0
	for at := time.Duration(0); at < span; at += time.Millisecond {
		for {
			if !a.Admit("o", 10, from.Add(at)).Admitted {
				break
			}
			total += 10
		}
	}
	return total
}

func TestAllowanceIsRateAndBurst(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	if got, want := admitAll(a, start, 8*time.Second), 8*rate+burst; got > want || got < want-20 {
		t.Errorf("got %g in 8 s, want about %g", got, want)
	}
}

func TestRequestIsAdmittedAfterWait(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(false, start)
	d := a.Admit("o", 500, start)
	if d.Admitted || d.Wait < 450*time.Millisecond || d.Wait > 550*time.Millisecond {
		t.Fatalf("got %+v, want a wait of about 500ms", d)
	}
	if !a.Admit("o", 500, start.Add(d.Wait)).Admitted {
		t.Error("got a refusal after the wait, want a pass")
	}
}

// Daemons are partitioned into groups of any sizes and get many times the allowance. Together they
// must stay within it, since each group leaves the shares of unreachable daemons unused.
func TestPartitionedDaemonsKeepToTheAllowance(t *testing.T) {
	start := time.Unix(0, 0)
	for _, groups := range [][]int{{9}, {6, 1, 1, 1}, {3, 3, 3}, {1, 1, 1, 1, 1, 1, 1, 1, 1}} {
		total := 0.0
		for _, n := range groups {
			// One bucket stands for a group, whose daemons reach each other.
			a := newAllowances(true, start)
			a.SetMembers(9, 9-n, 0, start)
			total += admitAll(a, start, 8*time.Second)
		}
		if want := 8*rate + burst; total > want*1.02 {
			t.Errorf("groups %v: got %g in 8 s, want at most %g", groups, total, want)
		}
	}
}

// What a daemon admitted while it was unreachable is covered by the share that was reserved for it,
// and must not be charged again when the daemon reports it.
func TestUnreachableTimeIsNotChargedTwice(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(false, start)
	a.SetMembers(2, 1, 0, start)
	at := start.Add(2 * time.Second)
	a.SetMembers(2, 0, 0, at)
	// The other daemon used its half of the rate while it was unreachable.
	a.ChargePeer("o", rate, 2*time.Second, at)
	if got := a.Level("o"); got < burst/2-1 {
		t.Errorf("got level %g, want at least half the burst", got)
	}
}

// While reports are missing, the admissions of other daemons are extrapolated. What they report of
// that time later must not be charged again.
func TestExtrapolatedTimeIsNotChargedTwice(t *testing.T) {
	const delay, used = 200 * time.Millisecond, 0.8 * rate
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	a.SetMembers(2, 0, delay, start)
	at := start
	for range 100 {
		at = at.Add(delay / 4)
		a.RecordReport(at)
		a.ChargePeer("o", used*(delay/4).Seconds(), 0, at)
	}
	a.Admit("o", burst, at)
	before := a.Level("o")
	at = at.Add(time.Second)
	a.Admit("o", 1, at)
	if got, most := a.Level("o"), before+0.4*rate; got > most {
		t.Errorf("got level %g after a second without reports, want %g at most", got, most)
	}
	a.RecordReport(at)
	a.ChargePeer("o", used, 0, at)
	if got, want := a.Level("o"), before+rate-used; math.Abs(got-want) > 0.1*rate {
		t.Errorf("got level %g after a report of that second, want about %g", got, want)
	}
}

func TestLowerLimitAppliesAtOnce(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	a.Configure([]registrar.Organisation{{Name: "o", Rate: 100, Burst: 100}}, start)
	if got := admitAll(a, start, 2*time.Second); got > 300 {
		t.Errorf("got %g in 2 s, want at most 300", got)
	}
}

// Requests of unequal size stay within the allowance. Small requests must not starve the large
// ones, and the limit must hold over every window.
func TestLargeRequestsWithinTheAllowancePass(t *testing.T) {
	const (
		// large is over the burst, and comes once in largeEvery requests.
		small, large, largeEvery = 0.35 * burst, 1.8 * burst, 12
		used                     = 0.55
		window                   = 8 * time.Second
		span                     = 2000 * time.Second
	)
	mean := (small*(largeEvery-1) + large) / largeEvery
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	asked, passed := 0, 0
	type admission struct {
		at   time.Duration
		cost float64
	}
	var recent []admission
	sum := 0.0
	for at := time.Duration(0); at < span; at += time.Duration(rnd.ExpFloat64() * mean / (used * rate) * float64(time.Second)) {
		cost := small
		if rnd.IntN(largeEvery) == 0 {
			cost = large
			asked++
		}
		if !a.Admit("o", cost, start.Add(at)).Admitted {
			continue
		}
		if cost == large {
			passed++
		}
		recent, sum = append(recent, admission{at, cost}), sum+cost
		for recent[0].at < at-window {
			recent, sum = recent[1:], sum-recent[0].cost
		}
		if most := window.Seconds()*rate + burst + large; sum > most {
			t.Fatalf("after %s: got %g within %s, want %g at most", at, sum, window, most)
		}
	}
	if got, want := float64(passed)/float64(asked), 0.75; got < want {
		t.Errorf("got %.2f of the large requests admitted at once, want %.2f at least", got, want)
	}
}

// A refund that another daemon reports raises the level again.
func TestRefundsOfOthersAreApplied(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	before := a.Level("o")
	a.ChargePeer("o", 400, 0, start)
	a.ChargePeer("o", -300, 0, start)
	if got, want := a.Level("o"), before-100; got != want {
		t.Errorf("got level %g, want %g", got, want)
	}
}
