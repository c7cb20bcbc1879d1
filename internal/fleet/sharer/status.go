package sharer

import "slices"

// Status is the state that each daemon sends to all others several times a second. Totals count
// from the start of the daemon's process.
type Status struct {
	Name    string `cbor:"1,keyasint"`
	Domain  string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Boot is the daemon's incarnation; each start has a higher one.
	Boot int64 `cbor:"4,keyasint"`
	// Number is the sequence number of the status within one incarnation.
	Number uint64 `cbor:"5,keyasint"`
	// Revisions are the latest known revisions of each part of the store.
	Revisions map[string]uint64 `cbor:"6,keyasint"`
	// StoreAnswerAges are the times since the store last answered this daemon about each part, in
	// milliseconds.
	StoreAnswerAges map[string]int64 `cbor:"15,keyasint,omitempty"`
	Loads           []Load           `cbor:"7,keyasint,omitempty"`
	Admissions      []Admissions     `cbor:"8,keyasint,omitempty"`
	Windows         []Window         `cbor:"9,keyasint,omitempty"`
	Demands         []Demand         `cbor:"10,keyasint,omitempty"`
	Trials          []Trial          `cbor:"11,keyasint,omitempty"`
	// Size is how much relay load the daemon's host can carry, relative to others.
	Size float64 `cbor:"17,keyasint,omitempty"`
	// Peers are the addresses of the daemons that this one can reach; empty in a large fleet.
	Peers []string `cbor:"12,keyasint,omitempty"`
	// Stopping daemons take no duties and end soon.
	Stopping bool `cbor:"13,keyasint,omitempty"`
	// StoreUnreachable reports that the daemon cannot reach the store.
	StoreUnreachable bool `cbor:"18,keyasint,omitempty"`
	// Clock is the sender's wall clock, in milliseconds since 1970.
	Clock int64 `cbor:"16,keyasint,omitempty"`
	// Moves are the moves between releases as this daemon sees them.
	Moves []Move `cbor:"14,keyasint,omitempty"`
	// LoadThroughHub reports that the daemon's load reaches others in the totals of its hub, and its
	// report only the candidates for the duty.
	LoadThroughHub bool `cbor:"19,keyasint,omitempty"`
	// FinalWindow is the latest window whose usage report is final, and DutyEpoch the latest
	// epoch of a duty, that the daemon knows of.
	FinalWindow int64  `cbor:"22,keyasint,omitempty"`
	DutyEpoch   uint64 `cbor:"23,keyasint,omitempty"`
	// RemainingAllowance is the daemon's estimate of what is left of allowances; organisations that
	// it has no estimate for are missing.
	RemainingAllowance []RemainingAllowance `cbor:"21,keyasint,omitempty"`
	// Suspicions are what the daemon knows of prompt blocks under which engines crash.
	Suspicions Suspicions `cbor:"24,keyasint,omitzero"`
	// RequestLimits are the request limits of endpoints of which the daemon has the latest answer.
	RequestLimits []RequestLimit `cbor:"25,keyasint,omitempty"`
	// Observations are what the daemon observed of engines since its status with the previous ones; in a large
	// fleet they reach others through hubs.
	Observations []Observation `cbor:"26,keyasint,omitempty"`
	// Hub reports that the daemon considers itself a hub. Every daemon computes the hubs from the
	// members it can reach, so the results differ after a partition.
	Hub bool `cbor:"20,keyasint,omitempty"`
}

// DaemonLoad is what a daemon has in flight and what it admitted since its start.
type DaemonLoad struct {
	Loads      []Load
	Admissions []Admissions
}

// Report is what only the daemon that has the duty needs from another daemon.
type Report struct {
	Name    string   `cbor:"1,keyasint"`
	Boot    int64    `cbor:"2,keyasint"`
	Windows []Window `cbor:"3,keyasint,omitempty"`
	Demands []Demand `cbor:"4,keyasint,omitempty"`
	// FollowsGap reports that the daemon's previous report arrived more than reportGap earlier.
	FollowsGap bool `cbor:"-"`
}

// Load is what a daemon has in flight at one endpoint.
type Load struct {
	Endpoint string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint"`
	// PromptTokens counts prompt tokens that the endpoint still has to compute.
	PromptTokens int `cbor:"3,keyasint"`
}

// Admissions is the total that a daemon admitted of an organisation's allowance.
type Admissions struct {
	Organisation string  `cbor:"1,keyasint"`
	Total        float64 `cbor:"2,keyasint"`
}

// RemainingAllowance is a daemon's estimate of what is left of an organisation's allowance.
type RemainingAllowance struct {
	Organisation string  `cbor:"1,keyasint"`
	Level        float64 `cbor:"2,keyasint"`
}

// Window holds the number of requests of each organisation that started in one usage window.
type Window struct {
	Number int64          `cbor:"1,keyasint"`
	Counts map[string]int `cbor:"2,keyasint"`
}

