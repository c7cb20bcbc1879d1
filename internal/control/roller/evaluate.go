package roller

import (
	"slices"
	"time"

	"pomelotiller/internal/control/assessor"
)

// evaluateMove reverts a move whose new release is faulty. Of a move that has reached
// completionFraction of its time it reverts one in doubt, and completes one whose new release serves.
func (r *Roller) evaluateMove(m *move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.state != StateActive {
		return
	}
	now := time.Now()
	m.recordAvailability(now, slices.Contains(r.cfg.AvailableReleases(m.Service), m.Release))
	all := r.sumCounts(m)
	candidate, baseline := all.totals()
	if m.history.isReturn() {
		r.completeReturn(m, now)
		return
	}
	m.setExtraFraction(now, r.cfg.Exposure, candidate.sent+baseline.sent, min(float64(1+len(r.peerCounts))/float64(max(r.cfg.Members(), 1)), 1))
	recent, span := m.recentComparison(now, all)
	reason := all.faultReason(falseRevertProbability / spans)
	if reason == "" {
		// The sum of 1/(n(n+1)) over all spans is 1.
		n := float64(span + 1)
		reason = recent.faultReason(falseRevertProbability / spans / (n * (n + 1)))
	}
	if reason != "" {
		r.endMove(m, StateReverted, reason)
		return
	}
	doubt := all.faultReason(doubtProbability)
	m.isInDoubt = doubt != ""
	if now.Sub(m.startTime) < time.Duration(completionFraction*float64(m.Within)) {
		return
	}
	switch {
	case m.isInDoubt:
		r.endMove(m, StateReverted, "in doubt at the end of its time: "+doubt)
	case r.isServing(m, recent) && now.Sub(m.lackedAt) >= returnProofTime:
		r.endMove(m, StateDone, "no excess faults within its time")
	}
}

// completeReturn completes a move to a release that was in force. Nothing is proved, but what still runs
// at the other releases gets the time to end.
func (r *Roller) completeReturn(m *move, now time.Time) {
	isDue := now.Sub(m.startTime) >= time.Duration(completionFraction*float64(m.Within))
	if isDue && slices.Contains(r.cfg.AvailableReleases(m.Service), m.Release) {
		r.endMove(m, StateDone, "the release was in force when it was ordered")
	}
}

// isServing reports whether the new release has endpoints and gave good answers of late. A move that
// is done ends the old release.
func (r *Roller) isServing(m *move, recent comparison) bool {
	candidate, _ := recent.totals()
	return candidate.good > 0 && slices.Contains(r.cfg.AvailableReleases(m.Service), m.Release)
}

// sumCounts totals the counts of all daemons for the ordered release (candidate) and for the other
// proved releases of the service (baseline), by route.
func (r *Roller) sumCounts(m *move) comparison {
	sum := newComparison()
	sum.add(r.ownCounts, m)
	for _, p := range r.peerCounts {
		sum.add(p.current, m)
		sum.add(p.earlier, m)
	}
	return sum
}

// endMove sets the final state of an active move and announces it. It does nothing if the move has
// already ended or s is not final.
func (r *Roller) endMove(m *move, s State, why string) {
	if m.state != StateActive || s == StateActive {
		return
	}
	m.state, m.endTime = s, time.Now()
	r.log(append([]any{
		"msg", "move ended", "service", m.Service, "release", m.Release, "state", s, "why", why, "age", time.Since(m.startTime),
	}, r.countFields(m)...)...)
	r.cfg.Announce()
}

// countFields returns the log fields with the counts by which the releases of a move are compared,
// and the number of other daemons whose counts they include.
func (r *Roller) countFields(m *move) []any {
	candidate, baseline := r.sumCounts(m).totals()
	median, _ := baseline.times.MedianClass()
	slow := median + assessor.SlowClasses(0)
	return []any{
		"sent", candidate.sent, "good", candidate.good, "bad", candidate.bad, "late", candidate.late, "slow", candidate.times.RateAbove(slow).Faults,
		"old_sent", baseline.sent, "old_good", baseline.good, "old_bad", baseline.bad, "old_late", baseline.late,
		"old_slow", baseline.times.RateAbove(slow).Faults, "reports", len(r.peerCounts), "doubt", m.isInDoubt,
	}
}

// logFraction logs each large change of the fraction of requests that goes to the new release, with
// the counts known at that time.
func (r *Roller) logFraction(m *move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := m.targetFraction(time.Now(), r.cfg.Exposure)
	if m.hasLoggedFraction && max(f, m.loggedFraction) < minLoggedChange*min(f, m.loggedFraction) || f == m.loggedFraction {
		return
	}
	m.hasLoggedFraction, m.loggedFraction = true, f
	r.log(append([]any{
		"msg", "move fraction", "service", m.Service, "release", m.Release, "fraction", f, "resolved", m.resolved, "age", time.Since(m.startTime),
	}, r.countFields(m)...)...)
}
