package limiter

import (
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	// minDepthDivisor sets the least depth of a bucket to rate / minDepthDivisor, so that an
	// organisation without a burst can pass a single request at all.
	minDepthDivisor = 10
	// depthToleranceFraction is the fraction of the tolerance that is added to the depth, and
	// rateToleranceFraction the fraction that is added to the rate over a window.
	depthToleranceFraction = 0.25
	rateToleranceFraction  = 0.4
	// coldStartToleranceFraction is the fraction of the tolerance that is available at once
	// after all daemons restart, since what was left before is not known.
	coldStartToleranceFraction = 0.2
	// maxColdStartMembers is the largest fleet that gets the cold start grant. Where only some
	// of many daemons restart, the grants they take by mistake would add up.
	maxColdStartMembers = 13
	// unreportedRateFactor is the multiple of the rate at which other daemons may admit before
	// their reports arrive; that much of the tolerance is reserved.
	unreportedRateFactor = 2
	// largeRequestFillFraction is the fraction of the capacity that must be available to admit
	// a request that costs more than it.
	largeRequestFillFraction = 0.5
)

// bucket is one daemon's replica of an organisation's token bucket.
type bucket struct {
	org registrar.Organisation
	// rate is the refill per second, depth the most that may be saved up.
	rate, depth float64
	level       float64
	refilledAt  time.Time
	// admittedTotal is what this daemon admitted since its start.
	admittedTotal float64
	// ownRate and othersRate average what this daemon and the others admitted lately.
	ownRate, othersRate rateEWMA
	// extrapolated is what was charged for other daemons while their reports were missing.
	extrapolated float64
	// sharesEnforced is set while each daemon keeps to its own share.
	sharesEnforced bool
	// levelKnown is set once the level agrees with that of the other daemons, or all spending
	// before the start is out of the window.
	levelKnown bool
	createdAt  time.Time
	// grantedFraction is the fraction of the daemons for which the cold start grant was added.
	grantedFraction float64
	// shareLevel is what is left of this daemon's own share.
	shareLevel float64
}

// configure applies a limit and a tolerance.
func (b *bucket) configure(o registrar.Organisation, t Tolerance, v fleetView) {
	b.org, b.rate = o, o.Rate
	beyond := b.usableTolerance(t, v)
	b.depth = max(o.Burst, o.Rate/minDepthDivisor) + depthToleranceFraction*beyond
	if t.Window > 0 && o.Rate > 0 {
		b.rate += rateToleranceFraction * beyond / t.Window.Seconds()
	}
}

// usableTolerance is the tolerance without the reserve for what other daemons admit before
// their reports arrive.
func (b *bucket) usableTolerance(t Tolerance, v fleetView) float64 {
	return max(t.slack(b.org)-b.unreportedCost(v), 0)
}

// grantColdStart adds a part of the tolerance after a start, as if all daemons had restarted.
// The grant grows with the fraction of reachable daemons.
func (b *bucket) grantColdStart(t Tolerance, v fleetView, now time.Time) {
	if b.levelKnown {
		return
	}
	if now.Sub(b.createdAt) > t.Window {
		// Spending before the start is out of the window by now.
		b.levelKnown = true
		return
	}
	if fraction := v.reachableFraction(); v.members <= maxColdStartMembers && fraction > b.grantedFraction {
		b.level += coldStartToleranceFraction * b.usableTolerance(t, v) * (fraction - b.grantedFraction)
		b.grantedFraction = fraction
	}
}

// adoptLevel takes over the level of another daemon. It subtracts all that this daemon
// admitted, since the other may not have received that yet.
func (b *bucket) adoptLevel(level float64, v fleetView) {
	if !b.levelKnown {
		b.levelKnown = true
		b.level = level - b.admittedTotal
		b.clampLevel(v)
	}
}

// capacity is the most that the reachable daemons may save up. The rest is reserved for
// unreachable daemons, so that the two sides of a network partition don't both spend it.
func (b *bucket) capacity(v fleetView) float64 { return b.depth * v.reachableFraction() }

// refill adds what accrued since the last refill, without the share of unreachable daemons,
// and charges extrapolated admissions while reports are missing.
func (b *bucket) refill(now time.Time, v fleetView) {
	if !now.After(b.refilledAt) {
		return
	}
	took := now.Sub(b.refilledAt)
	b.refilledAt = now
	b.level = min(b.level+b.rate*v.reachableFraction()*took.Seconds(), b.capacity(v))
	isMissingReports := v.isMissingReports(now)
	if isMissingReports {
		b.chargeExtrapolated(took, v)
	} else {
		b.extrapolated = decayValue(b.extrapolated, took)
	}
	if b.level <= 0 {
		// The averages from before the bucket ran empty still determine the shares.
		return
	}
	b.ownRate.decay(took)
	if !isMissingReports {
		b.othersRate.decay(took)
	}
	b.updateShareEnforcement(v)
	b.shareLevel = min(b.shareLevel+b.shareRate(v)*took.Seconds(), b.shareCapacity(v))
}

// chargeExtrapolated charges what the other daemons admit if they continue at their last known
// rate. Unreachable daemons are left out, since a share of the rate is reserved for them.
func (b *bucket) chargeExtrapolated(took time.Duration, v fleetView) {
	cost := b.othersRate.perSecond * took.Seconds() * float64(v.reachable()-1) / float64(v.members-1)
	b.level -= cost
	b.extrapolated += cost
}

// waitSeconds returns the seconds until a request can be admitted; zero or less means now. A
// request larger than largeRequestFillFraction of the capacity overdraws the bucket, and later
// requests wait for the refill; if it had to wait for its full cost, small requests would starve
// it. While the level is not known, a request has to wait for its full cost or a full bucket.
func (b *bucket) waitSeconds(cost float64, v fleetView) float64 {
	rate := b.rate * v.reachableFraction()
	if !b.levelKnown {
		return (min(cost, b.capacity(v)) - b.level) / rate
	}
	if b.isShareLimited(v) {
		missing := min(cost, largeRequestFillFraction*b.shareCapacity(v)) - b.shareLevel
		return max(-b.level/rate, missing/b.shareRate(v))
	}
	return (min(cost, largeRequestFillFraction*b.capacity(v)) - b.level) / rate
}

// charge subtracts what this daemon admitted; a negative cost is a refund.
func (b *bucket) charge(cost float64) {
	b.level -= cost
	b.shareLevel -= cost
	b.admittedTotal += cost
	b.ownRate.add(cost)
}

// chargeOthers subtracts what other daemons admitted, except what was subtracted before: the
// reserved amount that was withheld for a daemon while it was unreachable, and the extrapolated
// cost while reports were missing.
func (b *bucket) chargeOthers(cost, reserved float64, v fleetView) {
	b.othersRate.add(cost)
	if reserved > 0 {
		cost = max(cost-reserved, 0)
	}
	if charged := min(b.extrapolated, cost); charged > 0 {
		b.extrapolated -= charged
		cost -= charged
	}
	b.level = min(b.level-cost, b.capacity(v))
}

// clampLevel caps the level at the capacity.
func (b *bucket) clampLevel(v fleetView) { b.level = min(b.level, b.capacity(v)) }
