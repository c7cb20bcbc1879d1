package generator

import (
	"math/rand/v2"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

// maxEvents bounds the events that an engine remembers.
const maxEvents = 1 << 14

// Events is an engine's log of cache events, which readers see late and with
// gaps. It is not safe for concurrent use.
type Events struct {
	lag    time.Duration
	loss   float64
	rand   *rand.Rand
	number uint64
	log    []stampedEvent
}

type stampedEvent struct {
	inferrer.Event
	at time.Time
}

// NewEvents returns an empty log. Readers see an event lag after it happened;
// loss is the part of events that they never see.
func NewEvents(lag time.Duration, loss float64, seed uint64) *Events {
	return &Events{lag: lag, loss: loss, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Add records an event.
func (e *Events) Add(now time.Time, kind inferrer.EventKind, blocks []uint64) {
	e.number++
	if e.loss > 0 && e.rand.Float64() < e.loss {
		return
	}
	if len(e.log) == maxEvents {
		e.log = append(e.log[:0], e.log[maxEvents/2:]...)
	}
	e.log = append(e.log, stampedEvent{inferrer.Event{Number: e.number, Kind: kind, Blocks: blocks}, now})
}

// From returns the visible events with at least the given number.
func (e *Events) From(now time.Time, number uint64) []inferrer.Event {
	out := []inferrer.Event{}
	for _, s := range e.log {
		if s.Number >= number && now.Sub(s.at) >= e.lag {
			out = append(out, s.Event)
		}
	}
	return out
}
