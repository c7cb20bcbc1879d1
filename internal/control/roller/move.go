package roller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// fullTrafficFraction is the fraction of Order.Within after which the new release gets all
	// requests, unless it was reverted. completionFraction is the fraction after which the move
	// is done; requests that still run at the old release can end between the two.
	fullTrafficFraction = 0.68
	completionFraction  = 0.94
	// canaryExposureFraction is the fraction of Config.Exposure that a move uses until all requests
	// go to the new release. The rest is left for a fault that shows only then.
	canaryExposureFraction = 0.4
	// firstCanaryFraction is the part of fullTrafficFraction in which the new release gets half
	// of the canary's share of requests, and none for the extra ones.
	firstCanaryFraction = 0.25
	// maxCanaryFraction bounds the fraction of requests for the new release before all go to it.
	maxCanaryFraction = 0.3
	// storeReadDelay is how long a daemon without the publishing duty waits for a peer to
	// report the stored state of a move before it reads the store itself.
	storeReadDelay = 2500 * time.Millisecond
	// unresolvedHoldTime is how long a new release gets no requests while this daemon does not
	// know whether the release was reverted before the daemon started.
	unresolvedHoldTime = 4 * time.Second
	// minLoggedChange is the least factor by which the fraction of requests for the new release
	// changes from one log line to the next.
	minLoggedChange = 1.5
	// settleTime is how long after the end of a move the endpoints of the release that lost may
	// still be present.
	settleTime = 8 * time.Second
	// recentSpan is the least time over which the latest answers are compared apart from all
	// others, so that earlier good answers do not hide a fault that starts late.
	recentSpan = 2 * time.Second
	// returnCanaryTime is how long a new release whose endpoints are back, as after the evacuation of
	// their failure domain, gets the canary's requests only. returnProofTime is how long after their
	// return the move is done at the earliest: with the first good answer, 1 of 5 releases with 4
	// faults in 10 answers was completed.
	returnCanaryTime = 2 * recentSpan
	returnProofTime  = 2 * returnCanaryTime
)

// move is one daemon's state of an Order.
type move struct {
	Order
	state State
	// endTime is when the move reached its final state.
	endTime time.Time
	// startTime is when the first of all daemons received the order.
	startTime time.Time
	// seenTime is when this daemon received the order.
	seenTime time.Time
	// withdrawn is set once the order is deleted.
	withdrawn bool
	// history says which releases are proved; hasHistory is set once it is based on the endpoints or on
	// the order before.
	history    History
	hasHistory bool
	// isFromStart reports that the order came while this daemon started.
	isFromStart bool
	// hasStoredHistory is set once history is known to be the one in the store, and hasReadHistory once
	// this daemon has looked there.
	hasStoredHistory bool
	hasReadHistory   bool
	// historyTry is when this daemon last tried to read the stored history.
	historyTry time.Time
	// resolved is set once this daemon or a peer has read the state in the store.
	resolved bool
	// publishedState is the last state that this daemon published, valid while hasPublished is set.
	publishedState State
	hasPublished   bool
	// loggedFraction is the last logged fraction of the requests for the new release, valid while
	// hasLoggedFraction is set.
	loggedFraction    float64
	hasLoggedFraction bool
	// extraFraction is the fraction of requests by which the canary uses Exposure.Extra.
	extraFraction float64
	// isInDoubt is set while the new release seems worse than the old one, though not yet clearly.
	isInDoubt bool
	// spanStart is when the present span of recentSpan began, and earlierCounts holds the counts at
	// the start of the span before it, which is the span with the given number.
	spanStart time.Time
	// hadEndpoints is set once the new release had endpoints, and lackedAt is when it was last found
	// without any that it had before or that its full traffic needed; zero if never.
	hadEndpoints  bool
	lackedAt      time.Time
	span          int
	earlierCounts [2]comparison
}

// isReadDue reports whether a daemon without the publishing duty has waited long enough for a report of
// what the store has of the move.
func (m *move) isReadDue() bool { return time.Since(m.seenTime) >= storeReadDelay }

// provedReleases returns a function that reports whether a release may get any number of requests.
func (m *move) provedReleases() func(release string) bool {
	h, target, isDone := m.history, m.Release, m.state == StateDone
	return func(release string) bool { return !h.isUnproved(release) || isDone && release == target }
}

// report returns the state of the move as it is sent to other daemons.
func (m *move) report() sharer.Move {
	return sharer.Move{
		Service: m.Service, Revision: m.Revision, State: int(m.state), Age: time.Since(m.startTime).Milliseconds(), Settled: m.resolved,
		Stored: m.hasStoredHistory, After: m.history.After, InForce: m.history.InForce, Unproved: m.history.Unproved,
	}
}

// targetFraction returns the fraction of the requests that go to the ordered release alone at a time; the
// others go to all proved releases.
func (m *move) targetFraction(now time.Time, e Exposure) float64 {
	age := now.Sub(m.startTime).Seconds() / max(m.Within.Seconds(), 1)
	switch {
	case m.history.isReturn() && age < fullTrafficFraction && m.state == StateActive:
		return 0
	case m.history.isReturn():
		return 1
	case m.state == StateReverted, !m.resolved && now.Sub(m.seenTime) < unresolvedHoldTime:
		return 0
	case m.state == StateDone, age >= fullTrafficFraction && !m.isInDoubt && now.Sub(m.lackedAt) >= returnCanaryTime:
		return 1
	case age < fullTrafficFraction*firstCanaryFraction:
		return canaryExposureFraction * e.Share / 2
	}
	return min(canaryExposureFraction*e.Share+m.extraFraction, max(maxCanaryFraction, canaryExposureFraction*e.Share))
}

// recordAvailability records whether the new release has endpoints that accept requests.
func (m *move) recordAvailability(now time.Time, hasEndpoints bool) {
	if hasEndpoints {
		m.hadEndpoints = true
		return
	}
	if m.hadEndpoints || now.Sub(m.startTime) >= time.Duration(fullTrafficFraction*float64(m.Within)) {
		m.lackedAt = now
	}
}

// setExtraFraction sets the fraction of requests by which the canary uses the extra requests: evenly
// until all requests go to the new release. sent is the number of requests to the service since the
// start of the move that the known daemons sent, and known the fraction of all daemons that these are.
func (m *move) setExtraFraction(now time.Time, e Exposure, sent int, known float64) {
	age := now.Sub(m.startTime).Seconds()
	if age <= 0 || sent == 0 {
		return
	}
	perSecond := float64(sent) / age
	span := fullTrafficFraction * (1 - firstCanaryFraction) * max(m.Within.Seconds(), 1)
	m.extraFraction = canaryExposureFraction * e.Extra * known / (perSecond * span)
}

// isSampled reports whether a hash of the request id selects it for the new release, which gets
// the given fraction of all requests.
func isSampled(id string, fraction float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String("move "+id)%resolution) < fraction*resolution
}

// recentComparison returns the comparison over the present span and the one before it, and the
// number of the span. It starts a new span once the present one is over.
func (m *move) recentComparison(now time.Time, all comparison) (comparison, int) {
	if now.Sub(m.spanStart) >= recentSpan {
		m.spanStart = now
		m.span++
		m.earlierCounts = [2]comparison{m.earlierCounts[1], all}
	}
	return all.since(m.earlierCounts[0]), m.span
}
