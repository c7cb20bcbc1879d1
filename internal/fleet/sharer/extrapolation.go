package sharer

import (
	"maps"
	"slices"
	"time"
)

const (
	// lateTotalsAge is the age of a hub's latest totals from which on the hub counts as cut off,
	// and lateReportAge that of the latest load report of an attached daemon. Both leave room for
	// one lost datagram.
	lateTotalsAge = 3 * hubPeriod
	lateReportAge = 5 * loadReportPeriod / 2
	// hubExtrapolationTime is how long a lost hub's totals are extrapolated for all of its
	// daemons; by then this daemon knows which of them are still reachable.
	hubExtrapolationTime = 2 * totalsTimeout
	// withdrawDelay is how long after a daemon's status arrived through another hub this hub
	// withdraws its extrapolation: the daemon attaches to the other hub first, which then reports
	// what it admitted.
	withdrawDelay = 3 * time.Second
	// minLateHubs and minLateDaemons are how many must be late at once for it to be taken as a
	// network partition.
	minLateHubs    = 2
	minLateDaemons = 2
)

// extrapolation estimates what an unreachable hub or daemon goes on admitting, from its last
// known rates.
type extrapolation struct {
	rates rateAverages
	// extrapolated is the estimated amount that was counted up to until, by organisation.
	extrapolated map[string]float64
	until        time.Time
}

func newExtrapolation(now time.Time) extrapolation {
	return extrapolation{rates: make(rateAverages), extrapolated: make(map[string]float64), until: now}
}

// reconcile updates the rate with what was admitted since the previous message, and returns how
// much of it was not counted yet; negative if the estimate was too high.
func (f *extrapolation) reconcile(org string, admitted float64, now time.Time) float64 {
	f.rates.forOrganisation(org, now).update(admitted, now)
	rest := admitted - f.extrapolated[org]
	delete(f.extrapolated, org)
	return rest
}

// extrapolate returns the estimated amounts from the last call until now, for the given fraction
// of the daemons behind the rates.
func (f *extrapolation) extrapolate(now time.Time, fraction float64) []Admissions {
	took := now.Sub(f.until).Seconds()
	f.until = now
	var out []Admissions
	for _, org := range slices.Sorted(maps.Keys(f.rates)) {
		if d := f.rates[org].perSecond * took * fraction; d > 0 {
			f.extrapolated[org] += d
			out = append(out, Admissions{Organisation: org, Total: d})
		}
	}
	return out
}

// missingFractionFunc returns the fraction, 0 to 1, of a daemon's load or of a hub's totals that
// arrives in no other way, where its last message came at since.
type missingFractionFunc func(name string, since time.Time) (fraction float64)

// extrapolateMissing counts estimates for hubs and attached daemons whose messages are late.
// Membership shows a partition only seconds later, and until then each side would use an
// organisation's whole allowance. A single late hub is not extrapolated at first, since most of
// its daemons attach to another hub, which reports them.
func (l *aggregator) extrapolateMissing(now time.Time, missingFraction missingFractionFunc) missingPeers {
	var out missingPeers
	late := 0
	for _, a := range l.totalsByHub {
		if now.Sub(a.received) >= lateTotalsAge {
			late++
		}
	}
	for name, a := range l.totalsByHub {
		recent := now.Sub(a.received) <= hubExtrapolationTime
		if now.Sub(a.received) < lateTotalsAge || recent && late < minLateHubs {
			continue
		}
		fraction := missingFraction(name, a.received)
		if fraction > 0 {
			out.hubs++
		}
		for _, s := range a.extrapolation.extrapolate(now, fraction) {
			l.addAdmitted(s.Organisation, s.Total)
		}
	}
	if out.isolated = l.isIsolated(now); !out.isolated {
		out.daemons = l.extrapolateDaemons(now, missingFraction)
	}
	return out
}

// missingPeers is how many hubs and attached daemons a hub extrapolates, and whether it is
// isolated itself.
type missingPeers struct {
	hubs, daemons int
	isolated      bool
}

// isIsolated reports whether the totals of all other hubs are late, so that this hub is itself
// cut off.
func (l *aggregator) isIsolated(now time.Time) bool {
	for _, a := range l.totalsByHub {
		if now.Sub(a.received) < lateTotalsAge {
			return false
		}
	}
	return true
}

// hasRecentUpdates reports whether any other hub or attached daemon sent something lately.
func (l *aggregator) hasRecentUpdates(now time.Time) bool {
	if !l.isIsolated(now) {
		return true
	}
	for _, e := range l.attachedLoads {
		if now.Sub(e.received) < lateReportAge {
			return true
		}
	}
	return false
}

// extrapolateDaemons counts estimates for attached daemons whose load reports are late, so that
// the totals for other hubs include them, and returns for how many.
func (l *aggregator) extrapolateDaemons(now time.Time, missingFraction missingFractionFunc) int {
	var late []*extrapolation
	for name, e := range l.attachedLoads {
		if now.Sub(e.received) >= lateReportAge && missingFraction(name, e.received) > 0 {
			late = append(late, &e.extrapolation)
		}
	}
	if len(late) < minLateDaemons {
		return 0
	}
	for _, f := range late {
		for _, s := range f.extrapolate(now, 1) {
			l.addGroupAdmitted(s.Organisation, s.Total)
		}
	}
	return len(late)
}

// withdrawExtrapolation subtracts what was extrapolated for an attached daemon that another hub
// now reports.
func (l *aggregator) withdrawExtrapolation(e *attachedLoad) {
	for org, d := range e.extrapolation.extrapolated {
		l.addGroupAdmitted(org, -d)
	}
	clear(e.extrapolation.extrapolated)
}
