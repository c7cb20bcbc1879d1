package sharer

import "time"

// rateAverage is an exponentially weighted moving average of a rate, computed from successive
// totals.
type rateAverage struct {
	perSecond float64
	updated   time.Time
}

// rateSmoothing is the weight of the latest sample in a rateAverage.
const rateSmoothing = 0.3

// update adds a sample: count units since the previous update.
func (p *rateAverage) update(count float64, now time.Time) {
	if took := now.Sub(p.updated).Seconds(); took > 0 {
		p.perSecond += rateSmoothing * (count/took - p.perSecond)
		p.updated = now
	}
}

// hubTotals holds the latest totals that were received from one hub.
type hubTotals struct {
	boot          int64
	firstReceived time.Time
	received      time.Time
	admitted      map[string]float64
	// ownAdmitted is the share of admitted that is this daemon's.
	ownAdmitted   map[string]float64
	extrapolation extrapolation
	// loadsByFragment holds the in-flight loads of each fragment, and fragments is their number.
	fragments       int
	loadsByFragment map[int][]Load
}

// rateAverages are the rates of organisations.
type rateAverages map[string]*rateAverage

// forOrganisation returns the rate of an organisation. A new one starts a hubPeriod ago, when the
// previous message was due.
func (p rateAverages) forOrganisation(org string, now time.Time) *rateAverage {
	if p[org] == nil {
		p[org] = &rateAverage{updated: now.Add(-hubPeriod)}
	}
	return p[org]
}

// totalsOfHub returns the stored totals of a hub. They start empty, and are reset when the hub
// restarts or after a gap of totalsTimeout.
func (l *aggregator) totalsOfHub(from string, boot int64, now time.Time) *hubTotals {
	a := l.totalsByHub[from]
	if a == nil || a.boot != boot || now.Sub(a.received) > totalsTimeout {
		a = &hubTotals{
			boot: boot, firstReceived: now, admitted: make(map[string]float64), ownAdmitted: make(map[string]float64), loadsByFragment: make(map[int][]Load),
			extrapolation: newExtrapolation(now),
		}
		l.totalsByHub[from] = a
	}
	a.received = now
	return a
}

func (a *hubTotals) setLoads(d totalsFragment) {
	if a.fragments != d.Fragments {
		clear(a.loadsByFragment)
		a.fragments = d.Fragments
	}
	a.loadsByFragment[d.Fragment] = d.Loads
}

// recordTotal stores a new total, of which own is this daemon's share, and returns by how much
// the others raised it. The second result is false for the first known total, which is only a
// baseline.
func (a *hubTotals) recordTotal(s Admissions, own float64, now time.Time) (float64, bool) {
	last, known := a.admitted[s.Organisation]
	d := s.Total - last - (own - a.ownAdmitted[s.Organisation])
	a.admitted[s.Organisation], a.ownAdmitted[s.Organisation] = s.Total, own
	return d, known || now.Sub(a.firstReceived) >= hubPeriod
}
