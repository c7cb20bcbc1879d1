package composer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/control/scaler"
	"pomelotiller/internal/fleet/enroller"
	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/remote/storer"
)

const (
	// cleanupPeriod is the time between two removals of expired connections and endpoints.
	cleanupPeriod = 500 * time.Millisecond
	// memberCountPeriod is the time between two updates of the number of daemons in the limiters.
	memberCountPeriod = 100 * time.Millisecond
	// storeCheckPeriod is the time between two checks whether the store is reachable, and
	// storeCheckKey the key that is read to find out whether an unreachable store answers again.
	storeCheckPeriod = 500 * time.Millisecond
	storeCheckKey    = enroller.KeyPrefix + "none"
	// dutyStepPeriod is the time between two steps of each component that acts under a duty.
	dutyStepPeriod = 200 * time.Millisecond
	// dutyStartDelay is how long a starting daemon waits before it takes part in the election of
	// duty holders, so that it first learns of daemons that have a better claim.
	dutyStartDelay = time.Second
)

// applyOperator applies changed entries of the operator: evacuations of failure domains, the
// configuration and orders to move traffic between releases.
func (d *Daemon) applyOperator(changed []storer.Entry, _ time.Time) {
	// The first configuration lets a starting daemon serve callers, so evacuations must be known before.
	d.applyEvacuations(changed)
	for _, e := range changed {
		if d.cfg.Adapter.IsCatalogKey(e.Key) {
			d.applyCatalog(e)
			continue
		}
		o, ok, err := d.cfg.Adapter.DecodeMove(e)
		if err != nil {
			d.log("msg", "cannot decode move", "key", e.Key, "revision", e.Revision, "error", err)
			continue
		}
		if ok {
			d.roller.Apply(o)
		}
	}
}

// applyCatalog brings a newer configuration into force, and keeps the current one if the entry was
// deleted, cannot be decoded or is not newer.
func (d *Daemon) applyCatalog(e storer.Entry) {
	if e.Deleted {
		d.log("msg", "configuration deleted", "revision", e.Revision, "outcome", "kept")
		return
	}
	c, err := d.cfg.Adapter.DecodeCatalog(e)
	if err != nil {
		d.log("msg", "cannot decode configuration", "revision", e.Revision, "outcome", "former kept", "error", err)
		return
	}
	if old := d.catalog.Load(); old != nil && old.Version >= c.Version {
		d.log("msg", "configuration refused", "version", c.Version, "in_force", old.Version, "revision", e.Revision, "outcome", "former kept")
		return
	}
	d.catalog.Store(&c)
	d.allowances.Configure(c.Organisations, time.Now())
	d.log("msg", "configuration in force", "version", c.Version, "revision", e.Revision, "routes", len(c.Routes), "services", len(c.Services),
		"organisations", len(c.Organisations))
}

// applyEndpoints applies changed entries of endpoints. lastUnreachable is when the store was last
// unreachable.
func (d *Daemon) applyEndpoints(changed []storer.Entry, lastUnreachable time.Time) {
	changes := make([]tracker.Change, 0, len(changed))
	isFirstList := d.cfg.Settings.Edge.First && !d.endpointReplica.IsLoaded()
	for _, e := range changed {
		c := d.cfg.Adapter.DecodeEndpoint(e)
		c.IsListedAtFirstStart = isFirstList
		changes = append(changes, c)
	}
	d.tracker.Apply(changes, lastUnreachable)
}

// dropRemovedEndpoints drops the load balancing state of endpoints that no longer exist.
func (d *Daemon) dropRemovedEndpoints() {
	known := d.tracker.Load().All
	d.chooser.DropUnknown(known)
	d.throttler.Retain(func(endpoint string, born int64) bool {
		e, ok := known[endpoint]
		return ok && e.Born == born
	})
}

