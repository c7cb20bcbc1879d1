package composer

import (
	"context"
	"time"

	"pomelotiller/internal/traffic/carrier"
)

const (
	// balancerDelay is how long the load balancer may take to notice that a daemon is no longer
	// ready. A stopping daemon runs at least that long.
	balancerDelay = 3 * time.Second
	// acceptDuration is how long a stopping daemon goes on accepting new requests. It is shorter
	// than balancerDelay to leave a margin for requests on their way.
	acceptDuration = 2700 * time.Millisecond
	// killMargin is how long before the end of the grace period, when the process is killed, the
	// daemon ends by itself.
	killMargin = 600 * time.Millisecond
	// stopPollPeriod is the time between two checks of the requests in flight during a stop.
	stopPollPeriod = 50 * time.Millisecond
)

// stopGracefully carries out a planned stop: it reports the daemon as not ready, refuses new
// requests after acceptDuration, waits until the requests in flight are complete or the grace
// period is nearly over, and closes the server for callers.
func (d *Daemon) stopGracefully(ctx context.Context) {
	began := time.Now()
	last := d.currentSettings().Edge.Grace.Std() - killMargin
	d.carrier.BeginStop(carrier.StopTimes{Refuse: began.Add(acceptDuration), End: began.Add(last)})
	d.isStopping.Store(true)
	d.sharer.AnnounceStop()
	d.log("msg", "stopping", "in_flight", d.carrier.InFlight())
	for ctx.Err() == nil {
		refuse, end := stopActions(time.Since(began), last, d.carrier.InFlight())
		if refuse {
			d.callerServer.disableKeepAlives()
		}
		if end {
			break
		}
		time.Sleep(stopPollPeriod)
	}
	d.endServing(ctx)
	d.log("msg", "drained", "in_flight", d.carrier.InFlight(), "took", time.Since(began))
}

// endServing stops listening for callers and ends the requests that are still in flight, within two
// thirds of the margin before the process is killed. The first half of the margin is left to answers
// that are being sent, and after it a sixth to the failures that the carrier sends in place of others.
func (d *Daemon) endServing(ctx context.Context) {
	d.callerServer.shutdown(ctx, killMargin/2)
	d.carrier.EndRequests()
	d.callerServer.shutdown(ctx, killMargin/6)
}

// stopActions returns what a planned stop does after the given time: whether it refuses new
// requests and whether it ends the daemon. It ends the daemon after last even if requests are in
// flight.
func stopActions(age, last time.Duration, inFlight int) (refuse, end bool) {
	return age >= acceptDuration, age >= last || age >= balancerDelay && inFlight == 0
}
