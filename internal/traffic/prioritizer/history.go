package prioritizer

import (
	"math"
	"time"
)

const (
	// historyTime is the time constant with which decisions are forgotten. A daemon of a large fleet decides on
	// one or two requests of a class a second.
	historyTime = 5 * time.Second
	// starvedFraction is the fraction of the rate at which all are answered under which a class is starved. It is
	// above the required quarter, since what is known of a class is some seconds old: at 0.3, the queue model had
	// classes at a quarter.
	starvedFraction = 0.6
	// minStarved is how many more requests of a class must have been answered for it not to count as starved, so
	// that one refusal is no evidence.
	minStarved = 0.5
	// maxShareFactor is the largest share of the admitted work that an organisation may have while others wait, in
	// multiples of an equal one, and maxShare the largest of few organisations.
	maxShareFactor = 2
	maxShare       = 0.75
	// minActive is the decayed count of requests above which an organisation counts as active.
	minActive = 0.3
)

// decayed is a sum of which old values count less.
type decayed struct {
	sum float64
	at  time.Time
}

// add adds a value at a time and returns the sum.
func (d *decayed) add(v float64, now time.Time) float64 {
	if !d.at.IsZero() {
		d.sum *= math.Exp(-float64(now.Sub(d.at)) / float64(historyTime))
	}
	d.sum, d.at = d.sum+v, now
	return d.sum
}

// tally counts the requests of a kind that were decided on, and those that an endpoint began to answer.
type tally struct{ asked, answered decayed }

// isStarved reports whether far fewer are answered than of all.
func (t *tally) isStarved(all *tally, now time.Time) bool {
	asked := all.asked.add(0, now)
	if asked == 0 {
		return false
	}
	want := starvedFraction * all.answered.add(0, now) / asked * t.asked.add(0, now)
	return t.answered.add(0, now)+minStarved < want
}

// organisationHistory is what an organisation asked for, in requests, and was admitted with, in tokens.
type organisationHistory struct{ asked, tokens decayed }

// history holds the decisions on one service's requests of late.
type history struct {
	all   tally
	ranks []tally
	// late holds the requests of each rank that could no longer be answered within their target.
	late          []tally
	tokens        decayed
	organisations map[string]*organisationHistory
}

func newHistory(ranks int) *history {
	return &history{ranks: make([]tally, ranks), late: make([]tally, ranks), organisations: make(map[string]*organisationHistory)}
}

// record records a decision on a request.
func (h *history) record(s standing, organisation string, tokens int, admitted bool, now time.Time) {
	for _, t := range h.tallies(s) {
		t.asked.add(1, now)
	}
	o := h.organisations[organisation]
	if o == nil {
		o = &organisationHistory{}
		h.organisations[organisation] = o
	}
	o.asked.add(1, now)
	if admitted {
		o.tokens.add(float64(max(tokens, 1)), now)
		h.tokens.add(float64(max(tokens, 1)), now)
	}
}

// recordAnswer records that an endpoint began to answer an admitted request.
func (h *history) recordAnswer(s standing, now time.Time) {
	for _, t := range h.tallies(s) {
		t.answered.add(1, now)
	}
}

// tallies returns the tallies that count a request.
func (h *history) tallies(s standing) []*tally {
	out := []*tally{&h.all, &h.ranks[s.rank]}
	if s.late {
		out = append(out, &h.late[s.rank])
	}
	return out
}

// leastStarved returns the least urgent rank that is starved, or -1.
func (h *history) leastStarved(now time.Time) int {
	for rank := len(h.ranks) - 1; rank > 0; rank-- {
		if h.ranks[rank].isStarved(&h.all, now) {
			return rank
		}
	}
	return -1
}

// isGreedy reports whether an organisation has far more than an equal share of the admitted work while others ask
// for some.
func (h *history) isGreedy(organisation string, now time.Time) bool {
	o := h.organisations[organisation]
	if o == nil {
		return false
	}
	active := 0
	for name, other := range h.organisations {
		switch asked := other.asked.add(0, now); {
		case asked > minActive:
			active++
		case asked < minActive/10:
			delete(h.organisations, name)
		}
	}
	if active < 2 {
		return false
	}
	return o.tokens.add(0, now) > min(maxShareFactor/float64(active), maxShare)*h.tokens.add(0, now)
}
