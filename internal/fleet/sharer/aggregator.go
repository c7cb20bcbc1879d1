package sharer

import (
	"maps"
	"slices"
	"time"
)

const (
	// totalsTimeout is how long the in-flight load of a daemon or a hub still counts after its
	// latest message.
	totalsTimeout = 10 * hubPeriod
	// maxSentReports is how many of its own load reports a daemon remembers, until the hub's
	// totals name the latest one that they include.
	maxSentReports = 32
)

// OthersTotals holds the totals over the other daemons of a large fleet: what they have in flight and
// what they admitted.
type OthersTotals struct {
	// Loads replace the earlier loads of the same fragment; Fragment is its index and
	// Fragments the number of fragments.
	Fragment, Fragments int
	Loads               []Load
	// Admissions is what the other daemons admitted since the previous OthersTotals.
	Admissions []Admissions
	// HasRecentUpdates reports whether other daemons sent anything lately, even if their totals
	// were empty.
	HasRecentUpdates bool
}

// loadReport is the message of one daemon to its hub: what the daemon has in flight, and what it
// admitted since it attached to this hub.
type loadReport struct {
	_    struct{} `cbor:",toarray"`
	Boot int64
	// Turn is the number of the daemon's attachment to a hub, and Number that of the report
	// within the attachment.
	Turn, Number uint64
	Loads        []Load
	Admissions   []Admissions
}

// aggregator adds up what the daemons of a large fleet have in flight and what they admitted,
// counting each daemon once. The mutex of its Sharer guards it.
type aggregator struct {
	// attachedLoads holds the latest load report of each attached daemon.
	attachedLoads map[string]*attachedLoad
	// totalsByHub holds the latest totals of each other hub.
	totalsByHub map[string]*hubTotals
	// groupAdmitted is what this daemon and those attached to it admitted, and fleetAdmitted what
	// all daemons admitted as far as this one received it, both since this daemon started.
	groupAdmitted, fleetAdmitted map[string]float64
	// ownAdmitted is what this daemon itself admitted, and ownLoads what it has in flight.
	ownAdmitted map[string]float64
	ownLoads    []Load
	// pendingAdmitted is what others admitted and othersTotals has not returned yet.
	pendingAdmitted map[string]float64

	// hub is the hub of the current attachment.
	hub                      string
	attachment, reportNumber uint64
	// admittedBefore is what this daemon admitted before its current attachment.
	admittedBefore map[string]float64
	// sentReports holds the latest load reports by number, and confirmedReport is the number of
	// the latest one that the hub's totals include.
	sentReports     map[uint64]loadReport
	confirmedReport uint64
	// othersRates is how much others admit per second, as of the latest totals from a hub.
	othersRates         rateAverages
	fleetTotalsReceived time.Time
}

// attachedLoad is the latest load report of an attached daemon and what this hub derived from it.
type attachedLoad struct {
	loadReport
	received      time.Time
	admitted      map[string]float64
	extrapolation extrapolation
	// movedSince is when a status of the daemon first arrived through another hub; zero if none
	// did.
	movedSince time.Time
}

func newAggregator() aggregator {
	return aggregator{
		attachedLoads: make(map[string]*attachedLoad), totalsByHub: make(map[string]*hubTotals), groupAdmitted: make(map[string]float64), fleetAdmitted: make(map[string]float64),
		ownAdmitted: make(map[string]float64), pendingAdmitted: make(map[string]float64), admittedBefore: make(map[string]float64), sentReports: make(map[uint64]loadReport),
		othersRates: make(rateAverages),
	}
}

// setOwnLoad stores what this daemon has in flight and adds what it admitted since the previous
// call to the totals.
func (l *aggregator) setOwnLoad(w DaemonLoad) {
	l.ownLoads = w.Loads
	for _, s := range w.Admissions {
		l.groupAdmitted[s.Organisation] += s.Total - l.ownAdmitted[s.Organisation]
		l.fleetAdmitted[s.Organisation] += s.Total - l.ownAdmitted[s.Organisation]
		l.ownAdmitted[s.Organisation] = s.Total
	}
}

// attachToHub begins a new attachment to a hub, or ends the attachment if hub is empty. It
// forgets the totals of all hubs. What the former hub did not confirm as included in its totals
// goes into the reports to the next hub.
func (l *aggregator) attachToHub(hub string) {
	l.hub = hub
	clear(l.totalsByHub)
	for _, s := range l.sentReports[l.confirmedReport].Admissions {
		l.admittedBefore[s.Organisation] += s.Total
	}
	l.attachment++
	l.reportNumber, l.confirmedReport = 0, 0
	clear(l.sentReports)
}

