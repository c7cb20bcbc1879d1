// Package memorizer is an in-memory implementation of storer.Store for tests within
// one process. It uses the clock of the test.
package memorizer

import (
	"cmp"
	"context"
	"fmt"
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
	cfg             Config
	mu              sync.Mutex
	revision        uint64
	entries         map[string]storer.Entry
	leases          map[string]lease
	lastLeaseNumber int
	unavailable     bool
	answersToLose   int
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
	return e, nil
}

// Swap implements storer.Store.
func (m *Memorizer) Swap(_ context.Context, w storer.Write) (storer.Entry, error) {
	err := m.beginCall(&m.calls.Writes)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Entry{}, fmt.Errorf("swap %q: %w: %w", w.Key, storer.ErrUnknownResult, err)
	}
	if _, ok := m.leases[w.Lease]; !ok && w.Lease != "" {
		return storer.Entry{}, fmt.Errorf("swap %q: %w", w.Key, storer.ErrLeaseLapsed)
	}
	if e := m.entries[w.Key]; e.Revision != w.Expect {
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
	return e, nil
}

// List implements storer.Store.
func (m *Memorizer) List(_ context.Context, prefix string) (storer.Page, error) {
	err := m.beginCall(&m.calls.Reads)
	defer m.mu.Unlock()
	if err != nil {
		return storer.Page{}, err
	}
	p := storer.Page{Revision: m.revision}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			p.Entries = append(p.Entries, e)
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
