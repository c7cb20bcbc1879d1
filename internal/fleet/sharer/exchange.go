package sharer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/meter"
)

// sendMessages sends messages to one address. After a failure it drops the rest.
func (s *Sharer) sendMessages(ctx context.Context, out outgoingMessages) {
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, b := range out.bodies {
		var err error
		if len(b) <= messenger.MaxDatagramBytes {
			err = s.transport.SendDatagram(sendCtx, out.address, messageKind, b)
		} else {
			_, err = s.transport.Call(sendCtx, out.address, messageKind, b)
		}
		s.recordSendResult(out.address, err)
		if err != nil {
			s.checkClosed(ctx, out.address)
			return
		}
	}
}

// recordSendResult counts a failed send, and logs only the first failure in a row and the first
// success after it.
func (s *Sharer) recordSendResult(addr string, err error) {
	s.mu.Lock()
	c := s.contacts[addr]
	changed := c != nil && c.failing != (err != nil)
	if changed {
		c.failing = err != nil
	}
	s.mu.Unlock()
	if err != nil {
		meter.AddToCounter(s.cfg.Registry, 1, "status_send_failures_total")
	}
	if changed {
		s.log("msg", "send to peer failed or recovered", "address", addr, "fails", err != nil, "error", err)
	}
}

// receive decodes a message of another daemon and stores its statuses, heartbeats, totals and
// reports.
func (s *Sharer) receive(body []byte) {
	var b statusMessage
	if err := cbor.Unmarshal(body, &b); err != nil {
		s.log("msg", "decode message of peer", "error", err)
		return
	}
	if b.From == s.cfg.Name {
		return
	}
	now := time.Now()
	for _, p := range b.Entries {
		received := now.Add(-time.Duration(p.Age) * time.Millisecond)
		if p.Heartbeat != nil {
			s.receiveHeartbeat(b, *p.Heartbeat, received)
			continue
		}
		var st Status
		if err := errors.Join(cbor.Unmarshal(p.Status, &st), st.validate()); err != nil {
			s.log("msg", "decode status of peer", "from", b.From, "error", err)
			continue
		}
		s.receiveStatus(b, Peer{Status: st, Received: received, statusReceived: received, encoded: p.Status})
	}
	// The load report is handled after the statuses, so that the sender is known as a peer before
	// it is attached.
	s.receiveTotals(b, now)
	s.receiveObservations(b, now)
}

// receiveTotals stores what a message holds beside statuses: load report, totals and reports.
func (s *Sharer) receiveTotals(b statusMessage, now time.Time) {
	var d totalsFragment
	if len(b.Totals) > 0 {
		if err := errors.Join(cbor.Unmarshal(b.Totals, &d), d.validate()); err != nil {
			s.log("msg", "decode totals of hub", "from", b.From, "error", err)
			b.Totals = nil
		}
	}
	s.mu.Lock()
	s.overlay.recordSender(b, now)
	if b.LoadReport != nil && b.WantsStatuses && s.overlay.isHub && b.LoadReport.validate() == nil {
		s.aggregator.receiveLoadReport(b.From, *b.LoadReport, b.ConfirmedReport, now)
	}
	d.Held = s.aggregator.confirmReport(b.From, b.IncludedAttachment, b.IncludedReport)
	var fleetTotals *OthersTotals
	switch {
	case len(b.Totals) == 0:
	case s.overlay.isHub && !d.Whole:
		s.aggregator.receiveHubTotals(b.From, d, now)
	case !s.overlay.isHub && d.Whole && b.From == s.overlay.hub:
		totals := s.aggregator.receiveFleetTotals(b.From, d, now)
		fleetTotals, s.fleetTotalsReceived = &totals, now
	}
	if b.WantsStatuses {
		for _, r := range b.Reports {
			s.addReport(b.From, r)
		}
		b.Reports = nil
	}
	s.mu.Unlock()
	if fleetTotals != nil {
		s.cfg.TotalsReceived(*fleetTotals)
	}
	s.deliverReports(b.Reports, now)
}

