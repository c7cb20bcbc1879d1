package assessor

import "time"

const (
	// arrivalMargin is how long after the end of a process its last answers may still be read.
	arrivalMargin = 30 * time.Millisecond
	// outageTime is how long broken answers on new connections to an endpoint that answers none count as the
	// same event.
	outageTime = time.Second
)

// Attempt is an attempt at an endpoint, as far as it tells whether the endpoint lives.
type Attempt struct {
	Endpoint string
	// ConnectedAt is when the connection of the attempt was opened, and SentAt when the attempt began. A zero time
	// counts as earlier than any event.
	ConnectedAt, SentAt time.Time
	// HasHead reports that the endpoint sent the head of an answer to the request.
	HasHead bool
	// IsSilent reports that the attempt ended since nothing came from the endpoint, which may be cut off.
	IsSilent bool
}

// Breaks tells which broken answers of endpoints count as events of their own. The crash of an endpoint, a reset of
// its connections and a cut from it break off all answers in flight, but are one event. An endpoint that lives and
// breaks off some of its answers fails each time: it goes on to answer others, on connections that it has kept.
type Breaks map[string]*breakEvent

// breakEvent is the last broken answer of an endpoint that counted, and what the endpoint has shown since.
type breakEvent struct {
	at       time.Time
	isSilent bool
	// hasAnswered reports that the endpoint has answered a request that was sent after the event, and
	// hasKeptConnection that it did so on a connection that was open at the event, which was thus no crash or reset.
	hasAnswered, hasKeptConnection bool
}

// IsRepeated reports whether an answer that was broken off belongs to an event that has been counted. Otherwise
// it counts, as an event of its own.
func (b Breaks) IsRepeated(a Attempt, now time.Time) bool {
	if e := b[a.Endpoint]; e != nil && !e.isOver(a, now) {
		return true
	}
	b[a.Endpoint] = &breakEvent{at: now, isSilent: a.IsSilent}
	return false
}

// RecordAnswer records that an endpoint answered an attempt, completely or with the first event of a stream.
func (b Breaks) RecordAnswer(a Attempt, now time.Time) {
	e := b[a.Endpoint]
	if e == nil {
		return
	}
	isLater := !a.SentAt.Before(e.at)
	e.hasAnswered = e.hasAnswered || isLater
	// After a cut some connections live on and others do not: those that live say nothing of the silent ones.
	if !e.isSilent && a.ConnectedAt.Before(e.at) && (isLater || now.Sub(e.at) >= arrivalMargin) {
		e.hasKeptConnection = true
	}
}

// isOver reports whether an attempt that was broken off shows that the endpoint lived on after the event.
func (e *breakEvent) isOver(a Attempt, now time.Time) bool {
	switch {
	case a.HasHead && !a.SentAt.Before(e.at):
		return true
	case e.hasKeptConnection && !a.IsSilent:
		return true
	case a.ConnectedAt.Before(e.at):
		return false
	}
	return e.hasAnswered || now.Sub(e.at) >= outageTime
}
