package dutykeeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

// testFleet is a set of keepers that share one store and one clock.
type testFleet struct {
	t       *testing.T
	now     time.Time
	store   *memorizer.Memorizer
	members []viewer.Member
	keepers []*Keeper
	duties  []string
}

func newFleet(t *testing.T, n, duties int) *testFleet {
	f := &testFleet{t: t, now: time.Unix(1000, 0)}
	f.store = memorizer.New(memorizer.Config{Now: f.clock})
	for i := range duties {
		f.duties = append(f.duties, fmt.Sprintf("duty-%d", i))
	}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		f.members = append(f.members, viewer.Member{Name: name, State: viewer.StateAlive})
		f.keepers = append(f.keepers, New(Config{
			Self: name, Store: f.store, Now: f.clock,
			Members: func() []viewer.Member { return f.members }, Duties: func() []string { return f.duties },
		}))
	}
	return f
}

func (f *testFleet) clock() time.Time { return f.now }

// advance moves the clock by d and runs the ticks of all keepers that are not paused.
func (f *testFleet) advance(d time.Duration, paused ...int) {
	skip := make(map[int]bool)
	for _, i := range paused {
		skip[i] = true
	}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		for i, k := range f.keepers {
			if !skip[i] {
				k.Tick(f.t.Context())
			}
		}
	}
}

// holders returns the indexes of the keepers that believe they hold a duty.
func (f *testFleet) holders(duty string) []int {
	var out []int
	for i, k := range f.keepers {
		if _, ok := k.HeldGrant(duty); ok {
			out = append(out, i)
		}
	}
	return out
}

func (f *testFleet) onlyHolder(duty string) (int, Grant) {
	f.t.Helper()
	h := f.holders(duty)
	if len(h) != 1 {
		f.t.Fatalf("got holders %v of %s, want one", h, duty)
	}
	g, _ := f.keepers[h[0]].HeldGrant(duty)
	return h[0], g
}

func TestDutiesSpread(t *testing.T) {
	f := newFleet(t, 9, 90)
	f.advance(2 * time.Second)
	per := make(map[int]int)
	for _, d := range f.duties {
		i, _ := f.onlyHolder(d)
		per[i]++
	}
	if len(per) != 9 {
		t.Errorf("got duties at %d daemons, want all 9: %v", len(per), per)
	}
	for i, n := range per {
		if n > 25 {
			t.Errorf("got %d of 90 duties at daemon %d, want at most 25", n, i)
		}
	}
}

// TestHolderFails lets the holder of a duty fail in several ways. Afterwards exactly one daemon
// must hold the duty, with a higher epoch.
func TestHolderFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(f *testFleet, holder int)
	}{
		{"killed and known to be gone", func(f *testFleet, holder int) {
			f.members[holder].State = viewer.StateGone
			f.advance(6*time.Second, holder)
		}},
		{"paused for longer than its lease and resumed", func(f *testFleet, holder int) {
			f.members[holder].State = viewer.StateSuspected
			f.advance(6*time.Second, holder)
			if _, ok := f.keepers[holder].HeldGrant(f.duties[0]); ok {
				f.t.Error("got a duty held after the pause, want it lost without a call to the store")
			}
			f.advance(time.Second)
		}},
		{"paused and resumed, still ranked first", func(f *testFleet, holder int) {
			f.advance(6*time.Second, holder)
			f.advance(2 * time.Second)
		}},
		{"store unreachable for longer than the lease", func(f *testFleet, _ int) {
			f.store.SetDown(true)
			f.advance(6 * time.Second)
			if h := f.holders(f.duties[0]); len(h) != 0 {
				f.t.Errorf("got holders %v without a store, want none", h)
			}
			f.store.SetDown(false)
			f.advance(2 * time.Second)
		}},
		{"answers lost while another daemon acquires the duty", func(f *testFleet, holder int) {
			f.members[holder].State = viewer.StateGone
			f.store.LoseAnswers(2)
			f.advance(12*time.Second, holder)
		}},
		{"store restored from older data", func(f *testFleet, _ int) {
			f.store.Reset()
			f.advance(6 * time.Second)
		}},
		{"planned leave", func(f *testFleet, holder int) {
			f.members[holder].State = viewer.StateLeaving
			f.advance(6 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 3, 1)
			f.advance(time.Second)
			holder, before := f.onlyHolder(f.duties[0])
			tc.fail(f, holder)
			_, after := f.onlyHolder(f.duties[0])
			if after.Epoch <= before.Epoch {
				t.Errorf("got epoch %d after %d, want it to grow", after.Epoch, before.Epoch)
			}
		})
	}
}

