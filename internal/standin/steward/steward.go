// Package steward simulates the users' platform for tests: its key-value store and its
// API for usage reports and scale orders, over the platform's own HTTP protocol. Tests
// inject faults into the store.
package steward

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is the JSON form of one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Fault is a kind of fault of the store.
type Fault int

const (
	// FaultNone serves every call correctly.
	FaultNone Fault = iota
	// FaultBusy refuses every call with 503.
	FaultBusy
	// FaultNoAnswer never answers and does not execute the calls.
	FaultNoAnswer
	// FaultLoseAnswer executes each call and closes the connection without an answer.
	FaultLoseAnswer
)

// Report is one usage report that the platform accepted.
type Report struct {
	Holder string
	Fence  uint64
	Window int64          `json:"window_id"`
	Counts map[string]int `json:"counts"`
}

// Scale is one order for a number of endpoints that the platform accepted.
type Scale struct {
	Holder  string
	Fence   uint64
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Steward is the simulated platform. All methods are safe for concurrent use.
type Steward struct {
	mu sync.Mutex
	// era is the store era: the number of restores so far.
	era      uint64
	revision uint64
	items    map[string]Item
	history  []Item
	// compactedRevision is the latest revision that the history no longer contains.
	compactedRevision uint64
	leases            map[uint64]*lease
	changed           chan struct{}
	fault             Fault
	highestFences     map[string]uint64
	reports           []Report
	scaleOrders       []Scale
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns a platform with an empty store.
func New() *Steward {
	return &Steward{
		revision: 1, items: make(map[string]Item), leases: make(map[uint64]*lease), changed: make(chan struct{}),
		highestFences: make(map[string]uint64),
	}
}

// Put writes a key in the role of the operator or of an endpoint, and returns its
// revision.
func (s *Steward) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setItem(Item{Key: key, Value: value})
	return s.revision
}

// Remove deletes a key in the role of the operator or of an endpoint.
func (s *Steward) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeItem(key)
}

// Get returns the item of a key, and whether the key exists.
func (s *Steward) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// Backup is a copy of the store.
type Backup struct {
	revision uint64
	items    map[string]Item
}

// Backup returns a copy of the store for a later Restore.
func (s *Steward) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.revision, maps.Clone(s.items)}
}

// Drop removes keys from a backup, as if it had been made before they were written.
func (c Backup) Drop(keys ...string) {
	for _, key := range keys {
		delete(c.items, key)
	}
}

// Restore restores the store from a backup. Later writes and all leases are lost, and a
// new store era begins, in which the revisions after the backup are used again.
func (s *Steward) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = c.revision, maps.Clone(c.items)
	s.history, s.compactedRevision = nil, c.revision
	clear(s.leases)
	for key, i := range s.items {
		if i.Lease > 0 {
			delete(s.items, key)
		}
	}
	s.notifyWatchers()
}

// SetFault sets the fault that all calls to the store meet.
func (s *Steward) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Compact removes the history of changes, so that older watches must list again.
func (s *Steward) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Reports returns the accepted usage reports.
func (s *Steward) Reports() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reports)
}

// Scales returns the accepted scale orders.
func (s *Steward) Scales() []Scale {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.scaleOrders)
}

// setItem writes an item at the next revision. The caller must hold s.mu.
func (s *Steward) setItem(i Item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
	s.notifyWatchers()
}

// removeItem deletes an item, if it exists, at the next revision. The caller must hold
// s.mu.
func (s *Steward) removeItem(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Removed: true})
	s.notifyWatchers()
}

// notifyWatchers wakes the waiting watches. The caller must hold s.mu.
func (s *Steward) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the lapsed leases and their keys. The caller must hold s.mu.
func (s *Steward) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller must hold s.mu.
func (s *Steward) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.removeItem(key)
		}
	}
}

// itemsBelow returns, in the order of keys, the items whose key starts with prefix and
// sorts behind after. The caller must hold s.mu.
func (s *Steward) itemsBelow(prefix, after string) []Item {
	var out []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, s.items[key])
		}
	}
	return out
}
