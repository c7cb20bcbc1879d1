package scaler

import (
	"math"
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	// trendWindow is the time over which the trend of the prompt rate is fitted. Requests arrive in
	// groups and prompts differ in size: over 5 s the standard error of the trend is as large as the
	// steepest trend of a wave of 40 s and a third of the load.
	trendWindow = steadyWindow
	// minTrendSamples is the number of samples below which no trend is fitted.
	minTrendSamples = 12
	// trendErrors is by how many standard errors the trend is taken to be less steep than fitted, so
	// that the noise of a small load orders nothing.
	trendErrors = 1.0
	// minNewPeerFraction is the fraction of the daemons that must become known or reachable at once for the
	// trend to begin anew: single ones that come and go in a large fleet change the rate too little.
	minNewPeerFraction = 0.04
	// reportAge is the age of the demand that the other daemons of a large fleet report.
	reportAge = 600 * time.Millisecond
	// maxForecastGrowth bounds the forecast relative to the recent rate: a surge does not go on as it
	// began.
	maxForecastGrowth = 1.5
)

// PromptTrend returns by how much the prompt rate rises each second, at the cautious end of what the
// samples of trendWindow tell, or 0 if it may as well be constant or falls.
func (g *DemandMeter) PromptTrend(service string, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sample(now)
	slope, stdErr := fitTrend(g.trendSamples(service), service)
	return max(slope-trendErrors*stdErr, 0)
}

// trendSamples returns the samples since the known load changed last for another reason than that callers
// send more: daemons became known or reachable, or the first callers came.
func (g *DemandMeter) trendSamples(service string) []sample {
	samples := g.samples
	for len(samples) > 0 && samples[0].at.Before(g.trendFrom) {
		samples = samples[1:]
	}
	isBegin := false
	for len(samples) > 1 && samples[1].promptTokens[service] <= samples[0].promptTokens[service] {
		samples, isBegin = samples[1:], true
	}
	if isBegin && len(samples) > 1 {
		// The load began within this interval.
		samples = samples[1:]
	}
	return samples
}

// fitTrend fits a line to the rates between samples, by least squares, and returns its slope with the
// standard error.
func fitTrend(samples []sample, service string) (slope, stdErr float64) {
	n := len(samples) - 1
	if n < minTrendSamples {
		return 0, 0
	}
	times, rates := make([]float64, n), make([]float64, n)
	meanTime, meanRate := 0.0, 0.0
	for i := range n {
		a, b := samples[i], samples[i+1]
		times[i] = (a.at.Sub(samples[0].at) + b.at.Sub(samples[0].at)).Seconds() / 2
		rates[i] = (b.promptTokens[service] - a.promptTokens[service]) / b.at.Sub(a.at).Seconds()
		meanTime += times[i] / float64(n)
		meanRate += rates[i] / float64(n)
	}
	var timeSquares, products, residuals float64
	for i := range n {
		timeSquares += (times[i] - meanTime) * (times[i] - meanTime)
		products += (times[i] - meanTime) * (rates[i] - meanRate)
	}
	slope = products / timeSquares
	for i := range n {
		r := rates[i] - meanRate - slope*(times[i]-meanTime)
		residuals += r * r
	}
	return slope, math.Sqrt(residuals / float64(n-2) / timeSquares)
}

// orderDelay returns the time from the load that the recent rate tells of until an endpoint that is
// ordered now serves. The recent rate is that of the middle of its window.
func orderDelay(svc registrar.Service) time.Duration {
	return svc.Scaling.Boot + reportAge + recentWindow/2
}

// forecast returns the load expected when an endpoint that is ordered now is ready, if the load rises.
func (l Load) forecast(svc registrar.Service) Load {
	if l.PromptTrend <= 0 {
		return l
	}
	// A trend tells nothing of what is further ahead than it was observed.
	ahead := min(orderDelay(svc), trendWindow)
	l.PromptRate = min(l.PromptRate+l.PromptTrend*ahead.Seconds(), maxForecastGrowth*l.PromptRate)
	return l
}
