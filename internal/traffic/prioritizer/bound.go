package prioritizer

import (
	"math"
	"time"
)

const (
	// waitFactor is the longest wait for others at which the most urgent requests are admitted, in multiples of the
	// target. In trials on the heaviest deployment, 0.5 targets gave 0.06 more of a day's worth than 1.5 targets
	// of the whole wait.
	waitFactor = 0.5
	// classFactor is the bound of a class in multiples of that of the next more urgent one.
	classFactor = 0.7
	// lateFactor is the bound of requests that can no longer be answered within their target, in multiples of their
	// class's bound.
	lateFactor = 0.85
	// returnFactor raises the bound of callers that come back, so that few are refused twice. Its product with
	// lateFactor is below 1, so that late requests also give way then.
	returnFactor = 1.15
)

// unbounded is the bound of callers none of which has a target.
const unbounded = time.Duration(math.MaxInt64)

// standing is what the bound of a request depends on.
type standing struct {
	rank int
	// late says that the request can no longer be answered within its target, returned that its caller was
	// refused before.
	late, returned bool
}

// bound returns the longest wait for others at which requests of a rank are admitted while none is starved. It
// falls with each rank, so that the least urgent are refused first as the queue grows. Ranks beyond the last are
// allowed.
func (c Competition) bound(rank int) time.Duration {
	if len(c.classes) == 0 {
		return unbounded
	}
	return scaleBound(c.classes[min(rank, len(c.classes)-1)].target, waitFactor*math.Pow(classFactor, float64(rank)))
}

// scaleBound returns factor times a target, of which 0 is none.
func scaleBound(target time.Duration, factor float64) time.Duration {
	if target == 0 || target == unbounded {
		return unbounded
	}
	return time.Duration(factor * float64(target))
}

// bounds are the longest waits for others at which the requests of a service are admitted at a moment.
type bounds struct {
	competition Competition
	// lifted is the least urgent rank that is starved; it and all more urgent ones have the bound of the
	// most urgent, without exception: a queue that callers with a higher one keep full would shut it out. It is -1 if
	// none is.
	lifted int
	// lateStarved says that the late requests of a rank are admitted like its others.
	lateStarved func(rank int) bool
}

// base returns the bound of new requests of a rank that can be answered within their target.
func (b bounds) base(rank int) time.Duration {
	if b.isLifted(rank) {
		return b.competition.bound(0)
	}
	return b.competition.bound(rank)
}

// isLifted reports whether all requests of a rank have the bound of the most urgent.
func (b bounds) isLifted(rank int) bool { return rank <= b.lifted }

// least returns the smallest bound of any request of a rank: that of new, late ones. It is never under that of new
// ones of the next rank.
func (b bounds) least(rank int) time.Duration {
	if b.isLifted(rank) || b.lateStarved(rank) {
		return b.base(rank)
	}
	return max(scaleBound(b.base(rank), lateFactor), b.base(rank+1))
}

// of returns the bound of a request. No request has a higher one than any request of a more urgent rank.
func (b bounds) of(s standing) time.Duration {
	limit := b.base(s.rank)
	if s.late {
		limit = b.least(s.rank)
	}
	if s.returned && !b.isLifted(s.rank) {
		limit = scaleBound(limit, returnFactor)
	}
	if s.rank > 0 {
		limit = min(limit, b.least(s.rank-1))
	}
	return limit
}
