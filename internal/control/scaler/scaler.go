// Package scaler is the autoscaler of services: it orders from the platform how many endpoints each
// service has in each failure domain, and how many of them are reclaimable (spot).
package scaler

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

// ErrRefused is returned when the platform does not carry out an order, because it has no such
// endpoints at present or because the fencing number is too old.
var ErrRefused = errors.New("order refused")

const (
	// refusalBackoff is the time after a failed order before the scaler repeats it.
	refusalBackoff = 2 * time.Second
	// reorderInterval is the time after which the scaler repeats an order whose endpoints have not
	// appeared.
	reorderInterval = 6 * time.Second
	// shortageDuration is how long a domain is treated as having no reclaimable endpoints after the
	// platform reclaimed some or refused an order for them.
	shortageDuration = 5 * time.Second
	// shrinkGracePeriod is how long after an order for fewer endpoints a leaving endpoint is
	// attributed to that order.
	shrinkGracePeriod = 10 * time.Second
	// startupDelay is how long a daemon observes the endpoints before its first order, and how long
	// a new holder of the duty waits before it orders fewer.
	startupDelay = 2 * time.Second
	// moveStartDelay is how long after the order of a move between releases the endpoints of the new
	// release may not have announced themselves. Any order would count them as surplus.
	moveStartDelay = 3 * time.Second
)

// Order sets the number of endpoints of one service and kind in one failure domain.
type Order struct {
	Service string
	Domain  string
	Spot    bool
	Count   int
}

// Orderer sends orders to the platform.
type Orderer interface {
	Order(ctx context.Context, f dutykeeper.Fence, o Order) error
}

// Config configures a Scaler.
type Config struct {
	DutyName  string
	Keeper    dutykeeper.FenceProvider
	Orderer   Orderer
	Domains   []string
	Catalog   func() *registrar.Catalog
	Endpoints func() *tracker.Snapshot
	// Load returns the current load of a service.
	Load func(service string) Load
	// IdleRelease returns a function that reports whether the endpoints of a release do not serve
	// the service's load, as both releases have endpoints while the service moves between them, and
	// the age of the move. The function is nil without a move.
	IdleRelease func(service string) (isIdle func(release string) bool, age time.Duration)
	// Policies says which policies are on.
	Policies switcher.Policies
	Logger   log.Logger
	Registry metrics.Registry
}

// Scaler sends orders while this daemon holds the duty.
type Scaler struct {
	cfg       Config
	lastOrder map[endpointGroup]lastOrder
	dutySince time.Time
	fence     dutykeeper.Fence
	planners  map[string]*planner
	// configuredAt is when the scaler first had a configuration.
	configuredAt time.Time
	// loggedNeeds is the need of each service that was last logged.
	loggedNeeds map[string]Need
	// shortageAt is when more endpoints of a group were last found unavailable.
	shortageAt map[endpointGroup]time.Time
	// reductions holds the latest orders for fewer endpoints.
	reductions  map[endpointGroup]reduction
	evacuations map[string]serviceEvacuation
}

// endpointGroup identifies the endpoints of one service, failure domain and kind. An order sets the
// size of one group.
type endpointGroup struct {
	service, domain string
	spot            bool
}

func (o Order) endpointGroup() endpointGroup { return endpointGroup{o.Service, o.Domain, o.Spot} }

// lastOrder is the latest order for an endpoint group.
type lastOrder struct {
	count     int
	orderedAt time.Time
	failed    bool
}

// New returns a scaler.
func New(cfg Config) *Scaler {
	return &Scaler{
		cfg: cfg, lastOrder: make(map[endpointGroup]lastOrder), planners: make(map[string]*planner),
		loggedNeeds: make(map[string]Need), shortageAt: make(map[endpointGroup]time.Time),
		reductions: make(map[endpointGroup]reduction), evacuations: make(map[string]serviceEvacuation),
	}
}

