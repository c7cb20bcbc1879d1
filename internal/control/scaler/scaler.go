// Package scaler orders the endpoints of services from the platform: how many
// in each failure domain, and how many of them reclaimable.
package scaler

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

// ErrRefused says that the platform does not carry out an order, since it has
// no such endpoints at present or since the fencing number is too old.
var ErrRefused = errors.New("order refused")

const (
	// refusedPause is how long a refused order is not repeated.
	refusedPause = 2 * time.Second
	// repeatPeriod is how often an order is given again whose endpoints have
	// not come.
	repeatPeriod = 6 * time.Second
	// shortTime is how long a domain counts as short of reclaimable endpoints
	// after some were taken back or refused.
	shortTime = 5 * time.Second
	// shrinkTime is how long endpoints may leave after fewer were ordered.
	shrinkTime = 10 * time.Second
	// startTime is how long a daemon watches before it orders anything, and a
	// new holder before it orders fewer.
	startTime = 2 * time.Second
)

// Order is a number of endpoints of one kind in one failure domain.
type Order struct {
	Service string
	Domain  string
	Spot    bool
	Count   int
}

// Orderer gives orders to the platform.
type Orderer interface {
	Order(ctx context.Context, f dutykeeper.Fence, o Order) error
}

// Config configures a Scaler.
type Config struct {
	Duty      string
	Keeper    dutykeeper.Holder
	Orderer   Orderer
	Domains   []string
	Catalog   func() *registrar.Catalog
	Endpoints func() *tracker.Snapshot
	// Load returns what is asked of a service at present.
	Load     func(service string) Load
	Logger   log.Logger
	Registry metrics.Registry
}

// Scaler gives orders while this daemon has the duty.
type Scaler struct {
	cfg   Config
	given map[subject]given
	since time.Time
	fence dutykeeper.Fence
	plans map[string]*planner
	// known is when a configuration was first there.
	known time.Time
	// needs is the need of each service that was logged last.
	needs map[string]int
	// short is when reclaimable endpoints were last found missing, lowered when
	// fewer of a subject were last ordered.
	short, lowered map[subject]time.Time
}

// subject is what one order is about.
type subject struct {
	service, domain string
	spot            bool
}

// given is the latest order about a subject.
type given struct {
	count   int
	at      time.Time
	refused bool
}

// New returns a scaler.
func New(cfg Config) *Scaler {
	return &Scaler{
		cfg: cfg, given: make(map[subject]given), plans: make(map[string]*planner),
		needs: make(map[string]int), short: make(map[subject]time.Time), lowered: make(map[subject]time.Time),
	}
}

// Tick orders what has changed.
func (s *Scaler) Tick(ctx context.Context) {
	cat := s.cfg.Catalog()
	if cat == nil {
		return
	}
	now := time.Now()
	if s.known.IsZero() {
		s.known = now
	}
	f, held := s.cfg.Keeper.Fence(s.cfg.Duty)
	if f != s.fence {
		s.fence, s.since = f, now
		clear(s.given)
	}
	for _, svc := range cat.Services {
		if svc.Scaling == nil || svc.Engine == nil {
			continue
		}
		p := s.plans[svc.Name]
		if p == nil {
			p = &planner{}
			s.plans[svc.Name] = p
		}
		present := s.count(svc)
		load := s.cfg.Load(svc.Name)
		targets := p.plan(svc, s.cfg.Domains, present, s.shortOf(svc, now), load, now)
		if !held || now.Sub(s.known) < startTime {
			// A list that is not complete yet must not decide.
			continue
		}
		s.logNeed(svc.Name, p.need, load)
		for _, o := range targets {
			if !s.give(ctx, f, o, present, now) {
				return
			}
		}
	}
}

// count returns the endpoints of a service that take work, by kind and domain.
func (s *Scaler) count(svc registrar.Service) map[subject]int {
	out := make(map[subject]int)
	for _, e := range s.cfg.Endpoints().Services[svc.Name] {
		out[subject{svc.Name, e.Domain, e.Spot}]++
	}
	return out
}

// shortOf returns the domains whose reclaimable endpoints are being taken back
// or were refused lately.
func (s *Scaler) shortOf(svc registrar.Service, now time.Time) map[string]bool {
	for _, e := range s.cfg.Endpoints().All {
		if e.Service == svc.Name && e.Spot && e.Leaving && !s.shrunk(e.Domain, svc, now) {
			s.short[subject{svc.Name, e.Domain, true}] = now
		}
	}
	out := make(map[string]bool)
	for sub, at := range s.short {
		if sub.service == svc.Name && now.Sub(at) < shortTime {
			out[sub.domain] = true
		}
	}
	return out
}

// shrunk reports whether fewer reclaimable endpoints were ordered lately, so
// that leaving ones do not mean that the platform takes them back.
func (s *Scaler) shrunk(domain string, svc registrar.Service, now time.Time) bool {
	at, ok := s.lowered[subject{svc.Name, domain, true}]
	return ok && now.Sub(at) < shrinkTime
}

// give sends one order if it is due, and reports whether the duty is kept.
func (s *Scaler) give(ctx context.Context, f dutykeeper.Fence, o Order, present map[subject]int, now time.Time) bool {
	sub := subject{o.Service, o.Domain, o.Spot}
	last, known := s.given[sub]
	have := present[sub]
	switch {
	case known && last.refused && now.Sub(last.at) < refusedPause:
		return true
	case known && !last.refused && last.count == o.Count && (have >= o.Count || now.Sub(last.at) < repeatPeriod):
		return true
	case !known && have == o.Count:
		return true
	case o.Count < have && now.Sub(s.since) < startTime:
		return true
	}
	if current, ok := s.cfg.Keeper.Fence(s.cfg.Duty); !ok || current != f {
		// Calls before this one took so long that another may have the duty.
		return false
	}
	err := s.cfg.Orderer.Order(ctx, f, o)
	s.given[sub] = given{o.Count, now, err != nil}
	if o.Count < have {
		s.lowered[sub] = now
	}
	if o.Spot && errors.Is(err, ErrRefused) {
		s.short[sub] = now
	}
	s.log("msg", "endpoints ordered", "service", o.Service, "domain", o.Domain, "spot", o.Spot, "count", o.Count, "present", have,
		"fence", f.Number, "error", err)
	meter.Count(s.cfg.Registry, 1, "scale_orders_total")
	if errors.Is(err, dutykeeper.ErrFenced) {
		s.cfg.Keeper.Yield(ctx, s.cfg.Duty)
		return false
	}
	return true
}

// logNeed logs what a service needs when it has changed.
func (s *Scaler) logNeed(service string, need int, l Load) {
	if s.needs[service] == need {
		return
	}
	s.needs[service] = need
	s.log("msg", "endpoints needed", "service", service, "need", need, "prompt_per_second", int(l.Prompt), "pace", int(l.Pace), "running", int(l.Running))
}

func (s *Scaler) log(fields ...any) { logger.Info(s.cfg.Logger, fields...) }
