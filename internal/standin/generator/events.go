package generator

import (
	"math/rand/v2"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

// maxEvents is the maximum number of events that an engine keeps.
const maxEvents = 1 << 14

// Events is an engine's log of cache events. It simulates a lag and lost events.
// It is not safe for concurrent use.
type Events struct {
	lag          time.Duration
	lossFraction float64
	rand         *rand.Rand
	// lastNumber is the number of the latest event, recorded or lost.
	lastNumber uint64
	log        []timestampedEvent
}

type timestampedEvent struct {
	inferrer.Event
	at time.Time
}

// NewEvents returns an empty log. An event becomes visible to readers after the
// lag; lossFraction is the fraction of events that never do.
func NewEvents(lag time.Duration, lossFraction float64, seed uint64) *Events {
	return &Events{lag: lag, lossFraction: lossFraction, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Add appends an event, unless it is chosen to be lost. A lost event uses up a
// number too, so that readers see a gap.
func (e *Events) Add(now time.Time, kind inferrer.EventKind, blocks []uint64) {
	e.lastNumber++
	if e.lossFraction > 0 && e.rand.Float64() < e.lossFraction {
		return
	}
	if len(e.log) == maxEvents {
		e.log = append(e.log[:0], e.log[maxEvents/2:]...)
	}
	e.log = append(e.log, timestampedEvent{inferrer.Event{Number: e.lastNumber, Kind: kind, Blocks: blocks}, now})
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
