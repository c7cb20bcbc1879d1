package chooser

import (
	"math/rand/v2"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/traffic/localizer"
)

// ownEndpoints returns the endpoints of the daemon's own failure domain, and false if the localizer has nothing to
// decide: the policy is off, the route has no target, or the own domain has no endpoint or all of them.
func (c *Chooser) ownEndpoints(q Query, endpoints []tracker.Endpoint) ([]tracker.Endpoint, bool) {
	if c.cfg.Localizer == nil || c.cfg.Domain == "" || q.Target <= 0 || !c.cfg.Policies.IsOn(switcher.Near) || !c.cfg.Policies.IsOn(switcher.Leave) {
		return nil, false
	}
	n := 0
	for i := range endpoints {
		if endpoints[i].Domain == c.cfg.Domain {
			n++
		}
	}
	if n == 0 || n == len(endpoints) {
		return nil, false
	}
	own := make([]tracker.Endpoint, 0, n)
	for i := range endpoints {
		if endpoints[i].Domain == c.cfg.Domain {
			own = append(own, endpoints[i])
		}
	}
	return own, true
}

// pickByDomain chooses an endpoint of the own domain, or one of another domain if the localizer finds that leaving
// pays. If no own endpoint is available, all are compared.
func (c *Chooser) pickByDomain(q Query, own, endpoints []tracker.Endpoint, large bool) (Choice, bool) {
	best, ok := c.pickAmong(q, own, large, q.Target)
	if !ok {
		ch, ok := c.pickAmong(q, endpoints, large, q.MaxWait)
		ch.trip = localizer.Trip{Service: q.Service, Domain: ch.Endpoint.Domain, Reason: localizer.Unavailable, Target: q.Target, OwnWait: max(q.MaxWait, q.Target)}
		return ch, ok
	}
	ownOffer := c.offer(q, best, large)
	if localizer.IsEnough(localizer.Need{Target: q.Target, HasOldLoads: large}, ownOffer) {
		return best, true
	}
	remote, trip := c.bestRemote(q, ownOffer, endpoints, large)
	if trip.IsSet() && c.cfg.Localizer.MayLeave(trip) {
		remote.trip = trip
		return remote, true
	}
	return best, true
}

// bestRemote returns an endpoint of another domain for which leaving pays. A large fleet takes the first such
// domain in random order, so that not all daemons choose the one that seemed freest.
func (c *Chooser) bestRemote(q Query, own localizer.Offer, endpoints []tracker.Endpoint, large bool) (Choice, localizer.Trip) {
	var best Choice
	var trip localizer.Trip
	domains := c.otherDomains(endpoints)
	for _, there := range domains {
		ch, ok := c.pickAmong(q, there, large, q.Target)
		if !ok || trip.IsSet() && ch.Wait >= best.Wait {
			continue
		}
		if reason := localizer.Compare(localizer.Need{Target: q.Target, HasOldLoads: large}, own, c.offer(q, ch, large)); reason != localizer.Stay {
			best, trip = ch, localizer.Trip{Service: q.Service, Domain: ch.Endpoint.Domain, Reason: reason, Target: q.Target, OwnWait: own.Wait}
		}
		if trip.IsSet() && large {
			break
		}
	}
	return best, trip
}

// otherDomains returns the endpoints of each other domain, in random order of the domains.
func (c *Chooser) otherDomains(endpoints []tracker.Endpoint) [][]tracker.Endpoint {
	var out [][]tracker.Endpoint
	index := make(map[string]int)
	for _, e := range endpoints {
		if e.Domain == c.cfg.Domain {
			continue
		}
		i, ok := index[e.Domain]
		if !ok {
			i = len(out)
			index[e.Domain] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], e)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// offer returns what an endpoint that was chosen within its domain offers. Old loads do not tell whether the slots are
// in use: a call to a plain service is over before it is known, and all daemons would leave at once. Then only this
// daemon's own requests count, and the error of the predicted waits shows that a domain is short.
func (c *Chooser) offer(q Query, ch Choice, large bool) localizer.Offer {
	s := c.endpointState(ch.Endpoint.ID, ch.Endpoint.Born)
	running := ch.Running
	if large {
		running = s.running
	}
	o := localizer.Offer{Wait: ch.Wait, IsFull: running >= max(ch.Endpoint.Slots, 1), FailureRate: s.health.decayedFailureRate(c.cfg.Now())}
	return c.cfg.Localizer.Correct(q.Service, ch.Endpoint.Domain, o)
}

// recordWait tells the localizer when the answer began.
func (a *Attempt) recordWait() {
	l := a.chooser.cfg.Localizer
	if l == nil || a.predicted <= 0 {
		return
	}
	took := a.chooser.cfg.Now().Sub(a.startedAt)
	l.RecordWait(a.service, a.domain, a.predicted, took)
	if a.trip.IsSet() {
		l.RecordAnswer(a.trip, took)
	}
}

// recordTripResult tells the localizer what came of an attempt outside the own domain. An answer was recorded at
// its first byte.
func (a *Attempt) recordTripResult(r Result) {
	if !a.trip.IsSet() {
		return
	}
	switch r {
	case ResultBusy:
		a.chooser.cfg.Localizer.RecordRefusal(a.trip)
	case ResultFailed, ResultBroken, ResultUnreachable:
		a.chooser.cfg.Localizer.RecordFailure(a.trip)
	case ResultNoEvidence, ResultGood:
	}
}
