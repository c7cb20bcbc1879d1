package scaler

import (
	"math"
	"slices"
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	// holdFactor is the time that endpoints are kept for a load that may return, as a multiple of the
	// time that an order takes to have effect. A load that returns right after a release then finds too
	// few endpoints for a sixth of the time at most.
	holdFactor = 5
	// maxReleaseFraction is the fraction of the planned endpoints that may be released within
	// scaleDownDelay.
	maxReleaseFraction = 0.5
	// heldInitialFraction is the fraction of the endpoints present at the start that is kept for the hold
	// time: the first seconds of load may be the bottom of a wave.
	heldInitialFraction = 0.5
)

// holdTime returns how long the endpoints that a load needed are kept.
func holdTime(svc registrar.Service) time.Duration { return holdFactor * orderDelay(svc) }

// recentMax is the largest of the counts added within the hold time.
type recentMax struct {
	// counts are those that no later one exceeds, the largest and earliest first.
	counts []timedCount
}

type timedCount struct {
	n  int
	at time.Time
}

// add adds a count and returns the largest one.
func (r *recentMax) add(n int, hold time.Duration, now time.Time) int {
	r.counts = slices.DeleteFunc(r.counts, func(c timedCount) bool { return c.n <= n || now.Sub(c.at) > hold })
	r.counts = append(r.counts, timedCount{n, now})
	return r.counts[0].n
}

// heldNeed is the highest need of the recent past.
type heldNeed struct {
	desired, required recentMax
	// inFlight is the mean of the requests in flight over steadyWindow, as of updatedAt.
	inFlight  float64
	updatedAt time.Time
}

// raise returns the need that a load has, but at least what the steady load needed at any time within
// the hold time: that one is averaged over longer, so that the peaks of noise are not held.
func (h *heldNeed) raise(n Need, svc registrar.Service, l Load, now time.Time) Need {
	kept := math.Exp(-float64(now.Sub(h.updatedAt)) / float64(steadyWindow))
	h.inFlight, h.updatedAt = h.inFlight*kept+l.RequestsInFlight*(1-kept), now
	l.PromptRate, l.RequestsInFlight = l.SteadyPromptRate, h.inFlight
	steady, hold := l.expectedNeed(svc), holdTime(svc)
	return n.max(Need{h.desired.add(steady.Desired, hold, now), h.required.add(steady.Required, hold, now)})
}

// limitRelease returns the smallest count that n may be reduced to after a lower one sufficed for some
// time.
func limitRelease(n int, sufficed time.Duration) int {
	steps := math.Floor(float64(sufficed) / float64(scaleDownDelay))
	return int(math.Ceil(float64(n) * math.Pow(1-maxReleaseFraction, steps)))
}
