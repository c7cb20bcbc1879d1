// Package keeper is a small in-memory stand-in for the platform: key-value
// service, host list, cloud and weight store, each over HTTP and JSON.
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
	// Cloud rents hosts out.
	Cloud Cloud

	mu       sync.Mutex
	revision uint64
	entries  map[string]storer.Entry
	leases   map[string]*lease
	hosts    map[string]lister.Host
	changed  chan struct{}
	faults   Faults
	calls    Calls
	saved    savedState
	weights  weights
}

type savedState struct {
	revision uint64
	entries  map[string]storer.Entry
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Faults says how the key-value service misbehaves.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers is the number of coming writes whose answer is cut off after
	// the write took effect.
	LoseAnswers int `json:"lose_answers"`
	// DownAfterLoss takes the service down once an answer was lost.
	DownAfterLoss bool `json:"down_after_loss"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
	// HostLag is how late the host list shows a change of a host.
	HostLag time.Duration `json:"host_lag"`
}

// Calls counts the calls that the key-value service took. A watch that waits
// counts as one read.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Waiting int `json:"waiting"`
}

// New returns an empty platform.
func New() *Keeper {
	return &Keeper{
		entries: make(map[string]storer.Entry),
		leases:  make(map[string]*lease),
		hosts:   make(map[string]lister.Host),
		changed: make(chan struct{}),
	}
}

// SetHost adds or replaces a host of the list.
func (k *Keeper) SetHost(h lister.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if lag := k.faults.HostLag; lag > 0 {
		time.AfterFunc(lag, func() { k.showHost(h) })
		return
	}
	k.hosts[h.Name] = h
}

func (k *Keeper) showHost(h lister.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts[h.Name] = h
}

// RemoveHost takes a host off the list.
func (k *Keeper) RemoveHost(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.hosts, name)
}

// Hosts returns the list, sorted by name.
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

// SetFaults replaces the faults in force.
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

// Save remembers the present entries, for a later Restore.
func (k *Keeper) Save() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.saved = savedState{revision: k.revision, entries: maps.Clone(k.entries)}
}

// Clear loses all entries and starts from revision 0, as a service does that is
// restarted without its data.
func (k *Keeper) Clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = 0
	k.entries = make(map[string]storer.Entry)
	k.signal()
}

// Restore goes back to the entries and the revision of the last Save, as a
// service does that is restarted from an old backup.
func (k *Keeper) Restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = k.saved.revision
	k.entries = maps.Clone(k.saved.entries)
	if k.entries == nil {
		k.entries = make(map[string]storer.Entry)
	}
	k.signal()
}

func (k *Keeper) get(key string) (storer.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.calls.Reads++
	e, ok := k.entries[key]
	return e, ok && !e.Deleted
}

// swap applies a write and reports the entry now held and the outcome.
func (k *Keeper) swap(w storer.Write) (storer.Entry, swapOutcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
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
	k.signal()
	return e, swapApplied
}

type swapOutcome int

const (
	swapApplied swapOutcome = iota
	swapConflict
	swapLeaseLapsed
)

func (k *Keeper) list(prefix string) storer.Page {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.calls.Reads++
	return k.page(prefix, 0, false)
}

// watch returns what is newer than from, and a channel that closes at the next
// change.
func (k *Keeper) watch(prefix string, from uint64) (storer.Page, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	return k.page(prefix, from, true), k.changed
}

func (k *Keeper) page(prefix string, from uint64, deleted bool) storer.Page {
	p := storer.Page{Revision: k.revision, Entries: []storer.Entry{}}
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > from && (deleted || !e.Deleted) {
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
	k.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return storer.Lease{ID: id, TTL: ttl}
}

func (k *Keeper) renew(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.calls.Writes++
	l := k.leases[id]
	if l == nil {
		return false
	}
	l.ends = time.Now().Add(l.ttl)
	return true
}

func (k *Keeper) revoke(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls.Writes++
	k.dropLease(id)
}

// expire ends the leases that have lapsed. The caller holds the lock.
func (k *Keeper) expire() {
	now := time.Now()
	for id, l := range k.leases {
		if now.After(l.ends) {
			k.dropLease(id)
		}
	}
}

func (k *Keeper) dropLease(id string) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.Lease == id && !e.Deleted {
			k.revision++
			k.entries[key] = storer.Entry{Key: key, Revision: k.revision, Deleted: true}
			k.signal()
		}
	}
}

func (k *Keeper) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}
