package composer

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/control/scaler"
	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/remote/storer"
)

const (
	// memberPrefix starts the keys under which daemons leave their addresses.
	memberPrefix = "fleet/members/"
	joinDelay    = 200 * time.Millisecond
	slowPeriod   = 500 * time.Millisecond
	fastPeriod   = 50 * time.Millisecond
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
	d.sharer.Hasten()
}

func (d *Daemon) applyEndpoints(changed []storer.Entry, lost time.Time) {
	changes := make([]tracker.Change, 0, len(changed))
	for _, e := range changed {
		changes = append(changes, d.cfg.Adapter.Endpoint(e))
	}
	d.tracker.Apply(changes, lost)
}

func (d *Daemon) endpointsChanged() {
	d.chooser.Forget(d.tracker.Load().All)
	d.sharer.Hasten()
}

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
	return scaler.Load{
		Prompt: d.gauge.Prompt(service, time.Now()), Pace: d.chooser.Pace(service),
		Running: float64(d.chooser.Running(d.tracker.Load().Services[service])),
	}
}

// fill completes the status that goes to the other daemons.
func (d *Daemon) fill(s *sharer.Status) {
	s.Loads = d.chooser.Loads()
	for org, total := range d.allowances.Totals() {
		s.Spent = append(s.Spent, sharer.Spent{Organisation: org, Total: total})
	}
	s.Windows = d.counter.Shared()
	s.Demands = d.gauge.Shared()
	s.Trials, s.Moves = d.roller.Shared()
}

// heard takes in a status of another daemon.
func (d *Daemon) heard(old, current *sharer.Peer) {
	d.chooser.SetPeer(current.Name, current.Loads)
	d.counter.Hear(current.Name, current.Boot, current.Windows)
	d.gauge.Hear(current.Name, current.Boot, current.Demands, current.Heard)
	d.roller.Hear(current.Name, current.Trials, current.Moves)
	d.heardSpent(old, current)
	if old == nil || !maps.Equal(old.Revisions, current.Revisions) {
		d.operator.Wake()
		d.endpoints.Wake()
	}
}

// lost takes a daemon that is silent out of what is counted.
func (d *Daemon) lost(name string) { d.chooser.SetPeer(name, nil) }

// heardSpent takes from the allowances what another daemon let through since
// its last status. What it let through before this daemon knew it does not
// count.
func (d *Daemon) heardSpent(old, current *sharer.Peer) {
	if old == nil {
		return
	}
	var quiet time.Duration
	if old.Silent {
		quiet = current.Heard.Sub(old.Heard)
	}
	before := make(map[string]float64, len(old.Spent))
	if old.Boot == current.Boot {
		for _, s := range old.Spent {
			before[s.Organisation] = s.Total
		}
	}
	now := time.Now()
	for _, s := range current.Spent {
		if delta := s.Total - before[s.Organisation]; delta != 0 {
			d.allowances.Spend(s.Organisation, delta, quiet, now)
		}
	}
}

// unknownMembers is the number of daemons that is assumed before the store has
// told of any.
const unknownMembers = 16

// count returns how many daemons there may be and how many are not heard.
func (d *Daemon) count() (members, silent int) {
	members, silent = d.sharer.Count()
	if !d.joined.Load() {
		return max(members, unknownMembers), max(silent, unknownMembers-1)
	}
	return members, silent
}

func (d *Daemon) memberCount() int {
	members, _ := d.count()
	return members
}

// usage counts requests in windows of the true time of day.
type usage struct{ d *Daemon }

// Began implements carrier.Usage.
func (u usage) Began(organisation string, at time.Time) {
	u.d.counter.Began(organisation, at.Add(u.d.sharer.Offset()))
}

// runFast keeps what depends on other daemons up to date.
func (d *Daemon) runFast(ctx context.Context) error {
	return ticker.Every(ctx, fastPeriod, func(context.Context) {
		members, silent := d.count()
		d.allowances.SetMembers(members, silent)
		d.budget.SetMembers(members)
	})
}

// runReach tells the others whether the store answers this daemon, and asks it
// again while it does not.
func (d *Daemon) runReach(ctx context.Context) error {
	return ticker.Every(ctx, reachPeriod, func(ctx context.Context) {
		if d.reach.Away() {
			// The outcome counts, not the entry.
			_, _ = d.reach.Get(ctx, reachKey)
		}
		d.sharer.SetAway(d.reach.Away())
	})
}

// runSlow does what is not urgent.
func (d *Daemon) runSlow(ctx context.Context) error {
	return ticker.Every(ctx, slowPeriod, func(context.Context) {
		d.pool.Tick()
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

// runPeers gets key material, joins the other daemons and serves them.
func (d *Daemon) runPeers(ctx context.Context) error {
	var id messenger.Identity
	for first := true; ; first = false {
		var err error
		if id, err = issuer.Identity(ctx, d.cfg.Adapter.Store, d.cfg.Settings.Name); err == nil {
			break
		}
		if first {
			d.log("msg", "no key material yet", "error", err)
		}
		if !ticker.Pause(ctx, joinDelay) {
			return nil
		}
	}
	m, err := messenger.New(messenger.Config{Listen: d.cfg.Settings.Peers, Identity: &id, Registry: d.registry})
	if err != nil {
		return err
	}
	d.operatorHandlers(m)
	d.sharer.Contact(d.seeds()...)
	d.sharer.Attach(m)
	go d.register(ctx)
	return m.Run(ctx)
}

func (d *Daemon) operatorHandlers(m *messenger.Messenger) {
	m.Handle(d.operator.Kind(), d.operator.Answer)
	m.Handle(d.endpoints.Kind(), d.endpoints.Answer)
}

// seeds returns the addresses of daemons that the settings name. They name
// hosts at other ports; daemons have the same ports everywhere.
func (d *Daemon) seeds() []string {
	_, port, err := net.SplitHostPort(d.cfg.Settings.Peers)
	if err != nil {
		return nil
	}
	var out []string
	for _, s := range d.settings().Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// register leaves this daemon's address in the store and reads those of others.
func (d *Daemon) register(ctx context.Context) {
	for {
		err := d.join(ctx)
		if err == nil {
			d.joined.Store(true)
			return
		}
		if !ticker.Pause(ctx, joinDelay) {
			return
		}
		d.log("msg", "not registered", "error", err)
	}
}

func (d *Daemon) join(ctx context.Context) error {
	store := d.cfg.Adapter.Store
	p, err := store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	key, self := memberPrefix+d.cfg.Settings.Name, d.cfg.Settings.PeersAddress()
	var expect uint64
	registered := false
	for _, e := range p.Entries {
		var addr string
		if err := json.Unmarshal(e.Value, &addr); err != nil {
			d.log("msg", "member not readable", "key", e.Key, "error", err)
			continue
		}
		if e.Key == key {
			expect, registered = e.Revision, addr == self
			continue
		}
		d.sharer.Contact(addr)
	}
	if registered {
		return nil
	}
	b, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = store.Swap(ctx, storer.Write{Key: key, Value: b, Expect: expect})
	return err
}
