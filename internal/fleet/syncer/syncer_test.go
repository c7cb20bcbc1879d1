package syncer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/remote/storer"
)

// store is a fake store. Its history can be compacted, and it can be unreachable.
type store struct {
	storer.Store
	mu              sync.Mutex
	page            storer.Page
	history         []storer.Entry
	compactRevision uint64
	unreachable     bool
	era             uint64
	// listCalls counts the calls of List.
	listCalls int
}

func (s *store) put(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page.Revision = storer.JoinEra(s.era, storer.RevisionInEra(s.page.Revision)+1)
	e := storer.Entry{Key: key, Value: []byte(value), Revision: s.page.Revision, Deleted: deleted}
	s.history = append(s.history, e)
	var kept []storer.Entry
	for _, old := range s.page.Entries {
		if old.Key != key {
			kept = append(kept, old)
		}
	}
	if !deleted {
		kept = append(kept, e)
	}
	s.page.Entries = kept
}

// backup returns a copy of the store's content to restore later.
func (s *store) backup() storer.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storer.Page{Entries: append([]storer.Entry(nil), s.page.Entries...), Revision: s.page.Revision}
}

// restore replaces the store's content by a backup and starts a new era.
func (s *store) restore(p storer.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for i := range p.Entries {
		p.Entries[i].Revision = storer.JoinEra(s.era, storer.RevisionInEra(p.Entries[i].Revision))
	}
	p.Revision = storer.JoinEra(s.era, storer.RevisionInEra(p.Revision))
	s.page, s.history = p, nil
}

func (s *store) List(context.Context, string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.unreachable {
		return storer.Page{}, storer.ErrUnavailable
	}
	return storer.Page{Entries: append([]storer.Entry(nil), s.page.Entries...), Revision: s.page.Revision}, nil
}

// listCallCount returns how often List was called.
func (s *store) listCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

func (s *store) Watch(ctx context.Context, _ string, from uint64) (storer.Page, error) {
	select {
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return storer.Page{}, storer.ErrUnavailable
	}
	if from < s.compactRevision || storer.EraOf(from) != s.era {
		return storer.Page{}, storer.ErrCompacted
	}
	p := storer.Page{Revision: s.page.Revision}
	for _, e := range s.history {
		if e.Revision > from {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, nil
}

// peers is a fake Peers with at most one other daemon.
type peers struct {
	other      *Syncer
	isFollower bool
}

func (p *peers) PeerAhead(_ string, revision uint64) string {
	if p.other != nil && p.other.knownRevision() > revision {
		return "other"
	}
	return ""
}

func (p *peers) Call(ctx context.Context, _, kind string, body []byte) ([]byte, error) {
	if kind != p.other.PullKind() {
		return nil, errors.New("unknown kind")
	}
	return p.other.ServePull(ctx, body)
}
func (p *peers) RecordRevision(string, uint64)                 {}
func (p *peers) RecordStoreAnswer(string)                      {}
func (p *peers) IsStoreFollower(string, time.Duration) bool    { return p.isFollower }
func (p *peers) HasStoreAnswer(_ string, _ time.Duration) bool { return p.other != nil }

// replica is a running Syncer with the entries that it applied.
type replica struct {
	*Syncer
	mu              sync.Mutex
	entries         map[string]string
	lastUnreachable time.Time
}

func newReplica(ctx context.Context, st storer.Store, p *peers) *replica {
	return newWaitingReplica(ctx, st, p, 0)
}

func newWaitingReplica(ctx context.Context, st storer.Store, p *peers, patience time.Duration) *replica {
	c := &replica{entries: make(map[string]string)}
	c.Syncer = New(Config{
		Store: st, Prefix: "part/", Peers: p, MaxAnswerAge: time.Second, PeerWait: patience, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
		Apply: func(changed []storer.Entry, lastUnreachable time.Time) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lastUnreachable = lastUnreachable
			for _, e := range changed {
				if e.Deleted {
					delete(c.entries, e.Key)
				} else {
					c.entries[e.Key] = string(e.Value)
				}
			}
		},
	})
	go func() { _ = c.Run(ctx) }()
	go func() { _ = c.RunPull(ctx) }()
	return c
}

func (c *replica) value(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[key]
}

// runWithReplica runs f in a synctest bubble with a store and a daemon that watches it.
func runWithReplica(t *testing.T, f func(ctx context.Context, st *store, c *replica)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		st := &store{}
		st.put("a", "1", false)
		c := newReplica(ctx, st, &peers{isFollower: true})
		time.Sleep(time.Second)
		f(ctx, st, c)
	})
}

