package composer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/control/scaler"
	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/remote/storer"
)

const (
	slowPeriod = 500 * time.Millisecond
	fastPeriod = 100 * time.Millisecond
	// reachPeriod is the time between two looks at whether the store answers,
	// and reachKey what is asked for while it does not.
	reachPeriod = 500 * time.Millisecond
	reachKey    = memberPrefix + "none"
	dutyPeriod  = 200 * time.Millisecond
	// dutyDelay is how long a daemon waits at its start to hear of others that
	// a duty falls to.
	dutyDelay = time.Second
)

// applyOperator brings what the operator wrote into force.
func (d *Daemon) applyOperator(changed []storer.Entry, _ time.Time) {
	for _, e := range changed {
		if d.cfg.Adapter.IsCatalog(e.Key) {
			d.applyCatalog(e)
			continue
		}
		o, ok, err := d.cfg.Adapter.Move(e)
		if err != nil {
			d.log("msg", "move not readable", "key", e.Key, "revision", e.Revision, "error", err)
			continue
		}
		if ok {
			d.roller.Apply(o)
		}
	}
}

func (d *Daemon) applyCatalog(e storer.Entry) {
	if e.Deleted {
		d.log("msg", "configuration deleted", "revision", e.Revision, "outcome", "kept")
		return
	}
	c, err := d.cfg.Adapter.Catalog(e)
	if err != nil {
		d.log("msg", "configuration not readable", "revision", e.Revision, "outcome", "former kept", "error", err)
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

func (d *Daemon) applyEndpoints(changed []storer.Entry, lost time.Time) {
	changes := make([]tracker.Change, 0, len(changed))
	for _, e := range changed {
		changes = append(changes, d.cfg.Adapter.Endpoint(e))
	}
	d.tracker.Apply(changes, lost)
}

func (d *Daemon) endpointsChanged() { d.chooser.DropUnknown(d.tracker.Load().All) }

// releases returns the releases of a service that have endpoints.
func (d *Daemon) releases(service string) []string {
	var out []string
	for _, e := range d.tracker.Load().Services[service] {
		if !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
}

// load returns what is asked of a service at present.
func (d *Daemon) load(service string) scaler.Load {
	late, steady := d.gauge.Prompt(service, time.Now())
	return scaler.Load{
		Prompt: late, Steady: steady, Pace: d.chooser.PrefillRate(service),
		Running: float64(d.chooser.CountRunning(d.tracker.Load().Services[service])),
	}
}

// usage counts requests in windows of the true time of day.
type usage struct{ d *Daemon }

// RecordStart implements carrier.Usage.
func (u usage) RecordStart(organisation string, at time.Time) {
	u.d.counter.RecordStart(organisation, at.Add(u.d.sharer.ClockOffset()))
}

// runFast keeps what depends on other daemons up to date.
func (d *Daemon) runFast(ctx context.Context) error {
	return ticker.Every(ctx, fastPeriod, func(context.Context) {
		members, silent := d.count()
		d.allowances.SetMembers(members, silent, d.sharer.PropagationDelay(), time.Now())
		d.budget.SetMembers(members)
	})
}

// runReach tells the others whether the store answers this daemon, and asks it
// again while it does not.
func (d *Daemon) runReach(ctx context.Context) error {
	era, known := d.reach.Era()
	return ticker.Every(ctx, reachPeriod, func(ctx context.Context) {
		was, had := era, known
		if era, known = d.reach.Era(); had && era > was {
			d.log("msg", "store restored", "era", era, "before", was)
			go d.rewrite(ctx)
		}
		if d.reach.Away() {
			// The outcome counts, not the entry.
			_, _ = d.reach.Get(ctx, reachKey)
		}
		d.sharer.SetStoreUnreachable(d.reach.Away())
	})
}

// rewriteTime is within which time the daemons write again what they have in the store,
// each at another moment.
const rewriteTime = 2 * time.Second

// rewrite writes again what the store may have lost when it was restored.
func (d *Daemon) rewrite(ctx context.Context) {
	d.roller.Rewrite()
	if !ticker.Pause(ctx, rand.N(rewriteTime)) {
		return
	}
	for ctx.Err() == nil {
		err := d.rewriteOnce(ctx)
		if err == nil {
			return
		}
		d.log("msg", "not written again", "error", err)
		if errors.Is(err, issuer.ErrOther) {
			// Nothing that this daemon writes mends that.
			return
		}
		ticker.Pause(ctx, joinDelay)
	}
}

// rewriteOnce joins once more, so that daemons which start meanwhile are known, and
// writes the authority.
func (d *Daemon) rewriteOnce(ctx context.Context) error {
	if err := d.join(ctx); err != nil {
		return err
	}
	if a := d.authority.Load(); a != nil {
		return a.Rewrite(ctx, d.cfg.Adapter.Store)
	}
	return nil
}

// runSlow does what is not urgent.
func (d *Daemon) runSlow(ctx context.Context) error {
	return ticker.Every(ctx, slowPeriod, func(context.Context) {
		d.pool.CloseExpired()
		d.tracker.Tick()
		d.server.tick()
	})
}

// runDuties does the work of the duties that this daemon has.
func (d *Daemon) runDuties(ctx context.Context) error {
	works := []func(context.Context){d.roller.Tick}
	if d.cfg.Adapter.Reporter != nil {
		works = append(works, d.accounter.Tick)
	}
	if d.cfg.Adapter.Orderer != nil {
		works = append(works, d.scaler.Tick)
	}
	var g errgroup.Group
	for _, w := range works {
		// A slow call of one work must not hold up another.
		g.Go(func() error { return ticker.Every(ctx, dutyPeriod, w) })
	}
	return g.Wait()
}

// runKeeper keeps the duties that fall to this daemon.
func (d *Daemon) runKeeper(ctx context.Context) error {
	if !ticker.Pause(ctx, dutyDelay) {
		return nil
	}
	return d.keeper.Run(ctx)
}
