package scaler

import (
	"time"

	"pomelotiller/internal/fleet/tracker"
)

// returnDelay is how long after an evacuation was withdrawn the endpoints that replace those of the
// domain are kept. Those of the domain are cold for some seconds (3 s on the deployment at hand),
// and then take more requests in steps.
const returnDelay = 10 * time.Second

// serviceEvacuation is what the scaler remembers of evacuations for one service.
type serviceEvacuation struct {
	// domains are the evacuated failure domains.
	domains map[string]bool
	// withdrawnAt is when an evacuation was last withdrawn; zero once the replacements of its
	// endpoints may be released.
	withdrawnAt time.Time
}

// openDomains returns the failure domains that are not evacuated, the only ones for which orders are
// planned: what an evacuated domain has stays, since the domain comes back.
func (s *Scaler) openDomains(service string, snap *tracker.Snapshot, now time.Time) []string {
	e := s.evacuations[service]
	before := e.domains
	e.domains = make(map[string]bool)
	open := make([]string, 0, len(s.cfg.Domains))
	for _, d := range s.cfg.Domains {
		if snap.IsEvacuated(d) {
			e.domains[d] = true
			continue
		}
		open = append(open, d)
		if before[d] {
			e.withdrawnAt = now
		}
	}
	s.evacuations[service] = e
	return open
}

// retainReplacements drops the orders for fewer endpoints than are present for returnDelay after an
// evacuation was withdrawn, and for as long as what they leave of the present endpoints is less than
// the service requires.
func (s *Scaler) retainReplacements(service string, orders []Order, present map[endpointGroup]int, required int, now time.Time) []Order {
	e := s.evacuations[service]
	if e.withdrawnAt.IsZero() {
		return orders
	}
	left := 0
	var growth []Order
	for _, o := range orders {
		have := present[o.endpointGroup()]
		left += min(have, o.Count)
		if o.Count >= have {
			growth = append(growth, o)
		}
	}
	if now.Sub(e.withdrawnAt) < returnDelay || left < required && len(growth) < len(orders) {
		return growth
	}
	e.withdrawnAt = time.Time{}
	s.evacuations[service] = e
	return orders
}
