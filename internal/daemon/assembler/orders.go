package assembler

import (
	"context"
	"time"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/router"
)

// drainOrdersTimeout bounds how long a stopping daemon waits for its orders to complete. Other
// daemons adopt the rest.
const drainOrdersTimeout = 2 * time.Minute

// buildOrders builds the recorder and the runner of orders.
func (d *Daemon) buildOrders(store storer.Store, owner string, rt *router.Router) *recorder.Recorder {
	rec := recorder.New(recorder.Config{Store: store, Owner: owner})
	d.orderRunner = recorder.NewRunner(d.ctx, recorder.RunnerConfig{
		Recorder: rec, Router: rt, View: d.viewHolder.Load, Name: d.settings.Name, Domain: d.settings.Domain,
		Peers: d.messenger, Quarantine: d.quarantiner, Limits: d.throttler, Tracer: d.tracer, Logger: d.logger, Registry: d.registry,
		Services: observedServices{recorder.HTTPServices{Memory: d.answerMemory}, d.viewHolder.Load, d.moveComponents.follower},
	})
	return rec
}

// drainOrders waits until this daemon processes no more orders, for at most drainOrdersTimeout.
func (d *Daemon) drainOrders() {
	ctx, cancel := context.WithTimeout(d.ctx, drainOrdersTimeout)
	defer cancel()
	if err := d.orderRunner.Drain(ctx); err != nil {
		d.log("msg", "orders left to others", "err", err)
	}
}