// Tick plans each service with scaling and sends the orders that are due.
func (s *Scaler) Tick(ctx context.Context) {
	cat := s.cfg.Catalog()
	if cat == nil {
		return
	}
	now := time.Now()
	if s.configuredAt.IsZero() {
		s.configuredAt = now
	}
	f, held := s.cfg.Keeper.Fence(s.cfg.DutyName)
	if f != s.fence {
		s.fence, s.dutySince = f, now
		clear(s.lastOrder)
	}
	for _, svc := range cat.Services {
		if svc.Scaling == nil || svc.Engine == nil {
			continue
		}
		p := s.planners[svc.Name]
		if p == nil {
			p = &planner{policies: s.cfg.Policies}
			s.planners[svc.Name] = p
		}
		if !s.scaleService(ctx, f, svc, p, held, now) {
			return
		}
	}
}

// scaleService plans one service and sends the orders that are due. It reports whether the other
// services may be planned too: this daemon still holds the duty, or never sent an order.
func (s *Scaler) scaleService(ctx context.Context, f dutykeeper.Fence, svc registrar.Service, p *planner, held bool, now time.Time) bool {
	isIdle, moveAge := s.cfg.IdleRelease(svc.Name)
	snap := s.cfg.Endpoints()
	open := s.openDomains(svc.Name, snap, now)
	present, idle := countEndpoints(snap, svc, isIdle)
	load := s.cfg.Load(svc.Name)
	s.noteReclaims(svc.Name, snap, held, now)
	p.updateNeed(svc, present, load, now)
	if !held || now.Sub(s.configuredAt) < startupDelay || !p.hasInitialCount {
		// The list of endpoints may still be incomplete, so no order is based on it.
		return true
	}
	s.logNeed(svc.Name, p.endpointNeed(), load, p.expected)
	if isIdle != nil && (moveAge < moveStartDelay || sumByGroup(present) >= p.desired.n) {
		return true
	}
	// Each round finds out which domains have no more endpoints, and orders the rest elsewhere.
	for range len(open) + 1 {
		targets := p.spread(svc, open, present, s.availability(svc, now))
		if isIdle != nil {
			targets = growthBeside(targets, present, idle)
		}
		targets = s.retainReplacements(svc.Name, targets, present, p.required.n, now)
		kept, refused := s.sendDueOrders(ctx, f, targets, present, p.required.n, now)
		if !kept || !refused {
			return kept
		}
	}
	return true
}

// availability returns what is known of the endpoints that the platform has for a service.
func (s *Scaler) availability(svc registrar.Service, now time.Time) availability {
	out := availability{shortSpot: s.shortDomains(svc.Name, true, now)}
	if s.cfg.Policies.IsOn(switcher.Elsewhere) {
		out.shortOnDemand, out.starting = s.shortDomains(svc.Name, false, now), s.countStarting(svc, now)
	}
	return out
}

// countEndpoints returns the numbers of endpoints of a service that accept requests, by endpoint
// group, and apart from these the numbers of those that isIdle names by their release.
func countEndpoints(snap *tracker.Snapshot, svc registrar.Service, isIdle func(release string) bool) (serving, idle map[endpointGroup]int) {
	serving, idle = make(map[endpointGroup]int), make(map[endpointGroup]int)
	for _, e := range snap.Services[svc.Name] {
		counts := serving
		if isIdle != nil && isIdle(e.Version) {
			counts = idle
		}
		counts[endpointGroup{svc.Name, e.Domain, e.Spot}]++
	}
	return serving, idle
}

// growthBeside returns the orders that raise a group's number of endpoints, each for the idle ones
// as well, since the platform would take away what exceeds the ordered number.
func growthBeside(orders []Order, serving, idle map[endpointGroup]int) []Order {
	var out []Order
	for _, o := range orders {
		if group := o.endpointGroup(); o.Count > serving[group] {
			o.Count += idle[group]
			out = append(out, o)
		}
	}
	return out
}

