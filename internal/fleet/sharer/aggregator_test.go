package sharer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// receivedTotals adds up the totals of other daemons that each daemon received.
type receivedTotals struct {
	mu    sync.Mutex
	spent map[string]map[string]float64
	loads map[string]map[int][]Load
}

// recordTotals records the totals that the daemons of a test network receive.
func recordTotals(f *testNetwork) *receivedTotals {
	c := &receivedTotals{spent: make(map[string]map[string]float64), loads: make(map[string]map[int][]Load)}
	f.onTotals = func(to string, totals OthersTotals) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.spent[to] == nil {
			c.spent[to] = make(map[string]float64)
		}
		for _, s := range totals.Admissions {
			c.spent[to][s.Organisation] += s.Total
		}
		if len(c.loads[to]) > totals.Fragments || c.loads[to] == nil {
			c.loads[to] = make(map[int][]Load)
		}
		c.loads[to][totals.Fragment] = totals.Loads
	}
	return c
}

func (c *receivedTotals) admittedBy(to, org string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spent[to][org]
}

func (c *receivedTotals) running(to string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, part := range c.loads[to] {
		for _, l := range part {
			n += l.Running
		}
	}
	return n
}

// Each daemon of a large fleet receives all that the others admitted exactly once, and all that
// they have in flight, without its own share.
func TestTotalsOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		c := recordTotals(f)
		var total atomic.Int64
		f.fill = func(st *Status) {
			st.Admissions = []Admissions{{Organisation: "busy", Total: float64(total.Load())}}
			for i := range 50 {
				st.Loads = append(st.Loads, Load{Endpoint: fmt.Sprintf("endpoint-%d", i), Running: 1, PromptTokens: 100})
			}
		}
		startLarge(ctx, t, f)
		// A hub that was unreachable at the start may be chosen again.
		time.Sleep(2 * hubAvoidTime)
		for range 50 {
			total.Add(1)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for i := range largeFleetSize {
			to := fmt.Sprint("a", i)
			if got, want := c.admittedBy(to, "busy"), float64(50*(largeFleetSize-1)); got != want {
				t.Errorf("daemon %s received %g admitted by others, want %g", to, got, want)
			}
			if got, want := c.running(to), 50*(largeFleetSize-1); got != want {
				t.Errorf("daemon %s received %d in flight at others, want %d", to, got, want)
			}
		}
	})
}

// What was admitted before a daemon joined must not reach it as newly admitted.
func TestTotalsBeforeJoinAreNotReportedAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		c := recordTotals(f)
		var total atomic.Int64
		f.fill = func(st *Status) {
			st.Admissions = []Admissions{{Organisation: "steady", Total: float64(total.Load())}, {Organisation: "other", Total: 9}}
		}
		startLarge(ctx, t, f)
		total.Store(7)
		time.Sleep(3 * time.Second)
		f.start(ctx, largeFleetSize, 1, "a0")
		time.Sleep(5 * time.Second)
		for _, org := range []string{"steady", "other"} {
			if got := c.admittedBy(fmt.Sprint("a", largeFleetSize), org); got != 0 {
				t.Errorf("the new daemon received %g admitted of %s, want nothing", got, org)
			}
		}
	})
}

