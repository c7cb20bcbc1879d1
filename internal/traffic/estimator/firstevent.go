package estimator

import (
	"time"
)

const (
	// priorFirstEventSamples is what the prior weighs, in samples.
	priorFirstEventSamples = 4.0
	// firstEventRetention is the factor by which each new sample reduces the weight of older ones.
	firstEventRetention = 0.995
	// minFitWeight is the number of samples from which the line is used to limit further ones.
	minFitWeight = 20.0
	// A sample that is further from the line than these fractions of it counts as if it were just as far. Only a
	// queue makes samples much longer, so that longer ones count for less.
	maxFirstEventDecrease, maxFirstEventIncrease = 0.5, 0.15
	minFirstEventTime                            = 2 * time.Millisecond
	maxFirstEventTime                            = 250 * time.Millisecond
)

// FirstEventTime learns the time to a first event without prefill: the point at which the line through the times
// of prompts of different lengths, at engines without a known queue, meets length 0. It is an immutable value.
type FirstEventTime struct {
	prior time.Duration
	// weight, x, y, xx and xy are the weighted sums of the samples, with x in thousands of tokens and y in
	// milliseconds.
	weight, x, y, xx, xy float64
}

// NewFirstEventTime returns an estimate that begins with a prior.
func NewFirstEventTime(prior time.Duration) FirstEventTime { return FirstEventTime{prior: prior} }

// With returns the estimate after one more sample: a prompt with that many tokens to prefill, at an engine of the
// service's mean speed or converted to it.
func (f FirstEventTime) With(tokens float64, took time.Duration) FirstEventTime {
	x, y := tokens/1000, float64(took)/float64(time.Millisecond)
	if f.weight >= minFitWeight {
		base, slope := f.fit()
		expected := base + slope*x
		y = min(max(y, expected*(1-maxFirstEventDecrease)), expected*(1+maxFirstEventIncrease))
	}
	return FirstEventTime{
		prior: f.prior, weight: f.weight*firstEventRetention + 1,
		x: f.x*firstEventRetention + x, y: f.y*firstEventRetention + y,
		xx: f.xx*firstEventRetention + x*x, xy: f.xy*firstEventRetention + x*y,
	}
}

// fit returns the line of least squares, with the prior as priorFirstEventSamples of a prompt without tokens.
func (f FirstEventTime) fit() (base, slope float64) {
	weight, y := f.weight+priorFirstEventSamples, f.y+priorFirstEventSamples*float64(f.prior)/float64(time.Millisecond)
	// The prior keeps the determinant above 0 once any prompt has tokens.
	if det := weight*f.xx - f.x*f.x; det > 0 {
		base, slope = (y*f.xx-f.x*f.xy)/det, (weight*f.xy-f.x*y)/det
	} else {
		base = y / weight
	}
	return max(base, 0), max(slope, 0)
}

// Value returns the estimate.
func (f FirstEventTime) Value() time.Duration {
	if f.weight == 0 {
		return f.prior
	}
	base, _ := f.fit()
	return min(max(time.Duration(base*float64(time.Millisecond)), minFirstEventTime), maxFirstEventTime)
}
