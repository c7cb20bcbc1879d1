// Package provisioner rents the cheapest mix of hosts that still meets the
// latency target when the reclaimable hosts of the largest failure domain go.
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
	// firstBackoff and lastBackoff bound how long a refused slot is left alone.
	firstBackoff = 30 * time.Second
	lastBackoff  = 20 * time.Minute
	// saving is the part of the cost that another mix must save for hosts to
	// be exchanged only because of prices.
	saving = 0.1
	// maxRounds bounds how often a step plans again after refusals.
	maxRounds = 8
)

// Config configures a Provisioner.
type Config struct {
	Renter renter.Renter
	// Need returns the capacity that must be left after a loss, in the units
	// of Capacity.
	Need func() float64
	// Capacity is what one host of a class carries within the latency target.
	Capacity map[string]float64
	// Accept, if set, limits the slots that may be rented.
	Accept func(renter.Slot) bool
	// Token starts the client tokens. It must differ between holders of the
	// duty, so that two never take each other's starts for their own.
	Token    string
	Now      func() time.Time
	Period   time.Duration
	Logger   log.Logger
	Registry metrics.Registry
}

// Provisioner rents and returns hosts. It is used by one goroutine.
type Provisioner struct {
	cfg     Config
	backoff map[renter.Slot]refusal
	// unsure holds the starts whose end is not known.
	unsure []renter.Start
	starts int
}

// refusal says until when a slot is left alone.
type refusal struct {
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
	return &Provisioner{cfg: cfg, backoff: make(map[renter.Slot]refusal)}
}

// Run takes a step each period until ctx ends. It is to be run by the holder of
// the duty alone.
func (p *Provisioner) Run(ctx context.Context) error {
	tick := time.NewTicker(p.cfg.Period)
	defer tick.Stop()
	for {
		if err := p.Step(ctx); err != nil && ctx.Err() == nil {
			meter.Count(p.cfg.Registry, 1, "provision_failures_total")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Step compares what is rented with the cheapest mix, starts what is missing and
// returns what is not needed. A host under notice counts as gone, so that its
// replacement starts at the notice.
func (p *Provisioner) Step(ctx context.Context) error {
	offers, err := p.cfg.Renter.Offers(ctx)
	if err != nil {
		return fmt.Errorf("read offers: %w", err)
	}
	if err := p.settle(ctx); err != nil {
		return err
	}
	for range maxRounds {
		again, err := p.round(ctx, offers)
		if err != nil || !again {
			return err
		}
	}
	return nil
}

// settle asks again, with the same token, for starts whose answer was lost.
func (p *Provisioner) settle(ctx context.Context) error {
	for len(p.unsure) > 0 {
		s := p.unsure[0]
		p.unsure = p.unsure[1:]
		if _, err := p.start(ctx, s.Slot, s.Token); err != nil && !errors.Is(err, renter.ErrRefused) {
			return err
		}
	}
	return nil
}

// round plans once, and reports whether a refusal asks for another plan.
func (p *Provisioner) round(ctx context.Context, offers []renter.Offer) (again bool, err error) {
	hosts, err := p.cfg.Renter.Hosts(ctx)
	if err != nil {
		return false, fmt.Errorf("read hosts: %w", err)
	}
	all, open := p.rates(offers)
	have, ready := count(hosts)
	need := p.cfg.Need()
	refused := len(open) < len(all)
	want, ok := cheapest(need, open)
	if refused {
		// What a refused slot still holds is kept, and the rest made up.
		want, ok = complete(have, need, open, all)
	}
	if !ok {
		return false, fmt.Errorf("no mix of the %d offers open now carries %g", len(open), need)
	}
	if survives(have, need, all) && (refused || cost(have, all) <= cost(want, all)*(1+saving)) {
		return false, nil
	}
	for _, r := range all {
		for range want[r.Slot] - have[r.Slot] {
			p.starts++
			_, err := p.start(ctx, r.Slot, fmt.Sprintf("%s-%d", p.cfg.Token, p.starts))
			if errors.Is(err, renter.ErrRefused) {
				return true, nil
			}
			if err != nil {
				return false, err
			}
		}
	}
	return false, p.giveBack(ctx, hosts, want, ready, need, all)
}

// start rents one host, and notes a refusal or an unknown end.
func (p *Provisioner) start(ctx context.Context, slot renter.Slot, token string) (renter.Host, error) {
	h, err := p.cfg.Renter.Start(ctx, renter.Start{Slot: slot, Token: token})
	switch {
	case err == nil:
		delete(p.backoff, slot)
		meter.Count(p.cfg.Registry, 1, "hosts_started_total", "class", slot.Class, "domain", slot.Domain)
		p.log("msg", "host started", "host", h.Name, "class", slot.Class, "domain", slot.Domain, "reclaimable", slot.Reclaimable)
	case errors.Is(err, renter.ErrRefused):
		wait := min(max(2*p.backoff[slot].wait, firstBackoff), lastBackoff)
		p.backoff[slot] = refusal{until: p.cfg.Now().Add(wait), wait: wait}
		meter.Count(p.cfg.Registry, 1, "host_starts_refused_total", "class", slot.Class, "domain", slot.Domain)
	default:
		p.unsure = append(p.unsure, renter.Start{Slot: slot, Token: token})
		meter.Count(p.cfg.Registry, 1, "host_starts_unknown_total")
	}
	return h, err
}

// giveBack stops hosts beyond the plan, as long as those that are ready carry
// the load after a loss without them.
func (p *Provisioner) giveBack(ctx context.Context, hosts []renter.Host, want, ready Plan, need float64, rates []rate) error {
	extra, _ := count(hosts)
	for slot, n := range want {
		extra[slot] -= n
	}
	for _, h := range hosts {
		if extra[h.Slot] <= 0 || !h.LeaveAt.IsZero() {
			continue
		}
		without := ready.clone()
		if h.Ready {
			without[h.Slot]--
		}
		if !survives(without, need, rates) {
			continue
		}
		if err := p.cfg.Renter.Stop(ctx, h.Name); err != nil {
			return fmt.Errorf("stop host %q: %w", h.Name, err)
		}
		p.log("msg", "host given back", "host", h.Name, "class", h.Class, "domain", h.Domain)
		ready = without
		extra[h.Slot]--
	}
	return nil
}

// rates returns the offers that may be used, with their capacities, and those of
// them that are not backed off from.
func (p *Provisioner) rates(offers []renter.Offer) (all, open []rate) {
	now := p.cfg.Now()
	for _, o := range offers {
		capacity := p.cfg.Capacity[o.Class]
		if capacity <= 0 {
			continue
		}
		if p.cfg.Accept != nil && !p.cfg.Accept(o.Slot) {
			continue
		}
		r := rate{Offer: o, capacity: capacity}
		all = append(all, r)
		if !now.Before(p.backoff[o.Slot].until) {
			open = append(open, r)
		}
	}
	return all, open
}

// count returns the hosts without notice, and those of them that are ready.
func count(hosts []renter.Host) (have, ready Plan) {
	have, ready = Plan{}, Plan{}
	for _, h := range hosts {
		if !h.LeaveAt.IsZero() {
			continue
		}
		have[h.Slot]++
		if h.Ready {
			ready[h.Slot]++
		}
	}
	return have, ready
}

func (p *Provisioner) log(fields ...any) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(p.cfg.Logger).Log(fields...)
}
