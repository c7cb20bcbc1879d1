package sharer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// packetBytes is what a datagram takes on the wire beside its body, with the
// acknowledgement that it causes.
const packetBytes = 110

// controlBytes is the bytes a second that a daemon may send for control, in the
// mean over the fleet.
const controlBytes = 26_000

// busy is what a daemon before callers tells of itself: requests at some of the
// endpoints, and sums of all organisations.
func busy(st *Status) {
	for i := range 6 {
		st.Loads = append(st.Loads, Load{Endpoint: fmt.Sprintf("i-%010d", (int(st.Clock)+i*13)%79), Running: 2, Prompt: 3000})
	}
	for i := range 19 {
		st.Spent = append(st.Spent, Spent{Organisation: fmt.Sprintf("org-%03d", i), Total: float64(i * 10000)})
	}
	for w := range 4 {
		counts := make(map[string]int)
		for i := range 12 {
			counts[fmt.Sprintf("org-%03d", i)] = i * 3
		}
		st.Windows = append(st.Windows, Window{Number: int64(w + 300_000_000), Counts: counts})
	}
	st.Demands = []Demand{{Service: "engines", Requests: 100, Prompt: 1e6, Output: 1e5}, {Service: "plain", Requests: 100}}
}

// What a daemon sends for control stays within its bound as the fleet grows. The
// bound is that of large fleets; a small one has statuses from each to each.
func TestControlBytesOfADaemon(t *testing.T) {
	for _, n := range []int{9, 65, 195, 420} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFabric()
			f.fill = busy
			for i := range n {
				f.start(ctx, i, 1, "a0", "a1", "a2")
			}
			time.Sleep(12 * time.Second)
			f.mu.Lock()
			clear(f.sent)
			f.bytes = 0
			f.mu.Unlock()
			const took = 10
			time.Sleep(took * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			sum, most := 0, 0
			for _, sent := range f.sent {
				sum += sent
				most = max(most, sent)
			}
			got := (f.bytes + sum*packetBytes) / took / n
			t.Logf("%d daemons: %d messages a second each, %d the busiest, %d bytes a second each", n, sum/took/n, most/took, got)
			if n > baseSize+1 && got > controlBytes {
				t.Errorf("%d daemons: got %d bytes a second each, want %d at most", n, got, controlBytes)
			}
		})
	}
}
