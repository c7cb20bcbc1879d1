package composer

import (
	"context"
	"net"
	"slices"
	"time"

	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/ticker"
)

const (
	// joinRetryDelay is the time between two attempts to join the fleet.
	joinRetryDelay = 200 * time.Millisecond
	// nonSeedDelay is how long a daemon that is not a seed waits at the first start of the fleet,
	// so that the seeds create the certificate authority.
	nonSeedDelay = 300 * time.Millisecond
	// largeFleetTimeout is how long a starting daemon waits to learn that the fleet is large, and
	// largeFleetPollPeriod the time between two checks.
	largeFleetTimeout    = time.Second
	largeFleetPollPeriod = 100 * time.Millisecond
	// hubPollPeriod is the time between two checks whether this daemon is a hub. The first check
	// comes that long after the start, when the hubs have been chosen.
	hubPollPeriod = 3 * time.Second
)

// isSeed reports whether the settings name this daemon as a seed, to which others connect first.
func (d *Daemon) isSeed() bool {
	return slices.Contains(d.cfg.Settings.Seeds, d.cfg.Settings.Operators)
}

// runPeerServer obtains key material from the store, serves the other daemons until ctx ends, and
// joins the fleet in the background.
func (d *Daemon) runPeerServer(ctx context.Context) error {
	var id messenger.Identity
	var a issuer.Authority
	if d.cfg.Settings.Edge.First && !d.isSeed() {
		// The seeds create the authority in the store; the others read it there.
		ticker.Sleep(ctx, nonSeedDelay)
	}
	for first := true; ; first = false {
		var err error
		if id, a, err = issuer.IssueIdentity(ctx, d.cfg.Adapter.Store, d.cfg.Settings.Name); err == nil {
			d.certAuthority.Store(&a)
			break
		}
		if first {
			d.log("msg", "cannot get key material, will retry", "error", err)
		}
		if !ticker.Sleep(ctx, joinRetryDelay) {
			return nil
		}
	}
	m, err := messenger.New(messenger.Config{Listen: d.cfg.Settings.Peers, Identity: &id, Registry: d.registry})
	if err != nil {
		return err
	}
	d.registerPeerHandlers(m)
	d.sharer.AddContacts(d.seedPeerAddresses()...)
	d.sharer.Attach(m)
	go d.runJoin(ctx)
	return m.Run(ctx)
}

// registerPeerHandlers registers the handlers of other daemons' calls.
func (d *Daemon) registerPeerHandlers(m *messenger.Messenger) {
	m.Handle(d.operatorReplica.PullKind(), d.operatorReplica.ServePull)
	m.Handle(d.endpointReplica.PullKind(), d.endpointReplica.ServePull)
	m.Handle(usageCountsKind, d.answerUsageCounts)
}

// seedPeerAddresses returns the peer addresses of the seeds. The settings name the seeds by another
// port, which is replaced by this daemon's peer port, since all daemons use the same ports.
func (d *Daemon) seedPeerAddresses() []string {
	_, port, err := net.SplitHostPort(d.cfg.Settings.Peers)
	if err != nil {
		return nil
	}
	var out []string
	for _, s := range d.currentSettings().Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// runJoin tries to join the fleet until it succeeds. At the first start of a large fleet only hubs
// write their addresses to the store, since the other daemons can reach the fleet through them.
func (d *Daemon) runJoin(ctx context.Context) {
	if d.cfg.Settings.Edge.First {
		d.awaitLargeFleet(ctx)
	}
	for ctx.Err() == nil {
		err := d.enroller.Join(ctx)
		if err == nil {
			d.hasJoined.Store(true)
			return
		}
		d.log("msg", "cannot join the fleet, will retry", "error", err)
		ticker.Sleep(ctx, joinRetryDelay)
	}
}

// awaitLargeFleet waits, for at most largeFleetTimeout, until the fleet turns out to be large, and
// in a large fleet until this daemon is a hub.
func (d *Daemon) awaitLargeFleet(ctx context.Context) {
	for end := time.Now().Add(largeFleetTimeout); !d.sharer.IsLargeFleet() && time.Now().Before(end); {
		if !ticker.Sleep(ctx, largeFleetPollPeriod) {
			return
		}
	}
	if d.sharer.IsLargeFleet() {
		d.hasJoined.Store(true)
		d.awaitHub(ctx)
	}
}

// awaitHub returns once this daemon is a hub, the fleet is no longer large, or ctx ends.
func (d *Daemon) awaitHub(ctx context.Context) {
	for ticker.Sleep(ctx, hubPollPeriod) {
		if d.sharer.IsHub() || !d.sharer.IsLargeFleet() {
			return
		}
	}
}
