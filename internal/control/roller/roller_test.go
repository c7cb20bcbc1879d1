package roller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	within   = 12 * time.Second
	exposure = 0.1
	// perTick is the requests that each daemon serves between two ticks.
	perTick = 10
	tick    = 200 * time.Millisecond
)

// board is where the states of moves are published.
type board struct {
	state map[string]State
	down  bool
}

var errDown = errors.New("store is away")

func (b *board) Publish(_ context.Context, o Order, s State) error {
	if b.down {
		return errDown
	}
	b.state[o.Service] = s
	return nil
}

func (b *board) Published(_ context.Context, o Order) (State, bool, error) {
	if b.down {
		return StateActive, false, errDown
	}
	s, ok := b.state[o.Service]
	return s, ok, nil
}

// fleet is three daemons that tell each other what they count.
type fleet struct {
	all   []*Roller
	board *board
	// fresh and total count the requests at the new release and in all.
	fresh, total, n int
}

func newFleet() *fleet {
	f := &fleet{board: &board{state: make(map[string]State)}}
	for i := range 3 {
		f.all = append(f.all, New(Config{
			Exposure: exposure, Endpoints: func(string) []string { return []string{"v1", "v2"} }, Publisher: f.board,
			Held: func() bool { return i == 0 }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
		}))
	}
	return f
}

func (f *fleet) order() {
	for _, r := range f.all {
		r.Apply(Order{Service: "s", Release: "v2", Within: within, Revision: 7})
	}
}

// step serves some requests at each daemon; bad says whether an answer fails.
func (f *fleet) step(ctx context.Context, bad func(release string, n int) bool) {
	for i, r := range f.all {
		for range perTick {
			f.n++
			release := "v1"
			if allowed := r.AllowedReleases("s", fmt.Sprint("request-", f.n)); allowed != nil && allowed("v2") {
				release = "v2"
				f.fresh++
			}
			f.total++
			r.RecordSent("s", release)
			r.RecordAnswer("s", release, !bad(release, f.n), false)
		}
		trials, moves := r.Shared()
		for j, other := range f.all {
			if j != i {
				other.Hear(fmt.Sprint(i), trials, moves)
			}
		}
	}
	for _, r := range f.all {
		r.Tick(ctx)
	}
	time.Sleep(tick)
}

func TestMoves(t *testing.T) {
	never := func(string, int) bool { return false }
	faulty := func(release string, n int) bool { return release == "v2" && n%3 == 0 }
	for _, tc := range []struct {
		name string
		bad  func(release string, n int) bool
		down bool
		want State
	}{
		{"a good release", never, false, StateDone},
		{"a release that fails a third", faulty, false, StateReverted},
		{"both releases fail alike", func(_ string, n int) bool { return n%5 == 0 }, false, StateDone},
		{"a bad release while the store is away", faulty, true, StateReverted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.order()
				f.board.down = tc.down
				for start := time.Now(); time.Since(start) < within; {
					f.step(t.Context(), tc.bad)
				}
				f.board.down = false
				f.step(t.Context(), tc.bad)
				if got := f.board.state["s"]; got != tc.want {
					t.Errorf("got state %s, want %s", got, tc.want)
				}
				if limit := int(exposure * float64(f.total)); tc.want == StateReverted && f.fresh > limit {
					t.Errorf("got %d of %d requests at the bad release, want %d at most", f.fresh, f.total, limit)
				}
			})
		})
	}
}

func TestEndedMoveStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.board.state["s"] = StateReverted
		f.order()
		f.step(t.Context(), func(string, int) bool { return false })
		before := f.fresh
		for range 50 {
			f.step(t.Context(), func(string, int) bool { return false })
		}
		if f.fresh != before || f.board.state["s"] != StateReverted {
			t.Errorf("got %d requests at the release taken back and state %s, want none", f.fresh-before, f.board.state["s"])
		}
	})
}

func TestNoMoveAllowsAll(t *testing.T) {
	if f := newFleet(); f.all[0].AllowedReleases("s", "a") != nil {
		t.Error("got a restriction without a move, want none")
	}
}
