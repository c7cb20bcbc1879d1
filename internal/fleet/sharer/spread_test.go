package sharer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// maxCrashDelay is the time after which all daemons must know of a crash: the shortest time that the users
// allow between a crash and the refusal of requests like the one that caused it.
const maxCrashDelay = 3 * time.Second

// A crash that one daemon reports must reach all others in time, also where hubs pass statuses on and send
// heartbeats in place of those without news (BUDGET).
func TestCrashReachesAllDaemonsInTime(t *testing.T) {
	for _, n := range []int{9, 65, 195} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newTestNetwork()
				reporter := 100 % n
				var mu sync.Mutex
				var crashedAt time.Time
				knownAfter := make(map[string]time.Duration)
				var all []*Sharer
				for i := range n {
					name := fmt.Sprint("d", i)
					f.fill = func(st *Status) {
						mu.Lock()
						defer mu.Unlock()
						if i == reporter && !crashedAt.IsZero() {
							st.Suspicions.Crashes = []Crash{{Endpoint: "e", Born: 1, Requests: []BrokenRequest{{Blocks: []string{"a"}, Began: true}}}}
						}
					}
					f.onStatus = func(_, current *Peer) {
						mu.Lock()
						defer mu.Unlock()
						if _, ok := knownAfter[name]; !ok && len(current.Suspicions.Crashes) > 0 {
							knownAfter[name] = time.Since(crashedAt)
						}
					}
					all = append(all, f.start(ctx, i, 1, "a0", "a1", "a2"))
				}
				time.Sleep(12 * time.Second)
				mu.Lock()
				crashedAt = time.Now()
				mu.Unlock()
				all[reporter].SendNow()
				time.Sleep(2 * maxCrashDelay)
				mu.Lock()
				defer mu.Unlock()
				var last time.Duration
				for _, d := range knownAfter {
					last = max(last, d)
				}
				if len(knownAfter) != n-1 || last > maxCrashDelay {
					t.Errorf("got %d daemons that know of the crash, the last after %s, want %d after %s at most", len(knownAfter), last, n-1, maxCrashDelay)
				}
			})
		})
	}
}
