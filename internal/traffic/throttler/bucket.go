package throttler

import (
	"time"

	"pomelotiller/internal/fleet/ranker"
)

// plan is how the daemons of a fleet share a limit.
type plan struct {
	// senders is the number of daemons that send.
	senders int
	// rate is the requests a second that all senders together send.
	rate float64
	// savings is the number of requests that each sender may save up.
	savings float64
}

// bucket is this daemon's part of a limit, a token bucket that is filled while the daemon is a sender.
type bucket struct {
	plan     plan
	isSender bool
	// rankedAt is when the plan and isSender were computed; members is the number of daemons then.
	rankedAt time.Time
	members  int
	// level is the number of requests that this daemon may send at refilledAt.
	level      float64
	refilledAt time.Time
	// isUnused says that no sender before this daemon can have used its savings.
	isUnused bool
}

// update computes the plan again if that is due, and adds what accrued.
func (t *Throttler) update(b *bucket, endpoint string, decide func(members int) plan, now time.Time) {
	if now.Sub(b.rankedAt) >= rankPeriod || b.members == 0 {
		t.rank(b, endpoint, decide, now)
	}
	b.refill(now)
}

// rank computes the senders of a limit. A daemon that becomes one starts without savings, since the one
// before it may have used them.
func (t *Throttler) rank(b *bucket, endpoint string, decide func(members int) plan, now time.Time) {
	b.refill(now)
	members := t.cfg.Members()
	position := ranker.Position(endpoint, t.cfg.Self, members)
	wasSender := b.isSender
	b.plan, b.members, b.rankedAt = decide(len(members)), len(members), now
	b.isSender = position >= 0 && position < b.plan.senders
	if b.isSender && !wasSender && !b.isUnused {
		b.level = min(b.level, 0)
	}
	b.isUnused = false
}

// partRate returns the requests a second that one sender sends.
func (b *bucket) partRate() float64 { return b.plan.rate / float64(max(b.plan.senders, 1)) }

// refill adds what accrued since the last refill.
func (b *bucket) refill(now time.Time) {
	if took := now.Sub(b.refilledAt); took > 0 && b.isSender {
		b.level = min(b.level+took.Seconds()*b.partRate(), b.plan.savings)
	}
	b.refilledAt = now
}

// wait returns how long requests have to wait; 0 if one may be sent now. If this daemon is no sender, it is the
// time that the endpoint takes for one request of the fleet.
func (b *bucket) wait() time.Duration {
	if !b.isSender {
		return toDuration(1 / b.plan.rate)
	}
	return toDuration((1 - b.level) / b.partRate())
}
