package scaler

import (
	"math"
	"time"
)

const (
	// maxReturnFraction bounds the demand of callers that return after a refusal, relative to that of the
	// others. They are demand, since they still wait, but a caller that returns ten times needs one answer.
	maxReturnFraction = 0.5
	// returnTimeConstant is the time after which most refused callers have returned or left.
	returnTimeConstant = 5 * time.Second
)

// returnBudget limits which requests of returning callers count as demand at one daemon. Fleet-wide as
// many callers return to a daemon as it refused, though they are others.
type returnBudget struct {
	// refused are the prompt tokens of refused requests that may return, and allowed the tokens of
	// returning requests that may count.
	refused, allowed float64
}

// counts reports whether a request counts as demand. mayReturn says that its caller may have been refused
// before; where fewer were refused than seem to return, the others are new.
func (b *returnBudget) counts(tokens float64, mayReturn bool) bool {
	if !mayReturn || b.refused < tokens {
		b.allowed += maxReturnFraction * tokens
		return true
	}
	b.refused -= tokens
	if b.allowed < tokens {
		return false
	}
	b.allowed -= tokens
	return true
}

// decay forgets what was refused and allowed some time ago.
func (b *returnBudget) decay(elapsed time.Duration) {
	kept := math.Exp(-float64(elapsed) / float64(returnTimeConstant))
	b.refused *= kept
	b.allowed *= kept
}
