package sharer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// large is a fleet in which statuses go through hubs.
const large = 60

// startLarge starts a fleet of which each daemon knows some others, and waits
// until each hears all.
func startLarge(ctx context.Context, t *testing.T, f *fabric) []*Sharer {
	t.Helper()
	var all []*Sharer
	for i := range large {
		all = append(all, f.start(ctx, i, 1, "a0", "a1", "a2", fmt.Sprint("a", (i+7)%large)))
	}
	time.Sleep(5 * time.Second)
	wantHeard(t, all, large-1)
	return all
}

func wantHeard(t *testing.T, all []*Sharer, want int) {
	t.Helper()
	for i, s := range all {
		if got := s.heard(); got != want {
			t.Errorf("daemon %d hears %d others, want %d", i, got, want)
		}
	}
}

func hubs(all []*Sharer) map[string]bool {
	out := make(map[string]bool)
	for _, s := range all {
		s.mu.Lock()
		if s.overlay.isHub {
			out[s.cfg.Name] = true
		}
		s.mu.Unlock()
	}
	return out
}

// A daemon that is not a hub sends a few messages a second, whatever the size
// of the fleet, and a hub no more than to its own and to the other hubs.
func TestLargeFleetSendsThroughHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFabric()
		all := startLarge(ctx, t, f)
		f.mu.Lock()
		clear(f.sent)
		f.mu.Unlock()
		const took = 10
		time.Sleep(took * time.Second)
		wantHeard(t, all, large-1)
		f.mu.Lock()
		defer f.mu.Unlock()
		isHub := hubs(all)
		if len(isHub) < 6 || len(isHub) > 12 {
			t.Errorf("got %d hubs among %d daemons, want about the square root", len(isHub), large)
		}
		for i, s := range all {
			most := 4
			if isHub[s.cfg.Name] {
				most = 400
			}
			if got := f.sent[fmt.Sprint("a", i)] / took; got > most {
				t.Errorf("daemon %d (hub: %t) sends %d messages a second, want at most %d", i, isHub[s.cfg.Name], got, most)
			}
		}
	})
}

// Hosts that are much smaller than others of their failure domain carry nobody.
func TestLargestHostsAreHubs(t *testing.T) {
	var members []*Peer
	for i, size := range []float64{0.1, 0.8, 0.1, 0.5, 0.1, 0.3} {
		members = append(members, &Peer{Status: Status{Name: fmt.Sprint("d", i), Size: size}})
	}
	for _, tc := range []struct {
		n    int
		want string
	}{{1, "[d1]"}, {2, "[d1 d3]"}, {4, "[d1 d3]"}} {
		if got := fmt.Sprint(largest(members, tc.n)); got != tc.want {
			t.Errorf("%d hubs wanted: got %s, want %s", tc.n, got, tc.want)
		}
	}
}

// The daemons of a hub that dies are heard by all without a break.
func TestHubDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFabric()
		all := startLarge(ctx, t, f)
		dead := -1
		for i, s := range all {
			if hubs(all)[s.cfg.Name] {
				dead = i
			}
		}
		f.mu.Lock()
		addr := fmt.Sprint("a", dead)
		f.cut = func(from, to string) bool { return from == addr || to == addr }
		f.mu.Unlock()
		rest := append(append([]*Sharer{}, all[:dead]...), all[dead+1:]...)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			for _, s := range rest {
				for _, p := range s.Peers() {
					if p.Silent && p.Address != addr {
						t.Fatalf("daemon %s does not hear %s, which lives", s.cfg.Name, p.Name)
					}
				}
			}
		}
		wantHeard(t, rest, large-2)
	})
}

// A failure domain that is cut off hears itself, and all hear all again soon
// after the cut.
func TestDomainIsCutOffInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFabric()
		all := startLarge(ctx, t, f)
		inside := func(addr string) bool {
			var n int
			if _, err := fmt.Sscanf(strings.TrimPrefix(addr, "a"), "%d", &n); err != nil {
				t.Errorf("address %q: %v", addr, err)
			}
			return n%3 == 0
		}
		f.mu.Lock()
		f.cut = func(from, to string) bool { return inside(from) != inside(to) }
		f.mu.Unlock()
		time.Sleep(6 * time.Second)
		for i, s := range all {
			want := large/3 - 1
			if i%3 != 0 {
				want = large*2/3 - 1
			}
			if got := s.heard(); got != want {
				t.Errorf("during the cut: daemon %d hears %d others, want %d", i, got, want)
			}
		}
		f.mu.Lock()
		f.cut = func(string, string) bool { return false }
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		wantHeard(t, all, large-1)
	})
}

// A daemon that is restarted, or new, hears all and is heard by all within two
// seconds, whomever it knows at first.
func TestDaemonJoinsLargeFleet(t *testing.T) {
	for _, knows := range []string{"a0", "a33"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFabric()
			all := startLarge(ctx, t, f)
			all[4] = f.start(ctx, 4, 2, knows)
			all = append(all, f.start(ctx, large, 1, knows))
			time.Sleep(2 * time.Second)
			wantHeard(t, all, large)
		})
	}
}

// Sums that change seldom are left out of most statuses, and known all the same.
func TestSumsAreKnownInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFabric()
		var total atomic.Int64
		f.fill = func(st *Status) {
			st.Spent = []Spent{{Organisation: "steady", Total: 7}, {Organisation: "busy", Total: float64(total.Load())}}
		}
		all := startLarge(ctx, t, f)
		last := all[large-1]
		for range 50 {
			total.Add(1)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, s := range all[:large-1] {
			got := make(map[string]float64)
			for _, p := range s.Peers() {
				if p.Name == last.cfg.Name {
					for _, sum := range p.Spent {
						got[sum.Organisation] = sum.Total
					}
				}
			}
			if got["steady"] != 7 || got["busy"] != 50 {
				t.Errorf("daemon %s knows %v, want steady 7 and busy 50", s.cfg.Name, got)
			}
		}
	})
}

// A daemon that joins late knows all sums of another from the first status on;
// a sum that came later would look as if it had just been spent.
func TestFirstStatusHasAllSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFabric()
		f.fill = func(st *Status) {
			st.Spent = []Spent{{Organisation: "steady", Total: 7}, {Organisation: "other", Total: 9}}
		}
		startLarge(ctx, t, f)
		var mu sync.Mutex
		first := make(map[string]int)
		f.heard = func(old, current *Peer) {
			mu.Lock()
			defer mu.Unlock()
			if old == nil {
				first[current.Name] = len(current.Spent)
			}
		}
		f.start(ctx, large, 1, "a0")
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for name, got := range first {
			if got != 2 {
				t.Errorf("the first status of %s that the new daemon heard has %d sums, want 2", name, got)
			}
		}
		if len(first) < large {
			t.Errorf("the new daemon heard %d others, want %d", len(first), large)
		}
	})
}
