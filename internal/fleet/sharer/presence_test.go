package sharer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// memberStore is the store's list of members, as one daemon read it last.
type memberStore struct {
	mu       sync.Mutex
	presence map[string]Presence
	closed   map[string]bool
}

func newMemberStore() *memberStore {
	return &memberStore{presence: make(map[string]Presence), closed: make(map[string]bool)}
}

// set sets what the list says of addresses; they are unknown before.
func (m *memberStore) set(p Presence, addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		m.presence[a] = p
	}
}

func (m *memberStore) close(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		m.closed[a] = true
	}
}

// connect makes a sharer that has not run yet use the list.
func (m *memberStore) connect(s *Sharer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Presence = func(address string, _ time.Time) Presence {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.presence[address]
	}
	s.cfg.IsClosed = func(_ context.Context, address string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.closed[address]
	}
}

func wantMembers(t *testing.T, when string, s *Sharer, wantMembers, wantUnreachable int) {
	t.Helper()
	if members, unreachable := s.CountMembers(); members != wantMembers || unreachable != wantUnreachable {
		t.Errorf("%s: got %d members of which %d are unreachable, want %d and %d", when, members, unreachable, wantMembers, wantUnreachable)
	}
}

// A daemon that started after 40 machines had been replaced counted all of them as members for 30 s, and
// so did all daemons after a restart of all: the fleet refused nearly all requests (RECOVER).
func TestNewDaemonDoesNotCountReplacedOnes(t *testing.T) {
	for _, tc := range []struct {
		name string
		gone func(m *memberStore, addresses []string)
	}{
		{"whose hosts say that nothing listens", func(m *memberStore, a []string) { m.close(a...) }},
		{"whose entries in the store have ended", func(m *memberStore, a []string) { m.set(PresenceAbsent, a...) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newTestNetwork()
				var replaced []string
				for i := range 40 {
					replaced = append(replaced, fmt.Sprint("a", 100+i))
				}
				f.cut = func(_, to string) bool { return len(to) == len("a100") }
				m := newMemberStore()
				s := f.start(ctx, 0, 1)
				m.connect(s)
				f.start(ctx, 1, 1, "a0")
				f.start(ctx, 2, 1, "a0")
				s.AddListedContacts(append(replaced, "a1", "a2")...)
				wantMembers(t, "at first", s, 43, 42)
				tc.gone(m, replaced)
				time.Sleep(10 * time.Second)
				wantMembers(t, "after 10 s", s, 3, 0)
			})
		})
	}
}

// Two regions that were cut off from each other for over 30 s forgot each other, and each admitted the
// whole allowances (QUOTA). A daemon that renews its entry in the store is alive; one of which nothing is
// known may be.
func TestLivingDaemonsAreNotForgotten(t *testing.T) {
	for _, tc := range []struct {
		name        string
		presence    Presence
		wantMembers int
	}{
		{"renews its entry", PresenceListed, 3},
		{"is not known to the store, which is unreachable", PresenceUnknown, 3},
		{"has no entry any more", PresenceAbsent, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newTestNetwork()
				all := startAll(ctx, f, 3)
				m := newMemberStore()
				m.set(tc.presence, "a2")
				m.connect(all[0])
				f.setCut(func(from, to string) bool { return from == "a2" || to == "a2" })
				time.Sleep(ForgetTime - time.Second)
				wantMembers(t, "at first", all[0], 3, 1)
				time.Sleep(time.Hour)
				wantMembers(t, "after an hour", all[0], tc.wantMembers, tc.wantMembers-2)
				if got, want := all[0].HasSilentMembers(), tc.wantMembers == 3; got != want {
					t.Errorf("got silent members %t, want %t", got, want)
				}
				f.setCut(func(string, string) bool { return false })
				time.Sleep(2 * maxRetryPeriod)
				// Both sides have forgotten each other by now if the store tells them so.
				wantMembers(t, "after the cut", all[0], 3, 0)
				wantMembers(t, "after the cut", all[2], 3, 0)
			})
		})
	}
}

// A daemon that started during a cut, and never reached another that is alive, must count it for as long
// as that one renews its entry. What ended there is dropped for good.
func TestListedAddressCountsWhileItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		f.cut = func(string, string) bool { return true }
		m := newMemberStore()
		s := f.start(ctx, 0, 1)
		m.connect(s)
		m.set(PresenceListed, "a1", "a2")
		s.AddListedContacts("a1", "a2")
		time.Sleep(time.Hour)
		wantMembers(t, "after an hour", s, 3, 2)
		m.set(PresenceAbsent, "a2")
		time.Sleep(2 * maxRecountInterval)
		wantMembers(t, "after an entry has ended", s, 2, 1)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.contacts["a2"] != nil {
			t.Error("got the address that is gone tried for ever, want it dropped")
		}
	})
}
