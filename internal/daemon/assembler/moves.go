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

// moves are the parts of a daemon that carry out moves.
type moves struct {
	follower *mover.Follower
	mover    *mover.Mover
	duties   *dutykeeper.Keeper
	orderer  *orderer.Orderer
}

func (m moves) runs() []func(context.Context) error {
	return []func(context.Context) error{m.follower.Run, m.follower.RunLoad, m.duties.Run, m.mover.Run, m.orderer.Run}
}

func (d *Daemon) buildMoves(store storer.Store) {
	s := d.settings
	d.moves.follower = mover.NewFollower(mover.FollowerConfig{
		Self: s.Name, Domain: s.Domain, Spreader: d.gossiper, Store: store, Logger: d.logger, Registry: d.registry,
		Set:     func() loader.Set { return d.holder.Load().Set },
		Members: d.members, Sender: datagrams{d},
		Changed: func() { d.control.Refresh(d.ctx) },
	})
	d.moves.duties = dutykeeper.New(dutykeeper.Config{
		Self: s.Name, Store: store, Members: d.members, Duties: d.duties, Logger: d.logger, Registry: d.registry,
	})
	d.moves.mover = mover.New(mover.Config{
		Self: s.Name, Store: store, Follower: d.moves.follower, View: d.holder.Load, Held: d.held, Logger: d.logger, Registry: d.registry,
	})
	d.buildEngineOrders()
}

func (d *Daemon) buildEngineOrders() {
	client := inferrer.NewHTTP()
	d.moves.orderer = orderer.New(orderer.Config{
		View: d.holder.Load, Wanted: d.moves.follower.Wanted, Held: d.moves.duties.Held,
		Fetcher: fetcher.NewClient(fetcher.ClientConfig{Address: d.settings.Platform}), Logger: d.logger, Registry: d.registry,
		Dial: func(address string) orderer.Engine {
			return inferrer.NewClient(inferrer.ClientConfig{Address: address, HTTP: client})
		},
	})
}

// datagramTimeout bounds the connection that a datagram may need.
const datagramTimeout = time.Second

// datagrams sends datagrams without waiting for them.
type datagrams struct{ daemon *Daemon }

// HandleDatagram implements mover.Sender.
func (s datagrams) HandleDatagram(kind string, f func([]byte)) {
	s.daemon.messenger.HandleDatagram(kind, f)
}

// Send implements mover.Sender.
func (s datagrams) Send(addr, kind string, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(s.daemon.ctx, datagramTimeout)
		defer cancel()
		meter.Count(s.daemon.registry, int64(len(body)), "move_report_bytes_total")
		if err := s.daemon.messenger.Send(ctx, addr, kind, body); err != nil {
			meter.Count(s.daemon.registry, 1, "move_report_failures_total")
		}
	}()
}

// duties returns the names of all duties that the configuration gives rise to.
func (d *Daemon) duties() []string {
	set := d.holder.Load().Set
	names := orderer.Duties(set)
	for _, name := range d.moves.follower.Names(set) {
		names = append(names, mover.DutyPrefix+name)
	}
	return names
}

func (d *Daemon) held(duty string) (uint64, bool) {
	g, ok := d.moves.duties.Held(duty)
	return g.Epoch, ok
}
