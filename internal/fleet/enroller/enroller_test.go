package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

// fixture is a store with daemons that have entries in it.
type fixture struct {
	t     *testing.T
	store *memorizer.Memorizer
	// reachable and mayRemove are what the daemons know of others and of their duty.
	reachable []string
	mayRemove bool
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, store: memorizer.New(memorizer.Config{Now: time.Now})}
}

// start lets a daemon join, and keeps its entry until the returned function is called, as by SIGKILL.
func (f *fixture) start(name string) (e *Enroller, kill context.CancelFunc) {
	f.t.Helper()
	e = New(Config{
		Store: f.store, Name: name, Address: name + ":1", ListRead: func([]string) {}, NeedsList: func() bool { return true },
		MayRemove: func() bool { return f.mayRemove }, IsReachable: func(a string) bool { return slices.Contains(f.reachable, a) },
		Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	if err := e.Join(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(f.t.Context())
	go func() { _ = e.Run(ctx) }()
	return e, kill
}

// members returns the names of the listed daemons.
func (f *fixture) members() []string {
	f.t.Helper()
	p, err := f.store.List(f.t.Context(), KeyPrefix)
	if err != nil {
		f.t.Fatal(err)
	}
	var out []string
	for _, e := range p.Entries {
		out = append(out, e.Key[len(KeyPrefix):])
	}
	return out
}

func (f *fixture) wantMembers(when string, want ...string) {
	f.t.Helper()
	if got := f.members(); !slices.Equal(got, want) {
		f.t.Errorf("%s: got members %v, want %v", when, got, want)
	}
}

// addUnleased writes an entry as daemons of earlier versions did.
func (f *fixture) addUnleased(name string) {
	f.t.Helper()
	b, err := json.Marshal(name + ":1")
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Swap(f.t.Context(), storer.Write{Key: KeyPrefix + name, Value: b}); err != nil {
		f.t.Fatal(err)
	}
}

// The entries of 40 machines that were replaced stayed in the store for ever, and each daemon that
// started counted them all (RECOVER). Those of living daemons must stay, however long they live.
func TestEntriesOfReplacedDaemonsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.start("alive")
		for range 40 {
			_, kill := f.start("replaced-" + time.Now().Format("150405"))
			time.Sleep(time.Second)
			kill()
		}
		time.Sleep(TTL)
		f.wantMembers("after the replacements", "alive")
		time.Sleep(time.Hour)
		f.wantMembers("an hour later", "alive")
	})
}

// A living daemon whose entry is removed, for whatever reason, must write it again by itself.
func TestRemovedEntryComesBack(t *testing.T) {
	for _, tc := range []struct {
		name   string
		remove func(t *testing.T, s *memorizer.Memorizer)
	}{
		{"somebody deleted it", func(t *testing.T, s *memorizer.Memorizer) {
			e, err := s.Get(t.Context(), KeyPrefix+"a")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Swap(t.Context(), storer.Write{Key: e.Key, Expect: e.Revision, Delete: true}); err != nil {
				t.Fatal(err)
			}
		}},
		{"its lease lapsed while the store was unreachable", func(_ *testing.T, s *memorizer.Memorizer) {
			s.SetDown(true)
			time.Sleep(2 * TTL)
			s.SetDown(false)
		}},
		{"the store was restored without it", func(_ *testing.T, s *memorizer.Memorizer) {
			s.Restore(memorizer.New(memorizer.Config{Now: time.Now}).Backup())
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.start("a")
				time.Sleep(time.Second)
				tc.remove(t, f.store)
				f.wantMembers("after the removal")
				time.Sleep(2 * renewPeriod)
				f.wantMembers("later", "a")
				time.Sleep(3 * TTL)
				f.wantMembers("long after", "a")
			})
		})
	}
}

// A process that replaces one of the same name must not lose its entry when the lease of the former
// process ends, nor when that process leaves.
func TestRestartedDaemonKeepsItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		former, kill := f.start("a")
		time.Sleep(time.Second)
		f.start("a")
		former.Leave(t.Context())
		kill()
		f.wantMembers("after the former process has left", "a")
		time.Sleep(2 * TTL)
		f.wantMembers("after its lease", "a")
	})
}

func TestPlannedStopRemovesTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		a, _ := f.start("a")
		f.start("b")
		a.Leave(t.Context())
		f.wantMembers("after a has left", "b")
		time.Sleep(2 * renewPeriod)
		f.wantMembers("later", "b")
	})
}

// Who is gone must be known by evidence: by an entry that ended, not by one that nobody renews, nor while
// the store has lost the entries of living daemons too.
func TestPresence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		start := time.Now()
		time.Sleep(time.Second)
		f.addUnleased("old")
		_, kill := f.start("dead")
		f.start("alive")
		a, _ := f.start("a")
		kill()
		want := func(when, name string, want sharer.Presence) {
			t.Helper()
			if got := a.Presence(name+":1", start); got != want {
				t.Errorf("%s: got presence %d of %s, want %d", when, got, name, want)
			}
		}
		want("at the start", "dead", sharer.PresenceListed)
		want("at the start", "alive", sharer.PresenceListed)
		want("at the start", "never", sharer.PresenceAbsent)
		want("at the start", "old", sharer.PresenceUnknown)
		if got, want := a.Presence("alive:1", time.Now().Add(time.Second)), sharer.PresenceUnknown; got != want {
			t.Errorf("got presence %d by a list that is older than asked for, want %d", got, want)
		}
		time.Sleep(TTL + 2*renewPeriod)
		want("later", "dead", sharer.PresenceAbsent)
		want("later", "alive", sharer.PresenceListed)
		f.store.SetDown(true)
		time.Sleep(2 * TTL)
		want("while the store is unreachable", "alive", sharer.PresenceListed)
		f.store.SetDown(false)
		time.Sleep(2 * renewPeriod)
		want("after all leases have lapsed", "dead", sharer.PresenceUnknown)
		time.Sleep(2 * TTL)
		want("long after", "dead", sharer.PresenceAbsent)
		want("long after", "alive", sharer.PresenceListed)
	})
}

// Entries that earlier versions left behind are removed, but not those of daemons that are reached.
func TestUnleasedEntriesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.reachable = []string{"old-alive:1"}
		f.addUnleased("old-alive")
		f.addUnleased("old-gone")
		f.start("a")
		time.Sleep(3 * TTL)
		f.wantMembers("without the duty", "a", "old-alive", "old-gone")
		f.mayRemove = true
		time.Sleep(renewPeriod + time.Second)
		f.wantMembers("with the duty, at first", "a", "old-alive", "old-gone")
		time.Sleep(TTL + renewPeriod)
		f.wantMembers("after a while", "a", "old-alive")
		time.Sleep(2 * removalPeriod)
		f.wantMembers("long after", "a", "old-alive")
	})
}

func TestJoinFailsWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	f.store.SetDown(true)
	e := New(Config{Store: f.store, Name: "a", Address: "a:1", ListRead: func([]string) {}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
	if err := e.Join(t.Context()); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got error %v, want %v", err, storer.ErrUnavailable)
	}
}
