package roller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// countingStore counts the reads of a stateStore.
type countingStore struct {
	stateStore
	reads int
}

func (r *countingStore) ReadState(ctx context.Context, o Order) (State, bool, error) {
	r.reads++
	return r.stateStore.ReadState(ctx, o)
}

func newTestRoller(p Publisher, held bool) *Roller {
	return New(Config{
		Exposure: Exposure{Share: exposure}, Members: func() int { return 1 }, Announce: func() {}, AvailableReleases: func(string) []string { return []string{"v1", "v2"} }, OldestStarts: startOrder, Publisher: p,
		HoldsPublishDuty: func() bool { return held }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
}

// Only the daemon with the publishing duty reads a move's state from the store; the others get it
// from that daemon's report, so that the load on the store does not grow with the fleet.
func TestOneDaemonReadsTheStateOfAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &countingStore{stateStore: stateStore{states: make(map[string]State)}}
		holder := newTestRoller(b, true)
		all := []*Roller{holder}
		for range 50 {
			all = append(all, newTestRoller(b, false))
		}
		for _, r := range all {
			r.Apply(Order{Service: "s", Release: "v2", Within: moveDuration, Revision: 7})
		}
		for range 20 {
			for _, r := range all {
				r.Tick(t.Context())
				trials, moves := holder.LocalReport()
				r.RecordReport("holder", 1, trials, moves)
			}
			time.Sleep(tickPeriod)
		}
		if b.reads != 1 {
			t.Errorf("got %d reads of the store, want 1", b.reads)
		}
	})
}

// A daemon that starts after a release was reverted sends it no requests, even before it has read
// the state from the store.
func TestRestartedDaemonTriesNoRevertedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoller(&stateStore{states: map[string]State{"s": StateReverted}}, false)
		r.Apply(Order{Service: "s", Release: "v2", Within: moveDuration, Revision: 7})
		for i := range 1000 {
			if allowed := r.AllowedReleases("s", time.Now().String()); allowed == nil || allowed("v2") {
				t.Fatalf("request %d went to a release that was reverted", i)
			}
			r.Tick(t.Context())
			time.Sleep(10 * time.Millisecond)
		}
	})
}
