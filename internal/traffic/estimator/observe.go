package estimator

import (
	"maps"
	"math"
	"slices"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// minTokens is the smallest prompt that is observed; below it the time is mostly that of the first event
	// without prefill. fullTokens is the prompt from which an observation has its full weight.
	minTokens, fullTokens = 1000, 4000
	// referenceTokensPerMilli is the speed relative to which logarithms are exchanged, so that they are small
	// numbers.
	referenceTokensPerMilli = 55.0
	// An observation that is further from what is known of the engine than maxFaster or maxSlower, as
	// logarithms, counts as if it were just as far. Requests that wait behind others, of which no daemon knows,
	// seem slow, so that slow ones count for less once the engine has
	// minKnownObservations, and the same of a service with minKnownWeight.
	maxFaster, maxSlower = 0.8, 0.1
	minKnownObservations = 6
	minKnownWeight       = 4
	// firstWeight is what the observations weigh of an engine that is not known yet. They are not limited as
	// much, and an engine that seems slow at first gets few requests that could show the contrary.
	firstWeight = 0.5
	// minPrefill is the shortest time that is taken for a prefill.
	minPrefill = time.Millisecond
	// reportPeriod is the time between two reports of what this daemon observed.
	reportPeriod = time.Second
	// minReportedWeight is the weight from which an engine is reported; less waits for the next report.
	minReportedWeight = 0.25
)

// Sample is one request whose first event arrived.
type Sample struct {
	Engine
	// Tokens is the number of prompt tokens of the request that the engine had to prefill, TokensAhead how
	// many of other requests it had queued before, as far as this daemon knew.
	Tokens, TokensAhead int
	// Prefill is the time to the first event less what that takes without prefill.
	Prefill time.Duration
}

// Observe adds a request of this daemon. The more prompts of others were ahead, the less it weighs, since it is
// not known how many of them were left when the request arrived.
func (m *Estimator) Observe(s Sample) {
	if s.Tokens < minTokens {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engine(s.Engine)
	if e == nil {
		return
	}
	now := m.cfg.Now()
	all := float64(s.Tokens + max(s.TokensAhead, 0))
	perToken := float64(max(s.Prefill, minPrefill)) / float64(time.Millisecond) / all
	own := float64(s.Tokens) / all
	weight := own * own * min(float64(s.Tokens)/fullTokens, 1)
	logTime := math.Log(perToken * referenceTokensPerMilli)
	if e.observations < minKnownObservations {
		weight *= firstWeight
	}
	logTime = m.limitLogTime(e, logTime, now)
	t := tally{sum: weight * logTime, weight: weight}
	if !t.isPlausible() {
		return
	}
	e.add(t, now)
	e.observations++
	e.pending.sum += t.sum
	e.pending.weight += t.weight
}

// limitLogTime limits an observation to what is plausible for the engine or, if little is known of it, for an
// engine of its service.
func (m *Estimator) limitLogTime(e *engine, logTime float64, now time.Time) float64 {
	if t := e.tally.decayed(now, retentionTime); e.observations >= minKnownObservations && t.weight > 0 {
		return min(max(logTime, t.mean()-maxFaster), t.mean()+maxSlower)
	}
	var service tally
	for _, other := range m.engines {
		if other.Service == e.Service {
			service.sum += other.sum
			service.weight += other.weight
		}
	}
	if service.weight < minKnownWeight {
		return logTime
	}
	return min(max(logTime, service.mean()-maxFaster), service.mean()+maxFaster)
}

// TakeReport returns what this daemon observed since its previous report, or nil if that is less than
// reportPeriod ago. What is returned is not reported again.
func (m *Estimator) TakeReport() []sharer.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	if now.Sub(m.reportedAt) < reportPeriod {
		return nil
	}
	m.reportedAt = now
	var out []sharer.Observation
	for _, key := range slices.Sorted(maps.Keys(m.engines)) {
		if e := m.engines[key]; e.pending.weight >= minReportedWeight {
			out = append(out, e.pending.report(key))
			e.pending = tally{}
		}
	}
	return out
}