// Demand adds up what callers requested of a service, whether it was served or not.
type Demand struct {
	Service  string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint"`
	// Prompt counts the prompt tokens that had to be computed.
	Prompt float64 `cbor:"3,keyasint"`
	// Output counts the requested output tokens.
	Output float64 `cbor:"4,keyasint"`
	// Refused counts requests that were refused for lack of capacity.
	Refused float64 `cbor:"5,keyasint"`
}

// Trial counts the answers of one release of a service on one route during a move.
type Trial struct {
	Service string `cbor:"1,keyasint"`
	Release string `cbor:"2,keyasint"`
	Sent    int    `cbor:"3,keyasint"`
	Good    int    `cbor:"4,keyasint"`
	Bad     int    `cbor:"5,keyasint"`
	// Slow counts good answers that took longer than the route's target.
	Slow int `cbor:"6,keyasint"`
	// Route is the name of the route; empty for all routes beyond those that are counted singly.
	Route string `cbor:"7,keyasint,omitempty"`
	// Times counts answers by time relative to the predicted one, in the classes of roller.
	Times []int `cbor:"8,keyasint,omitempty"`
	// Revision is the revision of the order of the move.
	Revision uint64 `cbor:"9,keyasint,omitempty"`
}

// Move is the progress of a service's move between releases at one daemon.
type Move struct {
	Service string `cbor:"1,keyasint"`
	// Revision is the revision of the operator's order.
	Revision uint64 `cbor:"2,keyasint"`
	State    int    `cbor:"3,keyasint"`
	// Age is the time since the daemon first saw the order, in milliseconds.
	Age int64 `cbor:"4,keyasint"`
	// Settled reports that the daemon knows the state of the move in the store.
	Settled bool `cbor:"5,keyasint,omitempty"`
	// Stored reports that InForce and Unproved are as the store has them: the releases that were in force
	// when the order was given, and those that were ordered and not proved.
	Stored   bool     `cbor:"6,keyasint,omitempty"`
	InForce  []string `cbor:"7,keyasint,omitempty"`
	Unproved []string `cbor:"8,keyasint,omitempty"`
	// After is the revision of the order before, on which they are based; 0 if none is known.
	After uint64 `cbor:"9,keyasint,omitempty"`
}

// RequestLimit is what an endpoint said in an answer of the requests that it takes from all daemons together.
type RequestLimit struct {
	Endpoint string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"`
	// PerSecond is the number of requests a second.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Ended reports that the endpoint names no limit any more.
	Ended bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since the answer arrived or, for an ended limit, since its request was sent, in
	// milliseconds.
	Age int64 `cbor:"5,keyasint,omitempty"`
}

// IsSameLimit reports whether two reports differ in no more than the age.
func IsSameLimit(a, b RequestLimit) bool {
	a.Age, b.Age = 0, 0
	return a == b
}

// Suspicions are what a daemon knows of prompt blocks under which engines crash.
type Suspicions struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// Cleared are the blocks of known crashes for which the daemon had complete answers of late.
	Cleared     []string     `cbor:"2,keyasint,omitempty"`
	Quarantines []Quarantine `cbor:"3,keyasint,omitempty"`
}

// IsZero reports whether there is nothing to tell.
func (s Suspicions) IsZero() bool {
	return len(s.Crashes) == 0 && len(s.Cleared) == 0 && len(s.Quarantines) == 0
}

// hasSameCrashes reports whether both hold the same crashes, in any order, and as many quarantines.
func (s Suspicions) hasSameCrashes(other Suspicions) bool {
	if len(s.Crashes) != len(other.Crashes) || len(s.Quarantines) != len(other.Quarantines) {
		return false
	}
	type key struct {
		endpoint string
		born     int64
		requests int
	}
	known := make(map[key]bool, len(s.Crashes))
	for _, c := range s.Crashes {
		known[key{c.Endpoint, c.Born, len(c.Requests)}] = true
	}
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return !known[key{c.Endpoint, c.Born, len(c.Requests)}] })
}

// Crash is the crash of an endpoint, with the requests of one daemon that broke off.
type Crash struct {
	Endpoint string          `cbor:"1,keyasint"`
	Born     int64           `cbor:"2,keyasint"`
	Requests []BrokenRequest `cbor:"3,keyasint"`
}

// BrokenRequest holds the shared prompt blocks of a request that broke off; Began reports that its
// answer had begun.
type BrokenRequest struct {
	Blocks []string `cbor:"1,keyasint"`
	Began  bool     `cbor:"2,keyasint,omitempty"`
}

// Quarantine holds the blocks under which no request is sent to an engine, and the time that is left
// of it, in milliseconds.
type Quarantine struct {
	Blocks []string `cbor:"1,keyasint"`
	Left   int64    `cbor:"2,keyasint"`
}
