// Package provisioner rents the cheapest mix of hosts that still meets the latency target when the
// largest failure domain loses its reclaimable hosts.
package provisioner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/renter"
)

const (
	defaultPeriod = 5 * time.Second
	// minBackoff and maxBackoff limit the exponential backoff after a refused start in a slot.
	minBackoff = 30 * time.Second
	maxBackoff = 20 * time.Minute
	// minSaving is the fraction of the cost that another mix must save for hosts to be exchanged
	// only because of prices.
	minSaving = 0.1
	// maxPlanRounds limits how often a step plans again after refusals.
	maxPlanRounds = 8
)

// Config configures a Provisioner.
type Config struct {
	Renter renter.Renter
	// RequiredCapacity returns the capacity that must remain after the loss of a failure domain, in
	// the units of HostCapacity.
	RequiredCapacity func() float64
	// HostCapacity is the load that one host of a class carries within the latency target.
	HostCapacity map[string]float64
	// AcceptSlot, if set, limits the slots that may be rented.
	AcceptSlot func(renter.HostType) bool
	// IsEvacuated, if set, reports whether the evacuation of a failure domain is requested. No hosts
	// are rented there; those that run there count as missing and are left to end their requests.
	IsEvacuated func(domain string) bool
	// TokenPrefix starts the client tokens, which make starts idempotent. It must differ between
	// holders of the duty, so that no holder takes the starts of another for its own.
	TokenPrefix string
	Now         func() time.Time
	Period      time.Duration
	Logger      log.Logger
	Registry    metrics.Registry
}

// Provisioner rents and stops hosts. It must be used by one goroutine only.
type Provisioner struct {
	cfg     Config
	backoff map[renter.HostType]slotBackoff
	// unresolvedStarts holds the starts whose result is unknown.
	unresolvedStarts []renter.Start
	startCount       int
}

// slotBackoff says until when a slot is not tried again after a refusal.
type slotBackoff struct {
	until time.Time
	wait  time.Duration
}

// New returns a provisioner.
func New(cfg Config) *Provisioner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.IsEvacuated == nil {
		cfg.IsEvacuated = func(string) bool { return false }
	}
	return &Provisioner{cfg: cfg, backoff: make(map[renter.HostType]slotBackoff)}
}

