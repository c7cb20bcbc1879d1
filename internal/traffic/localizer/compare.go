package localizer

import "time"

// Reason says why a request leaves its domain; Stay if it does not.
type Reason string

// Reasons.
const (
	Stay Reason = ""
	// Late means that the own domain would answer late.
	Late Reason = "late"
	// Full means that the slots of the best own endpoint are in use.
	Full Reason = "full"
	// Failing means that the best own endpoint failed recently.
	Failing Reason = "failing"
	// Unavailable means that no own endpoint takes requests.
	Unavailable Reason = "unavailable"
)

// limits are fractions of the target.
type limits struct {
	// late is the predicted wait over which the own domain counts as late. It is below 1 since a predicted wait is
	// too short at times.
	late float64
	// minGain is the least gain for which a request leaves that the other domain does not answer late, and largeGain
	// the gain for which it leaves in any case.
	minGain, largeGain float64
}

var (
	// freshLimits apply where loads are known at once.
	freshLimits = limits{late: 0.75, minGain: 0.15, largeGain: 0.5}
	// oldLimits apply in a large fleet. Queues grow there for half a second before they are known: with a limit of
	// 0.5 for late and 0.3 for a large gain, 1 to 61 in 100 requests were late in the model where one domain has 1.7
	// times the load of the others; with these it is under 1.
	oldLimits = limits{late: 0.35, minGain: 0.15, largeGain: 0.25}
)

const (
	// crossingTime is the time that a request and its answer take longer between domains: twice 1.4 ms, and
	// something for the connection.
	crossingTime = 4 * time.Millisecond
	// failingRate is the failure rate of an endpoint from which another domain is better, if its rate is less than
	// half. One failure makes it 0.25, and it takes 4.6 s to fall below this.
	failingRate = 0.05
)

// Offer is what the best endpoint of a domain offers.
type Offer struct {
	// Wait is the predicted time until the answer begins.
	Wait time.Duration
	// IsFull reports whether all slots of the endpoint are in use.
	IsFull bool
	// FailureRate is from 0 to 1.
	FailureRate float64
}

// Need is what a request needs.
type Need struct {
	// Target is the time within which its answer should begin.
	Target time.Duration
	// HasOldLoads reports whether the loads of other daemons are known late, as in a large fleet.
	HasOldLoads bool
}

func (n Need) limits() limits {
	if n.HasOldLoads {
		return oldLimits
	}
	return freshLimits
}

// part returns a fraction of the target.
func (n Need) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.Target))
}

// Compare returns why a request should leave the own domain for another one, or Stay.
func Compare(n Need, own, other Offer) Reason {
	if other.IsFull && !own.IsFull || other.FailureRate >= failingRate && own.FailureRate < failingRate {
		return Stay
	}
	if own.FailureRate >= failingRate && other.FailureRate < own.FailureRate/2 {
		return Failing
	}
	l := n.limits()
	late, gain := n.part(l.late), own.Wait-other.Wait-crossingTime
	if gain >= n.part(l.largeGain) || own.Wait > late && other.Wait <= late && gain >= n.part(l.minGain) {
		return Late
	}
	if own.IsFull && !other.IsFull && other.Wait <= own.Wait {
		return Full
	}
	return Stay
}

// IsEnough reports whether the own domain serves a request well, so that no other domain need be compared.
func IsEnough(n Need, own Offer) bool {
	l := n.limits()
	return !own.IsFull && own.FailureRate < failingRate && own.Wait <= n.part(min(l.late, l.largeGain))
}
