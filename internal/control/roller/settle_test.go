package roller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// reads counts the calls to a board.
type reads struct {
	board
	n int
}

func (r *reads) Published(ctx context.Context, o Order) (State, bool, error) {
	r.n++
	return r.board.Published(ctx, o)
}

func member(p Publisher, held bool) *Roller {
	return New(Config{
		Exposure: exposure, Endpoints: func(string) []string { return []string{"v1", "v2"} }, Publisher: p,
		Held: func() bool { return held }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
}

// Of a large fleet one daemon reads what the store says of a move, and tells the
// others.
func TestOneDaemonReadsTheStateOfAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &reads{board: board{state: make(map[string]State)}}
		holder := member(b, true)
		all := []*Roller{holder}
		for range 50 {
			all = append(all, member(b, false))
		}
		for _, r := range all {
			r.Apply(Order{Service: "s", Release: "v2", Within: within, Revision: 7})
		}
		for range 20 {
			for _, r := range all {
				r.Tick(t.Context())
				trials, moves := holder.Shared()
				r.Hear("holder", trials, moves)
			}
			time.Sleep(tick)
		}
		if b.n != 1 {
			t.Errorf("got %d reads of the store, want 1", b.n)
		}
	})
}

// A daemon that starts after a release was taken back sends it nothing, also
// before it knows.
func TestRestartedDaemonTriesNoRevertedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := member(&board{state: map[string]State{"s": StateReverted}}, false)
		r.Apply(Order{Service: "s", Release: "v2", Within: within, Revision: 7})
		for i := range 1000 {
			if allowed := r.AllowedReleases("s", time.Now().String()); allowed == nil || allowed("v2") {
				t.Fatalf("request %d went to a release that was taken back", i)
			}
			r.Tick(t.Context())
			time.Sleep(10 * time.Millisecond)
		}
	})
}
