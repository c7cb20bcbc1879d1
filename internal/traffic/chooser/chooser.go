// Package chooser is the load balancer: it chooses the endpoint of each attempt by least predicted
// cost. It tracks what this daemon and all others have in flight at each endpoint, the recent
// failures of each, and which prompt prefixes each has probably cached.
package chooser

import (
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/traffic/estimator"
	"pomelotiller/internal/traffic/localizer"
	"pomelotiller/internal/traffic/throttler"
)

// PromptBlock is a run of prompt tokens that other requests may share.
type PromptBlock struct {
	ID     string
	Tokens int
}

// Query describes a request for which an endpoint is chosen.
type Query struct {
	Service string
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the most tokens that may be
	// generated; both are 0 for plain services.
	PromptTokens, MaxOutputTokens int
	// PromptBlocks are the blocks of the prompt in order; the last one is not shared.
	PromptBlocks []PromptBlock
	// Excluded lists the endpoints that were tried already.
	Excluded []string
	// Among lists the only endpoints that may be chosen; empty allows all.
	Among []string
	// SilentSince is set for a request whose endpoint has been silent since then. Only endpoints that can take
	// it over are chosen.
	SilentSince time.Time
	// Target is the time within which the answer should begin; 0 if the route has none.
	Target time.Duration
	// MaxWait is the longest wait at which the best endpoint of a sample is accepted; 0 accepts any.
	MaxWait time.Duration
	// MaxQueue is the same for the part of the wait that is spent on other requests; 0 accepts any.
	MaxQueue time.Duration
	// AllowsRelease reports whether a release may be chosen; nil allows all.
	AllowsRelease func(release string) bool
}

// Config configures a Chooser.
type Config struct {
	// Domain is the daemon's failure domain.
	Domain string
	// IsLargeFleet reports whether the fleet is so large that loads of other daemons arrive through
	// hubs; nil means that it never is.
	IsLargeFleet func() bool
	// Policies switch the criteria of the choice on and off.
	Policies switcher.Policies
	// Speeds knows the speed of each engine; nil learns it from this daemon's requests alone.
	Speeds Speeds
	// UsesSpeeds reports whether engines are told apart by their speed; nil means that they always are. A daemon of
	// a small fleet knows the queues well and sees each engine often; there the model only adds its errors.
	UsesSpeeds func() bool
	// Limits are the request limits that endpoints name; nil means that there are none.
	Limits throttler.Gate
	// Localizer decides when requests leave the failure domain; nil means that an endpoint of another domain
	// costs remoteDomainCost.
	Localizer *localizer.Localizer
	Now       func() time.Time
}

// Chooser is a load balancer over all endpoints known to one daemon.
type Chooser struct {
	cfg Config

	mu sync.Mutex
	// states holds the state of each endpoint by id.
	states map[string]*endpointState
	// peerLoads holds what each other daemon has in flight.
	peerLoads map[string][]sharer.Load
	// speeds holds the prefill speed of each service.
	speeds map[string]*prefillSpeed
}

// endpointState is what this daemon knows of one incarnation of an endpoint.
type endpointState struct {
	// born is the start time of the incarnation, which identifies it.
	born int64
	// running counts this daemon's requests in flight, queuedTokens their prompt tokens that
	// are not prefilled yet. peerLoad is the same for all other daemons.
	running, queuedTokens int
	peerLoad              sharer.Load
	// restarted is set if an earlier incarnation was known, so that the cache holds only what the
	// endpoint was sent since.
	restarted bool
	lastUsed  time.Time
	// pausedUntil is when the endpoint accepts requests of this daemon again.
	pausedUntil time.Time
	health      health
	prefixCache prefixCache
	activity    activity
}

