package carrier

import "pomelotiller/internal/traffic/throttler"

// recordLimit records what the header of an answer says of the endpoint's limit, unless it comes from another
// endpoint at the address.
func (a *answer) recordLimit() {
	e, v := a.choice.Endpoint, a.verdict
	if v.Misdirected || v.NotRun && v.Limit.State == throttler.StateAbsent {
		return
	}
	throttler.Observe(a.c.cfg.Limits, e.ID, e.Born, v.Limit, a.res.StatusCode, a.sentAt)
}
