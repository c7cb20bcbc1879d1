// Package dutykeeper elects one daemon as the holder of each duty, such as the steps of one
// move. A daemon holds a duty by a lease in the platform's store. Rendezvous hashing over the
// live members decides which daemon tries to acquire a duty, which spreads the duties over all
// daemons and needs no dedicated leader.
//
// A lease alone does not rule out that two daemons act at once. So holders write to the store by
// compare-and-swap, and their calls carry the epoch of the duty as a fencing number (fencing
// token).
package dutykeeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// RecordPrefix starts the keys of the records of duties in the store. A record is never deleted,
	// so that the epoch of its duty never falls. The key below holderPrefix is bound to the
	// lease and vanishes when the lease ends.
	RecordPrefix = "duties/"
	holderPrefix = "holders/"

	// DefaultTTL is the time to live of a duty's lease.
	DefaultTTL = 4 * time.Second
	// renewalsPerTTL is the number of renewals within the time to live of a lease.
	renewalsPerTTL = 3
	tickPeriod     = 100 * time.Millisecond
	// maxParallelCalls is the number of duties whose calls to the store may run in parallel.
	maxParallelCalls = 16
	// acquireRetryPeriod is the time between two attempts to acquire a duty that another daemon
	// holds.
	acquireRetryPeriod = 500 * time.Millisecond
	// expiryMargin is how long before the end of a lease its holder stops acting.
	expiryMargin = 500 * time.Millisecond
	// handoverDelay is how long a daemon keeps a duty after rendezvous hashing assigns it to
	// another daemon.
	handoverDelay = 2 * time.Second
)

// Record is the entry of a duty in the store.
type Record struct {
	Holder string `json:"holder"`
	// Epoch grows with each new holder, and is the fencing number.
	Epoch uint64 `json:"epoch"`
}

// ErrFenced means that a call was refused because an earlier call carried a higher fencing
// number.
var ErrFenced = errors.New("fencing number is too old")

// Fence identifies the holder and the term of a duty. Calls made under the duty carry it, so that
// calls of earlier holders are refused.
type Fence struct {
	Holder string
	// Token is the fencing token: the epoch of the duty.
	Token uint64
}

// FenceProvider is the part of a Keeper that code acting under a duty uses.
type FenceProvider interface {
	// Fence returns the fence that calls must carry, and whether this daemon holds the duty.
	Fence(duty string) (Fence, bool)
	// YieldDuty releases the duty after a call made under it was refused with ErrFenced.
	YieldDuty(ctx context.Context, duty string)
}

// Grant is a duty held by this daemon.
type Grant struct {
	Epoch uint64
	// AcquiredAt is when this daemon acquired the duty.
	AcquiredAt time.Time
	// ValidUntil is when it must stop acting unless the lease is renewed.
	ValidUntil time.Time
}

// Config configures a Keeper.
type Config struct {
	// Self is the daemon's name.
	Self  string
	Store storer.Store
	// Members returns the daemons known to this one.
	Members func() []viewer.Member
	// Duties returns the names of all existing duties.
	Duties   func() []string
	TTL      time.Duration
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Keeper acquires, renews and releases the duties of one daemon.
type Keeper struct {
	cfg Config

	mu sync.Mutex
	// highestEpoch is the highest epoch of a duty that is known from any daemon.
	highestEpoch uint64
	heldDuties   map[string]*heldDuty
	triedAt      map[string]time.Time
}

// heldDuty is a duty that this daemon holds, with its lease.
type heldDuty struct {
	Grant
	lease     string
	renewedAt time.Time
	// misplacedSince is when rendezvous hashing began to assign the duty to another daemon;
	// zero if it assigns the duty to this one.
	misplacedSince time.Time
}

// New returns a keeper that holds no duty before Run.
func New(cfg Config) *Keeper {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Keeper{cfg: cfg, heldDuties: make(map[string]*heldDuty), triedAt: make(map[string]time.Time)}
}

// Run acquires and renews duties until ctx ends, and then releases them.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.Release(context.WithoutCancel(ctx))
	return ticker.Every(ctx, tickPeriod, k.Tick)
}

// HeldGrant returns the grant of a duty if this daemon holds it now. It checks the end of the lease
// by the local clock, so that a daemon that was paused for longer than its lease stops acting
// without a call to the store.
func (k *Keeper) HeldGrant(duty string) (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.heldDuties[duty]
	if h == nil || !k.cfg.Now().Before(h.ValidUntil) {
		return Grant{}, false
	}
	return h.Grant, true
}

