package composer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/remote/storer"
)

const (
	// memberPrefix starts the keys under which daemons leave their addresses.
	memberPrefix = "fleet/members/"
	// joinDelay is the time between two tries to join.
	joinDelay = 200 * time.Millisecond
	// firstDelay is how long a daemon that is not a seed leaves it to the seeds
	// to create the authority, where all start for the first time.
	firstDelay = 300 * time.Millisecond
	// meetTime is how long a daemon that starts waits to hear of a large fleet,
	// and meetPeriod the time between two looks.
	meetTime   = time.Second
	meetPeriod = 100 * time.Millisecond
	// roleTime is how long a daemon waits to know whether it is a hub.
	roleTime = 3 * time.Second
)

// isSeed reports whether the settings of others name this daemon.
func (d *Daemon) isSeed() bool {
	return slices.Contains(d.cfg.Settings.Seeds, d.cfg.Settings.Operators)
}

// runPeers gets key material, joins the other daemons and serves them.
func (d *Daemon) runPeers(ctx context.Context) error {
	var id messenger.Identity
	var a issuer.Authority
	if d.cfg.Settings.Edge.First && !d.isSeed() {
		// The seeds create what all need; the others find it there.
		ticker.Pause(ctx, firstDelay)
	}
	for first := true; ; first = false {
		var err error
		if id, a, err = issuer.Identity(ctx, d.cfg.Adapter.Store, d.cfg.Settings.Name); err == nil {
			d.authority.Store(&a)
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
	d.sharer.AddContacts(d.seeds()...)
	d.sharer.Attach(m)
	go d.register(ctx)
	return m.Run(ctx)
}

func (d *Daemon) operatorHandlers(m *messenger.Messenger) {
	m.Handle(d.operator.Kind(), d.operator.Answer)
	m.Handle(d.endpoints.Kind(), d.endpoints.Answer)
	m.Handle(countsKind, d.answerCounts)
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
// Where a large fleet starts for the first time, the addresses of hubs suffice.
func (d *Daemon) register(ctx context.Context) {
	if d.cfg.Settings.Edge.First {
		d.meet(ctx)
	}
	for ctx.Err() == nil {
		err := d.join(ctx)
		if err == nil {
			d.joined.Store(true)
			return
		}
		d.log("msg", "not registered", "error", err)
		ticker.Pause(ctx, joinDelay)
	}
}

// meet waits for others to be heard, and in a large fleet until this daemon is a
// hub.
func (d *Daemon) meet(ctx context.Context) {
	for end := time.Now().Add(meetTime); !d.sharer.IsLargeFleet() && time.Now().Before(end); {
		if !ticker.Pause(ctx, meetPeriod) {
			return
		}
	}
	if d.sharer.IsLargeFleet() {
		d.joined.Store(true)
		d.awaitHub(ctx)
	}
}

// awaitHub returns once this daemon is a hub, or the fleet is no longer large.
func (d *Daemon) awaitHub(ctx context.Context) {
	for ticker.Pause(ctx, roleTime) {
		if d.sharer.IsHub() || !d.sharer.IsLargeFleet() {
			return
		}
	}
}

// join writes this daemon's address and then reads those of others, so that of two
// that join at once one at least knows the other.
func (d *Daemon) join(ctx context.Context) error {
	if err := d.announce(ctx); err != nil {
		return err
	}
	p, err := d.cfg.Adapter.Store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	var others []string
	for _, e := range p.Entries {
		var addr string
		if err := json.Unmarshal(e.Value, &addr); err != nil {
			d.log("msg", "member not readable", "key", e.Key, "error", err)
			continue
		}
		others = append(others, addr)
	}
	d.sharer.AddContactsDelayed(others...)
	return nil
}

// announce writes this daemon's address, unless it stands there from an earlier
// start.
func (d *Daemon) announce(ctx context.Context) error {
	b, err := json.Marshal(d.cfg.Settings.PeersAddress())
	if err != nil {
		return err
	}
	w := storer.Write{Key: memberPrefix + d.cfg.Settings.Name, Value: b}
	_, err = d.cfg.Adapter.Store.Swap(ctx, w)
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Current.Value) == 0 {
		return err
	}
	if bytes.Equal(conflict.Current.Value, b) {
		return nil
	}
	w.Expect = conflict.Current.Revision
	_, err = d.cfg.Adapter.Store.Swap(ctx, w)
	return err
}
