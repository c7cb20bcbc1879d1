// Package assessor compares fault rates and answer times by sequential tests: the bounds of a rate hold at
// all sample sizes at once, so that a test may be repeated after each request.
package assessor

import "math"

// Rate is a number of faults among a number of requests.
type Rate struct {
	Faults, Requests uint64
}

// NewRate returns a rate from counts, which reports of different moments may leave inconsistent.
func NewRate(faults, requests int) Rate {
	faults, requests = max(faults, 0), max(requests, 0)
	return Rate{Faults: uint64(min(faults, requests)), Requests: uint64(requests)}
}

// Fraction returns the observed fraction of faults, or 0 without requests.
func (r Rate) Fraction() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.Faults) / float64(r.Requests)
}

// Exceeds reports whether the probability of a fault is above that of other by more than margin. For
// rates within the margin, alpha bounds the probability that it is ever true while the numbers grow.
func (r Rate) Exceeds(other Rate, margin, alpha float64) bool {
	if r.Requests == 0 || other.Requests == 0 || r.Fraction() <= other.Fraction()+margin {
		return false
	}
	return r.LowerBound(alpha/2) > other.UpperBound(alpha/2)+margin
}

// ExceedsEstimate is like Exceeds, but takes the observed rate of other and one standard error for
// its true rate. It needs fewer requests than Exceeds, and alpha holds for an other rate that was
// observed over several times as many requests.
func (r Rate) ExceedsEstimate(other Rate, margin, alpha float64) bool {
	limit := other.upperEstimate() + margin
	return r.Requests > 0 && r.Fraction() > limit && limit < 1 && r.rejects(limit, alpha)
}

// upperEstimate returns the estimated probability of a fault plus one standard error. One fault and
// one success are added, so that the estimate is neither 0 nor 1.
func (r Rate) upperEstimate() float64 {
	n := float64(r.Requests) + 2
	p := (float64(r.Faults) + 1) / n
	return p + math.Sqrt(p*(1-p)/n)
}

// boundBisections is the number of bisections that compute a confidence bound to about 1e-9.
const boundBisections = 30

// LowerBound returns the lower end of a confidence sequence for the probability of a fault: with
// probability 1-alpha the true value is above the bound at all sample sizes at once. It inverts
// Robbins' mixture martingale with a uniform prior.
func (r Rate) LowerBound(alpha float64) float64 {
	low, high := 0.0, r.Fraction()
	mixture := r.logMixture()
	for range boundBisections {
		mid := (low + high) / 2
		if r.rejectsWith(mixture, mid, alpha) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// UpperBound returns the upper end of the confidence sequence, by the symmetry of faults and
// successes.
func (r Rate) UpperBound(alpha float64) float64 {
	return 1 - Rate{r.Requests - r.Faults, r.Requests}.LowerBound(alpha)
}

// rejects reports whether the observation refutes the fault probability p at level alpha: the
// likelihood ratio of the mixture to p is at least 1/alpha.
func (r Rate) rejects(p, alpha float64) bool { return r.rejectsWith(r.logMixture(), p, alpha) }

// logMixture returns the logarithm of the likelihood of the mixture.
func (r Rate) logMixture() float64 {
	faults, others := float64(r.Faults), float64(r.Requests-r.Faults)
	return logGamma(faults+1) + logGamma(others+1) - logGamma(faults+others+2)
}

// rejectsWith is rejects with the value of logMixture.
func (r Rate) rejectsWith(mixture, p, alpha float64) bool {
	faults, others := float64(r.Faults), float64(r.Requests-r.Faults)
	likelihood := 0.0
	if faults > 0 {
		likelihood += faults * math.Log(p)
	}
	if others > 0 {
		likelihood += others * math.Log1p(-p)
	}
	return mixture-likelihood >= -math.Log(alpha)
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}
