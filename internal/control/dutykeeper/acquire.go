package dutykeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// tryAcquire acquires a duty if no daemon holds it, at most once in acquireRetryPeriod.
func (k *Keeper) tryAcquire(ctx context.Context, duty string) {
	now := k.cfg.Now()
	k.mu.Lock()
	recent := now.Sub(k.triedAt[duty]) < acquireRetryPeriod
	if !recent {
		k.triedAt[duty] = now
	}
	k.mu.Unlock()
	if recent {
		return
	}
	if !k.revokeOwnLease(ctx, duty) {
		return
	}
	h, err := k.acquire(ctx, duty, now)
	if err != nil {
		meter.AddToCounter(k.cfg.Registry, 1, "duty_try_failures_total")
		return
	}
	k.mu.Lock()
	k.heldDuties[duty] = h
	k.mu.Unlock()
	k.log("msg", "duty acquired", "duty", duty, "epoch", h.Epoch)
}

// revokeOwnLease reports whether no daemon holds the duty. First it revokes a lease of this daemon
// that the store still holds: the daemon believed it lapsed while the store was unreachable, or
// had it before a restart.
func (k *Keeper) revokeOwnLease(ctx context.Context, duty string) bool {
	live, err := k.cfg.Store.Get(ctx, holderPrefix+duty)
	if err != nil {
		return errors.Is(err, storer.ErrNotFound)
	}
	if string(live.Value) != k.cfg.Self {
		return false
	}
	err = k.cfg.Store.Revoke(ctx, live.Lease)
	k.log("msg", "revoked leftover lease of this daemon", "duty", duty, "lease", live.Lease, "error", err)
	return err == nil
}

// acquire writes the holder key, which is bound to a new lease, and then raises the epoch in the
// record. If a write is unresolved, the lease is revoked or expires, since nobody renews it.
func (k *Keeper) acquire(ctx context.Context, duty string, now time.Time) (*heldDuty, error) {
	lease, err := k.cfg.Store.Grant(ctx, k.cfg.TTL)
	if err != nil {
		return nil, err
	}
	live := storer.Write{Key: holderPrefix + duty, Value: []byte(k.cfg.Self), Lease: lease.ID}
	if _, err := k.cfg.Store.Swap(ctx, live); err != nil {
		return nil, k.revokeAfterError(ctx, lease, err)
	}
	r, revision, err := k.readRecord(ctx, duty)
	if err != nil {
		return nil, k.revokeAfterError(ctx, lease, err)
	}
	r = Record{Holder: k.cfg.Self, Epoch: nextEpoch(max(r.Epoch, k.HighestEpoch()), k.cfg.Now(), k.cfg.Self)}
	k.RecordEpoch(r.Epoch)
	b, err := json.Marshal(r)
	if err != nil {
		return nil, k.revokeAfterError(ctx, lease, err)
	}
	if _, err := k.cfg.Store.Swap(ctx, storer.Write{Key: RecordPrefix + duty, Value: b, Expect: revision}); err != nil {
		return nil, k.revokeAfterError(ctx, lease, err)
	}
	return &heldDuty{
		Grant: Grant{Epoch: r.Epoch, AcquiredAt: k.cfg.Now(), ValidUntil: now.Add(k.cfg.TTL - expiryMargin)},
		lease: lease.ID, renewedAt: now,
	}, nil
}

func (k *Keeper) revokeAfterError(ctx context.Context, l storer.Lease, err error) error {
	return errors.Join(err, k.cfg.Store.Revoke(ctx, l.ID))
}

func (k *Keeper) readRecord(ctx context.Context, duty string) (Record, uint64, error) {
	e, err := k.cfg.Store.Get(ctx, RecordPrefix+duty)
	if errors.Is(err, storer.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, 0, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, e.Revision, nil
}
