package throttler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// fleets are the sizes of fleet for which a limit is checked, with the time between statuses and the number
// of seeds.
var fleets = []struct {
	daemons      int
	statusPeriod time.Duration
	seeds        uint64
}{{1, 100 * time.Millisecond, 5}, {9, 100 * time.Millisecond, 10}, {82, 300 * time.Millisecond, 2}, {195, 700 * time.Millisecond, 1}, {420, time.Second, 1}}

// forEachFleet runs a play for each size of fleet and seed in virtual time.
func forEachFleet(t *testing.T, play func(t *testing.T, seed uint64, f *simulatedFleet)) {
	t.Helper()
	for _, size := range fleets {
		t.Run(fmt.Sprint(size.daemons, " daemons"), func(t *testing.T) {
			for seed := range size.seeds {
				synctest.Test(t, func(t *testing.T) { play(t, seed, newSimulatedFleet(seed, size.daemons, size.statusPeriod)) })
			}
		})
	}
}

// A limit that an endpoint names for all daemons together holds however many there are, also if it is smaller
// than one request for each, and counts what the endpoint got just before (LIMIT).
func TestLimitHoldsForAllDaemons(t *testing.T) {
	for _, limit := range []float64{1.2, 1.9, 2.2, 4} {
		t.Run(fmt.Sprint(limit, " a second"), func(t *testing.T) {
			forEachFleet(t, func(t *testing.T, seed uint64, f *simulatedFleet) {
				f.run(4*time.Second, nil)
				f.limit = limit
				f.run(20*time.Second, nil)
				f.check(t, seed, limit)
			})
		})
	}
}

// The same for very small and for large limits, named to the first request.
func TestUnusualLimits(t *testing.T) {
	for _, tc := range []struct{ limit, demand float64 }{{0, 6}, {0.01, 6}, {0.5, 6}, {40, 100}, {200, 500}, {1e300, 50}} {
		t.Run(fmt.Sprint(tc.limit, " a second"), func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(seed, 9, 100*time.Millisecond)
					f.limit, f.demand = tc.limit, tc.demand
					f.run(20*time.Second, nil)
					f.check(t, seed, min(tc.limit, 1e6))
				})
			}
		})
	}
}

// A network partition must not double the rate: each side keeps to the part of its own senders.
func TestLimitHoldsInPartition(t *testing.T) {
	const limit = 1.9
	forEachFleet(t, func(t *testing.T, seed uint64, f *simulatedFleet) {
		cut := false
		f.isCut = func(i, j int) bool { return cut && (i%3 == 0) != (j%3 == 0) }
		f.limit = limit
		f.run(20*time.Second, func(age time.Duration) { cut = age > 5*time.Second && age < 15*time.Second })
		f.check(t, seed, limit)
	})
}

// Daemons that restart know no limit, and some do not know all others; the limit holds all the same.
func TestLimitHoldsWhileMembersChange(t *testing.T) {
	const limit = 1.9
	forEachFleet(t, func(t *testing.T, seed uint64, f *simulatedFleet) {
		if len(f.daemons) == 1 {
			return
		}
		f.hides = func(i, j int) bool { return i%4 == 1 && j%5 == 2 && i != j }
		f.limit = limit
		next := 5 * time.Second
		f.run(25*time.Second, func(age time.Duration) {
			if age >= next {
				f.start(f.rng.IntN(len(f.daemons)))
				next += 2 * time.Second
			}
		})
		f.check(t, seed, limit)
	})
}

// Once an endpoint names no limit any more, or is replaced, all daemons send to it again.
func TestLimitEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(f *simulatedFleet)
	}{
		{"no longer named", func(f *simulatedFleet) { f.limit = -1 }},
		{"replaced", func(f *simulatedFleet) { f.limit, f.born = -1, 7 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			forEachFleet(t, func(t *testing.T, seed uint64, f *simulatedFleet) {
				f.limit = 1
				f.run(10*time.Second, nil)
				tc.end(f)
				f.run(10*time.Second, nil)
				f.refused = 0
				f.run(5*time.Second, nil)
				if f.refused > 0 {
					t.Errorf("seed %d: got %d requests kept back 10 s after the end, want none", seed, f.refused)
				}
			})
		})
	}
}

// A limit that changes holds at its new value, up and down.
func TestLimitChanges(t *testing.T) {
	forEachFleet(t, func(t *testing.T, seed uint64, f *simulatedFleet) {
		f.limit = 4
		f.run(15*time.Second, nil)
		f.limit = 1
		f.run(10*time.Second, nil)
		f.arrivals, f.namedAt = nil, time.Now().Add(-contact)
		f.run(10*time.Second, nil)
		f.check(t, seed, 1)
	})
}

// An answer to a request from before the limit was named says nothing of its end, nor does the late report
// of another daemon.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, 1, time.Second)
		d, sentAt := f.daemons[0], time.Now()
		time.Sleep(100 * time.Millisecond)
		d.RecordLimit("e", 0, 1)
		d.RecordNoLimit("e", 0, sentAt)
		d.RecordReport([]sharer.RequestLimit{{Endpoint: "e", Ended: true}}, time.Now().Add(maxReportDelay))
		if d.Wait("e", 0) == 0 {
			t.Error("got no wait, want the limit in force")
		}
		time.Sleep(time.Millisecond)
		d.RecordNoLimit("e", 0, time.Now())
		if got := d.Wait("e", 0); got != 0 {
			t.Errorf("got a wait of %s after the end, want none", got)
		}
	})
}

// A daemon that has not joined the fleet, or is about to leave it, sends nothing to a limited endpoint, and
// refused requests learn how soon the endpoint takes another one.
func TestNoMemberIsNoSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, 2, time.Second)
		f.hides = func(i, j int) bool { return i == j }
		f.daemons[0].RecordLimit("e", 0, 4)
		time.Sleep(10 * time.Second)
		if got, want := f.daemons[0].Wait("e", 0), 250*time.Millisecond; got != want {
			t.Errorf("got a wait of %s, want %s", got, want)
		}
	})
}

// Limits of endpoints that are gone are dropped, but not at once: the list of endpoints may lapse while the
// store is down.
func TestRetain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(1, 1, time.Second)
		d := f.daemons[0]
		d.RecordLimit("e", 0, 1)
		none := func(string, int64) bool { return false }
		d.Retain(none)
		if d.Wait("e", 0) == 0 {
			t.Error("got the limit dropped at once, want it kept")
		}
		time.Sleep(2 * limitMemory)
		d.Retain(none)
		if d.Wait("e", 0) != 0 || d.known.Load() != 0 {
			t.Error("got the limit kept, want it dropped")
		}
	})
}
