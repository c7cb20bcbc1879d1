package sharer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/fleet/ticker"
)

// largeFleetSize is a number of daemons with which statuses go through hubs.
const largeFleetSize = 60

// startLarge starts a fleet in which each daemon knows the addresses of some others, and waits
// until each daemon can reach all.
func startLarge(ctx context.Context, t *testing.T, f *testNetwork) []*Sharer {
	t.Helper()
	var all []*Sharer
	for i := range largeFleetSize {
		all = append(all, f.start(ctx, i, 1, "a0", "a1", "a2", fmt.Sprint("a", (i+7)%largeFleetSize)))
	}
	time.Sleep(5 * time.Second)
	checkReachable(t, all, largeFleetSize-1)
	return all
}

func checkReachable(t *testing.T, all []*Sharer, want int) {
	t.Helper()
	for i, s := range all {
		if got := s.reachableCount(); got != want {
			t.Errorf("daemon %d reaches %d others, want %d", i, got, want)
		}
	}
}

func hubNames(all []*Sharer) map[string]bool {
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

// A daemon that is not a hub sends a few messages per second whatever the size of the fleet, and
// a hub sends only to the daemons attached to it and to the other hubs.
func TestLargeFleetSendsThroughHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startLarge(ctx, t, f)
		f.mu.Lock()
		clear(f.sent)
		f.mu.Unlock()
		const took = 10
		time.Sleep(took * time.Second)
		checkReachable(t, all, largeFleetSize-1)
		f.mu.Lock()
		defer f.mu.Unlock()
		isHub := hubNames(all)
		if len(isHub) < 6 || len(isHub) > 12 {
			t.Errorf("got %d hubs among %d daemons, want about the square root", len(isHub), largeFleetSize)
		}
		for i, s := range all {
			most := 4
			if isHub[s.cfg.Name] {
				most = 400
			}
			if got := f.sent[fmt.Sprint("a", i)] / took; got > most {
				t.Errorf("daemon %d (hub: %t) sends %d messages per second, want at most %d", i, isHub[s.cfg.Name], got, most)
			}
		}
	})
}

// Hosts that are much smaller than others of their failure domain do not become hubs.
func TestLargestHostsAreHubs(t *testing.T) {
	var members []*Peer
	for i, size := range []float64{0.1, 0.8, 0.1, 0.5, 0.1, 0.3} {
		members = append(members, &Peer{Status: Status{Name: fmt.Sprint("d", i), Size: size}})
	}
	for _, tc := range []struct {
		n    int
		want string
	}{{1, "[d1]"}, {2, "[d1 d3]"}, {4, "[d1 d3]"}} {
		if got := fmt.Sprint(largestHosts(members, tc.n)); got != tc.want {
			t.Errorf("%d hubs wanted: got %s, want %s", tc.n, got, tc.want)
		}
	}
}

// When a hub dies, the daemons attached to it stay reachable for all others throughout.
func TestHubFailureKeepsPeersReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startLarge(ctx, t, f)
		dead := -1
		for i, s := range all {
			if hubNames(all)[s.cfg.Name] {
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
					if p.Unreachable && p.Address != addr {
						t.Fatalf("daemon %s cannot reach %s, which is alive", s.cfg.Name, p.Name)
					}
				}
			}
		}
		checkReachable(t, rest, largeFleetSize-2)
	})
}

// The daemons of a failure domain that is cut off reach one another, and all daemons reach all
// again soon after the partition ends.
func TestPartitionedDomainInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startLarge(ctx, t, f)
		inside := func(addr string) bool {
			var n int
			if _, err := fmt.Sscanf(strings.TrimPrefix(addr, "a"), "%d", &n); err != nil {
				t.Errorf("address %q: %v", addr, err)
			}
			return n%3 == 0
		}
		f.setCut(func(from, to string) bool { return inside(from) != inside(to) })
		time.Sleep(6 * time.Second)
		for i, s := range all {
			want := largeFleetSize/3 - 1
			if i%3 != 0 {
				want = largeFleetSize*2/3 - 1
			}
			if got := s.reachableCount(); got != want {
				t.Errorf("during the cut: daemon %d reaches %d others, want %d", i, got, want)
			}
		}
		f.setCut(func(string, string) bool { return false })
		time.Sleep(4 * time.Second)
		checkReachable(t, all, largeFleetSize-1)
	})
}

// A daemon that is restarted or new reaches all others, and is reachable for all, within two
// seconds, whichever address it knows at first.
func TestDaemonJoinsLargeFleet(t *testing.T) {
	for _, knows := range []string{"a0", "a33"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newTestNetwork()
			all := startLarge(ctx, t, f)
			all[4] = f.start(ctx, 4, 2, knows)
			all = append(all, f.start(ctx, largeFleetSize, 1, knows))
			time.Sleep(2 * time.Second)
			checkReachable(t, all, largeFleetSize)
		})
	}
}

// Two hubs whose link is cut each miss daemons of the other, and therefore do not select each
// other as hubs. They must reconnect after the cut.
func TestHubsReconnectAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startLarge(ctx, t, f)
		pair := make(map[string]bool)
		for i, s := range all {
			if domain := i % 3; domain < 2 && hubNames(all)[s.cfg.Name] && !pair[fmt.Sprint("z", domain)] {
				pair[fmt.Sprint("z", domain)], pair[fmt.Sprint("a", i)] = true, true
			}
		}
		f.setCut(func(from, to string) bool { return pair[from] && pair[to] })
		time.Sleep(12 * time.Second)
		f.setCut(func(string, string) bool { return false })
		time.Sleep(4 * time.Second)
		checkReachable(t, all, largeFleetSize-1)
	})
}

// A new revision of the store reaches all daemons of a large fleet within two and a half seconds,
// even if one message in ten is lost.
func TestRevisionsSpreadDespiteMessageLoss(t *testing.T) {
	const daemons = 195
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		var all []*Sharer
		for i := range daemons {
			all = append(all, f.start(ctx, i, 1, "a0", "a1", "a2"))
		}
		time.Sleep(10 * time.Second)
		rnd := rand.New(rand.NewPCG(5, 6))
		f.setCut(func(string, string) bool { return rnd.IntN(10) == 0 })
		var known atomic.Int64
		for _, s := range all {
			go func() {
				// Takes the revision from a daemon that has it, as a syncer does.
				for s.PeerAhead("part", 0) == "" {
					if !ticker.Sleep(ctx, 100*time.Millisecond) {
						return
					}
				}
				s.RecordRevision("part", 7)
				known.Add(1)
			}()
		}
		first := slices.IndexFunc(all, (*Sharer).IsHub)
		all[first].RecordStoreAnswer("part")
		all[first].RecordRevision("part", 7)
		time.Sleep(2500 * time.Millisecond)
		late := daemons - int(known.Load())
		if late > 0 {
			t.Errorf("%d of %d daemons do not know of the revision, want all to", late, daemons)
		}
	})
}
