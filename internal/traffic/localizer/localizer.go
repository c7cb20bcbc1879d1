// Package localizer decides when requests leave the failure domain of the daemon that received them, and how
// many do. A request leaves only where the best endpoint of the own domain would answer late, is full or fails,
// and that of another domain is better by a part of the target. Of these requests each daemon sends out a share,
// since all daemons decide on the same old loads. The share of each service and domain rises with answers that
// came in time, and falls faster with late ones, refusals and failures. All state is in memory and local to the
// daemon; no messages are exchanged.
package localizer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

const (
	// stopAfter is the time without a departure after which a service counts as back in its domain.
	stopAfter = 3 * time.Second
	// shareMemory is the time without a departure after which the share for a domain is forgotten.
	shareMemory = time.Minute
)

// Config configures a Localizer.
type Config struct {
	// Domain is the daemon's failure domain.
	Domain string
	Now    func() time.Time
	// Random returns a number in [0, 1); nil means the default source.
	Random   func() float64
	Logger   log.Logger
	Registry metrics.Registry
}

// Trip is a request that leaves the own domain.
type Trip struct {
	Service string
	// Domain is the failure domain of the chosen endpoint.
	Domain string
	Reason Reason
	// Target is the route's target, and OwnWait the predicted wait in the own domain.
	Target, OwnWait time.Duration
}

// IsSet reports whether the request leaves its domain.
func (t Trip) IsSet() bool { return t.Reason != Stay }

// target identifies the requests of a service to a domain.
type target struct{ service, domain string }

// departures is when requests of a service began to leave, and when the last one did.
type departures struct {
	since, last time.Time
	count       int
}

// Localizer keeps the shares of all services. Its methods are safe for concurrent use.
type Localizer struct {
	cfg Config

	mu sync.Mutex
	// shares holds the share of each service and domain to which requests left lately.
	shares map[target]*share
	// errors holds the error of the predicted waits of each service and domain, the own one included.
	errors map[target]*predictionError
	// leaving holds the services of which requests leave.
	leaving map[string]*departures
}

// New returns a localizer of a daemon of which no request has left its domain.
func New(cfg Config) *Localizer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Localizer{cfg: cfg, shares: make(map[target]*share), errors: make(map[target]*predictionError), leaving: make(map[string]*departures)}
}

// RecordWait records the predicted and the actual time until an answer from an endpoint of a domain began.
func (l *Localizer) RecordWait(service, domain string, predicted, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := target{service, domain}
	if l.errors[key] == nil {
		l.errors[key] = &predictionError{}
	}
	l.errors[key].record(predicted, took, l.cfg.Now())
}

// Correct returns the offer of a domain with the recent error of its predictions added to the wait.
func (l *Localizer) Correct(service, domain string, o Offer) Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Wait += l.errors[target{service, domain}].at(l.cfg.Now())
	return o
}

// MayLeave reports whether a request for which leaving pays belongs to the share that leaves.
func (l *Localizer) MayLeave(t Trip) bool {
	l.mu.Lock()
	allowed := l.cfg.Random() < l.share(t).of(t.Reason, l.cfg.Now())
	l.mu.Unlock()
	if !allowed {
		meter.AddToCounter(l.cfg.Registry, 1, "domain_stays_total", "service", t.Service, "domain", t.Domain, "reason", string(t.Reason))
	}
	return allowed
}

// RecordStart records that a request was sent outside the own domain.
func (l *Localizer) RecordStart(t Trip) {
	l.mu.Lock()
	now := l.cfg.Now()
	d := l.leaving[t.Service]
	started := d == nil
	if started {
		d = &departures{since: now}
		l.leaving[t.Service] = d
	}
	d.last = now
	d.count++
	l.mu.Unlock()
	meter.AddToCounter(l.cfg.Registry, 1, "domain_departures_total", "service", t.Service, "domain", t.Domain, "reason", string(t.Reason))
	if started {
		logger.Info(l.cfg.Logger, "msg", "service leaves its domain", "service", t.Service, "from", l.cfg.Domain, "domain", t.Domain, "reason", string(t.Reason), "own_wait", t.OwnWait, "target", t.Target)
	}
}

// RecordAnswer records the time until the answer to a request outside the own domain began.
func (l *Localizer) RecordAnswer(t Trip, took time.Duration) {
	if took > max(t.Target, t.OwnWait) {
		l.record(t, resultLate)
		return
	}
	l.record(t, resultInTime)
}

// RecordRefusal records that an endpoint outside the own domain refused a request.
func (l *Localizer) RecordRefusal(t Trip) { l.record(t, resultRefused) }

// RecordFailure records that an endpoint outside the own domain gave no answer, or could not be reached.
func (l *Localizer) RecordFailure(t Trip) { l.record(t, resultFailed) }

func (l *Localizer) record(t Trip, r result) {
	l.mu.Lock()
	now := l.cfg.Now()
	s := l.share(t)
	s.record(r, now)
	value := s.at(now)
	l.mu.Unlock()
	meter.AddToCounter(l.cfg.Registry, 1, "domain_departure_results_total", "service", t.Service, "domain", t.Domain, "result", string(r))
	l.showShare(target{t.Service, t.Domain}, value)
}

// Refresh logs which services no longer leave their domain, and updates the gauges. It is called periodically.
func (l *Localizer) Refresh() {
	l.mu.Lock()
	now := l.cfg.Now()
	ended := make(map[string]departures)
	for service, d := range l.leaving {
		if now.Sub(d.last) >= stopAfter {
			ended[service] = *d
			delete(l.leaving, service)
		}
	}
	values := make(map[target]float64)
	for t, s := range l.shares {
		values[t] = s.at(now)
		if now.Sub(s.updatedAt) >= shareMemory {
			delete(l.shares, t)
		}
	}
	for t, e := range l.errors {
		if now.Sub(e.updatedAt) >= shareMemory {
			delete(l.errors, t)
		}
	}
	l.mu.Unlock()
	for t, v := range values {
		l.showShare(t, v)
	}
	for service, d := range ended {
		logger.Info(l.cfg.Logger, "msg", "service stays in its domain", "service", service, "from", l.cfg.Domain, "requests", d.count, "took", d.last.Sub(d.since))
	}
}

func (l *Localizer) showShare(t target, value float64) {
	metrics.GetOrRegisterGaugeFloat64(meter.Name("domain_departure_share", "service", t.service, "domain", t.domain), l.cfg.Registry).Update(value)
}

func (l *Localizer) share(t Trip) *share {
	key := target{t.Service, t.Domain}
	s := l.shares[key]
	if s == nil {
		s = &share{value: startShare, updatedAt: l.cfg.Now()}
		l.shares[key] = s
	}
	return s
}
