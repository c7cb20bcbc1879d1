// Package orderer gives orders to engines, so that each has the versions loaded
// that routes and moves want. The engines of one failure domain are one duty,
// whose epoch is the fencing number of the orders.
//
// Engines that do not check the number are brought to the wanted state by
// repetition: a new holder waits until no order of the old one can be on its
// way, orders the wanted state, and goes on to do so whenever an engine reports
// another.
package orderer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/fetcher"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
)

const (
	// DutyPrefix starts the names of the duties of orders, one a failure
	// domain.
	DutyPrefix = "orders/"

	tickPeriod = 200 * time.Millisecond
	// orderTimeout bounds an order, and takeoverWait is longer than any order
	// that an old holder has begun.
	orderTimeout = 2 * time.Second
	takeoverWait = orderTimeout + 500*time.Millisecond
	// repeatTime is the time after which an order without effect is repeated.
	repeatTime  = 2 * time.Second
	parallelism = 16
	// loadRate and loadBurst bound the loads that one holder orders a second.
	loadRate  = 4
	loadBurst = 4
)

// Engine is the part of an engine that takes orders.
type Engine interface {
	Order(ctx context.Context, o inferrer.Order) error
}

// Config configures an Orderer.
type Config struct {
	View func() viewer.View
	// Wanted returns the versions that engines of the configuration's pools
	// must have, and those that they must not have.
	Wanted func(set loader.Set) (load, unload []string)
	// Held returns a duty that this daemon holds now.
	Held func(duty string) (dutykeeper.Grant, bool)
	// Dial returns the engine at an address.
	Dial func(address string) Engine
	// Fetcher says when the weight store lets a load begin.
	Fetcher  fetcher.Fetcher
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Orderer orders the engines of the failure domains whose duty it holds.
type Orderer struct {
	cfg     Config
	limiter *rate.Limiter

	mu sync.Mutex
	// asserted is the epoch under which an engine was last brought to the
	// wanted state whatever it reported.
	asserted map[string]uint64
	// ordered is when an order was last given.
	ordered map[orderKey]time.Time
	// resume is when the weight store lets loads begin again.
	resume time.Time
}

type orderKey struct {
	endpoint, version string
	kind              inferrer.OrderKind
}

// New returns an orderer.
func New(cfg Config) *Orderer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Orderer{
		cfg: cfg, limiter: rate.NewLimiter(loadRate, loadBurst),
		asserted: make(map[string]uint64), ordered: make(map[orderKey]time.Time),
	}
}

// Duties returns the names of the duties that a configuration gives rise to.
func Duties(set loader.Set) []string {
	var names []string
	for _, p := range set.Pools {
		if name := DutyPrefix + p.Domain; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, o.Tick)
}

// Tick gives the orders that are due.
func (o *Orderer) Tick(ctx context.Context) {
	v := o.cfg.View()
	load, unload := o.cfg.Wanted(v.Set)
	var g errgroup.Group
	g.SetLimit(parallelism)
	for _, e := range v.Endpoints {
		if e.Role != lister.RoleEngine || e.State != viewer.StateAlive {
			continue
		}
		pool, ok := v.Set.Pool(e.Pool)
		duty := DutyPrefix + e.Domain
		grant, held := o.cfg.Held(duty)
		if !ok || !held || o.mustWait(pool, grant) {
			continue
		}
		job := assignment{endpoint: e, duty: duty, epoch: grant.Epoch, orders: plan(v.Set, e, load, unload)}
		g.Go(func() error {
			o.carryOut(ctx, job)
			return nil
		})
	}
	// The orders' own failures are counted and the orders repeated.
	_ = g.Wait()
}

// mustWait reports whether an order of an older holder may still be on its way
// to engines that would obey it. The lease of the old holder has lapsed before
// a new one holds the duty.
func (o *Orderer) mustWait(pool loader.Pool, g dutykeeper.Grant) bool {
	return !pool.Fencing && o.cfg.Now().Sub(g.Since) < takeoverWait
}

