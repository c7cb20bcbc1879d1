package admitter

import (
	"cmp"
	"time"

	"pomelotiller/internal/config/loader"
)

// The methods in this file divide the slots of a ConcurrencyLimiter among organisations by
// weight. Their callers hold its lock.

// limitFor returns the limit that applies to an organisation: the total limit while it is below
// its share, else the lower borrow limit.
func (g *ConcurrencyLimiter) limitFor(t *organisationState) *adaptiveLimit {
	if t.isBelowShare(g.sharePerWeight()) {
		return &g.totalLimit
	}
	return &g.borrowLimit
}

// isBelowShare reports whether an organisation has less in flight than its share, given the
// share of a weight of one.
func (t *organisationState) isBelowShare(sharePerWeight float64) bool {
	return t.loadPerWeight() < sharePerWeight
}

// sharePerWeight returns the number of slots, over all daemons, that a weight of one is
// entitled to among the organisations that have requests in flight or queued.
func (g *ConcurrencyLimiter) sharePerWeight() float64 {
	weights, total := 0, g.totalLimit.value
	for _, t := range g.organisations {
		if t.inFlight+t.peerInFlight+len(t.queue) > 0 {
			weights += t.weight
		}
	}
	for _, u := range g.peerUsages {
		total += u.Limit
	}
	return total / float64(max(1, weights))
}

// expectedWait returns how long a request at the end of an organisation's queue waits. One slot
// is freed every meanHoldTime / totalLimit. Organisations below their shares get free slots
// first; all others get them in proportion to their weights.
func (g *ConcurrencyLimiter) expectedWait(t *organisationState) time.Duration {
	slotInterval := float64(g.meanHoldTime) / g.totalLimit.value
	sharePerWeight := g.sharePerWeight()
	if float64(t.inFlight+t.peerInFlight+len(t.queue)) < sharePerWeight*float64(t.weight) {
		ahead := 1
		for _, o := range g.organisations {
			if o == t || o.isBelowShare(sharePerWeight) {
				ahead += len(o.queue)
			}
		}
		return time.Duration(slotInterval * float64(ahead))
	}
	weights := t.weight
	for _, o := range g.organisations {
		if o != t && len(o.queue) > 0 {
			weights += o.weight
		}
	}
	return time.Duration(slotInterval * float64((len(t.queue)+1)*weights) / float64(t.weight))
}

func (g *ConcurrencyLimiter) maxQueueWait() time.Duration {
	return time.Duration(maxWaitFraction * float64(firstTokenTarget(g.target)))
}

// nextOrganisation returns the organisation that gets the next free slot, or nil: one below its
// share goes before one above it, then the higher priority class, then the one with the least
// in flight per weight over all daemons.
func (g *ConcurrencyLimiter) nextOrganisation() *organisationState {
	var best *organisationState
	sharePerWeight := g.sharePerWeight()
	for _, t := range g.organisations {
		if len(t.queue) > 0 && g.hasFreeSlot(t) && (best == nil || compareTurn(t, best, sharePerWeight) < 0) {
			best = t
		}
	}
	return best
}

// compareTurn orders organisations by who gets the next free slot; sharePerWeight is the share
// of a weight of one.
func compareTurn(a, b *organisationState, sharePerWeight float64) int {
	if over := cmp.Compare(boolToInt(!a.isBelowShare(sharePerWeight)), boolToInt(!b.isBelowShare(sharePerWeight))); over != 0 {
		return over
	}
	if class := cmp.Compare(priorityClass(b), priorityClass(a)); class != 0 {
		return class
	}
	if loadPerWeight := cmp.Compare(a.loadPerWeight(), b.loadPerWeight()); loadPerWeight != 0 {
		return loadPerWeight
	}
	return cmp.Compare(a.name, b.name)
}

// loadPerWeight returns the organisation's requests in flight over all daemons, divided by its
// weight.
func (t *organisationState) loadPerWeight() float64 {
	return float64(t.inFlight+t.peerInFlight) / float64(t.weight)
}

func priorityClass(t *organisationState) int {
	switch t.queue[0].Priority {
	case loader.PriorityHigh:
		return 1
	case loader.PriorityLow:
		return -1
	}
	return 0
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
