package carrier

import (
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/quarantiner"
)

// checkQuarantine refuses a request under which, or under whose prompt blocks, endpoints crash.
func (c *Carrier) checkQuarantine(q *request) error {
	for _, b := range q.Parts[:max(len(q.Parts)-1, 0)] {
		q.parts = append(q.parts, b.ID)
	}
	q.parts = append(q.parts, quarantiner.WholeRequest(q.key))
	err := quarantiner.Check(c.cfg.Quarantine, q.parts)
	if err != nil {
		meter.AddToCounter(c.cfg.Registry, 1, "quarantine_refusals_total", "route", q.route.Name)
	}
	return err
}

// recordBreak records that the connection of an attempt broke before the second event of its answer,
// as when the endpoint crashes. An engine starts its answer as it begins to run a request; a plain service
// may have begun any that it has.
func (c *Carrier) recordBreak(q *request, a *answer, err error) {
	if a.conn == nil || a.ctx.Err() != nil || a.writes > 1 || !quarantiner.IsConnectionLost(err) {
		return
	}
	c.cfg.Quarantine.RecordBreak(a.choice.Endpoint.ID, a.choice.Endpoint.Born, q.parts, a.res != nil || q.Prompt == 0)
}
