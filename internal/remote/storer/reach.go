package storer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// unreachableFailures is the number of consecutive failed calls after which the store is considered
// unreachable.
const unreachableFailures = 2

// ReachabilityStore is a Store that wraps another one and tracks from the results of its calls
// whether the store is reachable from this daemon, and the latest era of its revisions.
type ReachabilityStore struct {
	store Store

	mu       sync.Mutex
	failures int
	// era is the latest era of a revision in an answer. hasEra is false until there was one.
	era    uint64
	hasEra bool
}

// NewReachabilityStore returns a ReachabilityStore that wraps s. The store is considered reachable
// until calls fail.
func NewReachabilityStore(s Store) *ReachabilityStore { return &ReachabilityStore{store: s} }

// IsUnreachable reports whether the store is unreachable, that is, whether the latest calls all
// failed.
func (r *ReachabilityStore) IsUnreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= unreachableFailures
}

// LatestEra returns the latest era of a revision in an answer, and false if there was no answer
// with a revision yet.
func (r *ReachabilityStore) LatestEra() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.hasEra
}

// recordEra records the era of the revision in an answer.
func (r *ReachabilityStore) recordEra(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > 0 {
		r.era, r.hasEra = max(r.era, EraOf(revision)), true
	}
}

// recordResult counts a failed call, and resets the count after a call that the store answered. A
// failed call whose context has ended is not counted, since the daemon itself ended it.
func (r *ReachabilityStore) recordResult(ctx context.Context, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownResult):
		r.failures = 0
	case ctx.Err() == nil:
		r.failures++
	}
}

// Get implements Store.
func (r *ReachabilityStore) Get(ctx context.Context, key string) (Entry, error) {
	e, err := r.store.Get(ctx, key)
	r.recordResult(ctx, err)
	r.recordEra(e.Revision)
	return e, err
}

// Swap implements Store.
func (r *ReachabilityStore) Swap(ctx context.Context, w Write) (Entry, error) {
	e, err := r.store.Swap(ctx, w)
	r.recordResult(ctx, err)
	r.recordEra(e.Revision)
	return e, err
}

// List implements Store.
func (r *ReachabilityStore) List(ctx context.Context, prefix string) (Page, error) {
	p, err := r.store.List(ctx, prefix)
	r.recordResult(ctx, err)
	r.recordEra(p.Revision)
	return p, err
}

// Watch implements Store.
func (r *ReachabilityStore) Watch(ctx context.Context, prefix string, from uint64) (Page, error) {
	p, err := r.store.Watch(ctx, prefix, from)
	r.recordResult(ctx, err)
	r.recordEra(p.Revision)
	return p, err
}

// Grant implements Store.
func (r *ReachabilityStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	l, err := r.store.Grant(ctx, ttl)
	r.recordResult(ctx, err)
	return l, err
}

// Renew implements Store.
func (r *ReachabilityStore) Renew(ctx context.Context, id string) error {
	err := r.store.Renew(ctx, id)
	r.recordResult(ctx, err)
	return err
}

// Revoke implements Store.
func (r *ReachabilityStore) Revoke(ctx context.Context, id string) error {
	err := r.store.Revoke(ctx, id)
	r.recordResult(ctx, err)
	return err
}