// availableReleases returns the releases of a service that have endpoints.
func (d *Daemon) availableReleases(service string) []string {
	var out []string
	for _, e := range d.tracker.Load().Services[service] {
		if !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
}

// oldestStarts implements roller.OldestStarts.
func (d *Daemon) oldestStarts(service string) map[string]int64 {
	if !d.endpointReplica.IsLoaded() {
		return nil
	}
	oldest := make(map[string]int64)
	for _, e := range d.tracker.Load().All {
		if e.Service != service {
			continue
		}
		if start, ok := oldest[e.Version]; !ok || e.Born < start {
			oldest[e.Version] = e.Born
		}
	}
	return oldest
}

// serviceLoad returns the current load of a service over all daemons.
func (d *Daemon) serviceLoad(service string) scaler.Load {
	now := time.Now()
	late, steady := d.demandMeter.PromptRates(service, now)
	return scaler.Load{
		PromptRate: late, SteadyPromptRate: steady, PromptTrend: d.demandMeter.PromptTrend(service, now), PrefillRate: d.chooser.PrefillRate(service),
		RequestsInFlight: float64(d.chooser.CountRunning(d.tracker.Load().Services[service])),
	}
}

// usageRecorder counts requests for usage reports. It corrects the local clock by the offset to the
// fleet's clock, so that all daemons assign requests to the same windows.
type usageRecorder struct{ daemon *Daemon }

// RecordStart implements carrier.Usage.
func (u usageRecorder) RecordStart(organisation string, at time.Time) {
	u.daemon.usageCounter.RecordStart(organisation, at.Add(u.daemon.sharer.ClockOffset()))
}

// runMemberCounts periodically updates the limiters' number of daemons, by which they divide the
// allowances.
func (d *Daemon) runMemberCounts(ctx context.Context) error {
	return ticker.Every(ctx, memberCountPeriod, func(context.Context) {
		members, unreachable := d.countMembers()
		d.allowances.SetMembers(members, unreachable, d.sharer.PropagationDelay(), time.Now())
		d.retryBudget.SetMembers(members)
	})
}

// runStoreCheck periodically reports to the other daemons whether this one can reach the store, and
// reads from an unreachable store to find out when it answers again. After the store was restored
// from older data it writes this daemon's entries again.
func (d *Daemon) runStoreCheck(ctx context.Context) error {
	era, known := d.store.LatestEra()
	return ticker.Every(ctx, storeCheckPeriod, func(ctx context.Context) {
		was, had := era, known
		if era, known = d.store.LatestEra(); had && era > was {
			d.log("msg", "store restored", "era", era, "before", was)
			go d.restoreEntries(ctx)
		}
		if d.store.IsUnreachable() {
			// Get records whether the store answers; neither the entry nor the error is needed.
			_, _ = d.store.Get(ctx, storeCheckKey)
		}
		d.sharer.SetStoreUnreachable(d.store.IsUnreachable())
	})
}

// maxRewriteDelay bounds the random delay after which a daemon writes its entries again, so that
// not all daemons write to a restored store at once.
const maxRewriteDelay = 2 * time.Second

// restoreEntries writes again the entries of this daemon that the store may have lost when it was
// restored from older data.
func (d *Daemon) restoreEntries(ctx context.Context) {
	d.roller.RepublishStates()
	if !ticker.Sleep(ctx, rand.N(maxRewriteDelay)) {
		return
	}
	for ctx.Err() == nil {
		err := d.rewriteEntries(ctx)
		if err == nil {
			return
		}
		d.log("msg", "cannot write entries to the restored store", "error", err)
		if errors.Is(err, issuer.ErrDifferentAuthority) {
			// The store holds another authority, so retries would fail as well.
			return
		}
		ticker.Sleep(ctx, joinRetryDelay)
	}
}

// rewriteEntries writes this daemon's address and the certificate authority again. It also reads
// the addresses of daemons that started meanwhile.
func (d *Daemon) rewriteEntries(ctx context.Context) error {
	if err := d.enroller.Join(ctx); err != nil {
		return err
	}
	if a := d.certAuthority.Load(); a != nil {
		return a.RestoreIfLost(ctx, d.cfg.Adapter.Store)
	}
	return nil
}

// runCleanup periodically closes expired connections and removes expired endpoints.
func (d *Daemon) runCleanup(ctx context.Context) error {
	return ticker.Every(ctx, cleanupPeriod, func(context.Context) {
		d.connPool.CloseExpired()
		d.tracker.RemoveLapsed()
		d.refreshColdLimits()
		d.estimator.LogChanges()
		d.callerServer.bounder.Sweep()
		if d.localizer != nil {
			d.localizer.Refresh()
		}
	})
}

// runDuties periodically runs the components that act under the platform duty. Each checks itself
// whether this daemon holds the duty.
func (d *Daemon) runDuties(ctx context.Context) error {
	steps := []func(context.Context){d.roller.Tick}
	if d.cfg.Adapter.Reporter != nil {
		steps = append(steps, d.accounter.Tick)
	}
	if d.cfg.Adapter.Orderer != nil {
		steps = append(steps, d.scaler.Tick)
	}
	var g errgroup.Group
	for _, w := range steps {
		// Each component has its own goroutine, so that a slow call does not delay the others.
		g.Go(func() error { return ticker.Every(ctx, dutyStepPeriod, w) })
	}
	return g.Wait()
}

// runDutyKeeper takes part in the election of duty holders, and keeps the leases of the duties that
// this daemon holds.
func (d *Daemon) runDutyKeeper(ctx context.Context) error {
	if !ticker.Sleep(ctx, dutyStartDelay) {
		return nil
	}
	return d.dutyKeeper.Run(ctx)
}
