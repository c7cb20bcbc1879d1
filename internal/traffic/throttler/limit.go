package throttler

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// State is what an answer says of its endpoint's request limit.
type State int

// States of a limit in an answer.
const (
	// StateAbsent means that the answer names no limit.
	StateAbsent State = iota
	// StateNamed means that the answer names one.
	StateNamed
	// StateMalformed means that the answer names one that cannot be read.
	StateMalformed
)

// Limit is what the header of an answer says of the requests that the endpoint takes from all daemons
// together.
type Limit struct {
	State State
	// PerSecond is the number of requests a second, 0 or more; it holds if State is StateNamed.
	PerSecond float64
}

// ParseLimit reads the values of a header field with requests a second. Of several values it takes the least
// that can be read.
func ParseLimit(values []string) Limit {
	out := Limit{}
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		switch {
		case err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0:
			if out.State == StateAbsent {
				out.State = StateMalformed
			}
		case out.State != StateNamed || n < out.PerSecond:
			out = Limit{State: StateNamed, PerSecond: n}
		}
	}
	return out
}

// String returns the limit as requests a second, or its state.
func (l Limit) String() string {
	switch l.State {
	case StateNamed:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	case StateMalformed:
		return "malformed"
	}
	return "absent"
}

// Gate keeps requests to limited endpoints back. An endpoint is known by its id, and by born where that tells
// its incarnations apart.
type Gate interface {
	// Wait returns how long requests to an endpoint have to wait; 0 if one may be sent.
	Wait(endpoint string, born int64) time.Duration
	// Take charges one request, and Return gives back one that was not sent.
	Take(endpoint string, born int64)
	Return(endpoint string, born int64)
	// Granted returns the ids of endpoints with a limit to which this daemon may send a request now. Few
	// daemons may, so they should consider these endpoints.
	Granted() []string
}

// Observer learns the limits that endpoints name in their answers.
type Observer interface {
	// RecordLimit records a limit in requests a second.
	RecordLimit(endpoint string, born int64, perSecond float64)
	// RecordNoLimit records an answer without a limit to a request that was sent at a time.
	RecordNoLimit(endpoint string, born int64, sentAt time.Time)
}

// Observe tells an observer what an answer with a status says of its endpoint's limit; sentAt is when its
// request was sent. A failure or a refusal without a limit does not end it.
func Observe(o Observer, endpoint string, born int64, l Limit, status int, sentAt time.Time) {
	switch {
	case l.State == StateNamed:
		o.RecordLimit(endpoint, born, l.PerSecond)
	case l.State == StateAbsent && status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
		o.RecordNoLimit(endpoint, born, sentAt)
	}
}

// NoLimits is a Gate that keeps nothing back, and an Observer that learns nothing.
type NoLimits struct{}

// Wait implements Gate.
func (NoLimits) Wait(string, int64) time.Duration { return 0 }

// Take implements Gate.
func (NoLimits) Take(string, int64) {}

// Return implements Gate.
func (NoLimits) Return(string, int64) {}

// Granted implements Gate.
func (NoLimits) Granted() []string { return nil }

// RecordLimit implements Observer.
func (NoLimits) RecordLimit(string, int64, float64) {}

// RecordNoLimit implements Observer.
func (NoLimits) RecordNoLimit(string, int64, time.Time) {}