// sendDueOrders sends the orders that are due concurrently, since a call without an answer must not
// delay the others. It reports whether this daemon still holds the duty, and whether the platform refused
// endpoints that may be ordered elsewhere.
func (s *Scaler) sendDueOrders(ctx context.Context, f dutykeeper.Fence, orders []Order, present map[endpointGroup]int, required int, now time.Time) (kept, refused bool) {
	var due []Order
	for _, o := range orders {
		if s.isDue(o, present, required, now) {
			due = append(due, o)
		}
	}
	errs := make([]error, len(due))
	var g errgroup.Group
	for i, o := range due {
		g.Go(func() error {
			errs[i] = s.sendOrder(ctx, f, o)
			return nil
		})
	}
	// The functions return no error: errs holds one for each order.
	_ = g.Wait()
	kept = true
	fenced := false
	for i, o := range due {
		if errors.Is(errs[i], errDutyLost) {
			kept = false
			continue
		}
		s.recordOrder(f, o, present[o.endpointGroup()], errs[i], now)
		refused = s.noteRefusal(o.endpointGroup(), errs[i], now) || refused
		fenced = fenced || errors.Is(errs[i], dutykeeper.ErrFenced)
	}
	if fenced {
		s.cfg.Keeper.YieldDuty(ctx, s.cfg.DutyName)
	}
	return kept && !fenced, refused
}

// isDue reports whether to send an order now. The service must keep at least the required number of
// endpoints.
func (s *Scaler) isDue(o Order, present map[endpointGroup]int, required int, now time.Time) bool {
	last, known := s.lastOrder[o.endpointGroup()]
	have := present[o.endpointGroup()]
	switch {
	case known && last.failed && now.Sub(last.orderedAt) < refusalBackoff:
		return false
	case known && !last.failed && last.count == o.Count && (have >= o.Count || now.Sub(last.orderedAt) < reorderInterval):
		return false
	case !known && have == o.Count:
		return false
	case o.Count < have && now.Sub(s.dutySince) < startupDelay:
		return false
	case o.Count < have && !o.Spot && sumByGroup(present)-(have-o.Count) < required:
		// The endpoints that replace these are not present yet.
		return false
	}
	return true
}

// errDutyLost is returned when this daemon lost the duty before it sent an order.
var errDutyLost = errors.New("duty lost before the order was sent")

// sendOrder sends one order if this daemon still holds the duty under the same fence.
func (s *Scaler) sendOrder(ctx context.Context, f dutykeeper.Fence, o Order) error {
	if current, ok := s.cfg.Keeper.Fence(s.cfg.DutyName); !ok || current != f {
		return errDutyLost
	}
	return s.cfg.Orderer.Order(ctx, f, o)
}

// recordOrder records and logs the result of an order.
func (s *Scaler) recordOrder(f dutykeeper.Fence, o Order, have int, err error, now time.Time) {
	group := o.endpointGroup()
	s.lastOrder[group] = lastOrder{o.Count, now, err != nil}
	if o.Count < have {
		s.recordReduction(group, have-o.Count, now)
	}
	s.log("msg", "endpoints ordered", "service", o.Service, "domain", o.Domain, "spot", o.Spot, "count", o.Count, "present", have,
		"fence", f.Token, "error", err)
	meter.AddToCounter(s.cfg.Registry, 1, "scale_orders_total")
	if errors.Is(err, ErrRefused) {
		meter.AddToCounter(s.cfg.Registry, 1, "scale_refusals_total")
	}
}

// logNeed logs the need of a service if it has changed.
func (s *Scaler) logNeed(service string, need Need, l, expected Load) {
	if s.loggedNeeds[service] == need {
		return
	}
	s.loggedNeeds[service] = need
	s.log("msg", "endpoints needed", "service", service, "wanted", need.Desired, "least", need.Required, "prompt_per_second", int(l.PromptRate), "trend", int(l.PromptTrend), "expected", int(expected.PromptRate), "steady", int(l.SteadyPromptRate), "pace", int(l.PrefillRate), "running", int(l.RequestsInFlight))
}

func (s *Scaler) log(fields ...any) { logger.Info(s.cfg.Logger, fields...) }
