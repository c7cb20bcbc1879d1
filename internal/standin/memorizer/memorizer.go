// Package memorizer is an in-memory implementation of storer.Store for tests within
// one process. It uses the clock of the test.
package memorizer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelotiller/internal/remote/storer"
)

// Config configures a Memorizer.
type Config struct {
	// Now returns the current time, by which leases lapse.
	Now func() time.Time
}

// Calls counts the calls of a Memorizer by kind.
type Calls struct {
	Reads, Writes int
}

// Memorizer is a key-value store in memory; it implements storer.Store. All methods are
// safe for concurrent use.
type Memorizer struct {
	cfg Config
	mu  sync.Mutex
	// era is the number of restores so far; revision is the latest one within it.
	era             uint64
	revision        uint64
	entries         map[string]storer.Entry
	leases          map[string]lease
	lastLeaseNumber int
	unavailable     bool
	answersToLose   int
	beforeSwap      func(storer.Write)
	calls           Calls
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ storer.Store = (*Memorizer)(nil)

// New returns an empty store.
func New(cfg Config) *Memorizer {
	return &Memorizer{cfg: cfg, entries: make(map[string]storer.Entry), leases: make(map[string]lease)}
}

// SetDown sets whether all calls fail with storer.ErrUnavailable.
func (m *Memorizer) SetDown(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

// LoseAnswers makes the next n writes take effect and return storer.ErrUnknownResult
// nevertheless, as if the answer had been lost.
func (m *Memorizer) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// Reset removes all entries and leases, like a service that is restored from an old
// backup.
func (m *Memorizer) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.entries)
	clear(m.leases)
}

// Backup is a copy of the entries of a Memorizer.
type Backup struct {
	revision uint64
	entries  map[string]storer.Entry
}

// Backup returns a copy for a later Restore.
func (m *Memorizer) Backup() Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Backup{m.revision, maps.Clone(m.entries)}
}

// Restore begins a new era with the entries of a backup and no leases. The revisions after the backup are
// given out again.
func (m *Memorizer) Restore(b Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.entries = b.revision, maps.Clone(b.entries)
	clear(m.leases)
	maps.DeleteFunc(m.entries, func(_ string, e storer.Entry) bool { return e.Lease != "" })
}

// BeforeSwap sets a function that is called before each write takes effect, for instance to restore the
// store meanwhile. The function may be nil and may call the Memorizer.
func (m *Memorizer) BeforeSwap(f func(storer.Write)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beforeSwap = f
}

// inEra returns an entry as a caller sees it in the current era. The caller must hold m.mu.
func (m *Memorizer) inEra(e storer.Entry) storer.Entry {
	if e.Revision > 0 {
		e.Revision = storer.JoinEra(m.era, e.Revision)
	}
	return e
}

// Calls returns the calls counted so far.
func (m *Memorizer) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// beginCall locks m.mu for one call, counts the call and removes lapsed leases. The
// caller must unlock m.mu, also after an error.
func (m *Memorizer) beginCall(count *int) error {
	m.mu.Lock()
	*count++
	if m.unavailable {
		return storer.ErrUnavailable
	}
	now := m.cfg.Now()
	for id, l := range m.leases {
		if now.After(l.expiresAt) {
			m.dropLease(id)
		}
	}
	return nil
}

// dropLease removes a lease and its entries. The caller must hold m.mu.
func (m *Memorizer) dropLease(id string) {
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.revision++
			delete(m.entries, key)
		}
	}
}

// Get implements storer.Store.
func (m *Memorizer) Get(_ context.Context, key string) (storer.Entry, error) {
	err := m.beginCall(&m.calls.Reads)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Entry{}, err
	}
	e, ok := m.entries[key]
	if !ok {
		return storer.Entry{}, fmt.Errorf("get %q: %w", key, storer.ErrNotFound)
	}
	return m.inEra(e), nil
}

// Swap implements storer.Store.
func (m *Memorizer) Swap(_ context.Context, w storer.Write) (storer.Entry, error) {
	m.mu.Lock()
	before := m.beforeSwap
	m.mu.Unlock()
	if before != nil {
		before(w)
	}
	err := m.beginCall(&m.calls.Writes)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Entry{}, fmt.Errorf("swap %q: %w: %w", w.Key, storer.ErrUnknownResult, err)
	}
	if _, ok := m.leases[w.Lease]; !ok && w.Lease != "" {
		return storer.Entry{}, fmt.Errorf("swap %q: %w", w.Key, storer.ErrLeaseLapsed)
	}
	if e := m.inEra(m.entries[w.Key]); e.Revision != w.Expect {
		return storer.Entry{}, &storer.ConflictError{Key: w.Key, Expect: w.Expect, Current: e}
	}
	m.revision++
	e := storer.Entry{Key: w.Key, Value: w.Value, Revision: m.revision, Write: w.ID, Lease: w.Lease}
	m.entries[w.Key] = e
	if w.Delete {
		delete(m.entries, w.Key)
	}
	if m.answersToLose > 0 {
		m.answersToLose--
		return storer.Entry{}, fmt.Errorf("swap %q: %w", w.Key, storer.ErrUnknownResult)
	}
	return m.inEra(e), nil
}

// List implements storer.Store.
func (m *Memorizer) List(_ context.Context, prefix string) (storer.Page, error) {
	err := m.beginCall(&m.calls.Reads)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Page{}, err
	}
	p := storer.Page{Revision: storer.JoinEra(m.era, m.revision)}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			p.Entries = append(p.Entries, m.inEra(e))
		}
	}
	slices.SortFunc(p.Entries, func(a, b storer.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return p, nil
}

// Watch implements storer.Store. It returns without waiting for a change.
func (m *Memorizer) Watch(ctx context.Context, prefix string, from uint64) (storer.Page, error) {
	p, err := m.List(ctx, prefix)
	p.Entries = slices.DeleteFunc(p.Entries, func(e storer.Entry) bool { return e.Revision <= from })
	return p, err
}

// Grant implements storer.Store.
func (m *Memorizer) Grant(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	err := m.beginCall(&m.calls.Writes)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Lease{}, err
	}
	m.lastLeaseNumber++
	id := fmt.Sprintf("lease-%d", m.lastLeaseNumber)
	m.leases[id] = lease{ttl: ttl, expiresAt: m.cfg.Now().Add(ttl)}
	return storer.Lease{ID: id, TTL: ttl}, nil
}

// Renew implements storer.Store.
func (m *Memorizer) Renew(_ context.Context, id string) error {
	err := m.beginCall(&m.calls.Writes)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	l, ok := m.leases[id]
	if !ok {
		return fmt.Errorf("renew %q: %w", id, storer.ErrLeaseLapsed)
	}
	l.expiresAt = m.cfg.Now().Add(l.ttl)
	m.leases[id] = l
	return nil
}

// Revoke implements storer.Store.
func (m *Memorizer) Revoke(_ context.Context, id string) error {
	err := m.beginCall(&m.calls.Writes)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.dropLease(id)
	return nil
}