// When a hub dies or a failure domain is cut off, nothing is counted twice, and what is admitted
// afterwards is counted once.
func TestTotalsAfterHubFailureOrPartition(t *testing.T) {
	for name, lost := range map[string]func(all []*Sharer, n int) bool{
		"a hub dies":            func(all []*Sharer, n int) bool { return hubNames(all[n : n+1])[all[n].cfg.Name] },
		"a domain is cut off":   func(_ []*Sharer, n int) bool { return n%3 == 0 },
		"a plain daemon is cut": func(_ []*Sharer, n int) bool { return n == largeFleetSize-1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newTestNetwork()
				c := recordTotals(f)
				var total atomic.Int64
				f.fill = func(st *Status) { st.Admissions = []Admissions{{Organisation: "busy", Total: float64(total.Load())}} }
				all := startLarge(ctx, t, f)
				cutOff := make(map[string]bool)
				for n := range all {
					if lost(all, n) {
						cutOff[fmt.Sprint("a", n)] = true
						if name == "a hub dies" {
							break
						}
					}
				}
				f.setCut(func(from, to string) bool { return cutOff[from] != cutOff[to] })
				time.Sleep(4 * time.Second)
				total.Add(10)
				time.Sleep(10 * time.Second)
				for n := range all {
					to := fmt.Sprint("a", n)
					peers := largeFleetSize - len(cutOff) - 1
					if cutOff[to] {
						peers = len(cutOff) - 1
					}
					if got, want := c.admittedBy(to, "busy"), float64(10*peers); got != want {
						t.Errorf("during the cut: daemon %s received %g, want %g of its side", to, got, want)
					}
				}
				f.setCut(func(string, string) bool { return false })
				time.Sleep(6 * time.Second)
				total.Add(10)
				time.Sleep(4 * time.Second)
				for n := range all {
					// What others admitted while a daemon had no hub is an estimate.
					if got, most := c.admittedBy(fmt.Sprint("a", n), "busy"), 1.02*20*(largeFleetSize-1); got > most {
						t.Errorf("after the cut: daemon a%d received %g, want %g at most", n, got, most)
					}
					if got, least := c.admittedBy(fmt.Sprint("a", n), "busy"), float64(10*(largeFleetSize-1)); got < least {
						t.Errorf("after the cut: daemon a%d received %g, want %g at least", n, got, least)
					}
				}
			})
		})
	}
}

// A daemon whose hub dies extrapolates at the last known rate until it receives the totals of
// another hub.
func TestTotalsAreExtrapolatedWithoutHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		c := recordTotals(f)
		var total atomic.Int64
		f.fill = func(st *Status) { st.Admissions = []Admissions{{Organisation: "busy", Total: float64(total.Load())}} }
		all := startLarge(ctx, t, f)
		time.Sleep(2 * hubAvoidTime)
		var dead string
		for i, s := range all {
			if hubNames(all)[s.cfg.Name] {
				dead = fmt.Sprint("a", i)
			}
		}
		admitRequests := func(n int) {
			for range n {
				total.Add(1)
				time.Sleep(200 * time.Millisecond)
			}
		}
		admitRequests(20)
		f.setCut(func(from, to string) bool { return from == dead || to == dead })
		admitRequests(40)
		time.Sleep(2 * time.Second)
		sum, want := 0.0, float64(60*(largeFleetSize-2))
		for i := range largeFleetSize {
			to := fmt.Sprint("a", i)
			if to == dead {
				continue
			}
			got := c.admittedBy(to, "busy")
			if got < 0.9*want || got > 1.1*want {
				t.Errorf("daemon %s received %g admitted by others, want about %g", to, got, want)
			}
			sum += got
		}
		// Allowances hold over the whole fleet, so the mean matters.
		if got := sum / (largeFleetSize - 1); got < 0.98*want || got > 1.02*want {
			t.Errorf("daemons received %g admitted by others on average, want %g", got, want)
		}
	})
}

// The candidates for the duty receive the reports of all other daemons, and nobody else receives
// any.
func TestReportsReachDutyCandidatesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		var mu sync.Mutex
		got := make(map[string]map[string]int)
		f.fill = func(st *Status) { st.Windows = []Window{{Number: 1, Counts: map[string]int{"o": 3}}} }
		f.onReport = func(to string, r Report) {
			mu.Lock()
			defer mu.Unlock()
			if got[to] == nil {
				got[to] = make(map[string]int)
			}
			if len(r.Windows) == 1 {
				got[to][r.Name] = r.Windows[0].Counts["o"]
			}
		}
		startLarge(ctx, t, f)
		mu.Lock()
		clear(got)
		mu.Unlock()
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(got) != dutyCandidates {
			t.Errorf("got reports at %d daemons, want %d", len(got), dutyCandidates)
		}
		for to, reports := range got {
			if len(reports) != largeFleetSize-1 {
				t.Errorf("%s has the reports of %d daemons, want %d", to, len(reports), largeFleetSize-1)
			}
			for name, n := range reports {
				if n != 3 {
					t.Errorf("%s has %d requests of %s, want 3", to, n, name)
				}
			}
		}
	})
}
