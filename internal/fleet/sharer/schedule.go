package sharer

import (
	"context"
	"time"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

// sendDue sends what is due in this round.
func (s *Sharer) sendDue(ctx context.Context, urgent bool) {
	s.detectUnreachable()
	now := time.Now()
	p, totals := s.planSends(now, urgent)
	if totals != nil {
		s.cfg.TotalsReceived(*totals)
	}
	for _, out := range s.messagesDue(now, s.encodeOwnMessages(now, p)) {
		go s.sendMessages(ctx, out)
	}
	s.mu.Lock()
	pending := s.pendingReports
	s.pendingReports = nil
	s.mu.Unlock()
	s.deliverReports(pending, now)
}

// planSends decides what is due. It also returns the changed totals of the other daemons, or nil.
func (s *Sharer) planSends(now time.Time, urgent bool) (sendPlan, *OthersTotals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasLarge, wasHub, hub := s.overlay.large, s.overlay.isHub, s.overlay.hub
	if s.membersChanged || now.Sub(s.recounted) >= maxRecountInterval {
		s.membersChanged, s.recounted = false, now
		s.forgetContacts()
		s.recountMembers()
		s.selectHubs()
	}
	s.chooseHub(now)
	s.observations.setPath(s.overlay.hub, s.overlay.isHub, now)
	p := sendPlan{large: s.overlay.large, status: urgent || now.Sub(s.statusSent) >= s.period()-s.tickIntervalLocked()/2}
	if !p.large {
		if wasLarge {
			return p, &OthersTotals{}
		}
		return p, nil
	}
	if s.overlay.hub != hub {
		s.aggregator.attachToHub(s.overlay.hub)
		// The new hub must receive this daemon's status before others find it unreachable.
		urgent = true
	}
	if s.overlay.isHub && !wasHub {
		s.aggregator.becomeHub(now)
	}
	p.totals = now.Sub(s.totalsSent) >= s.totalsPeriod()-hubPeriod/4
	// A daemon's status goes out with its load report, unless it is urgent. A hub sends its
	// status on its own schedule, with which it also retries addresses of other hubs.
	p.status = urgent || p.status && (p.totals || s.overlay.isHub)
	if !p.totals {
		return p, nil
	}
	return p, s.refreshOthersTotals(now)
}

// refreshOthersTotals returns the totals of the other daemons if this daemon is a hub, or empty
// totals once the hub's totals have stopped.
func (s *Sharer) refreshOthersTotals(now time.Time) *OthersTotals {
	s.totalsSent = now
	s.aggregator.expireStale(now, s.hasMoved)
	if s.overlay.isHub {
		s.logMissingPeers(s.aggregator.extrapolateMissing(now, func(name string, since time.Time) float64 { return s.missingFraction(name, since, now) }))
		totals := s.aggregator.othersTotals(now)
		return &totals
	}
	if !s.fleetTotalsReceived.IsZero() && now.Sub(s.fleetTotalsReceived) > totalsTimeout {
		s.fleetTotalsReceived = time.Time{}
		return &OthersTotals{}
	}
	return nil
}

// logMissingPeers logs the number of extrapolated hubs and daemons when it changes.
func (s *Sharer) logMissingPeers(m missingPeers) {
	if m == s.missingPeers {
		return
	}
	s.missingPeers = m
	s.log("msg", "extrapolating totals of unreachable peers", "hubs", m.hubs, "daemons", m.daemons, "attached", len(s.aggregator.attachedLoads), "alone", m.isolated)
}

// hasMoved reports whether a status of a daemon arrived by another path after its last load report
// or totals, which came at since, or whether the daemon is forgotten.
func (s *Sharer) hasMoved(name string, since time.Time) bool {
	p := s.peers[name]
	return p == nil || !p.receivedDirectly && p.Received.Sub(since) > hubPeriod
}

// missingFraction returns the fraction of a daemon's load, or of a hub's totals, that arrives in
// no other way. It is 0 or 1 for a daemon, and 0 once it is unreachable; for a hub it falls as
// its daemons attach to other hubs. The last load report or totals came at since.
func (s *Sharer) missingFraction(name string, since, now time.Time) float64 {
	p := s.peers[name]
	switch {
	case s.hasMoved(name, since), p.Unreachable, p.Stopping, now.Sub(p.Received) < lateTotalsAge:
		return 0
	case p.Hub && now.Sub(since) > hubExtrapolationTime:
		return s.staleFraction(p, since.Add(s.period()))
	}
	return 1
}

// staleFraction returns the fraction of a hub's daemons, counting the hub itself, from which no
// status arrived after since.
func (s *Sharer) staleFraction(hub *Peer, since time.Time) float64 {
	var candidates []viewer.Member
	for _, name := range s.overlay.hubs[hub.Domain] {
		candidates = append(candidates, viewer.Member{Name: name, State: viewer.StateAlive})
	}
	all, stale := 0.0, 0.0
	for name, p := range s.peers {
		if p.Domain != hub.Domain || name != hub.Name && (p.Hub || ranker.HighestRanked(name, candidates) != hub.Name) {
			continue
		}
		all++
		if !p.Unreachable && !p.Stopping && !p.Received.After(since) {
			stale++
		}
	}
	return stale / all
}

// totalsPeriod returns the time between two load reports, or between two totals of a hub.
func (s *Sharer) totalsPeriod() time.Duration {
	if s.overlay.isHub {
		return hubPeriod
	}
	return loadReportPeriod
}

// maxSendDelay is how long a message between daemons may take.
const maxSendDelay = 50 * time.Millisecond

// PropagationDelay returns how long it takes at most until a daemon knows the load of another.
func (s *Sharer) PropagationDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overlay.large {
		return loadReportPeriod + 2*hubPeriod
	}
	return s.period() + maxSendDelay
}

// tickInterval returns the time until the next round of sending.
func (s *Sharer) tickInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tickIntervalLocked()
}

func (s *Sharer) tickIntervalLocked() time.Duration {
	if s.overlay.large {
		return hubPeriod
	}
	return s.period()
}