// Run takes a step each period until ctx ends. Only the holder of the duty may call it.
func (p *Provisioner) Run(ctx context.Context) error {
	tick := time.NewTicker(p.cfg.Period)
	defer tick.Stop()
	for {
		if err := p.Step(ctx); err != nil && ctx.Err() == nil {
			meter.AddToCounter(p.cfg.Registry, 1, "provision_failures_total")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Step compares the rented hosts with the cheapest mix, starts hosts that are missing and stops
// those that are not needed. A host under notice counts as gone, so that its replacement starts
// when the notice arrives.
func (p *Provisioner) Step(ctx context.Context) error {
	offers, err := p.cfg.Renter.Offers(ctx)
	if err != nil {
		return fmt.Errorf("read offers: %w", err)
	}
	if err := p.resolveStarts(ctx); err != nil {
		return err
	}
	for range maxPlanRounds {
		again, err := p.runRound(ctx, offers)
		if err != nil || !again {
			return err
		}
	}
	return nil
}

// resolveStarts repeats, with the same token, the starts whose answer was lost. Those in an evacuated
// failure domain wait until it is back, since a repeated start may rent a host.
func (p *Provisioner) resolveStarts(ctx context.Context) error {
	starts := p.unresolvedStarts
	p.unresolvedStarts = nil
	for i, s := range starts {
		if p.cfg.IsEvacuated(s.Domain) {
			p.unresolvedStarts = append(p.unresolvedStarts, s)
			continue
		}
		if _, err := p.startHost(ctx, s.HostType, s.Token); err != nil && !errors.Is(err, renter.ErrRefused) {
			p.unresolvedStarts = append(p.unresolvedStarts, starts[i+1:]...)
			return err
		}
	}
	return nil
}

// runRound plans once and applies the plan. It reports whether a refusal requires another plan.
func (p *Provisioner) runRound(ctx context.Context, offers []renter.Offer) (again bool, err error) {
	hosts, err := p.cfg.Renter.Hosts(ctx)
	if err != nil {
		return false, fmt.Errorf("read hosts: %w", err)
	}
	all, open := p.usableOffers(offers)
	have, ready := countHosts(hosts)
	need := p.cfg.RequiredCapacity()
	refused := len(open) < len(all)
	want, ok := cheapestPlan(need, open)
	if refused {
		// Hosts in refused slots are kept, and other slots supply the missing capacity.
		want, ok = completePlan(have, need, open, all)
	}
	if !ok {
		return false, fmt.Errorf("no mix of the %d available offers reaches a capacity of %g", len(open), need)
	}
	if survivesDomainLoss(have, need, all) && (refused || planCost(have, all) <= planCost(want, all)*(1+minSaving)) {
		return false, nil
	}
	for _, r := range all {
		for range want[r.HostType] - have[r.HostType] {
			p.startCount++
			_, err := p.startHost(ctx, r.HostType, fmt.Sprintf("%s-%d", p.cfg.TokenPrefix, p.startCount))
			if errors.Is(err, renter.ErrRefused) {
				return true, nil
			}
			if err != nil {
				return false, err
			}
		}
	}
	return false, p.stopExtraHosts(ctx, hosts, want, ready, need, all)
}

// startHost rents one host. It records a refusal or an unknown result.
func (p *Provisioner) startHost(ctx context.Context, slot renter.HostType, token string) (renter.Host, error) {
	h, err := p.cfg.Renter.Start(ctx, renter.Start{HostType: slot, Token: token})
	switch {
	case err == nil:
		delete(p.backoff, slot)
		meter.AddToCounter(p.cfg.Registry, 1, "hosts_started_total", "class", slot.Class, "domain", slot.Domain)
		p.log("msg", "host started", "host", h.Name, "class", slot.Class, "domain", slot.Domain, "reclaimable", slot.Reclaimable)
	case errors.Is(err, renter.ErrRefused):
		wait := min(max(2*p.backoff[slot].wait, minBackoff), maxBackoff)
		p.backoff[slot] = slotBackoff{until: p.cfg.Now().Add(wait), wait: wait}
		meter.AddToCounter(p.cfg.Registry, 1, "host_starts_refused_total", "class", slot.Class, "domain", slot.Domain)
	default:
		p.unresolvedStarts = append(p.unresolvedStarts, renter.Start{HostType: slot, Token: token})
		meter.AddToCounter(p.cfg.Registry, 1, "host_starts_unknown_total")
	}
	return h, err
}

// stopExtraHosts stops hosts beyond the plan, as long as the ready hosts without them still carry
// the load after the loss of a failure domain.
func (p *Provisioner) stopExtraHosts(ctx context.Context, hosts []renter.Host, want, ready Plan, need float64, offers []capacityOffer) error {
	extra, _ := countHosts(hosts)
	for slot, n := range want {
		extra[slot] -= n
	}
	for _, h := range hosts {
		if extra[h.HostType] <= 0 || !h.LeaveAt.IsZero() || p.cfg.IsEvacuated(h.Domain) {
			continue
		}
		without := ready.clone()
		if h.Ready {
			without[h.HostType]--
		}
		if !survivesDomainLoss(without, need, offers) {
			continue
		}
		if err := p.cfg.Renter.Stop(ctx, h.Name); err != nil {
			return fmt.Errorf("stop host %q: %w", h.Name, err)
		}
		p.log("msg", "host stopped", "host", h.Name, "class", h.Class, "domain", h.Domain)
		ready = without
		extra[h.HostType]--
	}
	return nil
}

// usableOffers returns the offers that may be used, with their capacities, and those of them that
// are not in backoff.
func (p *Provisioner) usableOffers(offers []renter.Offer) (all, open []capacityOffer) {
	now := p.cfg.Now()
	for _, o := range offers {
		capacity := p.cfg.HostCapacity[o.Class]
		if capacity <= 0 {
			continue
		}
		if p.cfg.IsEvacuated(o.Domain) {
			continue
		}
		if p.cfg.AcceptSlot != nil && !p.cfg.AcceptSlot(o.HostType) {
			continue
		}
		r := capacityOffer{Offer: o, capacity: capacity}
		all = append(all, r)
		if !now.Before(p.backoff[o.HostType].until) {
			open = append(open, r)
		}
	}
	return all, open
}

// countHosts returns the number of hosts without notice by slot, and of those of them that are
// ready.
func countHosts(hosts []renter.Host) (have, ready Plan) {
	have, ready = Plan{}, Plan{}
	for _, h := range hosts {
		if !h.LeaveAt.IsZero() {
			continue
		}
		have[h.HostType]++
		if h.Ready {
			ready[h.HostType]++
		}
	}
	return have, ready
}

func (p *Provisioner) log(fields ...any) {
	// The error of the logger itself cannot be logged.
	_ = level.Info(p.cfg.Logger).Log(fields...)
}
