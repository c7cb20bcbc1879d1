package limiter

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the admission rate averages.
	rateTimeConstant = 2 * time.Second
	// enforceSharesAbove is the fraction of the rate in use above which each daemon keeps to
	// its own share of a nearly empty bucket; it does so until use falls below
	// releaseSharesBelow.
	enforceSharesAbove = 0.7
	releaseSharesBelow = 0.5
	// equalShareFraction is the fraction of the rate that is divided equally, so that a daemon
	// which admitted nothing lately still has a share.
	equalShareFraction = 0.2
	// minShareRateFactor and surplusRateFactor scale a daemon's share of the rate: the first
	// applies when the bucket is empty, and up to the second is added as it fills, so that
	// shares left unused by some daemons are used by others.
	minShareRateFactor = 0.8
	surplusRateFactor  = 2
	// shareBurstTime is how many seconds of its share a daemon may save up.
	shareBurstTime = 500 * time.Millisecond
)

// rateEWMA is an exponentially weighted moving average of a rate.
type rateEWMA struct{ perSecond float64 }

func (f *rateEWMA) add(cost float64) { f.perSecond += cost / rateTimeConstant.Seconds() }

func (f *rateEWMA) decay(took time.Duration) { f.perSecond = decayValue(f.perSecond, took) }

// decayValue returns value after exponential decay over took.
func decayValue(value float64, took time.Duration) float64 {
	return value * math.Exp(-took.Seconds()/rateTimeConstant.Seconds())
}

// unreportedCost is the most that other daemons are expected to admit before their reports
// reach this daemon.
func (b *bucket) unreportedCost(v fleetView) float64 {
	return unreportedRateFactor * b.rate * v.reportDelay.Seconds()
}

// isShareLimited reports whether this daemon may admit only from its own share now. A daemon
// that receives no reports is limited to its share at any level, since the others go on
// admitting.
func (b *bucket) isShareLimited(v fleetView) bool {
	return b.sharesEnforced && (b.level < b.unreportedCost(v) || v.isMissingReports(b.refilledAt))
}

// updateShareEnforcement switches share enforcement on when demand is high and the bucket is
// nearly empty, and off when demand is low. Without shares, daemons that learn of each other's
// admissions late would all spend the same remainder.
func (b *bucket) updateShareEnforcement(v fleetView) {
	inUse := (b.ownRate.perSecond + b.othersRate.perSecond) / (b.rate * v.reachableFraction())
	switch {
	case inUse < releaseSharesBelow, v.reachable() == 1:
		b.sharesEnforced = false
	case inUse > enforceSharesAbove && b.level < b.unreportedCost(v):
		b.sharesEnforced = true
	}
}

// shareFraction returns this daemon's share of what all reachable daemons may admit, from 0
// to 1. It follows the daemon's recent fraction of all admissions.
func (b *bucket) shareFraction(v fleetView) float64 {
	equal := 1 / float64(v.reachable())
	sum := b.ownRate.perSecond + b.othersRate.perSecond
	if sum <= 0 {
		return equal
	}
	return equalShareFraction*equal + (1-equalShareFraction)*max(b.ownRate.perSecond/sum, 0)
}

// shareRate returns the rate at which this daemon's share accrues. It is higher while the
// bucket holds savings, except when reports are missing: the savings may be spent by then.
func (b *bucket) shareRate(v fleetView) float64 {
	saved := min(max(b.level, 0)/max(b.unreportedCost(v), 1), 1)
	if v.isMissingReports(b.refilledAt) {
		saved = 0
	}
	return b.rate * v.reachableFraction() * b.shareFraction(v) * (minShareRateFactor + surplusRateFactor*saved)
}

// shareCapacity is the most that this daemon may save up of its share.
func (b *bucket) shareCapacity(v fleetView) float64 {
	return b.rate * v.reachableFraction() * b.shareFraction(v) * shareBurstTime.Seconds()
}
