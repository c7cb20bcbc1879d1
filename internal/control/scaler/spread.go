package scaler

import (
	"math"
	"slices"
	"strings"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
)

const (
	// onDemandFraction is the minimum fraction of the endpoints that are on-demand.
	onDemandFraction = 0.2
	// minOnDemandDomains is the number of domains with on-demand endpoints, so that the loss of one
	// domain does not take all of them.
	minOnDemandDomains = 2
)

// Need is the number of endpoints that a service should have (Desired) and the number that it needs
// to carry its load (Required).
type Need struct {
	Desired, Required int
}

// spreadConfig is the input of spreadEndpoints.
type spreadConfig struct {
	Service registrar.Service
	Domains []string
	Need    Need
	// EndpointCounts is the number of present endpoints, and ShortDomains the domains where no
	// reclaimable endpoints are available.
	EndpointCounts map[endpointGroup]int
	ShortDomains   map[string]bool
	// ShortOnDemand are the domains where no more on-demand endpoints are available, and Starting the
	// numbers of on-demand endpoints that are present or starting.
	ShortOnDemand map[string]bool
	Starting      map[endpointGroup]int
	// HasTraffic says that callers have sent requests since the start.
	HasTraffic bool
	Policies   switcher.Policies
}

// spreadEndpoints distributes endpoints over the failure domains: a few on-demand ones in the
// cheapest domains, and reclaimable ones in all domains that have them. It adds on-demand endpoints
// when so many reclaimable ones are gone that the others could not carry the load after one more
// domain lost its own: on-demand endpoints take longer to start than the notice of a reclaim lasts.
func spreadEndpoints(cfg spreadConfig) []Order {
	s := newAllocation(cfg)
	need, scaling := cfg.Need, s.svc.Scaling
	if scaling.SpotPrice <= 0 || !cfg.Policies.IsOn(switcher.Spot) {
		s.addOnDemand(max(need.Desired, scaling.Min*len(cfg.Domains)))
		return s.orders()
	}
	base := int(math.Ceil(onDemandFraction * float64(need.Desired)))
	s.addOnDemand(max(base, min(minOnDemandDomains, len(cfg.Domains))))
	s.allocateSpot()
	// On-demand endpoints replace the reclaimable ones that a full domain cannot have.
	for n := s.missingEndpoints(); n > 0; n = s.missingEndpoints() {
		if s.addOnDemand(n) == 0 {
			break
		}
	}
	if s.toleratesDomainLoss && cfg.HasTraffic {
		s.retainOnDemand()
	}
	return s.orders()
}

// allocation is a distribution of endpoints over the failure domains while it is computed.
type allocation struct {
	svc  registrar.Service
	need Need
	// domainsByPrice lists the domains from the cheapest to the most expensive; shortDomains are
	// those without available reclaimable endpoints.
	domainsByPrice []string
	endpointCounts map[endpointGroup]int
	shortDomains   map[string]bool
	shortOnDemand  map[string]bool
	starting       map[endpointGroup]int
	// onDemand and spot are the planned numbers of endpoints by domain.
	onDemand, spot map[string]int
	// toleratesDomainLoss says that the load must still be carried after one domain loses its
	// reclaimable endpoints.
	toleratesDomainLoss bool
}

func newAllocation(cfg spreadConfig) *allocation {
	return &allocation{
		svc: cfg.Service, need: cfg.Need, domainsByPrice: sortDomainsByPrice(cfg.Domains, cfg.Service.Scaling.Prices),
		endpointCounts: cfg.EndpointCounts, shortDomains: cfg.ShortDomains, shortOnDemand: cfg.ShortOnDemand, starting: cfg.Starting,
		onDemand: make(map[string]int), spot: make(map[string]int), toleratesDomainLoss: cfg.Policies.IsOn(switcher.Spare),
	}
}

// addOnDemand adds n on-demand endpoints, each in the domain that has the fewest; among equals the
// cheapest domain comes first. It returns how many there was room for.
func (s *allocation) addOnDemand(n int) int {
	for i := range n {
		best := ""
		for _, d := range s.domainsByPrice {
			full := s.onDemand[d]+s.availableSpot(d) >= s.svc.Scaling.Max || s.shortOnDemand[d] && s.onDemand[d] >= s.countOnDemand(d)
			if !full && (best == "" || s.onDemand[d] < s.onDemand[best]) {
				best = d
			}
		}
		if best == "" {
			return i
		}
		s.onDemand[best]++
	}
	return n
}