// confirmReport records the latest load report of this daemon that the totals of its hub include,
// and returns its number. It returns 0 if the message is of another hub or attachment, which
// happens when the daemon has left that hub meanwhile.
func (l *aggregator) confirmReport(from string, attachment, number uint64) uint64 {
	if from != l.hub || attachment != l.attachment {
		return 0
	}
	l.confirmedReport = max(l.confirmedReport, number)
	return number
}

// ownLoadReport returns the next load report of this daemon for its hub.
func (l *aggregator) ownLoadReport(boot int64) loadReport {
	l.reportNumber++
	w := loadReport{Boot: boot, Turn: l.attachment, Number: l.reportNumber, Loads: l.ownLoads}
	for _, org := range slices.Sorted(maps.Keys(l.ownAdmitted)) {
		if d := l.ownAdmitted[org] - l.admittedBefore[org]; d != 0 {
			w.Admissions = append(w.Admissions, Admissions{Organisation: org, Total: d})
		}
	}
	l.sentReports[l.reportNumber] = w
	delete(l.sentReports, l.reportNumber-maxSentReports)
	return w
}

// receiveLoadReport stores a load report of an attached daemon and counts what the daemon
// admitted since its previous report. On the first report of an attachment it counts everything,
// but only if no totals that the daemon received include a report yet (confirmed is 0): otherwise
// the fleet has counted it.
func (l *aggregator) receiveLoadReport(name string, w loadReport, confirmed uint64, now time.Time) {
	old := l.attachedLoads[name]
	same := old != nil && old.Boot == w.Boot && old.Turn == w.Turn
	if same && w.Number <= old.Number {
		return
	}
	e := &attachedLoad{loadReport: w, received: now, admitted: make(map[string]float64, len(w.Admissions)), extrapolation: newExtrapolation(now)}
	switch {
	case same:
		e.extrapolation = old.extrapolation
	case old != nil:
		l.withdrawExtrapolation(old)
	}
	for _, s := range w.Admissions {
		e.admitted[s.Organisation] = s.Total
		switch {
		case same:
			l.addGroupAdmitted(s.Organisation, e.extrapolation.reconcile(s.Organisation, s.Total-old.admitted[s.Organisation], now))
		case confirmed == 0:
			l.addGroupAdmitted(s.Organisation, s.Total)
		}
	}
	e.extrapolation.until = now
	l.attachedLoads[name] = e
}

// latestReport returns the attachment and the number of the latest load report of an attached
// daemon, which this hub's totals include.
func (l *aggregator) latestReport(name string) (attachment, number uint64) {
	if e := l.attachedLoads[name]; e != nil {
		return e.Turn, e.Number
	}
	return 0, 0
}

// addGroupAdmitted adds what an attached daemon admitted, which this hub reports to the other
// hubs.
func (l *aggregator) addGroupAdmitted(org string, d float64) {
	l.groupAdmitted[org] += d
	l.addAdmitted(org, d)
}

// addAdmitted adds what another daemon admitted.
func (l *aggregator) addAdmitted(org string, d float64) {
	l.fleetAdmitted[org] += d
	l.pendingAdmitted[org] += d
}

// receiveHubTotals stores a fragment of the totals of another hub. After a gap or a restart of
// that hub it does not count what the hub admitted meanwhile, since the first totals are only the
// new baseline.
func (l *aggregator) receiveHubTotals(from string, d totalsFragment, now time.Time) {
	a := l.totalsOfHub(from, d.Boot, now)
	for _, s := range d.Admissions {
		if delta, ok := a.recordTotal(s, 0, now); ok {
			l.addAdmitted(s.Organisation, a.extrapolation.reconcile(s.Organisation, delta, now))
		}
	}
	a.extrapolation.until = now
	a.setLoads(d)
}

// receiveFleetTotals stores a fragment of the fleet's totals from this daemon's hub and returns
// it without this daemon's own share. That share is taken from the load report that the totals
// include, not from the current load.
func (l *aggregator) receiveFleetTotals(from string, d totalsFragment, now time.Time) OthersTotals {
	out := OthersTotals{Fragment: d.Fragment, Fragments: d.Fragments, HasRecentUpdates: true}
	a := l.totalsOfHub(from, d.Boot, now)
	if a.firstReceived.Equal(now) {
		out.Admissions = l.extrapolateOthers(now)
	}
	l.fleetTotalsReceived = now
	reported := l.sentReports[d.Held]
	out.Loads = subtractLoads(d.Loads, reported.Loads)
	own := make(map[string]float64, len(reported.Admissions))
	for _, s := range reported.Admissions {
		own[s.Organisation] = s.Total
	}
	for _, s := range d.Admissions {
		included, ok := own[s.Organisation]
		if !ok {
			included = a.ownAdmitted[s.Organisation]
		}
		if delta, ok := a.recordTotal(s, included, now); ok {
			l.othersRates.forOrganisation(s.Organisation, now).update(delta, now)
			out.Admissions = append(out.Admissions, Admissions{Organisation: s.Organisation, Total: delta})
		}
	}
	return out
}

