package chooser

import (
	"time"

	"pomelotiller/internal/fleet/tracker"
)

// refusalLifetime is how long a refusal counts as a sign that the endpoint is full, unless an attempt there
// ends before.
const refusalLifetime = 500 * time.Millisecond

// activity is when an endpoint last worked for this daemon, and what it still owes.
type activity struct {
	// inFlight holds this daemon's attempts at the endpoint.
	inFlight map[*Attempt]struct{}
	// heardAt is the time of the latest event or complete answer, and refusedAt that of the latest refusal of
	// a request that did not run; refusedAt is zero once a place has become free.
	heardAt, refusedAt time.Time
}

func (v *activity) begin(a *Attempt) {
	if v.inFlight == nil {
		v.inFlight = make(map[*Attempt]struct{})
	}
	v.inFlight[a] = struct{}{}
}

func (v *activity) end(a *Attempt, r Result, now time.Time) {
	delete(v.inFlight, a)
	switch r {
	case ResultBusy:
		v.refusedAt = now
		return
	case ResultGood:
		v.heardAt = now
	}
	v.refusedAt = time.Time{}
}

// hasOverdue reports whether the endpoint owes a sign of life for any attempt.
func (v *activity) hasOverdue(now time.Time) bool {
	for a := range v.inFlight {
		if !a.due.IsZero() && !a.due.After(now) {
			return true
		}
	}
	return false
}

// canTakeOver reports whether a request whose endpoint has been silent since a time may move to this one: it
// has worked since then or owes nothing, and is not known to be full. An engine that runs out of memory preempts
// several requests at once, often at the same time as others, so one that is as silent would not be faster.
func (s *endpointState) canTakeOver(e tracker.Endpoint, silentSince, now time.Time) bool {
	isFull := e.Slots > 0 && s.running+s.peerLoad.Running >= e.Slots || now.Sub(s.activity.refusedAt) < refusalLifetime
	return !isFull && (s.activity.heardAt.After(silentSince) || !s.activity.hasOverdue(now))
}

// ExpectBy sets the time from which the silence of the endpoint is unexpected; zero sets none.
func (a *Attempt) ExpectBy(due time.Time) {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.due = due
}

// RecordSign records that the endpoint has sent an event. Nothing is expected of it until ExpectBy is called.
func (a *Attempt) RecordSign() {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.due = time.Time{}
	a.state.activity.heardAt = a.chooser.cfg.Now()
}
