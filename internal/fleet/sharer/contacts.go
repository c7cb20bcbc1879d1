package sharer

import (
	"context"
	"slices"
	"time"
)

// contact is an address at which a daemon may be listening, with the state of the attempts to
// reach it.
type contact struct {
	firstSeen time.Time
	lastTry   time.Time
	backoff   time.Duration
	// failing reports whether the latest send to the address failed.
	failing bool
	// listed reports that the address is from the store's list of members, so that its absence there
	// means that the daemon is gone. closed reports that no process listened there when it was last tried.
	listed, closed bool
	// forgotten is when the daemon at the address was forgotten; zero if it was not.
	forgotten time.Time
}

// AddContacts adds addresses at which there may be daemons.
func (s *Sharer) AddContacts(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addContacts(time.Time{}, addresses)
}

// AddListedContacts adds addresses of the store's list of members, most of which other daemons are
// expected to name in their statuses. In a large fleet the first attempt at them is delayed by
// retryPeriod.
func (s *Sharer) AddListedContacts(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lastTry time.Time
	if len(addresses) > baseSize {
		lastTry = time.Now()
	}
	s.addContacts(lastTry, addresses)
	for _, a := range addresses {
		if c := s.contacts[a]; c != nil {
			c.listed = true
		}
	}
}

func (s *Sharer) addContacts(lastTry time.Time, addresses []string) {
	added := false
	for _, a := range addresses {
		if _, ok := s.contacts[a]; !ok && a != s.cfg.Address {
			s.contacts[a] = &contact{firstSeen: time.Now(), lastTry: lastTry, backoff: retryPeriod}
			added = true
		}
	}
	if added {
		s.recountMembers()
	}
}

// mayServe reports whether there may be a daemon, which serves requests, at an address that never
// answered.
func (s *Sharer) mayServe(address string, c *contact) bool {
	if c.closed {
		return false
	}
	p := s.cfg.Presence(address, c.firstSeen)
	if time.Since(c.firstSeen) < ForgetTime {
		return !c.listed || p != PresenceAbsent
	}
	return p == PresenceListed
}

// HasSilentMembers reports whether there are members of which only the store can tell if they are alive.
func (s *Sharer) HasSilentMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if time.Since(p.Received) > ForgetTime {
			return true
		}
	}
	return len(s.unansweredContacts(s.peerAddresses())) > 0
}

// IsReachable reports whether there is a reachable daemon at an address.
func (s *Sharer) IsReachable(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.Address == address {
			return !p.Unreachable
		}
	}
	return false
}

// peerAddresses returns the addresses at which daemons are known.
func (s *Sharer) peerAddresses() map[string]bool {
	known := make(map[string]bool, len(s.peers))
	for _, p := range s.peers {
		known[p.Address] = true
	}
	return known
}

// forgetContacts drops addresses that left the store's list of members and never answered, and those of
// daemons that were forgotten long ago.
func (s *Sharer) forgetContacts() {
	known := s.peerAddresses()
	for a, c := range s.contacts {
		switch {
		case known[a]:
			c.forgotten = time.Time{}
		case c.forgotten.IsZero():
			if c.listed && time.Since(c.firstSeen) > ForgetTime && s.cfg.Presence(a, c.firstSeen) == PresenceAbsent {
				delete(s.contacts, a)
			}
		case time.Since(c.forgotten) > returnTime:
			delete(s.contacts, a)
		}
	}
}

// checkClosed finds out, after a send failed, whether a process listens at an address that never
// answered.
func (s *Sharer) checkClosed(ctx context.Context, address string) {
	s.mu.Lock()
	c, isKnown := s.contacts[address], s.peerAddresses()[address]
	s.mu.Unlock()
	if c == nil || isKnown {
		return
	}
	closed := s.cfg.IsClosed(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed != closed {
		c.closed = closed
		s.recountMembers()
	}
}

// retryAddresses returns the addresses without a reachable daemon whose backoff is over, least
// recently tried first, and doubles their backoff.
func (s *Sharer) retryAddresses(now time.Time, reachable map[string]bool) []string {
	var due []string
	for a, c := range s.contacts {
		if !reachable[a] && now.Sub(c.lastTry) >= c.backoff {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return s.contacts[a].lastTry.Compare(s.contacts[b].lastTry) })
	most := maxRetriesAtOnce
	if s.overlay.isHub {
		most = maxHubRetriesAtOnce
	}
	if len(due) > most {
		due = due[:most]
	}
	for _, a := range due {
		c := s.contacts[a]
		c.lastTry, c.backoff = now, min(2*c.backoff, maxRetryPeriod)
	}
	return due
}
