package chooser

import (
	"math"
	"time"

	"pomelotiller/internal/traffic/estimator"
)

const (
	// priorTokens and priorTokensPerMilli are the weight and the value of the prior estimate,
	// which applies before any sample.
	priorTokens         = 60_000.0
	priorTokensPerMilli = 55.0
	// sampleRetention is the factor by which each new sample reduces the weight of older ones.
	sampleRetention = 0.995
	// minSampleTokens is the smallest prompt that is used as a sample.
	minSampleTokens   = 3000
	minTokensPerMilli = 5.0
	maxTokensPerMilli = 500.0
	// steadyTimeConstant is the averaging time of the speed that scaling decisions use. Engines
	// seem slow for some seconds while prompts wait behind those of other daemons.
	steadyTimeConstant = time.Minute
)

// prefillSpeed estimates how fast the engines of a service prefill prompts.
type prefillSpeed struct {
	// tokens and millis are the weighted sums of all samples.
	tokens, millis float64
	// steadyTokensPerMilli is the speed averaged over a longer time, as of steadyUpdatedAt.
	steadyTokensPerMilli float64
	steadyUpdatedAt      time.Time
	// recent holds the latest samples of endpoints without a queue.
	recent recentPaces
	// firstEvent is the time to the first event of an idle engine without prefill.
	firstEvent estimator.FirstEventTime
}

func newPrefillSpeed(now time.Time) *prefillSpeed {
	return &prefillSpeed{tokens: priorTokens, millis: priorTokens / priorTokensPerMilli, steadyTokensPerMilli: priorTokensPerMilli, steadyUpdatedAt: now, firstEvent: estimator.NewFirstEventTime(idleFirstEventTime)}
}

// addSample updates the estimate with an engine that needed the time prefill for tokens.
func (s *prefillSpeed) addSample(tokens int, prefill time.Duration, now time.Time) {
	if tokens < minSampleTokens || prefill <= 0 {
		return
	}
	s.tokens = s.tokens*sampleRetention + float64(tokens)
	s.millis = s.millis*sampleRetention + float64(prefill)/float64(time.Millisecond)
	kept := math.Exp(-float64(now.Sub(s.steadyUpdatedAt)) / float64(steadyTimeConstant))
	s.steadyTokensPerMilli = s.steadyTokensPerMilli*kept + s.tokensPerMilli()*(1-kept)
	s.steadyUpdatedAt = now
}

// tokensPerMilli returns the estimated prompt tokens per millisecond.
func (s *prefillSpeed) tokensPerMilli() float64 {
	return min(max(s.tokens/s.millis, minTokensPerMilli), maxTokensPerMilli)
}

// estimateTime returns how long the prefill of that many tokens takes an engine that is factor times as fast as
// the service's mean.
func (s *prefillSpeed) estimateTime(tokens int, factor float64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / (s.tokensPerMilli() * factor) * float64(time.Millisecond))
}
