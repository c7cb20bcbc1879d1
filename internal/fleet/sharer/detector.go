package sharer

import "time"

// Presence is what the store's list of members says of an address.
type Presence int

const (
	// PresenceUnknown says nothing: the list was not read, or the entry proves nothing.
	PresenceUnknown Presence = iota
	// PresenceListed means that a daemon with this address renews its entry.
	PresenceListed
	// PresenceAbsent means that no daemon with this address has an entry.
	PresenceAbsent
)

// detectUnreachable is the failure detector: it marks peers as unreachable after a timeout, and
// forgets those that stay unreachable and are gone from the store's list of members.
func (s *Sharer) detectUnreachable() {
	s.mu.Lock()
	limit := maxMissedPeriods * s.period()
	now := time.Now()
	var lost []string
	for name, p := range s.peers {
		quiet := now.Sub(p.Received)
		if !p.Unreachable && quiet > limit {
			c := *p
			c.Unreachable = true
			s.peers[name] = &c
			s.invalidateMembers()
			lost = append(lost, name)
			s.log("msg", "peer unreachable", "peer", name, "address", p.Address, "quiet", quiet)
		}
		if quiet > ForgetTime && s.cfg.Presence(p.Address, p.Received.Add(ForgetTime)) == PresenceAbsent || p.Stopping && quiet > limit {
			s.forgetPeer(p, quiet)
		}
	}
	s.mu.Unlock()
	for _, name := range lost {
		s.cfg.PeerUnreachable(name)
	}
}

func (s *Sharer) forgetPeer(p *Peer, quiet time.Duration) {
	delete(s.peers, p.Name)
	delete(s.reportReceived, p.Name)
	s.invalidateMembers()
	delete(s.overlay.lastMessages, p.Name)
	delete(s.overlay.avoidedUntil, p.Name)
	if c := s.contacts[p.Address]; c != nil && !p.Stopping {
		// It may be alive, and cut off from the store too; then neither side would try the other again.
		c.forgotten, c.backoff = time.Now(), maxRetryPeriod
	} else {
		delete(s.contacts, p.Address)
	}
	if s.transport != nil {
		s.transport.CloseConn(p.Address)
	}
	s.log("msg", "peer forgotten", "peer", p.Name, "quiet", quiet, "stopping", p.Stopping)
}
