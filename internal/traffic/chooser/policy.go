package chooser

import (
	"time"

	"pomelotiller/internal/fleet/tracker"
)

const (
	// remoteDomainCost is the extra cost of an endpoint in another failure domain, for the
	// latency and the traffic between domains.
	remoteDomainCost = 4 * time.Millisecond
	// plainCallTime is the estimated duration of a call to a plain service.
	plainCallTime = 15 * time.Millisecond
	// idleFirstEventTime is the prior of the time to the first event of an idle engine, without
	// prefill, and the unit of the cost of full batches.
	idleFirstEventTime = 70 * time.Millisecond
	// failureCost is the extra cost of an endpoint with a failure rate of 1.
	failureCost = time.Second
	// homeCachedFraction is the fraction of the shared prefix that is expected to be cached at
	// the home endpoint of a prompt.
	homeCachedFraction = 0.7
)

// candidate is an endpoint with the state that a cost model needs.
type candidate struct {
	tracker.Endpoint
	endpointState *endpointState
	remote        bool
	now           time.Time
}

// CostModel estimates the cost of sending a query Q to a candidate C.
type CostModel[Q, C any] interface {
	EstimateCost(q Q, c C) estimate
}

// estimate is what a cost model predicts for a candidate.
type estimate struct {
	// cost orders candidates: wait, load and penalties. The least is chosen.
	cost time.Duration
	// wait is the predicted time until the answer begins.
	wait time.Duration
	// queue is the part of wait that is spent on other requests.
	queue time.Duration
	// uncomputedTokens is the number of prompt tokens that the endpoint still has to prefill.
	uncomputedTokens int
}

// plainCostModel estimates costs at plain services from the number of requests in flight per slot
// (least loaded).
type plainCostModel struct{}

// EstimateCost implements CostModel.
func (plainCostModel) EstimateCost(_ Query, c candidate) estimate {
	slots := max(c.Slots, 1)
	inFlight := c.endpointState.running + c.endpointState.peerLoad.Running
	wait := plainCallTime
	if inFlight >= slots {
		wait += plainCallTime * time.Duration(inFlight-slots+1) / time.Duration(slots)
	}
	load := plainCallTime * time.Duration(inFlight) / time.Duration(slots)
	return estimate{cost: wait + load + c.penalty(), wait: wait, queue: wait - plainCallTime}
}

// engineCostModel predicts the time to the first event of an engine that prefills prompts one after
// the other and decodes in batches.
type engineCostModel struct {
	prefillSpeed *prefillSpeed
	// factor returns how fast an engine prefills prompts, relative to the mean of its service.
	factor func(c candidate) float64
	// homeEndpoint is the home endpoint of the query, or empty.
	homeEndpoint string
	// peerLoadAge is the age of the loads that other daemons reported.
	peerLoadAge time.Duration
	// chargesBatches enables the cost of full batches.
	chargesBatches bool
}

// EstimateCost implements CostModel.
func (p engineCostModel) EstimateCost(q Query, c candidate) estimate {
	cached := c.endpointState.prefixCache.cachedTokens(q.PromptBlocks, c.now)
	if cached == 0 && c.ID == p.homeEndpoint && !c.endpointState.restarted {
		cached = int(homeCachedFraction * float64(sharedTokens(q.PromptBlocks)))
	}
	uncomputedTokens := q.PromptTokens - cached
	factor := p.factor(c)
	wait := p.prefillSpeed.firstEvent.Value() + p.prefillSpeed.estimateTime(c.endpointState.queuedTokens+uncomputedTokens, factor) + max(p.prefillSpeed.estimateTime(c.endpointState.peerLoad.PromptTokens, factor)-p.peerLoadAge, 0)
	slots := max(c.Slots, 1)
	running := c.endpointState.running + c.endpointState.peerLoad.Running
	if running >= slots {
		wait += idleFirstEventTime * time.Duration(1+running-slots)
	}
	queue := wait - p.prefillSpeed.firstEvent.Value() - p.prefillSpeed.estimateTime(uncomputedTokens, factor)
	return estimate{cost: wait + p.batchCost(running, slots) + c.penalty(), wait: wait, queue: queue, uncomputedTokens: uncomputedTokens}
}

// batchCost is the cost of the requests running at an engine, since a full batch slows down each
// token. With old loads, the first half of the slots is free of cost: small differences are
// outdated by then, and all daemons would choose the endpoint that seemed least loaded (herding).
func (p engineCostModel) batchCost(running, slots int) time.Duration {
	if !p.chargesBatches {
		return 0
	}
	if p.peerLoadAge > 0 {
		running = max(running-slots/2, 0)
	}
	return idleFirstEventTime * time.Duration(running) / time.Duration(slots)
}

// penalty is the cost of recent failures and of a remote failure domain.
func (c candidate) penalty() time.Duration {
	cost := time.Duration(c.endpointState.health.decayedFailureRate(c.now) * float64(failureCost))
	if c.remote {
		cost += remoteDomainCost
	}
	return cost
}

// sharedTokens counts the tokens of all blocks but the last, which other requests may share.
func sharedTokens(parts []PromptBlock) int {
	n := 0
	for i := range len(parts) - 1 {
		n += parts[i].Tokens
	}
	return n
}
