package prioritizer

import (
	"math"
	"time"
)

const (
	// minReturn is the shortest time after which a refused caller may come back.
	minReturn = 50 * time.Millisecond
	// slotLength is the resolution of return times: less than the prefill of most prompts takes.
	slotLength = 20 * time.Millisecond
	// returnShare is the fraction of the capacity that is kept for callers that come back. The rest is for new ones.
	returnShare = 0.5
	// levelFactor is the fraction of a slot that callers may fill, in multiples of that of the next more urgent
	// class, and that of new ones in multiples of that of those that were refused before.
	levelFactor = 0.85
)

// schedule holds the work that refused callers of a service will come back with, by slots of time.
type schedule struct {
	// booked holds the tokens of each slot, by its number since the Unix epoch.
	booked map[int64]float64
	// first is the earliest slot that is kept.
	first int64
}

func newSchedule() *schedule { return &schedule{booked: make(map[int64]float64)} }

// booking is the work of a refused caller.
type booking struct {
	tokens float64
	// earliest and latest are the times between which it may return.
	earliest, latest time.Time
	// level is the fraction of each slot that the booking may use, at most 1.
	level float64
	// perSecond is the number of tokens a second for which there is capacity.
	perSecond float64
}

// returnLevel returns the fraction of each slot that requests may fill. Those that arrived first, and so were
// refused before, find slots that new ones leave free.
func returnLevel(s standing) float64 {
	n := s.rank
	if !s.returned {
		n++
	}
	return math.Pow(levelFactor, float64(n))
}

// book books the first slot with capacity and returns its time, or false if there is none up to the latest time.
// Work beyond the slot's capacity fills the ones after it.
func (s *schedule) book(b booking, now time.Time) (time.Time, bool) {
	s.dropPast(slotNumber(now))
	capacity := returnShare * b.perSecond * slotLength.Seconds() * b.level
	if capacity <= 0 {
		return time.Time{}, false
	}
	last := slotNumber(b.latest)
	for n := slotNumber(b.earliest.Add(slotLength - 1)); n <= last; n++ {
		if s.booked[n] < capacity {
			s.fill(n, b.tokens, capacity)
			return time.Unix(0, n*int64(slotLength)), true
		}
	}
	return time.Time{}, false
}

// fill spreads tokens over the slots from n on, each up to the capacity.
func (s *schedule) fill(n int64, tokens, capacity float64) {
	for ; tokens > 0; n++ {
		if part := min(capacity-s.booked[n], tokens); part > 0 {
			s.booked[n] += part
			tokens -= part
		}
	}
}

// dropPast drops the slots before n.
func (s *schedule) dropPast(n int64) {
	if n <= s.first {
		return
	}
	for k := range s.booked {
		if k < n {
			delete(s.booked, k)
		}
	}
	s.first = n
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }
