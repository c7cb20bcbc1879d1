// Package prioritizer decides which requests of a service are admitted when callers of different priorities compete
// for its endpoints, and when refused callers come back. It makes no network calls and sends no messages: each
// daemon decides from the configuration, the predicted wait of each request and what it admitted and refused of
// late.
package prioritizer

import (
	"sync"
	"time"

	"pomelotiller/internal/config/registrar"
)

// Config configures a Prioritizer.
type Config struct {
	// Capacity returns this daemon's share of the prompt tokens a second that a service's engines prefill; nil or 0
	// means that it is not known.
	Capacity func(service string) float64
	// Now returns the current time; nil is time.Now.
	Now func() time.Time
}

// Prioritizer decides on the requests of one daemon. Its methods are safe for concurrent use.
type Prioritizer struct {
	cfg Config

	mu sync.Mutex
	// catalog is the configuration that the services are of.
	catalog *registrar.Catalog
	// services holds the state of each service by name.
	services map[string]*serviceState
	// deadlines holds the longest deadlines of callers of late.
	deadlines map[callers]*longestDeadline
}

// serviceState is the state of one service.
type serviceState struct {
	competition Competition
	history     *history
	schedule    *schedule
}

// New returns a prioritizer that has decided on no requests yet.
func New(cfg Config) *Prioritizer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Capacity == nil {
		cfg.Capacity = func(string) float64 { return 0 }
	}
	return &Prioritizer{cfg: cfg, services: make(map[string]*serviceState), deadlines: make(map[callers]*longestDeadline)}
}

// Request describes a caller's request before its first attempt.
type Request struct {
	Service      string
	Route        registrar.Route
	Organisation registrar.Organisation
	// Deadline is how long the caller waits from now on; 0 if it does not say.
	Deadline time.Duration
	// Tokens is the number of prompt tokens.
	Tokens int
}

// Ticket is what the prioritizer knows of a request whose callers compete.
type Ticket struct {
	// Priority is the request's priority, 0 the most urgent.
	Priority int
	// EnginePriority is the priority to send to the engine: that of the most urgent class while the request's class
	// is starved.
	EnginePriority int
	// Used is the time that the caller has spent on earlier attempts.
	Used time.Duration
	// Bound is the longest wait for others at which the request is admitted whether or not it can be answered within
	// its target. At a longer one, other endpoints are worth a comparison.
	Bound time.Duration

	request  Request
	state    *serviceState
	standing standing
	greedy   bool
	admitted bool
	answered bool
}

// Prediction is what is expected of a request at the endpoint chosen for it.
type Prediction struct {
	// Wait is the time until the answer begins, and Queue the part of it that is spent on other requests.
	Wait, Queue time.Duration
	// Left is the time until the caller leaves.
	Left time.Duration
}

// Reason says why a request was admitted or refused.
type Reason string

// Reasons.
const (
	// ReasonNew and ReasonReturned are of admitted requests: of callers that were not refused before, and of those
	// that were.
	ReasonNew      Reason = "new"
	ReasonReturned Reason = "returned"
	// ReasonWait is that others are waited for longer than the class's bound, ReasonLate that the request can no
	// longer be answered within its target and gives way, and ReasonShare that its organisation takes far more than
	// an equal share.
	ReasonWait  Reason = "wait"
	ReasonLate  Reason = "late"
	ReasonShare Reason = "share"
)

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	Reason   Reason
	// Bound is the longest wait for others at which the request is admitted.
	Bound time.Duration
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Begin returns the ticket of a request, or false if the callers of its service do not compete.
func (p *Prioritizer) Begin(cat *registrar.Catalog, q Request) (Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(cat, q.Service)
	if !s.competition.Exists() {
		return Ticket{}, false
	}
	now := p.cfg.Now()
	t := Ticket{Priority: Priority(q.Route, q.Organisation), Used: p.timeUsed(q, now), request: q, state: s}
	t.standing = standing{rank: s.competition.Rank(t.Priority), returned: t.Used > 0}
	if t.greedy = s.history.isGreedy(q.Organisation.Name, now); t.greedy {
		t.standing.rank++
	}
	b := s.bounds(now)
	t.Bound = b.of(standing{rank: t.standing.rank, returned: t.standing.returned, late: true})
	if t.EnginePriority = t.Priority; b.isLifted(t.standing.rank) {
		t.EnginePriority = s.competition.classes[0].priority
	}
	return t, true
}

