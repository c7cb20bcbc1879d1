package evacuator

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store storer.Store
	// Current returns the set in force at this daemon.
	Current func() Set
	// Offer offers a set to this daemon, which ignores one that is not newer.
	Offer    func(Set)
	Logger   log.Logger
	Registry metrics.Registry
}

// Follower compares the evacuations in the store with those in force at this daemon: it offers newer
// ones, and repairs a store that holds older ones. Only the goroutine that watches the store may use
// it.
type Follower struct {
	cfg FollowerConfig
	// behindDigest is the digest of the outdated set last found in the store.
	behindDigest string
	isBehind     bool
}

var _ publisher.KeyFollower = (*Follower)(nil)

// NewFollower returns a follower.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Follower{cfg: cfg}
}

// Key implements publisher.KeyFollower.
func (f *Follower) Key() string { return Key }

// Digest implements publisher.KeyFollower.
func (f *Follower) Digest() string { return f.cfg.Current().digest() }

// HandleEntry implements publisher.KeyFollower. An entry that cannot be read changes nothing: the set
// in force stays.
func (f *Follower) HandleEntry(ctx context.Context, e storer.Entry) bool {
	stored, err := decodeEntry(e)
	if err != nil {
		meter.AddToCounter(f.cfg.Registry, 1, "evacuations_malformed_total")
		return false
	}
	switch current := f.cfg.Current(); {
	case current.IsNewer(stored):
		f.repairStore(ctx, e, stored, current)
		return false
	case stored.IsNewer(current):
		f.cfg.Offer(stored)
		return false
	}
	return true
}

// repairStore writes the set in force back to a store that holds an older one or none. The write is a
// compare-and-swap on the outdated entry, so that it never overwrites a later change.
func (f *Follower) repairStore(ctx context.Context, e storer.Entry, stored, current Set) {
	if d := stored.digest(); !f.isBehind || d != f.behindDigest {
		f.isBehind, f.behindDigest = true, d
		meter.AddToCounter(f.cfg.Registry, 1, "evacuations_store_behind_total")
		// There is nowhere to report that logging fails.
		_ = level.Warn(f.cfg.Logger).Log("msg", "store holds older evacuations, not adopted",
			"generation", stored.Generation, "in_force", current.Generation)
	}
	current.Repaired = true
	b, err := json.Marshal(current)
	if err == nil {
		_, err = f.cfg.Store.Swap(ctx, storer.Write{Key: Key, Value: b, Expect: e.Revision})
	}
	if err != nil {
		meter.AddToCounter(f.cfg.Registry, 1, "evacuations_repair_failures_total")
		return
	}
	meter.AddToCounter(f.cfg.Registry, 1, "evacuations_repairs_total")
}
