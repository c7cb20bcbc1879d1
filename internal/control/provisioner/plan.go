package provisioner

import (
	"cmp"
	"math"
	"slices"

	"pomelotiller/internal/remote/renter"
)

// Plan is the number of hosts of each slot.
type Plan map[renter.HostType]int

// maxPriceRatio is the maximum ratio between the unit price of an offer and that of the cheapest
// one for both to be rented side by side.
const maxPriceRatio = 1.15

// capacityOffer is an offer with the capacity of one of its hosts.
type capacityOffer struct {
	renter.Offer
	capacity float64
}

func (r capacityOffer) unitPrice() float64 { return r.Price / r.capacity }

// cheapestPlan returns the cheapest mix whose capacity is still enough after any one failure domain
// loses all its reclaimable hosts.
//
// Reclaimable capacity is spread evenly over the k cheapest failure domains, so that a loss takes
// 1/k of it; the rest is rented on demand. The search covers all k and all numbers of hosts on
// demand.
func cheapestPlan(need float64, offers []capacityOffer) (Plan, bool) {
	onDemand, reclaimable := splitOffers(offers)
	best, found, bestCost := Plan(nil), false, math.Inf(1)
	try := func(p Plan) {
		if c := planCost(p, offers); c < bestCost && survivesDomainLoss(p, need, offers) {
			best, bestCost, found = p, c, true
		}
	}
	maxOnDemand := 0
	for _, r := range onDemand {
		maxOnDemand = max(maxOnDemand, int(math.Ceil(need/r.capacity)))
	}
	for n := range maxOnDemand + 1 {
		left := need
		p := Plan{}
		if n > 0 {
			addOnDemand(p, onDemand, n)
			left -= planCapacity(p, offers)
		}
		if left <= 0 {
			try(p)
			break
		}
		for k := 2; k <= len(reclaimable); k++ {
			q := p.clone()
			for _, domain := range reclaimable[:k] {
				addReclaimable(q, domain, left/float64(k-1))
			}
			try(q)
		}
	}
	return best, found
}

func (p Plan) clone() Plan {
	q := make(Plan, len(p))
	for s, n := range p {
		q[s] = n
	}
	return q
}

// splitOffers returns the on-demand offers, cheapest first, and the reclaimable ones of each
// failure domain, the cheapest domain first.
func splitOffers(offers []capacityOffer) (onDemand []capacityOffer, reclaimable [][]capacityOffer) {
	domains := make(map[string][]capacityOffer)
	for _, r := range offers {
		if r.Reclaimable {
			domains[r.Domain] = append(domains[r.Domain], r)
		} else {
			onDemand = append(onDemand, r)
		}
	}
	order := func(a, b capacityOffer) int {
		return cmp.Or(cmp.Compare(a.unitPrice(), b.unitPrice()), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Class, b.Class))
	}
	slices.SortFunc(onDemand, order)
	for _, d := range domains {
		slices.SortFunc(d, order)
		reclaimable = append(reclaimable, d)
	}
	slices.SortFunc(reclaimable, func(a, b []capacityOffer) int { return order(a[0], b[0]) })
	return onDemand, reclaimable
}

// addOnDemand adds n on-demand hosts to a plan, in turn from the offers of similar price.
func addOnDemand(p Plan, onDemand []capacityOffer, n int) {
	similar := similarOffers(onDemand)
	for i := range n {
		p[similar[i%len(similar)].HostType]++
	}
}

// addReclaimable adds reclaimable hosts of one failure domain up to a capacity, in turn from the
// offers of similar price.
func addReclaimable(p Plan, domain []capacityOffer, capacity float64) {
	similar := similarOffers(domain)
	for i := 0; capacity > 0; i++ {
		r := similar[i%len(similar)]
		p[r.HostType]++
		capacity -= r.capacity
	}
}

func similarOffers(offers []capacityOffer) []capacityOffer {
	n := 1
	for n < len(offers) && offers[n].unitPrice() <= offers[0].unitPrice()*maxPriceRatio {
		n++
	}
	return offers[:n]
}

func planCost(p Plan, offers []capacityOffer) float64 {
	var sum float64
	for _, r := range offers {
		sum += float64(p[r.HostType]) * r.Price
	}
	return sum
}

func planCapacity(p Plan, offers []capacityOffer) float64 {
	var sum float64
	for _, r := range offers {
		sum += float64(p[r.HostType]) * r.capacity
	}
	return sum
}

// completePlan adds hosts to the existing ones until the capacity survives the loss of a domain. It
// greedily adds the host with the lowest price for the capacity that it adds after a loss.
func completePlan(have Plan, need float64, open, all []capacityOffer) (Plan, bool) {
	p := have.clone()
	for !survivesDomainLoss(p, need, all) {
		left := capacityAfterLoss(p, all)
		best, bestUnit := renter.HostType{}, math.Inf(1)
		for _, r := range open {
			p[r.HostType]++
			gain := min(capacityAfterLoss(p, all), need) - left
			p[r.HostType]--
			if gain > capacityTolerance && r.Price/gain < bestUnit {
				best, bestUnit = r.HostType, r.Price/gain
			}
		}
		if math.IsInf(bestUnit, 1) {
			return p, false
		}
		p[best]++
	}
	return p, true
}

// survivesDomainLoss reports whether the capacity is enough after any one failure domain loses its
// reclaimable hosts.
func survivesDomainLoss(p Plan, need float64, offers []capacityOffer) bool {
	return capacityAfterLoss(p, offers) >= need-capacityTolerance
}

// capacityAfterLoss returns the capacity without the reclaimable hosts of the failure domain that
// has the most reclaimable capacity.
func capacityAfterLoss(p Plan, offers []capacityOffer) float64 {
	lost := make(map[string]float64)
	worst := 0.0
	for _, r := range offers {
		if r.Reclaimable {
			lost[r.Domain] += float64(p[r.HostType]) * r.capacity
			worst = max(worst, lost[r.Domain])
		}
	}
	return planCapacity(p, offers) - worst
}

// capacityTolerance allows for rounding in sums of floating-point capacities.
const capacityTolerance = 1e-9
