package admitter

import (
	"math"
	"time"
)

const (
	initialLimit = 128
	minLimit     = 2
	// additiveIncrease is what a limit that was reached gains in an interval with latencies
	// below the band.
	additiveIncrease = 2
	// minCutFactor is the smallest factor by which one adjustment may multiply a limit.
	minCutFactor = 0.5
	// minAdaptInterval is the shortest time between two adjustments of a limit;
	// minLatencySamples is the number of latencies that an adjustment needs.
	minAdaptInterval  = time.Second
	minLatencySamples = 10
	// maxCutExponent bounds how much more a limit far above the mean limit of all daemons is
	// cut.
	maxCutExponent = 2.0
	// unloadedPeakInFlight is the most requests in flight with which latencies count as
	// measured without load.
	unloadedPeakInFlight = 16
	// unloadedHeadroomFactor is the multiple of the unloaded latency that the top of the band
	// reaches at least. The band does not rise above the target if the unloaded latency meets
	// it.
	unloadedHeadroomFactor = 1.5
)

// latencyBand is the range in which an adaptiveLimit keeps the ratio of latency to target.
type latencyBand struct{ low, high float64 }

// scaleFor returns the factor by which the band is raised to stay above an unloaded latency
// ratio.
func (b latencyBand) scaleFor(unloadedRatio float64) float64 {
	s := max(1, unloadedHeadroomFactor*unloadedRatio/b.high)
	if unloadedRatio < 1 {
		return min(s, 1/b.high)
	}
	return s
}

var (
	// totalLimitBand is for organisations within their shares.
	totalLimitBand = latencyBand{0.8, 0.85}
	// borrowLimitBand is for organisations above their shares. It is lower, so that their extra
	// requests hardly delay those of others.
	borrowLimitBand = latencyBand{0.69, 0.73}
)

// adaptiveLimit is a concurrency limit that adapts to latencies by additive increase and
// multiplicative decrease, after slow start.
type adaptiveLimit struct {
	band  latencyBand
	value float64
	// inSlowStart is set until the first latency above the band; a limit that was reached
	// doubles meanwhile.
	inSlowStart bool
	// wasReached is set when the limit kept a request from starting since the last adjustment,
	// and peakInFlight is the most requests in flight since then.
	wasReached   bool
	peakInFlight int
}

func newAdaptiveLimit(b latencyBand) adaptiveLimit {
	return adaptiveLimit{band: b, value: initialLimit, inSlowStart: true}
}

// adapt adjusts the limit after an interval in which nine in ten latencies were below ratio
// times their target. unloadedRatio is that ratio with few requests in flight, or 0; if the
// target is out of reach, the band lies above it. meanLimit is the mean limit of all daemons: a
// limit above it is cut by more and one below it by less, so that the daemons' limits converge.
func (l *adaptiveLimit) adapt(ratio, unloadedRatio, meanLimit float64) {
	ratio /= l.band.scaleFor(unloadedRatio)
	switch {
	case ratio > l.band.high:
		l.inSlowStart = false
		cut := max(minCutFactor, math.Pow(l.band.high/ratio, min(maxCutExponent, max(1/maxCutExponent, l.value/meanLimit))))
		l.value = max(minLimit, min(l.value, float64(l.peakInFlight))*cut)
	case ratio < l.band.low && l.wasReached && l.inSlowStart:
		l.value *= 2
	case ratio < l.band.low && l.wasReached:
		l.value += additiveIncrease
	}
	l.wasReached, l.peakInFlight = false, 0
}