// countOnDemand returns the number of on-demand endpoints of a domain that are present or starting.
func (s *allocation) countOnDemand(domain string) int {
	group := endpointGroup{s.svc.Name, domain, false}
	return max(s.endpointCounts[group], s.starting[group])
}

// allocateSpot gives each domain its share of the reclaimable endpoints, with so many extra that
// the rest carries the load when one domain loses its own. What short domains cannot have is added
// to the others.
func (s *allocation) allocateSpot() {
	n := max(s.need.Desired-sumByDomain(s.onDemand), 0)
	open := slices.DeleteFunc(slices.Clone(s.domainsByPrice), func(d string) bool { return s.shortDomains[d] })
	s.divideSpot(n, s.domainsByPrice)
	s.divideSpot(n, open)
}

// divideSpot divides n reclaimable endpoints among the given domains; the cheapest ones get the
// remainder.
func (s *allocation) divideSpot(n int, among []string) {
	k := len(among)
	if k > 1 && s.toleratesDomainLoss {
		// Without the share of any one domain, the rest must carry the load.
		each := int(math.Ceil(float64(s.need.Required-sumByDomain(s.onDemand)) / float64(k-1)))
		n = max(n, k*each)
	}
	for i, d := range among {
		share := n / k
		if i < n%k {
			share++
		}
		s.spot[d] = max(share, s.svc.Scaling.Min-s.onDemand[d])
	}
}

// availableSpot returns how many of the planned reclaimable endpoints of a domain are present or
// can be obtained.
func (s *allocation) availableSpot(domain string) int {
	if s.shortDomains[domain] {
		return min(s.endpointCounts[endpointGroup{s.svc.Name, domain, true}], s.spot[domain])
	}
	return min(s.spot[domain], s.svc.Scaling.Max-s.onDemand[domain])
}

// retainOnDemand keeps on-demand endpoints that are present or starting until their replacements are
// present, since the platform may not have replacements. It releases only as many as the service can lose together
// with the reclaimable endpoints of one domain.
func (s *allocation) retainOnDemand() {
	free, largest := -s.need.Required, 0
	for _, d := range s.domainsByPrice {
		spot := s.endpointCounts[endpointGroup{s.svc.Name, d, true}]
		free += s.endpointCounts[endpointGroup{s.svc.Name, d, false}] + spot
		largest = max(largest, spot)
	}
	if len(s.domainsByPrice) > 1 {
		free -= largest
	}
	for _, d := range s.domainsByPrice {
		surplus := s.countOnDemand(d) - s.onDemand[d]
		if surplus <= 0 {
			continue
		}
		released := max(min(surplus, free), 0)
		s.onDemand[d] += surplus - released
		free -= released
	}
}

// missingEndpoints returns how many endpoints the plan lacks: it counts the on-demand ones and the
// available reclaimable ones of all domains but the one that has the most.
func (s *allocation) missingEndpoints() int {
	n, largest := sumByDomain(s.onDemand), 0
	for _, d := range s.domainsByPrice {
		n += s.availableSpot(d)
		largest = max(largest, s.availableSpot(d))
	}
	if len(s.domainsByPrice) > 1 && s.toleratesDomainLoss {
		n -= largest
	}
	return s.need.Required - n
}

func (s *allocation) orders() []Order {
	var out []Order
	for _, d := range s.domainsByPrice {
		out = append(out, Order{s.svc.Name, d, false, s.onDemand[d]})
		if s.svc.Scaling.SpotPrice > 0 {
			out = append(out, Order{s.svc.Name, d, true, min(s.spot[d], s.svc.Scaling.Max-s.onDemand[d])})
		}
	}
	return out
}

func sumByDomain(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// sortDomainsByPrice returns the domains from the cheapest to the most expensive.
func sortDomainsByPrice(domains []string, prices map[string]float64) []string {
	out := slices.Clone(domains)
	slices.SortStableFunc(out, func(a, b string) int {
		pa, pb := domainPrice(prices, a), domainPrice(prices, b)
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

func domainPrice(prices map[string]float64, domain string) float64 {
	if p, ok := prices[domain]; ok {
		return p
	}
	return 1
}