// Fence returns the fence that calls under a duty must carry, and whether this daemon holds the
// duty.
func (k *Keeper) Fence(duty string) (Fence, bool) {
	g, ok := k.HeldGrant(duty)
	return Fence{Holder: k.cfg.Self, Token: g.Epoch}, ok
}

// HighestEpoch returns the highest epoch of a duty that is known from any daemon.
func (k *Keeper) HighestEpoch() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.highestEpoch
}

// RecordEpoch records an epoch that a daemon reported.
func (k *Keeper) RecordEpoch(epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.highestEpoch = max(k.highestEpoch, epoch)
}

// YieldDuty releases a duty after a call made under it was refused with ErrFenced.
func (k *Keeper) YieldDuty(ctx context.Context, duty string) {
	if k.lookUp(duty) != nil {
		k.releaseDuty(ctx, duty)
	}
}

// Release releases all duties.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	var duties []string
	for duty := range k.heldDuties {
		duties = append(duties, duty)
	}
	k.mu.Unlock()
	for _, duty := range duties {
		k.releaseDuty(ctx, duty)
	}
}

// Tick renews, releases or tries to acquire each duty, whichever is due.
func (k *Keeper) Tick(ctx context.Context) {
	members := k.cfg.Members()
	wanted := make(map[string]bool)
	// A slow store must not make one duty wait for the calls of another.
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, duty := range k.cfg.Duties() {
		wanted[duty] = true
		g.Go(func() error {
			mine := ranker.HighestRanked(duty, members) == k.cfg.Self
			if h := k.lookUp(duty); h != nil {
				k.renewOrRelease(ctx, duty, h, mine)
			} else if mine {
				k.tryAcquire(ctx, duty)
			}
			return nil
		})
	}
	// The functions count their failures in metrics; the next ticks retry.
	_ = g.Wait()
	k.mu.Lock()
	var unwanted []string
	for duty := range k.heldDuties {
		if !wanted[duty] {
			unwanted = append(unwanted, duty)
		}
	}
	k.mu.Unlock()
	for _, duty := range unwanted {
		k.releaseDuty(ctx, duty)
	}
}

func (k *Keeper) lookUp(duty string) *heldDuty {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heldDuties[duty]
}

// renewOrRelease renews the lease of a duty when it is due. It releases the duty once rendezvous
// hashing has assigned it to another daemon for handoverDelay.
func (k *Keeper) renewOrRelease(ctx context.Context, duty string, h *heldDuty, mine bool) {
	now := k.cfg.Now()
	switch {
	case mine:
		h.misplacedSince = time.Time{}
	case h.misplacedSince.IsZero():
		h.misplacedSince = now
	case now.Sub(h.misplacedSince) >= handoverDelay:
		k.releaseDuty(ctx, duty)
		return
	}
	if now.Sub(h.renewedAt) < k.cfg.TTL/renewalsPerTTL {
		return
	}
	err := k.cfg.Store.Renew(ctx, h.lease)
	if errors.Is(err, storer.ErrLeaseLapsed) || err != nil && !k.cfg.Now().Before(h.ValidUntil) {
		k.dropDuty(duty, "lease lapsed")
		return
	}
	if err != nil {
		meter.AddToCounter(k.cfg.Registry, 1, "duty_renewal_failures_total")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// The store renewed the lease after now, so it ends no earlier than now plus the TTL.
	h.renewedAt, h.ValidUntil = now, now.Add(k.cfg.TTL-expiryMargin)
}

func (k *Keeper) dropDuty(duty, why string) {
	k.mu.Lock()
	delete(k.heldDuties, duty)
	k.mu.Unlock()
	meter.AddToCounter(k.cfg.Registry, 1, "duty_losses_total")
	k.log("msg", "duty ended", "duty", duty, "why", why)
}

func (k *Keeper) releaseDuty(ctx context.Context, duty string) {
	h := k.lookUp(duty)
	if h == nil {
		return
	}
	k.dropDuty(duty, "lease revoked")
	if err := k.cfg.Store.Revoke(ctx, h.lease); err != nil {
		// A lease that is not revoked expires.
		meter.AddToCounter(k.cfg.Registry, 1, "duty_release_failures_total")
	}
}

func (k *Keeper) log(fields ...any) {
	// There is nowhere to report that logging fails.
	_ = level.Info(k.cfg.Logger).Log(fields...)
}