// Choice is an endpoint chosen for one attempt.
type Choice struct {
	Endpoint tracker.Endpoint
	// Wait is the predicted time to the first event, or to the answer of a
	// plain service.
	Wait time.Duration
	// Queue is the part of Wait that is spent on other requests: without the prefill of the request
	// itself and the fixed time of its endpoint.
	Queue time.Duration
	// UncomputedTokens is the number of prompt tokens that the endpoint probably has not cached.
	UncomputedTokens int
	// Running counts the requests in flight at the endpoint, and QueuedTokens their prompt
	// tokens that are not prefilled yet.
	Running, QueuedTokens int
	// Candidates counts the endpoints that were compared.
	Candidates int
	// AvailableIn is the time until the next paused, ejected or limited endpoint is available; 0 if there
	// is none.
	AvailableIn time.Duration
	// UsedFraction is the fraction of the slots of all candidates that is in use.
	UsedFraction float64
	// trip is set if the localizer let the request leave its failure domain.
	trip localizer.Trip
}

// New returns a chooser without any endpoints.
func New(cfg Config) *Chooser {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Limits == nil {
		cfg.Limits = throttler.NoLimits{}
	}
	if cfg.UsesSpeeds == nil {
		cfg.UsesSpeeds = func() bool { return true }
	}
	if cfg.IsLargeFleet == nil {
		cfg.IsLargeFleet = func() bool { return false }
	}
	if cfg.Speeds == nil {
		cfg.Speeds = estimator.New(estimator.Config{Now: cfg.Now})
	}
	return &Chooser{
		cfg: cfg, states: make(map[string]*endpointState), peerLoads: make(map[string][]sharer.Load), speeds: make(map[string]*prefillSpeed),
	}
}

// Pick returns the endpoint of least predicted cost for a request, or false if none is available. In
// a large fleet it compares a sample, and all endpoints if none of the sample can answer in time.
func (c *Chooser) Pick(q Query, endpoints []tracker.Endpoint) (Choice, bool) {
	large := c.cfg.IsLargeFleet()
	c.mu.Lock()
	defer c.mu.Unlock()
	var ch Choice
	var ok bool
	if own, decides := c.ownEndpoints(q, endpoints); decides {
		ch, ok = c.pickByDomain(q, own, endpoints, large)
	} else {
		ch, ok = c.pickAmong(q, endpoints, large, q.MaxWait)
	}
	if ok {
		c.takeLimit(ch)
	}
	return ch, ok
}

// pickAmong returns the best of a sample if its wait is at most maxWait, and otherwise the best of all endpoints.
func (c *Chooser) pickAmong(q Query, endpoints []tracker.Endpoint, large bool, maxWait time.Duration) (Choice, bool) {
	var model CostModel[Query, candidate] = plainCostModel{}
	if q.PromptTokens > 0 {
		model = engineCostModel{c.prefillSpeed(q.Service), c.speedFactor, c.homeEndpoint(q, endpoints), peerLoadAge(large), c.cfg.Policies.IsOn(switcher.Crowd)}
	}
	if large && c.cfg.Policies.IsOn(switcher.Sample) && len(endpoints) > sampleSize+sampledHomes {
		ch, ok := c.bestChoice(q, model, c.sampleEndpoints(endpoints, q))
		if ok && q.accepts(ch, maxWait) {
			return ch, true
		}
	}
	return c.bestChoice(q, model, endpoints)
}

// accepts reports whether the best endpoint of a sample answers soon enough; a maxWait of 0 accepts any wait.
func (q Query) accepts(ch Choice, maxWait time.Duration) bool {
	return (maxWait == 0 || ch.Wait <= maxWait) && (q.MaxQueue == 0 || ch.Queue <= q.MaxQueue)
}

