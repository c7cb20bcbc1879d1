package mover

import (
	"slices"

	"pomelotiller/internal/control/assessor"
)

// OutcomeCounts are numbers of requests to one version, by outcome. They only grow.
type OutcomeCounts struct {
	Requests  uint64 `cbor:"1,keyasint,omitempty" json:"requests"`
	Errors    uint64 `cbor:"2,keyasint,omitempty" json:"errors"`
	SlowFirst uint64 `cbor:"3,keyasint,omitempty" json:"slow_first"`
	SlowToken uint64 `cbor:"4,keyasint,omitempty" json:"slow_token"`
	Short     uint64 `cbor:"5,keyasint,omitempty" json:"short"`
	// FirstLatency and TokenLatency compare times to the first token and intervals between tokens
	// with those of the old version.
	FirstLatency LatencyCounts `cbor:"6,keyasint" json:"first_latency"`
	TokenLatency LatencyCounts `cbor:"7,keyasint" json:"token_latency"`
}

// Plus returns the sums of the counts of c and o.
func (c OutcomeCounts) Plus(o OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{
		Requests: c.Requests + o.Requests, Errors: c.Errors + o.Errors, Short: c.Short + o.Short,
		SlowFirst: c.SlowFirst + o.SlowFirst, SlowToken: c.SlowToken + o.SlowToken,
		FirstLatency: c.FirstLatency.plus(o.FirstLatency), TokenLatency: c.TokenLatency.plus(o.TokenLatency),
	}
}

// VersionCounts holds the counts of the old and the new version of a move over the same time.
type VersionCounts struct {
	Old OutcomeCounts `cbor:"1,keyasint,omitempty" json:"old"`
	New OutcomeCounts `cbor:"2,keyasint,omitempty" json:"new"`
}

// Plus returns the sums of the counts of p and o for each version.
func (p VersionCounts) Plus(o VersionCounts) VersionCounts {
	return VersionCounts{p.Old.Plus(o.Old), p.New.Plus(o.New)}
}

// faultClass is one kind of fault by which versions are compared.
type faultClass struct {
	name string
	rate func(OutcomeCounts) assessor.Rate
	// part is the part of the probability of a false alarm that the class gets.
	part float64
	// limit returns by how much the new version's fault rate may exceed the old one's.
	limit func(FaultLimits) float64
}

// FaultLimits are the fractions of requests by which the fault rates of the new version may exceed
// those of the old one.
type FaultLimits struct {
	Errors, Slow, Short float64
}

// faultKinds is the number of kinds of faults, of which the two of latencyClasses are tested at
// several levels.
const faultKinds = 6

var faultClasses = slices.Concat([]faultClass{
	{"errors", rateOf(func(c OutcomeCounts) uint64 { return c.Errors }), 1.0 / faultKinds, func(l FaultLimits) float64 { return l.Errors }},
	{"slow first tokens", rateOf(func(c OutcomeCounts) uint64 { return c.SlowFirst }), 1.0 / faultKinds, slowLimit},
	{"slow tokens", rateOf(func(c OutcomeCounts) uint64 { return c.SlowToken }), 1.0 / faultKinds, slowLimit},
	{"short answers", rateOf(func(c OutcomeCounts) uint64 { return c.Short }), 1.0 / faultKinds, func(l FaultLimits) float64 { return l.Short }},
}, latencyClasses("relatively slow first tokens", func(c OutcomeCounts) LatencyCounts { return c.FirstLatency }),
	latencyClasses("relatively slow tokens", func(c OutcomeCounts) LatencyCounts { return c.TokenLatency }))

func slowLimit(l FaultLimits) float64 { return l.Slow }

// rateOf returns a function that returns the rate of some faults among all requests.
func rateOf(count func(OutcomeCounts) uint64) func(OutcomeCounts) assessor.Rate {
	return func(c OutcomeCounts) assessor.Rate { return assessor.Rate{Faults: count(c), Requests: c.Requests} }
}

// latencyClasses returns one class of faults for each level at which a time is slow.
func latencyClasses(name string, latency func(OutcomeCounts) LatencyCounts) []faultClass {
	var classes []faultClass
	for level := range assessor.SlowLevels {
		classes = append(classes, faultClass{
			name: name, part: 1.0 / faultKinds / assessor.SlowLevels, limit: slowLimit,
			rate: func(c OutcomeCounts) assessor.Rate { return latency(c).rate(level) },
		})
	}
	return classes
}

// findWorseClass returns a class of faults whose rate at the new version significantly exceeds the
// old version's rate plus the limit. It is a sequential test: alpha bounds the probability that it
// ever returns a class for a version within the limits, however often it is called while the counts
// grow.
func findWorseClass(p VersionCounts, l FaultLimits, alpha float64) (faultClass, bool) {
	for _, c := range faultClasses {
		if c.rate(p.New).Exceeds(c.rate(p.Old), c.limit(l), alpha*c.part) {
			return c, true
		}
	}
	return faultClass{}, false
}

// hasExcessFaults reports whether a fault rate of the new version exceeds the old version's rate
// plus the limit, whether or not the difference is significant.
func (p VersionCounts) hasExcessFaults(l FaultLimits) bool {
	if p.New.Requests == 0 || p.Old.Requests == 0 {
		return false
	}
	for _, c := range faultClasses {
		if c.rate(p.New).Fraction() > c.rate(p.Old).Fraction()+c.limit(l) {
			return true
		}
	}
	return false
}