// The store is restored from a copy just after a daemon has begun its term, and another daemon that has not
// heard of that term takes the duty. The two must not use one fencing token, also if an earlier clock was
// ahead of both. Found by the soak of the review, seed 7027.
func TestNoTokenOfTwoHoldersAfterARestore(t *testing.T) {
	for _, tc := range []struct {
		name         string
		elapsed      time.Duration
		clockWasLate time.Duration
	}{
		{"at the same moment", 0, 0},
		{"within one second", 300 * time.Millisecond, 0},
		{"after a term whose clock was ahead", 300 * time.Millisecond, time.Hour},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 3, 1)
			f.now = f.now.Add(tc.clockWasLate)
			f.advance(time.Second)
			before, _ := f.onlyHolder(f.duties[0])
			f.now = f.now.Add(-tc.clockWasLate)
			copied := f.store.Backup()
			used := make(map[uint64]int)
			for i := range f.keepers {
				if i == before {
					continue
				}
				f.store.Restore(copied)
				h, err := f.keepers[i].acquire(t.Context(), f.duties[0], f.now)
				if err != nil {
					t.Fatal(err)
				}
				if other, ok := used[h.Epoch]; ok {
					t.Errorf("got fencing token %d at daemons %d and %d, want different ones", h.Epoch, other, i)
				}
				used[h.Epoch] = i
				f.now = f.now.Add(tc.elapsed)
			}
		})
	}
}

// TestNeverTwoHolders pauses one daemon after another for different times, also for longer than
// its lease, and marks it as suspected meanwhile. No duty may have two holders afterwards.
func TestNeverTwoHolders(t *testing.T) {
	f := newFleet(t, 3, 3)
	for round := range 60 {
		f.members[round%3].State = viewer.StateSuspected
		f.advance(time.Duration(round%7)*time.Second, round%3)
		f.members[round%3].State = viewer.StateAlive
		for _, d := range f.duties {
			if h := f.holders(d); len(h) > 1 {
				t.Fatalf("round %d: got holders %v of %s, want at most one", round, h, d)
			}
		}
	}
}

// slowStore is a store that delays each renewal.
type slowStore struct {
	storer.Store
	delay time.Duration
}

func (s slowStore) Renew(ctx context.Context, id string) error {
	time.Sleep(s.delay)
	return s.Store.Renew(ctx, id)
}

// TestSlowStore holds more duties than a keeper could renew in time one after the other, since the
// store takes 1 s for each renewal.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memorizer.New(memorizer.Config{Now: time.Now})
		var duties []string
		for i := range 12 {
			duties = append(duties, fmt.Sprintf("duty-%d", i))
		}
		k := New(Config{
			Self: "entry-0", Store: slowStore{store, time.Second}, Duties: func() []string { return duties },
			Members: func() []viewer.Member { return []viewer.Member{{Name: "entry-0", State: viewer.StateAlive}} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- k.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			for _, d := range duties {
				if _, ok := k.HeldGrant(d); !ok {
					t.Errorf("got %s lost, want it held while the store answers in 1 s", d)
				}
			}
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got error %v at the end, want none", err)
		}
	})
}

// pausedStore is a store that can be made unreachable. Its leases last five times as long as their
// holders expect, since a store that is paused does not let them expire.
type pausedStore struct {
	storer.Store
	unreachable bool
}

func (p *pausedStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	return p.Store.Grant(ctx, 5*ttl)
}

func (p *pausedStore) Renew(ctx context.Context, id string) error {
	if p.unreachable {
		return storer.ErrUnavailable
	}
	return p.Store.Renew(ctx, id)
}

func (p *pausedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if p.unreachable {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return p.Store.Get(ctx, key)
}

// The store is unreachable for longer than a lease lasts, or the holder is killed and restarts.
// The leftover lease of the daemon must not keep it from acquiring the duty again.
func TestOwnLeaseIsNoOtherHolder(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet, store *pausedStore){
		"store unreachable": func(f *testFleet, store *pausedStore) {
			store.unreachable = true
			f.advance(DefaultTTL + time.Second)
			if h := f.holders(f.duties[0]); len(h) > 0 {
				f.t.Errorf("got holders %v after the lease, want none", h)
			}
			store.unreachable = false
		},
		"daemon restarted": func(f *testFleet, _ *pausedStore) { f.keepers[0] = New(f.keepers[0].cfg) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			store := &pausedStore{Store: f.store}
			f.keepers[0].cfg.Store = store
			f.advance(time.Second)
			_, before := f.onlyHolder(f.duties[0])
			lose(f, store)
			f.advance(time.Second)
			if _, after := f.onlyHolder(f.duties[0]); after.Epoch <= before.Epoch {
				t.Errorf("got epoch %d after %d, want a later one", after.Epoch, before.Epoch)
			}
		})
	}
}

// A daemon must not revoke the lease of another one that is gone, but wait until it lapses.
func TestLeaseOfAnotherIsLeftToLapse(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.advance(time.Second)
	holder, _ := f.onlyHolder(f.duties[0])
	f.members[holder].State = viewer.StateGone
	f.advance(DefaultTTL/2, holder)
	if h := f.holders(f.duties[0]); len(h) != 1 || h[0] != holder {
		t.Errorf("got holders %v within the lease, want %d", h, holder)
	}
}

// TestIdleCalls limits the calls to the store that an idle fleet makes for its duties.
func TestIdleCalls(t *testing.T) {
	f := newFleet(t, 9, 3)
	f.advance(3 * time.Second)
	before := f.store.Calls()
	f.advance(60 * time.Second)
	after := f.store.Calls()
	writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
	t.Logf("3 duties at 9 daemons, 60 s: %d writes, %d reads", writes, reads)
	if writes > 3*60 || reads > 0 {
		t.Errorf("got %d writes and %d reads in 60 s, want at most 180 and 0", writes, reads)
	}
}
