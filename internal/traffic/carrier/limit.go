package carrier

import "strconv"

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
