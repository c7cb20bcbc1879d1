package sharer

import (
	"slices"
	"time"
)

// contact is an address at which there may be a daemon.
type contact struct {
	since time.Time
	tried time.Time
	pause time.Duration
	// failing says that the latest status could not be sent.
	failing bool
}

// Contact adds addresses at which there may be daemons.
func (s *Sharer) Contact(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact(time.Time{}, addresses)
}

// ContactLater adds addresses of which most will be heard of through others; the
// rest are tried after a while, if the fleet is large.
func (s *Sharer) ContactLater(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tried time.Time
	if len(addresses) > baseSize {
		tried = time.Now()
	}
	s.contact(tried, addresses)
}

func (s *Sharer) contact(tried time.Time, addresses []string) {
	added := false
	for _, a := range addresses {
		if _, ok := s.contacts[a]; !ok && a != s.cfg.Address {
			s.contacts[a] = &contact{since: time.Now(), tried: tried, pause: retryPeriod}
			added = true
		}
	}
	if added {
		s.recount()
	}
}

// retries returns the addresses that are not heard and that are due for another
// try.
func (s *Sharer) retries(now time.Time, heard map[string]bool) []string {
	var due []string
	for a, c := range s.contacts {
		if !heard[a] && now.Sub(c.tried) >= c.pause {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return s.contacts[a].tried.Compare(s.contacts[b].tried) })
	most := retriesAtOnce
	if s.overlay.isHub {
		most = hubRetriesAtOnce
	}
	if len(due) > most {
		due = due[:most]
	}
	for _, a := range due {
		c := s.contacts[a]
		c.tried, c.pause = now, min(2*c.pause, lastRetryPeriod)
	}
	return due
}