// service returns the state of a service. A new configuration that changes the priorities of its callers begins a
// new history.
func (p *Prioritizer) service(cat *registrar.Catalog, name string) *serviceState {
	if p.catalog != cat {
		p.catalog = cat
		for name, s := range p.services {
			if c := NewCompetition(cat, name); c.equals(s.competition) {
				continue
			}
			delete(p.services, name)
		}
		p.dropOldDeadlines()
	}
	s := p.services[name]
	if s == nil {
		c := NewCompetition(cat, name)
		s = &serviceState{competition: c, history: newHistory(len(c.classes)), schedule: newSchedule()}
		p.services[name] = s
	}
	return s
}

// bounds returns the bounds of a service at a moment.
func (s *serviceState) bounds(now time.Time) bounds {
	return bounds{competition: s.competition, lifted: s.history.leastStarved(now), lateStarved: func(rank int) bool {
		return rank < len(s.history.late) && s.history.late[rank].isStarved(&s.history.ranks[rank], now)
	}}
}

// Decide decides on the first attempt of a request.
func (p *Prioritizer) Decide(t *Ticket, is Prediction) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	t.standing.late = t.request.Route.Target > 0 && t.Used+is.Wait > t.request.Route.Target
	d := Decision{Bound: t.state.bounds(now).of(t.standing)}
	d.Admitted = is.Queue <= d.Bound
	d.Reason = t.reason(d.Admitted)
	if !d.Admitted {
		d.RetryAfter = p.bookReturn(*t, is, d.Bound, now)
	}
	t.admitted = d.Admitted
	t.state.history.record(t.counted(), t.request.Organisation.Name, t.request.Tokens, d.Admitted, now)
	return d
}

// counted returns the standing under which a request is counted, which is that of its own class.
func (t *Ticket) counted() standing {
	s := t.standing
	s.rank = t.state.competition.Rank(t.Priority)
	return s
}

// RecordAnswer records that an endpoint began to answer a request that was admitted.
func (p *Prioritizer) RecordAnswer(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.admitted && !t.answered {
		t.answered = true
		t.state.history.recordAnswer(t.counted(), p.cfg.Now())
	}
}

// reason returns the reason of a decision.
func (t *Ticket) reason(admitted bool) Reason {
	switch {
	case admitted && t.standing.returned:
		return ReasonReturned
	case admitted:
		return ReasonNew
	case t.greedy:
		return ReasonShare
	case t.standing.late:
		return ReasonLate
	}
	return ReasonWait
}

// bookReturn returns the time after which a refused caller may come back: the first for which there is capacity,
// else the last at which it is worth trying. Callers honour up to a third of the time that they have left, and an
// answer after the target is worth little.
func (p *Prioritizer) bookReturn(t Ticket, is Prediction, bound time.Duration, now time.Time) time.Duration {
	latest := is.Left / 3
	if onTime := t.request.Route.Target - t.Used - (is.Wait - is.Queue); onTime > minReturn {
		latest = min(latest, onTime)
	}
	latest = max(latest, minReturn)
	b := booking{
		tokens: float64(max(t.request.Tokens, 1)), perSecond: p.cfg.Capacity(t.request.Service), level: returnLevel(t.standing),
		earliest: now.Add(max(is.Queue-bound, minReturn)), latest: now.Add(latest),
	}
	if at, ok := t.state.schedule.book(b, now); ok {
		return at.Sub(now)
	}
	return latest
}
