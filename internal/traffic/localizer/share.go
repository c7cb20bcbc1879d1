package localizer

import (
	"math"
	"time"
)

const (
	// startShare is the share before any result; without results the share returns to it.
	startShare = 0.7
	// shareStep is added for each answer in time. lateFactor and refusedFactor reduce the share for each late
	// answer and for each refusal or failure: one of these takes back what several answers added.
	shareStep     = 0.05
	lateFactor    = 0.7
	refusedFactor = 0.5
	minShare      = 0.02
	// shareHalfLife is the time in which half of the distance to startShare is lost without results, so that a
	// domain that was short or cut off is tried again.
	shareHalfLife = 2 * time.Second
	// closingFailures is the number of consecutive failures after which nothing is sent to a domain for
	// minClosed, doubled with each further failure up to maxClosed.
	closingFailures = 3
	minClosed       = 500 * time.Millisecond
	maxClosed       = 4 * time.Second
)

// result is the outcome of a request outside the own domain.
type result string

const (
	resultInTime  result = "in-time"
	resultLate    result = "late"
	resultRefused result = "refused"
	resultFailed  result = "failed"
)

// share is the fraction of the requests for which leaving pays that are sent to one domain.
type share struct {
	// value is the share as of updatedAt.
	value     float64
	updatedAt time.Time
	// failures counts consecutive failures.
	failures    int
	closedUntil time.Time
}

// at returns the share at a time.
func (s *share) at(now time.Time) float64 {
	if s.closedUntil.After(now) {
		return 0
	}
	kept := math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(shareHalfLife))
	return startShare + (s.value-startShare)*kept
}

// of returns the fraction of the requests with a reason that leave. Those at a failing endpoint leave while answers
// from the other domain are not worse than usual, since each that stays may fail.
func (s *share) of(r Reason, now time.Time) float64 {
	if r == Failing {
		return min(s.at(now)/startShare, 1)
	}
	return s.at(now)
}

// record adjusts the share by the outcome of a request.
func (s *share) record(r result, now time.Time) {
	value := s.at(now)
	if s.closedUntil.After(now) {
		value = s.value
	}
	s.updatedAt = now
	switch r {
	case resultInTime:
		s.value = min(value+shareStep, 1)
	case resultLate:
		s.value = max(value*lateFactor, minShare)
	case resultRefused, resultFailed:
		s.value = max(value*refusedFactor, minShare)
	}
	if r != resultFailed {
		s.failures = 0
		return
	}
	s.failures++
	if n := s.failures - closingFailures; n >= 0 {
		s.closedUntil = now.Add(min(minClosed<<min(n, 8), maxClosed))
	}
}
