package composer

import (
	"context"
	"time"
)

const (
	// balancerTime is how long a balancer may take to notice that a daemon is
	// no longer ready; until then a daemon that stops does not end.
	balancerTime = 3 * time.Second
	// takeTime is how long new requests are taken meanwhile. A margin to
	// balancerTime is kept for those on their way.
	takeTime = 2700 * time.Millisecond
	// exitMargin is kept to the end by force.
	exitMargin = 600 * time.Millisecond
	leavePoll  = 50 * time.Millisecond
)

// leave stops the daemon as planned: no new callers, then the end of what is in
// flight.
func (d *Daemon) leave(ctx context.Context) {
	began := time.Now()
	d.stopping.Store(true)
	d.carrier.DisableKeepAlives()
	d.sharer.AnnounceStop()
	d.log("msg", "stopping", "in_flight", d.carrier.InFlight())
	last := d.settings().Edge.Grace.Std() - exitMargin
	for ctx.Err() == nil {
		refuse, end := stopStep(time.Since(began), last, d.carrier.InFlight())
		if refuse {
			d.carrier.RefuseRequests()
			d.server.closeIdle()
		}
		if end {
			break
		}
		time.Sleep(leavePoll)
	}
	d.server.close(ctx)
	d.log("msg", "drained", "in_flight", d.carrier.InFlight(), "took", time.Since(began))
}

// stopStep says what a planned stop of that age does: whether new requests are
// refused, and whether the daemon ends.
func stopStep(age, last time.Duration, inFlight int) (refuse, end bool) {
	return age >= takeTime, age >= last || age >= balancerTime && inFlight == 0
}
