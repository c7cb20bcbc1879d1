package admitter

import (
	"cmp"
	"time"

	"pomelotiller/internal/config/loader"
)

// The methods in this file divide a gate's places among organisations by their
// weights. Their callers hold the gate's lock.

// limitOf returns the limit that holds for an organisation at present.
func (g *Gate) limitOf(t *tenant) *limit {
	if t.isWithin(g.unit()) {
		return &g.own
	}
	return &g.lent
}

// isWithin reports whether an organisation is below its share, given the share
// of a weight of one.
func (t *tenant) isWithin(unit float64) bool { return t.load() < unit }

// unit returns the share of a weight of one, over all daemons, among the
// organisations that want places.
func (g *Gate) unit() float64 {
	weights, total := 0, g.own.value
	for _, t := range g.orgs {
		if t.inFlight+t.peers+len(t.queue) > 0 {
			weights += t.weight
		}
	}
	for _, u := range g.peers {
		total += u.Limit
	}
	return total / float64(max(1, weights))
}

// wait returns how long a request at the end of an organisation's queue waits.
// Places come free at the rate limit / mean. The next ones go to organisations
// below their shares; all others get them by their weights.
func (g *Gate) wait(t *tenant) time.Duration {
	each := float64(g.mean) / g.own.value
	unit := g.unit()
	if float64(t.inFlight+t.peers+len(t.queue)) < unit*float64(t.weight) {
		ahead := 1
		for _, o := range g.orgs {
			if o == t || o.isWithin(unit) {
				ahead += len(o.queue)
			}
		}
		return time.Duration(each * float64(ahead))
	}
	weights := t.weight
	for _, o := range g.orgs {
		if o != t && len(o.queue) > 0 {
			weights += o.weight
		}
	}
	return time.Duration(each * float64((len(t.queue)+1)*weights) / float64(t.weight))
}

func (g *Gate) maxWait() time.Duration {
	return time.Duration(waitPart * float64(firstTarget(g.target)))
}

// neediest returns the organisation whose turn it is: one below its share goes
// before one above it, then the higher priority class, then the one with the
// least in flight for its weight, here and at other daemons.
func (g *Gate) neediest() *tenant {
	var best *tenant
	unit := g.unit()
	for _, t := range g.orgs {
		if len(t.queue) > 0 && g.hasPlace(t) && (best == nil || compare(t, best, unit) < 0) {
			best = t
		}
	}
	return best
}

// compare orders organisations by need; unit is the share of a weight of one.
func compare(a, b *tenant, unit float64) int {
	if over := cmp.Compare(btoi(!a.isWithin(unit)), btoi(!b.isWithin(unit))); over != 0 {
		return over
	}
	if class := cmp.Compare(classOf(b), classOf(a)); class != 0 {
		return class
	}
	if load := cmp.Compare(a.load(), b.load()); load != 0 {
		return load
	}
	return cmp.Compare(a.name, b.name)
}

// load is what an organisation has in flight for a weight of one.
func (t *tenant) load() float64 { return float64(t.inFlight+t.peers) / float64(t.weight) }

func classOf(t *tenant) int {
	switch t.queue[0].Priority {
	case loader.PriorityHigh:
		return 1
	case loader.PriorityLow:
		return -1
	}
	return 0
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
