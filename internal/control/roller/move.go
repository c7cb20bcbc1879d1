package roller

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shiftShare is the part of a move's time after which all requests go to
	// the new release, if it proved good; doneShare is when the move is done,
	// so that what runs at the old release has time to end.
	shiftShare = 0.62
	doneShare  = 0.88
	// safety is the part of the allowed exposure that is used.
	safety = 0.7
	// minBad is the fewest bad answers that take a release back.
	minBad = 4
	// badMargin is by how much the share of bad answers must exceed the old
	// release's.
	badMargin = 0.08
	// slowMargin is the same for answers past their target.
	slowMargin = 0.25
	minSlow    = 12
	// settleDelay is how long a daemon without the duty waits for another to
	// tell what the store says of a move.
	settleDelay = 2500 * time.Millisecond
	// settleTime is how long a release gets nothing while it is not known
	// whether it was taken back before this daemon started.
	settleTime = 4 * time.Second
)

// tally counts the answers of one release.
type tally struct {
	sent, good, bad, slow int
}

func (t *tally) add(o tally) {
	t.sent += o.sent
	t.good += o.good
	t.bad += o.bad
	t.slow += o.slow
}

func (t tally) answered() int { return max(t.good+t.bad, 1) }

// faulty reports whether a new release is worse than the old one.
func faulty(fresh, old tally) bool {
	bad := float64(fresh.bad) / float64(fresh.answered())
	oldBad := float64(old.bad) / float64(old.answered())
	if fresh.bad >= minBad && bad > 2*oldBad+badMargin {
		return true
	}
	slow := float64(fresh.slow) / float64(fresh.answered())
	oldSlow := float64(old.slow) / float64(old.answered())
	return fresh.slow >= minSlow && slow > 2*oldSlow+slowMargin
}

// move is one order on its way.
type move struct {
	Order
	state State
	// began is when the order was first seen by any daemon.
	began time.Time
	// seen is when this daemon first saw it.
	seen time.Time
	// settled says that the state in the store was read.
	settled bool
	// published is the latest state that this daemon wrote.
	published State
	written   bool
}

// share returns the part of the requests that the new release gets.
func (m *move) share(now time.Time, exposure float64) float64 {
	age := now.Sub(m.began).Seconds() / max(m.Within.Seconds(), 1)
	switch {
	case m.state == StateReverted, !m.settled && now.Sub(m.seen) < settleTime:
		return 0
	case m.state == StateDone, age >= shiftShare:
		return 1
	case age < shiftShare/4:
		return exposure * safety / 2
	}
	return exposure * safety
}

// chosen reports whether a request of that id is among the share.
func chosen(id string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String("move "+id)%resolution) < share*resolution
}