func TestFollowsTheStore(t *testing.T) {
	runWithReplica(t, func(_ context.Context, st *store, c *replica) {
		st.put("a", "2", false)
		st.put("b", "1", false)
		time.Sleep(time.Second)
		if c.value("a") != "2" || c.value("b") != "1" {
			t.Errorf("got %v, want both changes", c.entries)
		}
		st.put("b", "", true)
		time.Sleep(time.Second)
		if c.value("b") != "" {
			t.Errorf("got %v, want b deleted", c.entries)
		}
	})
}

// A daemon that says that it is ready while its first entries are still being applied refuses its callers. The
// replica must not count as loaded before Apply has returned.
func TestNotLoadedBeforeTheEntriesAreApplied(t *testing.T) {
	st := &store{}
	st.put("part/a", "1", false)
	var s *Syncer
	var during []bool
	s = New(Config{
		Store: st, Prefix: "part/", Peers: &peers{}, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger(),
		Apply: func([]storer.Entry, time.Time) { during = append(during, s.IsLoaded()) },
	})
	s.merge(st.backup(), true)
	if len(during) != 1 || during[0] || !s.IsLoaded() {
		t.Errorf("got loaded %v while the entries were applied and %t afterwards, want false and true", during, s.IsLoaded())
	}
}

func TestListsAgainAfterCompaction(t *testing.T) {
	runWithReplica(t, func(_ context.Context, st *store, c *replica) {
		st.mu.Lock()
		st.unreachable = true
		st.mu.Unlock()
		st.put("a", "", true)
		st.put("b", "1", false)
		st.mu.Lock()
		st.history, st.compactRevision, st.unreachable = nil, st.page.Revision, false
		st.mu.Unlock()
		time.Sleep(2 * time.Second)
		if c.value("a") != "" || c.value("b") != "1" {
			t.Errorf("got %v, want only b", c.entries)
		}
	})
}

func TestStoreThatRefusesOneDaemon(t *testing.T) {
	runWithReplica(t, func(ctx context.Context, st *store, healthy *replica) {
		refused := newReplica(ctx, &store{unreachable: true}, &peers{other: healthy.Syncer, isFollower: true})
		time.Sleep(time.Second)
		st.put("a", "3", false)
		time.Sleep(time.Second)
		if refused.value("a") != "3" {
			t.Errorf("got %v at the daemon that the store does not answer, want the change", refused.entries)
		}
		if !refused.lastUnreachable.IsZero() {
			t.Error("the store counts as unreachable though it answers another daemon")
		}
	})
}

func TestPullsWithoutWatching(t *testing.T) {
	runWithReplica(t, func(ctx context.Context, st *store, healthy *replica) {
		other := newReplica(ctx, st, &peers{other: healthy.Syncer})
		time.Sleep(time.Second)
		st.put("a", "4", false)
		time.Sleep(500 * time.Millisecond)
		if other.value("a") != "4" {
			t.Errorf("got %v, want the change", other.entries)
		}
	})
}

func TestIncompleteReplicaHasNoAnswer(t *testing.T) {
	b, err := cbor.Marshal(uint64(0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{}).ServePull(t.Context(), b); err == nil {
		t.Error("got an answer from an incomplete replica, want an error")
	}
}

// Many daemons that start at once must pull from the one with a replica, while a daemon
// without a peer must list the store itself.
func TestDaemonsThatStartAtOnceListOnce(t *testing.T) {
	runWithReplica(t, func(ctx context.Context, st *store, c *replica) {
		for range 50 {
			newWaitingReplica(ctx, st, &peers{other: c.Syncer}, time.Second)
		}
		time.Sleep(2 * time.Second)
		if got, want := st.listCallCount(), 1; got != want {
			t.Errorf("got %d list calls to the store, want %d", got, want)
		}
		alone := newWaitingReplica(ctx, st, &peers{isFollower: true}, time.Second)
		time.Sleep(1500 * time.Millisecond)
		if !alone.IsLoaded() {
			t.Error("a daemon without a peer has no complete replica, want one")
		}
	})
}

// A daemon pulls from one that started after an entry was deleted. The answer has no record of
// the deletion, so it must be complete for the first daemon to notice it.
func TestDeletedBeforePeerStarted(t *testing.T) {
	runWithReplica(t, func(ctx context.Context, st *store, _ *replica) {
		st.put("b", "1", false)
		known, err := st.List(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		others := &peers{}
		follower := New(Config{Peers: others, Prefix: "part/", Apply: func([]storer.Entry, time.Time) {}, Registry: metrics.NewRegistry()})
		follower.merge(known, true)
		st.put("b", "", true)
		st.put("c", "1", false)
		others.other = newReplica(ctx, st, &peers{isFollower: true}).Syncer
		time.Sleep(time.Second)
		follower.pullFromPeer(ctx)
		if got := follower.entries["c"]; string(got.Value) != "1" {
			t.Errorf("got %+v for the new entry, want value 1", got)
		}
		if got := follower.entries["b"]; !got.Deleted {
			t.Errorf("got %+v for the deleted entry, want it deleted", got)
		}
	})
}
