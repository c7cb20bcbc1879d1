// Package enroller keeps this daemon's entry in the list of members in the store, and tells from that
// list which other daemons are alive.
//
// Each entry lives under a lease that its daemon renews. The store thus removes the entry of a daemon
// that is gone, and keeps that of one which other daemons cannot reach but which reaches the store. A
// daemon whose entry was removed although it lives writes it again.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// KeyPrefix is the prefix of the store keys of the members; the name of the daemon follows it.
	KeyPrefix = "fleet/members/"
	// TTL is how long an entry outlasts the last renewal of its lease. It is as long as an unreachable
	// daemon counts as a member without any evidence.
	TTL = sharer.ForgetTime
	// renewPeriod is the time between two renewals of the lease, and between two reads of the list
	// while there are members to ask about. A random fifth less spreads the calls of all daemons.
	renewPeriod = TTL / 3
	// removalPeriod is the time between two searches for entries without a lease.
	removalPeriod = 10 * time.Minute
)

// Config configures an Enroller.
type Config struct {
	Store         storer.Store
	Name, Address string
	// ListRead is called with the addresses of the other daemons each time the list was read to join.
	ListRead func(addresses []string)
	// NeedsList reports whether this daemon has to know if unreachable members are alive.
	NeedsList func() bool
	// MayRemove reports whether this daemon removes entries without a lease, which daemons of earlier
	// versions left behind. IsReachable reports whether there is a daemon at an address.
	MayRemove   func() bool
	IsReachable func(address string) bool
	Logger      log.Logger
	Registry    metrics.Registry
}

// listing is the list of members at one time.
type listing struct {
	// read is when the store was asked.
	read time.Time
	// leased maps the listed addresses to whether their entries are under a lease.
	leased map[string]bool
}

// Enroller keeps one entry in the list of members.
type Enroller struct {
	cfg Config

	mu sync.Mutex
	// lease is the lease of the own entry; empty before there is one.
	lease string
	// lapsed is when the own entry was last found removed, though the daemon had renewed it.
	lapsed  time.Time
	listing listing
	// unleased holds the revisions of entries without a lease whose daemons are unreachable, by key,
	// and when they were first seen. They are looked at again at removalDue.
	unleased   map[string]unleasedEntry
	removalDue time.Time
}

type unleasedEntry struct {
	revision uint64
	since    time.Time
}

// New returns an Enroller without an entry.
func New(cfg Config) *Enroller {
	return &Enroller{cfg: cfg, unleased: make(map[string]unleasedEntry)}
}

// Join writes this daemon's entry and then reads those of the others. In this order, at least one of
// two daemons that join at the same time learns the other's address.
func (e *Enroller) Join(ctx context.Context) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	entries, err := e.readList(ctx)
	if err != nil {
		return err
	}
	e.cfg.ListRead(slices.Sorted(maps.Keys(entries)))
	return nil
}

