package assembler

import (
	"context"
	"time"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/router"
)

// drainOrdersTime bounds how long a stopping daemon stays for its orders. What
// is left is taken over by others.
const drainOrdersTime = 2 * time.Minute

// buildOrders builds the recorder and the runner of orders.
func (d *Daemon) buildOrders(store storer.Store, owner string, rt *router.Router) *recorder.Recorder {
	rec := recorder.New(recorder.Config{Store: store, Owner: owner})
	d.orders = recorder.NewRunner(d.ctx, recorder.RunnerConfig{
		Recorder: rec, Router: rt, View: d.holder.Load, Name: d.settings.Name, Domain: d.settings.Domain,
		Peers: d.messenger, Tracer: d.tracer, Logger: d.logger, Registry: d.registry,
		Services: observedServices{recorder.HTTPServices{}, d.holder.Load, d.moves.follower},
	})
	return rec
}

// drainOrders waits until no order needs this daemon any more.
func (d *Daemon) drainOrders() {
	ctx, cancel := context.WithTimeout(d.ctx, drainOrdersTime)
	defer cancel()
	if err := d.orders.Drain(ctx); err != nil {
		d.log("msg", "orders left to others", "err", err)
	}
}