// assignment is what one engine is to be brought to.
type assignment struct {
	endpoint viewer.Endpoint
	duty     string
	epoch    uint64
	orders   []inferrer.Order
}

// plan returns the orders that bring an engine of a pool to the wanted state.
func plan(set loader.Set, e viewer.Endpoint, load, unload []string) []inferrer.Order {
	var orders []inferrer.Order
	for _, name := range load {
		v, ok := set.Version(name)
		if ok && v.Model != "" && slices.Contains(v.Pools, e.Pool) {
			orders = append(orders, inferrer.Order{Kind: inferrer.OrderLoad, Version: name, Weights: v.Weights})
		}
	}
	for _, name := range unload {
		if v, ok := set.Version(name); ok && v.Model != "" {
			orders = append(orders, inferrer.Order{Kind: inferrer.OrderUnload, Version: name})
		}
	}
	return orders
}

// carryOut gives an engine the orders whose effect it does not report, and all
// of them once under each new epoch.
func (o *Orderer) carryOut(ctx context.Context, a assignment) {
	o.mu.Lock()
	fresh := o.asserted[a.endpoint.Name] != a.epoch
	o.mu.Unlock()
	whole := true
	for _, order := range a.orders {
		met := slices.Contains(a.endpoint.Versions, order.Version) == (order.Kind == inferrer.OrderLoad)
		if met && !fresh {
			continue
		}
		order.Fence = a.epoch
		whole = o.give(ctx, a, order, met) && whole
	}
	if whole && fresh {
		o.mu.Lock()
		o.asserted[a.endpoint.Name] = a.epoch
		o.mu.Unlock()
	}
}

// give gives one order, unless it was given a short time ago, and reports
// whether the engine took it. The duty is looked at again right before.
func (o *Orderer) give(ctx context.Context, a assignment, order inferrer.Order, met bool) bool {
	now := o.cfg.Now()
	key := orderKey{a.endpoint.Name, order.Version, order.Kind}
	o.mu.Lock()
	recent := now.Sub(o.ordered[key]) < repeatTime
	o.mu.Unlock()
	if recent || order.Kind == inferrer.OrderLoad && !met && !o.mayLoad(ctx, order.Weights) {
		return false
	}
	grant, held := o.cfg.Held(a.duty)
	if !held || grant.Epoch != a.epoch {
		return false
	}
	o.mu.Lock()
	o.ordered[key] = now
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.cfg.Dial(a.endpoint.Address).Order(ctx, order)
	meter.Count(o.cfg.Registry, 1, "engine_orders_total", "kind", string(order.Kind), "result", result(err))
	if err != nil || !met {
		// A logger that fails has nowhere to say so.
		_ = level.Info(o.cfg.Logger).Log("msg", "engine ordered", "endpoint", a.endpoint.Name, "kind", order.Kind,
			"version", order.Version, "fence", order.Fence, "err", err)
	}
	return err == nil
}

func result(err error) string {
	switch {
	case err == nil:
		return "taken"
	case errors.Is(err, inferrer.ErrFenced):
		return "fenced"
	default:
		return "failed"
	}
}

// mayLoad reports whether the weight store lets a load begin now. A store that
// does not answer does not hold loads back: the engine will tell.
func (o *Orderer) mayLoad(ctx context.Context, weights string) bool {
	now := o.cfg.Now()
	o.mu.Lock()
	resume := o.resume
	o.mu.Unlock()
	if now.Before(resume) || !o.limiter.AllowN(now, 1) {
		return false
	}
	_, err := o.cfg.Fetcher.Fetch(ctx, weights)
	var limit *fetcher.LimitError
	if errors.As(err, &limit) {
		meter.Count(o.cfg.Registry, 1, "weight_waits_total")
		o.mu.Lock()
		o.resume = now.Add(limit.RetryAfter)
		o.mu.Unlock()
		return false
	}
	if err != nil {
		meter.Count(o.cfg.Registry, 1, "weight_failures_total")
	}
	return true
}
