package scaler

import (
	"errors"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/tracker"
)

// startMargin is how much longer than the boot time an ordered endpoint may take to announce itself.
const startMargin = 2 * time.Second

// reduction is what the scaler ordered fewer of an endpoint group.
type reduction struct {
	at time.Time
	n  int
}

// recordReduction records an order for n fewer endpoints of a group.
func (s *Scaler) recordReduction(group endpointGroup, n int, now time.Time) {
	r := s.reductions[group]
	if now.Sub(r.at) >= shrinkGracePeriod {
		r.n = 0
	}
	s.reductions[group] = reduction{now, r.n + n}
}

// noteReclaims notes which domains' reclaimable endpoints are being reclaimed: more of them leave than
// the scaler ordered fewer within shrinkGracePeriod. The holder of the duty logs them.
func (s *Scaler) noteReclaims(service string, snap *tracker.Snapshot, held bool, now time.Time) {
	leaving := make(map[endpointGroup]int)
	for _, e := range snap.All {
		if e.Service == service && e.Spot && e.Leaving {
			leaving[endpointGroup{service, e.Domain, true}]++
		}
	}
	for group, n := range leaving {
		r := s.reductions[group]
		if now.Sub(r.at) >= shrinkGracePeriod {
			r.n = 0
		}
		if n <= r.n {
			continue
		}
		if held && now.Sub(s.shortageAt[group]) >= shortageDuration {
			s.log("msg", "endpoints reclaimed", "service", service, "domain", group.domain, "leaving", n, "ordered_off", r.n)
		}
		s.shortageAt[group] = now
	}
}

// shortDomains returns the domains in which the platform reclaimed endpoints of a kind or refused an
// order for them within shortageDuration.
func (s *Scaler) shortDomains(service string, spot bool, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for group, at := range s.shortageAt {
		if group.service == service && group.spot == spot && now.Sub(at) < shortageDuration {
			out[group.domain] = true
		}
	}
	return out
}

// noteRefusal notes that a domain has no more endpoints of a group. It reports whether this was not
// known, so that the endpoints may be ordered elsewhere at once.
func (s *Scaler) noteRefusal(group endpointGroup, err error, now time.Time) bool {
	if !errors.Is(err, ErrRefused) || !group.spot && !s.cfg.Policies.IsOn(switcher.Elsewhere) {
		return false
	}
	at, known := s.shortageAt[group]
	s.shortageAt[group] = now
	return s.cfg.Policies.IsOn(switcher.Elsewhere) && (!known || now.Sub(at) >= shortageDuration)
}

// countStarting returns the numbers of on-demand endpoints that were ordered and may still be starting,
// together with those present. An order for fewer would end them before they serve.
func (s *Scaler) countStarting(svc registrar.Service, now time.Time) map[endpointGroup]int {
	out := make(map[endpointGroup]int)
	for group, last := range s.lastOrder {
		if group.service == svc.Name && !group.spot && !last.failed && now.Sub(last.orderedAt) < svc.Scaling.Boot+startMargin {
			out[group] = last.count
		}
	}
	return out
}
