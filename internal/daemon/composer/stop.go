package composer

import (
	"context"
	"time"

	"pomelotiller/internal/traffic/carrier"
)

const (
	// balancerDelay is how long the load balancer may take to notice that a daemon is no longer
	// ready. A stopping daemon runs at least that long, if the grace period allows.
	balancerDelay = 3 * time.Second
	// maxAcceptDuration is how long a stopping daemon goes on accepting new requests at most. It is
	// shorter than balancerDelay to leave a margin for requests on their way.
	maxAcceptDuration = 2700 * time.Millisecond
	// acceptFraction limits the time for accepting requests to a fraction of a short stop, so that
	// time is left to answer those accepted last.
	acceptFraction = 2.0 / 3
	// maxKillMargin is how long before the end of the grace period, when the process is killed, the
	// daemon stops waiting for requests, at most. It answers them and ends meanwhile.
	maxKillMargin = 600 * time.Millisecond
	// killMarginDivisor limits that time to a part of a short grace period: requests that end within
	// its last sixth are not lost through the daemon.
	killMarginDivisor = 6
	// stopPollPeriod is the time between two checks of the requests in flight during a stop.
	stopPollPeriod = 50 * time.Millisecond
)

// killMargin returns how long before the end of a grace period the daemon stops waiting for requests.
func killMargin(grace time.Duration) time.Duration {
	return min(maxKillMargin, grace/killMarginDivisor)
}

// acceptDuration returns how long a stop goes on accepting new requests if it waits for requests in
// flight until last.
func acceptDuration(last time.Duration) time.Duration {
	return min(maxAcceptDuration, time.Duration(acceptFraction*float64(last)))
}

// stopGracefully carries out a planned stop: it reports the daemon as not ready, refuses new
// requests after acceptDuration, waits until the requests in flight are complete or the grace
// period is nearly over, and closes the server for callers.
func (d *Daemon) stopGracefully(ctx context.Context) {
	began := time.Now()
	grace := d.currentSettings().Edge.Grace.Std()
	d.beginStop(began, grace)
	d.isStopping.Store(true)
	d.sharer.AnnounceStop()
	d.log("msg", "stopping", "in_flight", d.carrier.InFlight())
	for ctx.Err() == nil {
		if g := d.currentSettings().Edge.Grace.Std(); g < grace {
			// A longer one does not count: the time of the kill may have been set at the signal.
			grace = g
			d.beginStop(began, grace)
		}
		last := grace - killMargin(grace)
		refuse, end := stopActions(time.Since(began), last, d.carrier.InFlight())
		if refuse {
			d.callerServer.disableKeepAlives()
		}
		if end {
			break
		}
		time.Sleep(min(stopPollPeriod, last-time.Since(began)))
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		d.leaveFleet(ctx)
	}()
	d.endServing(ctx, killMargin(grace))
	<-left
	d.log("msg", "drained", "in_flight", d.carrier.InFlight(), "took", time.Since(began))
}

// leaveTimeout bounds the removal of this daemon from the list of members, which otherwise ends with its
// lease.
const leaveTimeout = 200 * time.Millisecond

func (d *Daemon) leaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.enroller.Leave(ctx)
}

// beginStop tells the carrier the times of a stop.
func (d *Daemon) beginStop(began time.Time, grace time.Duration) {
	last := grace - killMargin(grace)
	d.carrier.BeginStop(carrier.StopTimes{Refuse: began.Add(acceptDuration(last)), End: began.Add(last)})
}

// endServing stops listening for callers and ends the requests that are still in flight, within two
// thirds of the margin before the process is killed. The first half of the margin is left to answers
// that are being sent, and after it a sixth to the failures that the carrier sends in place of others.
func (d *Daemon) endServing(ctx context.Context, margin time.Duration) {
	d.callerServer.shutdown(ctx, margin/2)
	d.carrier.EndRequests()
	d.callerServer.shutdown(ctx, margin/6)
}

// stopActions returns what a planned stop does after the given time: whether it refuses new
// requests and whether it ends the daemon. It ends the daemon after last even if requests are in
// flight.
func stopActions(age, last time.Duration, inFlight int) (refuse, end bool) {
	return age >= acceptDuration(last), age >= last || age >= balancerDelay && inFlight == 0
}