// bestChoice returns the available endpoint of least cost.
func (c *Chooser) bestChoice(q Query, model CostModel[Query, candidate], endpoints []tracker.Endpoint) (Choice, bool) {
	now := c.cfg.Now()
	var bestChoice Choice
	var bestCost time.Duration
	// Among endpoints of equal cost, the least recently used one is chosen.
	var lastUsed time.Time
	found, slots, running, n := false, 0, 0, 0
	for _, e := range endpoints {
		if !q.allowsRelease(e) {
			continue
		}
		s := c.endpointState(e.ID, e.Born)
		unavailableFor := max(s.unavailableFor(now), c.cfg.Limits.Wait(e.ID, e.Born))
		if unavailableFor > 0 && (bestChoice.AvailableIn == 0 || unavailableFor < bestChoice.AvailableIn) {
			bestChoice.AvailableIn = unavailableFor
		}
		if q.isExcluded(e) {
			continue
		}
		n++
		slots += max(e.Slots, 1)
		running += s.running + s.peerLoad.Running
		if unavailableFor > 0 || !q.SilentSince.IsZero() && !s.canTakeOver(e, q.SilentSince, now) {
			continue
		}
		cand := candidate{Endpoint: e, endpointState: s, remote: e.Domain != c.cfg.Domain && c.cfg.Policies.IsOn(switcher.Near), now: now}
		est := model.EstimateCost(q, cand)
		if found && (est.cost > bestCost || est.cost == bestCost && !s.lastUsed.Before(lastUsed)) {
			continue
		}
		found, bestCost, lastUsed = true, est.cost, s.lastUsed
		bestChoice = Choice{
			AvailableIn: bestChoice.AvailableIn,
			Endpoint:    e, Wait: est.wait, Queue: est.queue, UncomputedTokens: est.uncomputedTokens,
			Running: s.running + s.peerLoad.Running, QueuedTokens: s.queuedTokens + s.peerLoad.PromptTokens,
		}
	}
	bestChoice.Candidates = n
	bestChoice.UsedFraction = float64(running) / float64(max(slots, 1))
	return bestChoice, found
}

// PauseEndpoint pauses requests to an endpoint that asked this daemon to send none for some time.
func (c *Chooser) PauseEndpoint(e tracker.Endpoint, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpointState(e.ID, e.Born)
	if until := c.cfg.Now().Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// unavailableFor returns how long an endpoint remains paused or ejected; 0 if it is available.
func (s *endpointState) unavailableFor(now time.Time) time.Duration {
	return max(s.pausedUntil.Sub(now), s.health.ejectedUntil.Sub(now), 0)
}

// isUsable reports whether an endpoint may serve the query, whether or not it is available now.
func isUsable(q Query, e tracker.Endpoint) bool { return q.allowsRelease(e) && !q.isExcluded(e) }

// allowsRelease reports whether the query may be sent to the endpoint's release.
func (q Query) allowsRelease(e tracker.Endpoint) bool {
	return q.AllowsRelease == nil || q.AllowsRelease(e.Version)
}

func (q Query) isExcluded(e tracker.Endpoint) bool {
	return slices.Contains(q.Excluded, e.ID) || len(q.Among) > 0 && !slices.Contains(q.Among, e.ID)
}

func (c *Chooser) endpointState(id string, born int64) *endpointState {
	s := c.states[id]
	if s == nil || s.born != born {
		s = &endpointState{born: born, restarted: s != nil, prefixCache: newPrefixCache()}
		for _, loads := range c.peerLoads {
			for _, l := range loads {
				if l.Endpoint == id {
					s.peerLoad.Running += l.Running
					s.peerLoad.PromptTokens += l.PromptTokens
				}
			}
		}
		c.states[id] = s
	}
	return s
}

// DropUnknown drops the state of endpoints that are no longer known and have nothing in flight.
// Paused endpoints are kept.
func (c *Chooser) DropUnknown(known map[string]tracker.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Speeds.SetEngines(knownEngines(known))
	now := c.cfg.Now()
	for id, s := range c.states {
		if _, ok := known[id]; !ok && s.running == 0 && !s.pausedUntil.After(now) {
			delete(c.states, id)
		}
	}
}

// PrefillRate returns the prompt tokens per second that an engine of the service prefills, for scaling
// decisions, estimated from the times of first events.
func (c *Chooser) PrefillRate(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prefillSpeed(service).scalingPace(c.cfg.Policies) * 1000
}

func (c *Chooser) prefillSpeed(service string) *prefillSpeed {
	s := c.speeds[service]
	if s == nil {
		s = newPrefillSpeed(c.cfg.Now())
		c.speeds[service] = s
	}
	return s
}
