package carrier

import (
	"net/http"

	"pomelotiller/internal/traffic/throttler"
)

// recordLimit records what the header of an answer says of the endpoint's limit. A refusal or a failure
// without a limit does not end it: only an answer that is the endpoint's own and whole does.
func (a *answer) recordLimit() {
	e, v := a.choice.Endpoint, a.verdict
	switch {
	case v.Misdirected:
	case v.Limit.State == throttler.StateNamed:
		a.c.cfg.Limits.RecordLimit(e.ID, e.Born, v.Limit.PerSecond)
	case v.Limit.State == throttler.StateAbsent && !v.NotRun && a.res.StatusCode < http.StatusInternalServerError:
		a.c.cfg.Limits.RecordNoLimit(e.ID, e.Born, a.sentAt)
	}
}
