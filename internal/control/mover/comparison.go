package mover

import "math"

// Counts are outcomes of one version. They only grow.
type Counts struct {
	Requests uint64 `cbor:"1,keyasint,omitempty" json:"requests"`
	Errors   uint64 `cbor:"2,keyasint,omitempty" json:"errors"`
	First    uint64 `cbor:"3,keyasint,omitempty" json:"slow_first"`
	Token    uint64 `cbor:"4,keyasint,omitempty" json:"slow_token"`
	Short    uint64 `cbor:"5,keyasint,omitempty" json:"short"`
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Errors + o.Errors, c.First + o.First, c.Token + o.Token, c.Short + o.Short}
}

// Pair holds the counts of the old and the new version over the same time.
type Pair struct {
	Old Counts `cbor:"1,keyasint,omitempty" json:"old"`
	New Counts `cbor:"2,keyasint,omitempty" json:"new"`
}

// Plus returns the sum of two pairs.
func (p Pair) Plus(o Pair) Pair { return Pair{p.Old.Plus(o.Old), p.New.Plus(o.New)} }

// class is one kind of fault of a request.
type class struct {
	name string
	of   func(Counts) uint64
	// bound is the additional share of such faults that is allowed.
	bound func(Limits) float64
}

// Limits are the additional shares of faults that a new version may show.
type Limits struct {
	Errors, Slow, Short float64
}

var classes = []class{
	{"errors", func(c Counts) uint64 { return c.Errors }, func(l Limits) float64 { return l.Errors }},
	{"slow first tokens", func(c Counts) uint64 { return c.First }, func(l Limits) float64 { return l.Slow }},
	{"slow tokens", func(c Counts) uint64 { return c.Token }, func(l Limits) float64 { return l.Slow }},
	{"short answers", func(c Counts) uint64 { return c.Short }, func(l Limits) float64 { return l.Short }},
}

// worse returns the class of faults of which the new version certainly has
// more than the old one and the limits allow. alpha bounds the probability that
// it ever does so for a version within the limits, however often it is asked
// while the counts grow.
func worse(p Pair, l Limits, alpha float64) (class, bool) {
	alpha /= 2 * float64(len(classes))
	for _, c := range classes {
		k, n, ko, no := c.of(p.New), p.New.Requests, c.of(p.Old), p.Old.Requests
		if n == 0 || no == 0 || rate(k, n) <= rate(ko, no)+c.bound(l) {
			continue
		}
		if lowerBound(k, n, alpha) > upperBound(ko, no, alpha)+c.bound(l) {
			return c, true
		}
	}
	return class{}, false
}

// excess reports whether the new version has had more faults than the old one
// and the limits allow, certain or not.
func (p Pair) excess(l Limits) bool {
	if p.New.Requests == 0 || p.Old.Requests == 0 {
		return false
	}
	for _, c := range classes {
		if rate(c.of(p.New), p.New.Requests) > rate(c.of(p.Old), p.Old.Requests)+c.bound(l) {
			return true
		}
	}
	return false
}

func rate(k, n uint64) float64 { return float64(k) / float64(n) }

// boundSteps is the number of bisections of a bound, to about 1e-9.
const boundSteps = 30

// lowerBound returns the lower end of a confidence sequence for the
// probability of k faults in n requests: with probability 1-alpha the true
// value is above it at all times at once. It inverts Robbins' mixture
// martingale with a uniform prior.
func lowerBound(k, n uint64, alpha float64) float64 {
	low, high := 0.0, rate(k, n)
	for range boundSteps {
		mid := (low + high) / 2
		if rejects(k, n, mid, alpha) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// upperBound is the mirror image of lowerBound.
func upperBound(k, n uint64, alpha float64) float64 { return 1 - lowerBound(n-k, n, alpha) }

// rejects reports whether the mixture's likelihood ratio against probability p
// is at least 1/alpha.
func rejects(k, n uint64, p, alpha float64) bool {
	a, b := float64(k), float64(n-k)
	mixture := logGamma(a+1) + logGamma(b+1) - logGamma(a+b+2)
	likelihood := 0.0
	if k > 0 {
		likelihood += a * math.Log(p)
	}
	if n > k {
		likelihood += b * math.Log1p(-p)
	}
	return mixture-likelihood >= -math.Log(alpha)
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}
