package bounder

import (
	"iter"
	"time"

	"pomelotiller/internal/remote/rationer"
)

// largerFactor is how many times as much as the one that asks another connection must hold to be ended for it,
// when none is stalled. With a factor of 1 callers that send alike would end each other.
const largerFactor = 4

// stalledFirst ends the connection that holds much and is furthest behind, by the product of both. If none is
// stalled, it ends one that holds much more than the one that asks and whose request has not arrived whole.
type stalledFirst struct{}

// Choose implements rationer.Policy.
func (stalledFirst) Choose(asking *rationer.Holding, _ int, others iter.Seq2[*rationer.Holding, int]) *rationer.Holding {
	now := time.Now().UnixNano()
	own := asking.Owner().(*Conn)
	var stalled, large *rationer.Holding
	worst, largest := own.stall(now), largerFactor*max(own.held.Load(), connBytes)
	for h := range others {
		c := h.Owner().(*Conn)
		if s := c.stall(now); s > worst {
			stalled, worst = h, s
		}
		if held := c.held.Load(); held > largest && c.phase.Load() <= phaseBody {
			large, largest = h, held
		}
	}
	if stalled == nil && own.stall(now) == 0 {
		return large
	}
	return stalled
}

// stall returns the product of what the connection holds and what its caller is behind, 0 for one that is not stalled.
func (c *Conn) stall(now int64) float64 {
	lag := time.Duration(c.lag(now))
	least := stallTime
	if c.phase.Load() <= phaseHeader {
		least = headerStallTime
	}
	if lag < least {
		return 0
	}
	return lag.Seconds() * float64(max(c.held.Load(), connBytes))
}