// enter writes the entry under a new lease.
func (e *Enroller) enter(ctx context.Context) error {
	l, err := e.cfg.Store.Grant(ctx, TTL)
	if err != nil {
		return fmt.Errorf("lease of the entry among the members: %w", err)
	}
	b, err := json.Marshal(e.cfg.Address)
	if err != nil {
		return fmt.Errorf("encode the address %q: %w", e.cfg.Address, err)
	}
	w := storer.Write{Key: KeyPrefix + e.cfg.Name, Value: b, Lease: l.ID}
	_, err = e.cfg.Store.Swap(ctx, w)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && len(conflict.Current.Value) > 0 {
		// The entry of an earlier process of this daemon ends with that one's lease.
		w.Expect = conflict.Current.Revision
		_, err = e.cfg.Store.Swap(ctx, w)
	}
	if err != nil {
		return fmt.Errorf("write the entry among the members: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = l.ID
	return nil
}

// Leave removes the entry at a planned stop.
func (e *Enroller) Leave(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.lease = ""
	e.mu.Unlock()
	if lease == "" {
		return
	}
	if err := e.cfg.Store.Revoke(ctx, lease); err != nil {
		// The entry ends with its lease.
		e.count("member_leave_failures_total")
	}
}

// Run keeps the entry until ctx ends, and reads the list while it is needed.
func (e *Enroller) Run(ctx context.Context) error {
	for ticker.Sleep(ctx, renewPeriod-rand.N(renewPeriod/5)) {
		e.keepEntry(ctx)
		if e.cfg.NeedsList() {
			e.refreshList(ctx)
		}
		if e.cfg.MayRemove() && !time.Now().Before(e.removalDue) {
			e.removeUnleased(ctx)
		}
	}
	return nil
}

// keepEntry renews the lease of the entry, and joins again if the entry is gone.
func (e *Enroller) keepEntry(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == "" {
		return
	}
	err := e.checkEntry(ctx, lease)
	if err == nil {
		return
	}
	if !errors.Is(err, storer.ErrLeaseLapsed) && !errors.Is(err, storer.ErrNotFound) {
		e.count("member_renewal_failures_total")
		return
	}
	e.mu.Lock()
	e.lapsed = time.Now()
	e.mu.Unlock()
	err = e.Join(ctx)
	logger.Info(e.cfg.Logger, "msg", "entry among the members was gone", "outcome", "written again", "error", err)
}

// checkEntry renews a lease and returns an error if the entry does not exist all the same.
func (e *Enroller) checkEntry(ctx context.Context, lease string) error {
	if err := e.cfg.Store.Renew(ctx, lease); err != nil {
		return err
	}
	_, err := e.cfg.Store.Get(ctx, KeyPrefix+e.cfg.Name)
	return err
}

func (e *Enroller) refreshList(ctx context.Context) {
	if _, err := e.readList(ctx); err != nil {
		e.count("member_list_failures_total")
	}
}

// readList reads the list, and returns its entries by address.
func (e *Enroller) readList(ctx context.Context) (map[string]storer.Entry, error) {
	asked := time.Now()
	p, err := e.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the list of members: %w", err)
	}
	entries, leased := make(map[string]storer.Entry), make(map[string]bool)
	for _, entry := range p.Entries {
		var address string
		if err := json.Unmarshal(entry.Value, &address); err != nil {
			logger.Info(e.cfg.Logger, "msg", "cannot decode the address of a member", "key", entry.Key, "error", err)
			continue
		}
		entries[address] = entry
		leased[address] = leased[address] || entry.Lease != ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listing = listing{read: asked, leased: leased}
	return entries, nil
}

// Presence returns what the list, if it was read after a time, says of the daemon at an address.
func (e *Enroller) Presence(address string, after time.Time) sharer.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listing.read.After(after) {
		return sharer.PresenceUnknown
	}
	leased, ok := e.listing.leased[address]
	switch {
	case leased:
		return sharer.PresenceListed
	case ok:
		// Nobody removes the entry when its daemon is gone.
		return sharer.PresenceUnknown
	case time.Since(e.lapsed) < TTL:
		// The store lost this daemon's entry too, and others may not have written theirs again.
		return sharer.PresenceUnknown
	}
	return sharer.PresenceAbsent
}

// removeUnleased removes entries without a lease whose daemons have been unreachable for TTL.
func (e *Enroller) removeUnleased(ctx context.Context) {
	entries, err := e.readList(ctx)
	if err != nil {
		e.count("member_list_failures_total")
		return
	}
	now := time.Now()
	found := make(map[string]unleasedEntry)
	for address, entry := range entries {
		if entry.Lease != "" || address == e.cfg.Address || e.cfg.IsReachable(address) {
			continue
		}
		u := unleasedEntry{entry.Revision, now}
		if known, ok := e.unleased[entry.Key]; ok && known.revision == entry.Revision {
			u.since = known.since
		}
		if now.Sub(u.since) < TTL {
			found[entry.Key] = u
			continue
		}
		_, err := e.cfg.Store.Swap(ctx, storer.Write{Key: entry.Key, Expect: entry.Revision, Delete: true})
		logger.Info(e.cfg.Logger, "msg", "entry without a lease removed from the members", "key", entry.Key, "address", address, "error", err)
	}
	e.unleased, e.removalDue = found, now.Add(removalPeriod)
	if len(found) > 0 {
		e.removalDue = now.Add(TTL)
	}
}

func (e *Enroller) count(metric string) { meter.AddToCounter(e.cfg.Registry, 1, metric) }
