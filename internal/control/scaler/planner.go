package scaler

import (
	"math"
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/config/registrar"
)

const (
	// staffing is how many endpoints there are beside those that reading prompts
	// keeps busy, as a multiple of the square root of their number: the more
	// share a load, the smaller the part that must be free for its swings.
	staffing = 2.5
	// slotFullness is the part of the slots that may be in use.
	slotFullness = 0.5
	// standingShare is the part of the endpoints that must not be reclaimable.
	standingShare = 0.2
	// warmTime is how long callers must be seen before fewer endpoints are
	// ordered than there were at the start.
	warmTime = 6 * time.Second
	// shrinkDelay is how long fewer endpoints must suffice before some are
	// given back.
	shrinkDelay = 4 * time.Second
	// spareDomains is how many domains' reclaimable endpoints may go at once
	// without the rest being overloaded.
	spareDomains = 1
)

// Load is what is asked of a service by all daemons.
type Load struct {
	// Prompt is tokens to be read a second, Pace those that one endpoint reads.
	Prompt, Pace float64
	// Running is requests in flight.
	Running float64
}

// planner decides on the endpoints of one service.
type planner struct {
	need  int
	lower time.Time
	// asked is when callers were first seen.
	asked time.Time
}

// endpointsFor returns how many endpoints a load needs.
func endpointsFor(svc registrar.Service, l Load) int {
	n := 0.0
	if l.Pace > 0 {
		busy := l.Prompt / l.Pace
		n = busy + staffing*math.Sqrt(busy)
	}
	n = max(n, l.Running/(float64(max(svc.Engine.Slots, 1))*slotFullness))
	return int(math.Ceil(n))
}

// plan returns the orders that bring the service to what it needs. At the start
// that is what those that are there suffice for, beside the spare ones.
func (p *planner) plan(svc registrar.Service, domains []string, present map[subject]int, short map[string]bool, l Load, now time.Time) []Order {
	if p.asked.IsZero() {
		p.need = max(p.need, coveredBy(total(present), len(domains)))
		if l.Prompt > 0 || l.Running > 0 {
			p.asked = now
		}
	}
	p.follow(endpointsFor(svc, l), now)
	return spread(svc, domains, p.need, present, short)
}

// follow raises the need at once and lowers it once less sufficed for some time.
func (p *planner) follow(need int, now time.Time) {
	warm := !p.asked.IsZero() && now.Sub(p.asked) >= warmTime
	switch {
	case need >= p.need:
		p.need, p.lower = need, time.Time{}
	case !warm:
	case p.lower.IsZero():
		p.lower = now
	case now.Sub(p.lower) > shrinkDelay:
		p.need, p.lower = need, time.Time{}
	}
}

// spread divides endpoints among the domains, cheaper ones first, with a part
// in each that is not reclaimable. In a domain that is short of reclaimable ones
// others make up for those that are missing.
func spread(svc registrar.Service, domains []string, need int, present map[subject]int, short map[string]bool) []Order {
	sc := svc.Scaling
	sorted := sortedDomains(domains, sc.Prices)
	var out []Order
	left := max(need, sc.Min*len(sorted))
	for i, d := range sorted {
		n := int(math.Ceil(float64(left) / float64(len(sorted)-i)))
		n = min(max(n, sc.Min), sc.Max)
		left -= n
		standing := n
		if sc.SpotPrice > 0 {
			standing = min(n, max(sc.Min, int(math.Ceil(standingShare*float64(n)))))
		}
		if short[d] {
			standing = max(standing, n-present[subject{svc.Name, d, true}])
		}
		out = append(out, Order{svc.Name, d, false, standing})
		if sc.SpotPrice > 0 {
			out = append(out, Order{svc.Name, d, true, min(n-standing+spareOf(n, len(sorted)), sc.Max-standing)})
		}
	}
	return out
}

// spareOf returns the reclaimable endpoints beside the need of a domain that
// make up for the loss of another domain's.
func spareOf(n, domains int) int {
	if domains <= spareDomains {
		return 0
	}
	return int(math.Ceil(float64(n) * (1 - standingShare) * spareDomains / float64(domains-spareDomains) / 2))
}

// sortedDomains returns the domains from the cheapest to the dearest.
func sortedDomains(domains []string, prices map[string]float64) []string {
	out := slices.Clone(domains)
	slices.SortStableFunc(out, func(a, b string) int {
		pa, pb := price(prices, a), price(prices, b)
		switch {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return out
}

func price(prices map[string]float64, domain string) float64 {
	if p, ok := prices[domain]; ok {
		return p
	}
	return 1
}

// coveredBy returns the need that a number of endpoints covers, with what must be
// spare beside it.
func coveredBy(n, domains int) int {
	need := n
	for need > 0 && need+domains*spareOf((need+domains-1)/domains, domains) > n {
		need--
	}
	return need
}

// total sums up the counts of all subjects.
func total(counts map[subject]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}
