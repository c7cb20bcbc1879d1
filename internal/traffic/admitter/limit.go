package admitter

import (
	"math"
	"time"
)

const (
	initialLimit = 128
	minLimit     = 2
	// limitStep is what a limit in full use gains in a window below its band.
	limitStep = 2
	// maxCut bounds the loss of a window above the band.
	maxCut = 0.5
	// window is the least time between two changes of a limit; minSamples is
	// the least number of latencies that a change is based on.
	window     = time.Second
	minSamples = 10
	// maxWeight bounds how much more one far above the mean is cut.
	maxWeight = 2.0
	// smallPeak is how much in flight tells what latency there is without load.
	smallPeak = 16
	// allowance is how far above the least latency the band reaches at least,
	// though not above a target that can be met.
	allowance = 1.5
)

// band is where latencies are to lie, as a part of their targets.
type band struct{ low, high float64 }

// scale returns by how much the band lies higher because of a least latency.
func (b band) scale(least float64) float64 {
	s := max(1, allowance*least/b.high)
	if least < 1 {
		return min(s, 1/b.high)
	}
	return s
}

var (
	// ownBand is for organisations within their shares.
	ownBand = band{0.8, 0.85}
	// lentBand is for organisations above theirs, so that what they borrow
	// hardly slows the others.
	lentBand = band{0.69, 0.73}
)

// limit bounds what is in flight and follows the latencies seen.
type limit struct {
	band  band
	value float64
	// growing is set until the first latency above the band: the limit doubles.
	growing bool
	// short is set when a request found no place since the last change, and
	// peak is the most in flight since then.
	short bool
	peak  int
}

func newLimit(b band) limit { return limit{band: b, value: initialLimit, growing: true} }

// adapt moves the limit after a window in which nine in ten latencies were
// below a part of their target. least is what that part is with little in
// flight, or 0; where the target is out of reach, the band lies above it. mean is
// the mean limit of all daemons: one above it is cut by more, one below by less,
// so that the limits come together.
func (l *limit) adapt(ratio, least, mean float64) {
	ratio /= l.band.scale(least)
	switch {
	case ratio > l.band.high:
		l.growing = false
		cut := max(maxCut, math.Pow(l.band.high/ratio, min(maxWeight, max(1/maxWeight, l.value/mean))))
		l.value = max(minLimit, min(l.value, float64(l.peak))*cut)
	case ratio < l.band.low && l.short && l.growing:
		l.value *= 2
	case ratio < l.band.low && l.short:
		l.value += limitStep
	}
	l.short, l.peak = false, 0
}
