package chooser

import (
	"time"

	"pomelotiller/internal/traffic/estimator"
	"pomelotiller/internal/traffic/localizer"
)

// Attempt is a request in flight at an endpoint.
type Attempt struct {
	chooser   *Chooser
	state     *endpointState
	service   string
	engine    estimator.Engine
	startedAt time.Time
	// tokensAhead is the number of prompt tokens that the endpoint had to prefill before.
	tokensAhead      int
	uncomputedTokens int
	// prefillDone is set once the answer began or the attempt ended.
	prefillDone bool
	// due is the time from which the silence of the endpoint is unexpected; zero if it is not known.
	due time.Time
	// trip is set if the request left its failure domain.
	trip localizer.Trip
	// domain is the failure domain of the endpoint, and predicted the predicted time until the answer begins.
	domain    string
	predicted time.Duration
}

// Start records that a request is sent to the chosen endpoint.
func (c *Chooser) Start(q Query, ch Choice) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpointState(ch.Endpoint.ID, ch.Endpoint.Born)
	a := &Attempt{chooser: c, state: s, service: q.Service, startedAt: c.cfg.Now(), tokensAhead: s.queuedTokens + s.peerLoad.PromptTokens, uncomputedTokens: max(ch.UncomputedTokens, 0), trip: ch.trip, domain: ch.Endpoint.Domain, predicted: ch.Wait}
	a.engine = estimator.Engine{ID: ch.Endpoint.ID, Service: q.Service, Born: ch.Endpoint.Born}
	if a.trip.IsSet() {
		c.cfg.Localizer.RecordStart(a.trip)
	}
	s.running++
	s.queuedTokens += a.uncomputedTokens
	s.lastUsed = a.startedAt
	s.activity.begin(a)
	if q.PromptTokens > 0 {
		s.prefixCache.add(q.PromptBlocks, a.startedAt)
	}
	return a
}

// RecordFirstEvent records the first event of a stream, at which the prefill of the prompt is done, and lets the
// model of the engine learn from its time. Failures and answers that are complete when they arrive say nothing of
// the engine's speed: one that fails at once would seem fast.
func (a *Attempt) RecordFirstEvent() {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	if !a.prefillDone && a.uncomputedTokens > 0 {
		a.chooser.observe(a, a.chooser.cfg.Now().Sub(a.startedAt))
	}
	a.endPrefill(a.chooser.prefillSpeed(a.service).firstEvent.Value())
}

// RecordFirstByte records the first byte of any other answer.
func (a *Attempt) RecordFirstByte() {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.endPrefill(idleFirstEventTime)
}

// endPrefill records that the prefill of the prompt is done. firstEvent is the part of the time that is not prefill.
func (a *Attempt) endPrefill(firstEvent time.Duration) {
	if a.prefillDone {
		return
	}
	a.prefillDone = true
	a.recordWait()
	a.state.queuedTokens -= a.uncomputedTokens
	if a.uncomputedTokens > 0 {
		now := a.chooser.cfg.Now()
		speed, prefill := a.chooser.prefillSpeed(a.service), now.Sub(a.startedAt)-firstEvent
		speed.addSample(a.tokensAhead+a.uncomputedTokens, prefill, now)
		speed.recent.add(a.tokensAhead, a.uncomputedTokens, prefill)
	}
}

// RecordResult records the result of the attempt.
func (a *Attempt) RecordResult(r Result) {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.state.running--
	a.state.activity.end(a, r, a.chooser.cfg.Now())
	a.recordTripResult(r)
	if !a.prefillDone {
		a.prefillDone = true
		a.state.queuedTokens -= a.uncomputedTokens
	}
	a.state.health.recordResult(r, a.chooser.cfg.Policies, a.chooser.cfg.Now())
}
