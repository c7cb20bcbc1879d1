package scaler

import (
	"math"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
)

const (
	// desiredStaffingFactor is how many endpoints a service should have beyond those that are busy
	// with prefill, as a multiple of the square root of the busy ones (square-root staffing): the
	// more endpoints share a load, the smaller the fraction that must be free for its variations.
	desiredStaffingFactor = 2.5
	// requiredStaffingFactor is the same factor for the endpoints that a service requires.
	requiredStaffingFactor = 2.0
	// expectedUtilisation and requiredUtilisation are the fractions of the time for which the endpoints may be
	// busy with a load that is expected or that may return. At three quarters a prompt waits for three others on
	// average, which the targets allow. Load that changes is proportional to itself, so in a large fleet the
	// margin of square-root staffing does not cover it; in a small one it does.
	expectedUtilisation = 0.75
	requiredUtilisation = 0.8
	// maxSlotUtilisation is the fraction of the slots that may be in use.
	maxSlotUtilisation = 0.5
	// initialRequiredFraction is the fraction of the present endpoints that a service requires
	// until its first request.
	initialRequiredFraction = 0.4
	// warmupTime is how long the load must be observed before the planner orders fewer endpoints
	// than there were at the start.
	warmupTime = 6 * time.Second
	// scaleDownDelay is how long fewer endpoints must suffice before the planner releases some.
	scaleDownDelay = 4 * time.Second
	// discoveryTime is how long no new endpoint may appear before the planner takes the list of
	// endpoints at the start as complete.
	discoveryTime = 1500 * time.Millisecond
)

// Load is the load of a service over all daemons.
type Load struct {
	// PromptRate is the recent rate of prompt tokens to prefill per second, SteadyPromptRate the
	// rate over a longer time, and PrefillRate the tokens per second that one endpoint prefills.
	PromptRate, SteadyPromptRate, PrefillRate float64
	// PromptTrend is by how much the prompt rate rises each second; 0 if it may as well be constant.
	PromptTrend float64
	// RequestsInFlight is the number of requests in flight.
	RequestsInFlight float64
}

// planner computes the endpoints of one service.
type planner struct {
	desired, required stabilisedCount
	// firstLoadAt is when the planner first saw load.
	firstLoadAt time.Time
	// lastGrowthAt is when the number of endpoints last rose before the first load, or when the
	// planner first saw it.
	lastGrowthAt time.Time
	// hasInitialCount says that the number of endpoints at the start is known.
	hasInitialCount bool
	policies        switcher.Policies
	// held is what the load needed of late.
	held heldNeed
	// expected is the load that the planner last planned for.
	expected Load
}

// endpointNeed returns how many endpoints a load needs.
func (l Load) endpointNeed(svc registrar.Service) Need {
	bySlots := l.slotNeed(svc)
	if l.PrefillRate <= 0 {
		n := int(math.Ceil(bySlots))
		return Need{n, n}
	}
	busy := l.PromptRate / l.PrefillRate
	desired := max(busy+desiredStaffingFactor*math.Sqrt(busy), bySlots)
	steady := max(l.PromptRate, l.SteadyPromptRate) / l.PrefillRate
	required := max(steady+requiredStaffingFactor*math.Sqrt(steady), bySlots)
	return Need{int(math.Ceil(desired)), int(math.Ceil(min(required, desired)))}
}

// expectedNeed returns how many endpoints a load needs that is expected or that may return.
func (l Load) expectedNeed(svc registrar.Service) Need {
	bySlots, busy := l.slotNeed(svc), 0.0
	if l.PrefillRate > 0 {
		busy = l.PromptRate / l.PrefillRate
	}
	return Need{int(math.Ceil(max(busy/expectedUtilisation, bySlots))), int(math.Ceil(max(busy/requiredUtilisation, bySlots)))}
}

// slotNeed returns how many endpoints have slots for the requests in flight.
func (l Load) slotNeed(svc registrar.Service) float64 {
	return l.RequestsInFlight / (float64(max(svc.Engine.Slots, 1)) * maxSlotUtilisation)
}

