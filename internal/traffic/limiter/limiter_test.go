package limiter

import (
	"testing"
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	rate  = 1000.0
	burst = 1000.0
)

func newAllowances(full bool, at time.Time) *Allowances {
	a := NewAllowances(full)
	a.Configure([]registrar.Organisation{{Name: "o", Rate: rate, Burst: burst}}, at)
	return a
}

// passed lets requests of cost 10 through for a span, as many as pass.
func passed(a *Allowances, from time.Time, span time.Duration) float64 {
	total := 0.0
	for at := time.Duration(0); at < span; at += time.Millisecond {
		for {
			if _, ok := a.Take("o", 10, from.Add(at)); !ok {
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
	if got, want := passed(a, start, 8*time.Second), 8*rate+burst; got > want || got < want-20 {
		t.Errorf("got %g in 8 s, want about %g", got, want)
	}
}

func TestWaitTellsWhenARequestPasses(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(false, start)
	wait, ok := a.Take("o", 500, start)
	if ok || wait < 450*time.Millisecond || wait > 550*time.Millisecond {
		t.Fatalf("got wait %s (passed %t), want about 500ms", wait, ok)
	}
	if _, ok := a.Take("o", 500, start.Add(wait)); !ok {
		t.Error("got a refusal after the wait, want a pass")
	}
}

// The load is one organisation's at many times its allowance while daemons are
// cut off from one another in any grouping.
func TestCutDaemonsKeepToTheWhole(t *testing.T) {
	start := time.Unix(0, 0)
	for _, groups := range [][]int{{9}, {6, 1, 1, 1}, {3, 3, 3}, {1, 1, 1, 1, 1, 1, 1, 1, 1}} {
		total := 0.0
		for _, n := range groups {
			// One bucket stands for a group, whose daemons hear each other.
			a := newAllowances(true, start)
			a.SetMembers(9, 9-n)
			total += passed(a, start, 8*time.Second)
		}
		if want := 8*rate + burst; total > want*1.02 {
			t.Errorf("groups %v: got %g in 8 s, want at most %g", groups, total, want)
		}
	}
}

func TestSilentTimeIsNotChargedTwice(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(false, start)
	a.SetMembers(2, 1)
	at := start.Add(2 * time.Second)
	a.SetMembers(2, 0)
	// The other daemon used its half of the rate while it was not heard.
	a.Spend("o", rate, 2*time.Second, at)
	if got := a.Level("o"); got < burst/2-1 {
		t.Errorf("got level %g, want at least half the burst", got)
	}
}

func TestLowerLimitBindsAtOnce(t *testing.T) {
	start := time.Unix(0, 0)
	a := newAllowances(true, start)
	a.Configure([]registrar.Organisation{{Name: "o", Rate: 100, Burst: 100}}, start)
	if got := passed(a, start, 2*time.Second); got > 300 {
		t.Errorf("got %g in 2 s, want at most 300", got)
	}
}
