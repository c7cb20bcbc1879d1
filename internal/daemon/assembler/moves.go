package assembler

import (
	"context"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/control/orderer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/fetcher"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/storer"
)

// moveComponents are the components of a daemon that carry out moves of traffic between versions.
type moveComponents struct {
	follower   *mover.Follower
	mover      *mover.Mover
	dutyKeeper *dutykeeper.Keeper
	orderer    *orderer.Orderer
}

// runFuncs returns the functions that run the components until their context ends.
func (m moveComponents) runFuncs() []func(context.Context) error {
	return []func(context.Context) error{m.follower.Run, m.follower.RunInitialLoad, m.dutyKeeper.Run, m.mover.Run, m.orderer.Run}
}

// buildMoveComponents builds the components that carry out moves.
func (d *Daemon) buildMoveComponents(store storer.Store) {
	s := d.settings
	d.moveComponents.follower = mover.NewFollower(mover.FollowerConfig{
		Self: s.Name, Domain: s.Domain, Gossip: d.gossiper, Store: store, Logger: d.logger, Registry: d.registry,
		Set:     func() loader.Set { return d.viewHolder.Load().Set },
		Members: d.listMembers, Sender: asyncSender{d},
		OnMoveSharesChanged: func() { d.control.RefreshView(d.ctx) },
	})
	d.moveComponents.dutyKeeper = dutykeeper.New(dutykeeper.Config{
		Self: s.Name, Store: store, Members: d.listMembers, Duties: d.dutyNames, Logger: d.logger, Registry: d.registry,
	})
	d.moveComponents.mover = mover.New(mover.Config{
		Self: s.Name, Store: store, Follower: d.moveComponents.follower, View: d.viewHolder.Load, HoldsDuty: d.holdsDuty, Logger: d.logger, Registry: d.registry,
	})
	d.buildOrderer()
}

// buildOrderer builds the component that sends orders to load and unload versions to engines.
func (d *Daemon) buildOrderer() {
	client := inferrer.NewHTTP()
	d.moveComponents.orderer = orderer.New(orderer.Config{
		View: d.viewHolder.Load, WantedVersions: d.moveComponents.follower.WantedVersions, HeldGrant: d.moveComponents.dutyKeeper.HeldGrant,
		Fetcher: fetcher.NewClient(fetcher.ClientConfig{Address: d.settings.Platform}), Logger: d.logger, Registry: d.registry,
		Dial: func(address string) orderer.Engine {
			return inferrer.NewClient(inferrer.ClientConfig{Address: address, HTTP: client})
		},
	})
}

// datagramTimeout bounds the time to send a datagram, which may need a new connection.
const datagramTimeout = time.Second

// asyncSender sends datagrams in the background.
type asyncSender struct{ daemon *Daemon }

// HandleDatagram implements mover.Sender.
func (s asyncSender) HandleDatagram(kind string, f func([]byte)) {
	s.daemon.messenger.HandleDatagram(kind, f)
}

// Send implements mover.Sender.
func (s asyncSender) Send(addr, kind string, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(s.daemon.ctx, datagramTimeout)
		defer cancel()
		meter.AddToCounter(s.daemon.registry, int64(len(body)), "move_report_bytes_total")
		if err := s.daemon.messenger.SendDatagram(ctx, addr, kind, body); err != nil {
			meter.AddToCounter(s.daemon.registry, 1, "move_report_failures_total")
		}
	}()
}

// dutyNames returns the names of all duties that the current configuration requires.
func (d *Daemon) dutyNames() []string {
	set := d.viewHolder.Load().Set
	names := orderer.Duties(set)
	for _, name := range d.moveComponents.follower.MoveNames(set) {
		names = append(names, mover.MoveDutyPrefix+name)
	}
	return names
}

// holdsDuty reports whether this daemon holds a duty, and returns the duty's epoch, which serves as
// the fencing token.
func (d *Daemon) holdsDuty(duty string) (uint64, bool) {
	g, ok := d.moveComponents.dutyKeeper.HeldGrant(duty)
	return g.Epoch, ok
}
