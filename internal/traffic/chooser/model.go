package chooser

import (
	"time"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/traffic/estimator"
)

// Speeds knows how fast each engine is.
type Speeds interface {
	// Factor returns the prefill speed of an engine, relative to the mean of its service.
	Factor(endpoint string, born int64) float64
	// Observe adds a request whose first event arrived.
	Observe(s estimator.Sample)
	// SetEngines sets the engines that are known.
	SetEngines(engines []estimator.Engine)
}

// usesModel reports whether engines are told apart by their speed.
func (c *Chooser) usesModel() bool {
	return c.cfg.Policies.IsOn(switcher.Model) && c.cfg.UsesSpeeds()
}

// speedFactor returns the prefill speed of a candidate, relative to the mean of its service.
func (c *Chooser) speedFactor(cand candidate) float64 {
	if !c.usesModel() {
		return 1
	}
	return c.cfg.Speeds.Factor(cand.ID, cand.Born)
}

// observe updates the model of an engine with an attempt whose first event arrived after took.
func (c *Chooser) observe(a *Attempt, took time.Duration) {
	if !c.usesModel() {
		return
	}
	s := c.prefillSpeed(a.service)
	if a.tokensAhead == 0 {
		factor := c.cfg.Speeds.Factor(a.engine.ID, a.engine.Born)
		s.firstEvent = s.firstEvent.With(float64(a.uncomputedTokens)/factor, took)
	}
	c.cfg.Speeds.Observe(estimator.Sample{Engine: a.engine, Tokens: a.uncomputedTokens, TokensAhead: a.tokensAhead, Prefill: took - s.firstEvent.Value()})
}

// knownEngines returns the incarnations of endpoints of which the model may hear from other daemons.
func knownEngines(known map[string]tracker.Endpoint) []estimator.Engine {
	out := make([]estimator.Engine, 0, len(known))
	for id, e := range known {
		out = append(out, estimator.Engine{ID: id, Service: e.Service, Born: e.Born})
	}
	return out
}
