package chooser

import (
	"math"
	"time"

	"pomelotiller/internal/config/switcher"
)

// Result is the outcome of an attempt, as evidence of the health of its endpoint.
type Result int

// Results of attempts.
const (
	// ResultNoEvidence says nothing about the endpoint: the caller disconnected, or the request was
	// invalid.
	ResultNoEvidence Result = iota
	// ResultGood is a complete answer.
	ResultGood
	// ResultFailed is an answer that reports a failure.
	ResultFailed
	// ResultBusy is a refusal of a request that did not run.
	ResultBusy
	// ResultBroken is a missing or incomplete answer.
	ResultBroken
	// ResultUnreachable is a connection that could not be made.
	ResultUnreachable
)

const (
	// latestResultWeight is the weight of the latest result in the moving failure rate.
	latestResultWeight = 0.25
	// failureHalfLife is the time in which the failure rate halves without results, so that a
	// failing endpoint is tried again.
	failureHalfLife = 2 * time.Second
	// minEjection is how long an unreachable endpoint is ejected. It doubles with each
	// consecutive failure to connect up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 2400 * time.Millisecond
)

// health tracks the failure rate of an endpoint, and its ejection after failures to connect
// (outlier ejection).
type health struct {
	// failureRate is an exponentially weighted average from 0 to 1, as of updatedAt.
	failureRate float64
	updatedAt   time.Time
	// unreachableCount counts consecutive failures to connect.
	unreachableCount int
	ejectedUntil     time.Time
}

// decayedFailureRate returns the failure rate after its decay until now.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// recordResult updates the failure rate, and ejects the endpoint if it is unreachable. A busy
// endpoint counts as half a failure.
func (h *health) recordResult(r Result, p switcher.Policies, now time.Time) {
	failure := 0.0
	switch r {
	case ResultNoEvidence:
		return
	case ResultFailed, ResultBroken, ResultUnreachable:
		failure = 1
	case ResultBusy:
		failure = 0.5
	}
	if p.IsOn(switcher.Failures) {
		h.failureRate = h.decayedFailureRate(now)*(1-latestResultWeight) + failure*latestResultWeight
		h.updatedAt = now
	}
	if r != ResultUnreachable || !p.IsOn(switcher.Eject) {
		h.unreachableCount = 0
		return
	}
	h.ejectedUntil = now.Add(min(minEjection<<min(h.unreachableCount, 8), maxEjection))
	h.unreachableCount++
}
