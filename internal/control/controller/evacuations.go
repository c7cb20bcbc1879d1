package controller

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/control/evacuator"
	"pomelotiller/internal/observe/meter"
)

// evacuationsEvent is a set of evacuations that was read from the store or received from a peer.
type evacuationsEvent evacuator.Set

// OfferEvacuations offers a set of evacuations, which comes into force if it is newer than the
// current one.
func (c *Controller) OfferEvacuations(ctx context.Context, s evacuator.Set) {
	c.enqueue(ctx, evacuationsEvent(s))
}

func (e evacuationsEvent) apply(c *Controller) {
	next, old := evacuator.Set(e), c.evacuations
	if !next.IsNewer(old) {
		return
	}
	c.evacuations = next
	c.logEvacuations("evacuation withdrawn", "withdrawn", old, next)
	c.logEvacuations("evacuation requested", "requested", next, old)
	metrics.GetOrRegisterGauge("evacuated_domains", c.cfg.Registry).Update(int64(len(next.Domains)))
	metrics.GetOrRegisterGauge("evacuations_generation", c.cfg.Registry).Update(int64(next.Generation))
	if c.cfg.OnEvacuations != nil {
		c.cfg.OnEvacuations(next)
	}
}

// logEvacuations logs and counts the domains that are in a set and not in another one.
func (c *Controller) logEvacuations(msg, change string, in, notIn evacuator.Set) {
	for _, e := range in.Domains {
		if notIn.Has(e.Domain) {
			continue
		}
		c.log("msg", msg, "domain", e.Domain, "requested", e.Requested, "generation", c.evacuations.Generation)
		meter.AddToCounter(c.cfg.Registry, 1, "evacuation_changes_total", "domain", e.Domain, "change", change)
	}
}
