package provisioner

import (
	"cmp"
	"math"
	"slices"

	"pomelotiller/internal/remote/renter"
)

// Plan is the number of hosts of each slot.
type Plan map[renter.Slot]int

// similar is how much dearer, for its capacity, a class may be than the cheapest
// of its failure domain to be rented beside it.
const similar = 1.15

// rate is the price of one unit of capacity in a slot.
type rate struct {
	renter.Offer
	capacity float64
}

func (r rate) unit() float64 { return r.Price / r.capacity }

// cheapest returns the cheapest mix whose capacity is still enough when all
// reclaimable hosts of any one failure domain go.
//
// Reclaimable capacity is spread evenly over the k cheapest failure domains, so
// that a loss takes one part in k; the rest is rented on demand. All k and all
// numbers of hosts on demand are weighed.
func cheapest(need float64, rates []rate) (Plan, bool) {
	fixed, spot := split(rates)
	best, found, bestCost := Plan(nil), false, math.Inf(1)
	try := func(p Plan) {
		if c := cost(p, rates); c < bestCost && survives(p, need, rates) {
			best, bestCost, found = p, c, true
		}
	}
	maxFixed := 0
	for _, r := range fixed {
		maxFixed = max(maxFixed, int(math.Ceil(need/r.capacity)))
	}
	for n := range maxFixed + 1 {
		left := need
		p := Plan{}
		if n > 0 {
			spread(p, fixed, n)
			left -= capacityOf(p, rates)
		}
		if left <= 0 {
			try(p)
			break
		}
		for k := 2; k <= len(spot); k++ {
			q := p.clone()
			for _, domain := range spot[:k] {
				fill(q, domain, left/float64(k-1))
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

// split returns the on-demand rates, cheapest first, and the reclaimable ones of
// each failure domain, the cheapest domain first.
func split(rates []rate) (fixed []rate, spot [][]rate) {
	domains := make(map[string][]rate)
	for _, r := range rates {
		if r.Reclaimable {
			domains[r.Domain] = append(domains[r.Domain], r)
		} else {
			fixed = append(fixed, r)
		}
	}
	order := func(a, b rate) int {
		return cmp.Or(cmp.Compare(a.unit(), b.unit()), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Class, b.Class))
	}
	slices.SortFunc(fixed, order)
	for _, d := range domains {
		slices.SortFunc(d, order)
		spot = append(spot, d)
	}
	slices.SortFunc(spot, func(a, b []rate) int { return order(a[0], b[0]) })
	return fixed, spot
}

// spread rents n hosts on demand in turn in the slots that cost about the same.
func spread(p Plan, fixed []rate, n int) {
	like := alike(fixed)
	for i := range n {
		p[like[i%len(like)].Slot]++
	}
}

// fill rents reclaimable hosts of one failure domain up to a capacity, in turn
// of the classes that cost about the same.
func fill(p Plan, domain []rate, capacity float64) {
	like := alike(domain)
	for i := 0; capacity > 0; i++ {
		r := like[i%len(like)]
		p[r.Slot]++
		capacity -= r.capacity
	}
}

func alike(rates []rate) []rate {
	n := 1
	for n < len(rates) && rates[n].unit() <= rates[0].unit()*similar {
		n++
	}
	return rates[:n]
}

func cost(p Plan, rates []rate) float64 {
	var sum float64
	for _, r := range rates {
		sum += float64(p[r.Slot]) * r.Price
	}
	return sum
}

func capacityOf(p Plan, rates []rate) float64 {
	var sum float64
	for _, r := range rates {
		sum += float64(p[r.Slot]) * r.capacity
	}
	return sum
}

// complete adds to the hosts at hand, one at a time, those that are cheapest for
// what they add to the capacity left after a loss.
func complete(have Plan, need float64, open, all []rate) (Plan, bool) {
	p := have.clone()
	for !survives(p, need, all) {
		left := leftAfterLoss(p, all)
		best, bestUnit := renter.Slot{}, math.Inf(1)
		for _, r := range open {
			p[r.Slot]++
			gain := min(leftAfterLoss(p, all), need) - left
			p[r.Slot]--
			if gain > rounding && r.Price/gain < bestUnit {
				best, bestUnit = r.Slot, r.Price/gain
			}
		}
		if math.IsInf(bestUnit, 1) {
			return p, false
		}
		p[best]++
	}
	return p, true
}

// survives reports whether the capacity is enough without the reclaimable hosts
// of any one failure domain.
func survives(p Plan, need float64, rates []rate) bool {
	return leftAfterLoss(p, rates) >= need-rounding
}

// leftAfterLoss returns the capacity without the reclaimable hosts of the
// failure domain that has most of it in them.
func leftAfterLoss(p Plan, rates []rate) float64 {
	lost := make(map[string]float64)
	worst := 0.0
	for _, r := range rates {
		if r.Reclaimable {
			lost[r.Domain] += float64(p[r.Slot]) * r.capacity
			worst = max(worst, lost[r.Domain])
		}
	}
	return capacityOf(p, rates) - worst
}

// rounding covers sums of floating-point capacities.
const rounding = 1e-9