// extrapolateOthers estimates what others admitted while this daemon received no totals, from
// their last known rates.
func (l *aggregator) extrapolateOthers(now time.Time) []Admissions {
	var out []Admissions
	if l.fleetTotalsReceived.IsZero() {
		return nil
	}
	for _, org := range slices.Sorted(maps.Keys(l.othersRates)) {
		p := l.othersRates[org]
		if d := p.perSecond * now.Sub(l.fleetTotalsReceived).Seconds(); d > 0 {
			out = append(out, Admissions{Organisation: org, Total: d})
		}
		p.updated = now
	}
	return out
}

// becomeHub adds an estimate of what others admit during the next hubPeriod, at their last known
// rates, because the totals of the other hubs arrive only with their next one or two messages.
func (l *aggregator) becomeHub(now time.Time) {
	for _, s := range l.extrapolateOthers(now.Add(hubPeriod)) {
		l.addAdmitted(s.Organisation, s.Total)
	}
}

// subtractLoads returns loads less those in remove, per endpoint and never below zero.
func subtractLoads(loads, remove []Load) []Load {
	out := slices.Clone(loads)
	for _, p := range remove {
		for i := range out {
			if out[i].Endpoint == p.Endpoint {
				out[i].Running = max(out[i].Running-p.Running, 0)
				out[i].PromptTokens = max(out[i].PromptTokens-p.PromptTokens, 0)
			}
		}
	}
	return out
}

// expireStale drops the in-flight loads of daemons and hubs whose messages stopped, and drops all
// data of those whose statuses now arrive through another hub, since that hub reports them.
func (l *aggregator) expireStale(now time.Time, hasMoved func(name string, since time.Time) bool) {
	maps.DeleteFunc(l.attachedLoads, func(name string, e *attachedLoad) bool {
		if now.Sub(e.received) > totalsTimeout {
			e.Loads = nil
		}
		switch {
		case !hasMoved(name, e.received):
			e.movedSince = time.Time{}
			return false
		case e.movedSince.IsZero():
			e.movedSince = now
			return false
		case now.Sub(e.movedSince) < withdrawDelay:
			return false
		}
		l.withdrawExtrapolation(e)
		return true
	})
	maps.DeleteFunc(l.totalsByHub, func(name string, a *hubTotals) bool {
		if now.Sub(a.received) > totalsTimeout {
			clear(a.loadsByFragment)
		}
		return now.Sub(a.received) > totalsTimeout && hasMoved(name, a.received)
	})
}

// groupLoads adds up what this daemon and those attached to it have in flight.
func (l *aggregator) groupLoads() map[string]Load {
	out := make(map[string]Load)
	addLoads(out, l.ownLoads)
	for _, e := range l.attachedLoads {
		addLoads(out, e.Loads)
	}
	return out
}

// fleetLoads adds up what all daemons have in flight.
func (l *aggregator) fleetLoads() map[string]Load {
	out := l.groupLoads()
	for _, a := range l.totalsByHub {
		for _, loads := range a.loadsByFragment {
			addLoads(out, loads)
		}
	}
	return out
}

func addLoads(totals map[string]Load, loads []Load) {
	for _, l := range loads {
		s := totals[l.Endpoint]
		totals[l.Endpoint] = Load{Endpoint: l.Endpoint, Running: s.Running + l.Running, PromptTokens: s.PromptTokens + l.PromptTokens}
	}
}

// othersTotals returns what the other daemons have in flight, and what they admitted since the
// previous call.
func (l *aggregator) othersTotals(now time.Time) OthersTotals {
	out := OthersTotals{Fragments: 1, HasRecentUpdates: l.hasRecentUpdates(now), Loads: subtractLoads(sortedLoads(l.fleetLoads()), l.ownLoads)}
	for org, d := range l.pendingAdmitted {
		if d != 0 {
			out.Admissions = append(out.Admissions, Admissions{Organisation: org, Total: d})
		}
	}
	clear(l.pendingAdmitted)
	return out
}

// sortedLoads returns loads sorted by endpoint.
func sortedLoads(loads map[string]Load) []Load {
	out := make([]Load, 0, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		out = append(out, loads[id])
	}
	return out
}
