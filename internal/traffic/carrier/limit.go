package carrier

import (
	"net/http"
	"strconv"
	"time"
)

// LimitState is what an answer says of its endpoint's request limit.
type LimitState int

// States of a limit in an answer.
const (
	// LimitAbsent means that the answer names no limit.
	LimitAbsent LimitState = iota
	// LimitNamed means that the answer names one.
	LimitNamed
	// LimitMalformed means that the answer names one that cannot be read.
	LimitMalformed
)

// RequestLimit is what the header of an answer says of the requests that the endpoint takes from all
// daemons together.
type RequestLimit struct {
	State LimitState
	// PerSecond is the number of requests a second, 0 or more; it holds if State is LimitNamed.
	PerSecond float64
}

// String returns the limit as requests a second, or its state.
func (l RequestLimit) String() string {
	switch l.State {
	case LimitNamed:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	case LimitMalformed:
		return "malformed"
	}
	return "absent"
}

// Limits learns the request limits that endpoints name in their answers.
type Limits interface {
	// RecordLimit records a limit in requests a second.
	RecordLimit(endpoint string, born int64, perSecond float64)
	// RecordNoLimit records an answer without a limit to a request that was sent at a time.
	RecordNoLimit(endpoint string, born int64, sentAt time.Time)
}

// noLimits is a Limits that learns nothing.
type noLimits struct{}

func (noLimits) RecordLimit(string, int64, float64)     {}
func (noLimits) RecordNoLimit(string, int64, time.Time) {}

// recordLimit records what the header of an answer says of the endpoint's limit. A refusal or a failure
// without a limit does not end it: only an answer that is the endpoint's own and whole does.
func (a *answer) recordLimit() {
	e, v := a.choice.Endpoint, a.verdict
	switch {
	case v.Misdirected:
	case v.Limit.State == LimitNamed:
		a.c.cfg.Limits.RecordLimit(e.ID, e.Born, v.Limit.PerSecond)
	case v.Limit.State == LimitAbsent && !v.NotRun && a.res.StatusCode < http.StatusInternalServerError:
		a.c.cfg.Limits.RecordNoLimit(e.ID, e.Born, a.sentAt)
	}
}
