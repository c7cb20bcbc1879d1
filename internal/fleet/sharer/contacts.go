package sharer

import (
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
}

// AddContacts adds addresses at which there may be daemons.
func (s *Sharer) AddContacts(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addContacts(time.Time{}, addresses)
}

// AddContactsDelayed adds addresses, most of which other daemons are expected to name in their
// statuses. In a large fleet the first attempt at them is delayed by retryPeriod.
func (s *Sharer) AddContactsDelayed(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lastTry time.Time
	if len(addresses) > baseSize {
		lastTry = time.Now()
	}
	s.addContacts(lastTry, addresses)
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