// receiveStatus stores a status of another daemon that came in a message, unless it is older than
// the stored one.
func (s *Sharer) receiveStatus(b statusMessage, p Peer) {
	if p.Name == s.cfg.Name {
		return
	}
	s.AddContacts(append(p.Peers, p.Address)...)
	s.mu.Lock()
	old := s.peers[p.Name]
	if old != nil && (p.Boot < old.Boot || p.Boot == old.Boot && p.Number <= old.Number) {
		s.mu.Unlock()
		return
	}
	if old == nil || old.Unreachable || old.Boot != p.Boot || old.Stopping != p.Stopping || old.StoreUnreachable != p.StoreUnreachable {
		s.invalidateMembers()
		s.sendNowIfHub()
	}
	s.recordRevisions(p.Revisions)
	direct := s.overlay.isDirectStatus(b, p.Status)
	// A peer's first status from this daemon to others is sent in full, hence never marked
	// unchanged.
	p.unchanged = old != nil && !old.Unreachable && old.receivedDirectly == direct && (old.unchanged || old.arrivalNumber <= s.overlay.forwarded) && hasSameContent(old.Status, p.Status)
	s.storePeer(&p, direct)
	if s.transport != nil && (old == nil || old.Boot != p.Boot) {
		// An earlier connection led to the previous process at this address.
		s.transport.CloseConn(p.Address)
	}
	s.mu.Unlock()
	if old == nil || old.Boot != p.Boot || old.Unreachable {
		s.log("msg", "peer reachable", "peer", p.Name, "address", p.Address, "domain", p.Domain, "boot", p.Boot)
	}
	s.cfg.StatusReceived(old, &p)
}

// receiveHeartbeat updates a peer from a heartbeat. It ignores heartbeats of unknown daemons and
// other incarnations, which send full statuses as well.
func (s *Sharer) receiveHeartbeat(b statusMessage, t heartbeat, received time.Time) {
	s.mu.Lock()
	old := s.peers[t.Name]
	if old == nil || old.Boot != t.Boot || t.Number <= old.Number {
		s.mu.Unlock()
		return
	}
	p := *old
	p.Number, p.Clock, p.Received, p.Unreachable, p.unchanged = t.Number, t.Clock, received, false, !old.Unreachable
	s.storePeer(&p, s.overlay.isDirectStatus(b, p.Status))
	if old.Unreachable {
		s.invalidateMembers()
	}
	s.mu.Unlock()
	if old.Unreachable {
		s.log("msg", "peer reachable", "peer", p.Name, "address", p.Address, "domain", p.Domain, "boot", p.Boot)
		s.cfg.StatusReceived(old, &p)
	}
}

// storePeer stores p as the latest state of its daemon and numbers its arrival.
func (s *Sharer) storePeer(p *Peer, direct bool) {
	p.ClockAhead = time.Duration(p.Clock-p.Received.UnixMilli()) * time.Millisecond
	p.receivedDirectly = direct
	s.overlay.arrivals++
	p.arrivalNumber = s.overlay.arrivals
	s.peers[p.Name] = p
}

// hasSameContent reports whether status b repeats a, so that a heartbeat can replace it.
func hasSameContent(a, b Status) bool {
	if !a.LoadThroughHub || !b.LoadThroughHub || len(b.Trials) > 0 || len(b.Moves) > 0 || len(b.StoreAnswerAges) > 0 {
		return false
	}
	return a.Boot == b.Boot && a.Address == b.Address && a.Stopping == b.Stopping && a.StoreUnreachable == b.StoreUnreachable && a.Hub == b.Hub &&
		len(a.Trials) == 0 && len(a.Moves) == 0 && len(a.StoreAnswerAges) == 0 && maps.Equal(a.Revisions, b.Revisions) && a.Suspicions.hasSameCrashes(b.Suspicions) &&
		slices.EqualFunc(a.RequestLimits, b.RequestLimits, IsSameLimit)
}
