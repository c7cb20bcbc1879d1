// Package keeper simulates the platform in memory for tests: the key-value service,
// the host list, the cloud that rents hosts out, and the store of model weights, each
// with HTTP and JSON.
package keeper

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/remote/storer"
)

// Keeper holds the platform's state. All methods are safe for concurrent use.
type Keeper struct {
	// Cloud is the simulated cloud API.
	Cloud Cloud

	mu          sync.Mutex
	revision    uint64
	entries     map[string]storer.Entry
	leases      map[string]*lease
	hosts       map[string]lister.Host
	changed     chan struct{}
	faults      Faults
	calls       Calls
	snapshot    snapshotState
	weightStore weightStore
}

type snapshotState struct {
	revision uint64
	entries  map[string]storer.Entry
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Faults are the faults of the key-value service and of the host list.
type Faults struct {
	// Down makes the key-value service refuse every call.
	Down bool `json:"down"`
	// LoseAnswers is the number of next writes that take effect and whose connection is
	// closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LosePrefix limits LoseAnswers to writes of keys below a prefix; empty is all keys.
	LosePrefix string `json:"lose_prefix"`
	// DownAfterLoss sets Down as soon as an answer is lost.
	DownAfterLoss bool `json:"down_after_loss"`
	// Delay delays each call.
	Delay time.Duration `json:"delay"`
	// HostLag is the time between a change of a host and its appearance in the list.
	HostLag time.Duration `json:"host_lag"`
}

// Calls counts the calls that reached the key-value service. Watches counts the watch
// calls so far, and Waiting those that are still open.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Waiting int `json:"waiting"`
}

// New returns a platform without entries and hosts.
func New() *Keeper {
	return &Keeper{
		entries: make(map[string]storer.Entry),
		leases:  make(map[string]*lease),
		hosts:   make(map[string]lister.Host),
		changed: make(chan struct{}),
	}
}

// SetHost adds or replaces a host in the list, after Faults.HostLag.
func (k *Keeper) SetHost(h lister.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if lag := k.faults.HostLag; lag > 0 {
		time.AfterFunc(lag, func() { k.publishHost(h) })
		return
	}
	k.hosts[h.Name] = h
}

func (k *Keeper) publishHost(h lister.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts[h.Name] = h
}

// RemoveHost removes a host from the list.
func (k *Keeper) RemoveHost(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.hosts, name)
}

// Hosts returns the list of hosts, sorted by name.
func (k *Keeper) Hosts() []lister.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := make([]lister.Host, 0, len(k.hosts))
	for _, h := range k.hosts {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// SetFaults replaces the current faults.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Calls returns the calls counted so far.
func (k *Keeper) Calls() Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Save copies the current entries for a later Restore.
func (k *Keeper) Save() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.snapshot = snapshotState{revision: k.revision, entries: maps.Clone(k.entries)}
}

// Clear removes all entries and sets the revision to 0, like a service that restarts
// without its data.
func (k *Keeper) Clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = 0
	k.entries = make(map[string]storer.Entry)
	k.notifyWatchers()
}

// Restore sets the entries and the revision to those of the last Save, like a service
// that restarts from an old backup.
func (k *Keeper) Restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = k.snapshot.revision
	k.entries = maps.Clone(k.snapshot.entries)
	if k.entries == nil {
		k.entries = make(map[string]storer.Entry)
	}
	k.notifyWatchers()
}

func (k *Keeper) get(key string) (storer.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	k.calls.Reads++
	e, ok := k.entries[key]
	return e, ok && !e.Deleted
}

// swap applies a write if its expected revision matches (compare-and-swap). It returns
// the resulting entry, or the conflicting one, and the outcome.
func (k *Keeper) swap(w storer.Write) (storer.Entry, swapOutcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	k.calls.Writes++
	if w.Lease != "" && k.leases[w.Lease] == nil {
		return storer.Entry{}, swapLeaseLapsed
	}
	e := k.entries[w.Key]
	current := e.Revision
	if e.Deleted {
		current = 0
	}
	if current != w.Expect {
		return e, swapConflict
	}
	k.revision++
	e = storer.Entry{Key: w.Key, Value: w.Value, Revision: k.revision, Write: w.ID, Lease: w.Lease, Deleted: w.Delete}
	k.entries[w.Key] = e
	k.notifyWatchers()
	return e, swapApplied
}

// swapOutcome is the result of a compare-and-swap.
type swapOutcome int

const (
	swapApplied swapOutcome = iota
	swapConflict
	swapLeaseLapsed
)

func (k *Keeper) list(prefix string) storer.Page {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	k.calls.Reads++
	return k.readPage(prefix, 0, false)
}

// watch returns the entries below a prefix that changed after revision from, deleted
// ones too, and a channel that closes at the next change.
func (k *Keeper) watch(prefix string, from uint64) (storer.Page, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	return k.readPage(prefix, from, true), k.changed
}

// readPage returns the entries below a prefix that changed after revision from. The
// caller must hold k.mu.
func (k *Keeper) readPage(prefix string, from uint64, includeDeleted bool) storer.Page {
	p := storer.Page{Revision: k.revision, Entries: []storer.Entry{}}
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > from && (includeDeleted || !e.Deleted) {
			p.Entries = append(p.Entries, e)
		}
	}
	sort.Slice(p.Entries, func(i, j int) bool { return p.Entries[i].Key < p.Entries[j].Key })
	return p
}

func (k *Keeper) grant(id string, ttl time.Duration) storer.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls.Writes++
	k.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return storer.Lease{ID: id, TTL: ttl}
}

func (k *Keeper) renew(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	k.calls.Writes++
	l := k.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return true
}

func (k *Keeper) revoke(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls.Writes++
	k.dropLease(id)
}

// expireLeases removes the lapsed leases and their entries. The caller must hold k.mu.
func (k *Keeper) expireLeases() {
	now := time.Now()
	for id, l := range k.leases {
		if now.After(l.expiresAt) {
			k.dropLease(id)
		}
	}
}

// dropLease removes a lease and deletes its entries. The caller must hold k.mu.
func (k *Keeper) dropLease(id string) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.Lease == id && !e.Deleted {
			k.revision++
			k.entries[key] = storer.Entry{Key: key, Revision: k.revision, Deleted: true}
			k.notifyWatchers()
		}
	}
}

// notifyWatchers wakes the waiting watches. The caller must hold k.mu.
func (k *Keeper) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}