// max returns the larger of both numbers of two needs.
func (n Need) max(other Need) Need {
	return Need{max(n.Desired, other.Desired), max(n.Required, other.Required)}
}

// planOrders returns the orders that bring the service to what it needs.
func (p *planner) planOrders(svc registrar.Service, domains []string, present map[endpointGroup]int, short map[string]bool, l Load, now time.Time) []Order {
	p.updateNeed(svc, present, l, now)
	return p.spread(svc, domains, present, availability{shortSpot: short})
}

// updateNeed updates what the service needs. Until the planner knows the load, it plans for at least the
// endpoints that were present at the start.
func (p *planner) updateNeed(svc registrar.Service, present map[endpointGroup]int, l Load, now time.Time) {
	if p.firstLoadAt.IsZero() {
		n := sumByGroup(present)
		if n > p.desired.n || p.lastGrowthAt.IsZero() {
			p.lastGrowthAt = now
		}
		p.desired.raiseTo(n)
		p.required.raiseTo(int(math.Ceil(initialRequiredFraction * float64(n))))
		if l.PromptRate > 0 || l.RequestsInFlight > 0 {
			p.firstLoadAt = now
			p.held.desired.add(int(math.Ceil(heldInitialFraction*float64(p.desired.n))), holdTime(svc), now)
		}
	}
	p.hasInitialCount = p.hasInitialCount || !p.policies.IsOn(switcher.Settle) || !p.firstLoadAt.IsZero() || now.Sub(p.lastGrowthAt) >= discoveryTime
	canShrink := !p.firstLoadAt.IsZero() && now.Sub(p.firstLoadAt) >= warmupTime
	n := l.endpointNeed(svc)
	if p.policies.IsOn(switcher.Trend) {
		l = l.forecast(svc)
		n = n.max(l.expectedNeed(svc))
	}
	p.expected = l
	if p.policies.IsOn(switcher.Hold) {
		n = p.held.raise(n, svc, l, now)
		p.desired.isGradual, p.required.isGradual = true, true
	}
	p.desired.update(n.Desired, canShrink, now)
	p.required.update(n.Required, canShrink, now)
}

// spread returns the orders that bring the service to what it needs.
func (p *planner) spread(svc registrar.Service, domains []string, present map[endpointGroup]int, a availability) []Order {
	return spreadEndpoints(spreadConfig{
		Service: svc, Domains: domains, Need: p.endpointNeed(), EndpointCounts: present, ShortDomains: a.shortSpot, ShortOnDemand: a.shortOnDemand, Starting: a.starting,
		HasTraffic: !p.firstLoadAt.IsZero(), Policies: p.policies,
	})
}

// availability is what is known of the endpoints that the platform has: the domains without more
// reclaimable or on-demand ones, and the numbers of on-demand ones that are present or starting.
type availability struct {
	shortSpot, shortOnDemand map[string]bool
	starting                 map[endpointGroup]int
}

// endpointNeed returns the need that the planner currently plans for.
func (p *planner) endpointNeed() Need { return Need{p.desired.n, max(p.required.n, 1)} }

// stabilisedCount is a count that rises at once and falls only after a lower value sufficed for
// scaleDownDelay.
type stabilisedCount struct {
	n        int
	lowSince time.Time
	// isGradual says that it falls in steps of maxReleaseFraction.
	isGradual bool
}

func (f *stabilisedCount) raiseTo(n int) { f.n = max(f.n, n) }

func (f *stabilisedCount) update(n int, canShrink bool, now time.Time) {
	switch {
	case n >= f.n:
		f.n, f.lowSince = n, time.Time{}
	case !canShrink:
	case f.lowSince.IsZero():
		f.lowSince = now
	case now.Sub(f.lowSince) > scaleDownDelay && f.isGradual:
		f.n, f.lowSince = max(n, limitRelease(f.n, now.Sub(f.lowSince))), now
	case now.Sub(f.lowSince) > scaleDownDelay:
		f.n, f.lowSince = n, time.Time{}
	}
}

// sumByGroup adds up the counts of all endpoint groups.
func sumByGroup(counts map[endpointGroup]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}
