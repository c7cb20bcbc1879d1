// Package orderer sends orders to engines to load and unload versions, so that each engine has the
// versions that routes and moves want. The orders for the engines of one failure domain are one
// duty; the epoch of the duty is the fencing token of the orders.
//
// Engines that do not check the fencing token are brought to the wanted state by repetition
// (reconciliation): a new holder waits until no order of the old holder can still arrive, orders
// the wanted state, and repeats this whenever an engine reports another state.
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
	// DutyPrefix is the prefix of the duties of orders. There is one duty for each failure domain.
	DutyPrefix = "orders/"

	tickPeriod = 200 * time.Millisecond
	// orderTimeout is the timeout of an order. takeoverWait is longer than any order that an old
	// holder has begun can take.
	orderTimeout = 2 * time.Second
	takeoverWait = orderTimeout + 500*time.Millisecond
	// reorderInterval is the time after which an order without effect is repeated.
	reorderInterval   = 2 * time.Second
	maxParallelOrders = 16
	// loadsPerSecond and loadBurst limit the loads that one holder orders (token bucket).
	loadsPerSecond = 4
	loadBurst      = 4
)

// Engine is the part of the interface of an engine that accepts orders.
type Engine interface {
	Order(ctx context.Context, o inferrer.Order) error
}

// Config configures an Orderer.
type Config struct {
	View func() viewer.View
	// WantedVersions returns the versions that engines of the configuration's pools must load, and
	// those that they must unload.
	WantedVersions func(set loader.Set) (load, unload []string)
	// HeldGrant returns the grant of a duty and whether this daemon holds the duty.
	HeldGrant func(duty string) (dutykeeper.Grant, bool)
	// Dial returns a client of the engine at an address.
	Dial func(address string) Engine
	// Fetcher asks the weight store whether a load may begin.
	Fetcher  fetcher.Fetcher
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Orderer sends orders to the engines of the failure domains whose duty this daemon holds.
type Orderer struct {
	cfg     Config
	limiter *rate.Limiter

	mu sync.Mutex
	// assertedEpochs holds, for each engine, the epoch under which all orders were last sent
	// regardless of the state that the engine reported.
	assertedEpochs map[string]uint64
	// lastOrdered is when each order was last sent.
	lastOrdered map[orderKey]time.Time
	// resumeLoadsAt is when the weight store allows loads again.
	resumeLoadsAt time.Time
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
		cfg: cfg, limiter: rate.NewLimiter(loadsPerSecond, loadBurst),
		assertedEpochs: make(map[string]uint64), lastOrdered: make(map[orderKey]time.Time),
	}
}

// Duties returns the names of the duties of a configuration, one for each failure domain of its
// pools.
func Duties(set loader.Set) []string {
	var names []string
	for _, p := range set.Pools {
		if name := DutyPrefix + p.Domain; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Run sends the orders that are due until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, o.Tick)
}

// Tick sends the orders that are due.
func (o *Orderer) Tick(ctx context.Context) {
	v := o.cfg.View()
	load, unload := o.cfg.WantedVersions(v.Set)
	var g errgroup.Group
	g.SetLimit(maxParallelOrders)
	for _, e := range v.Endpoints {
		if e.Role != lister.RoleEngine || e.State != viewer.StateAlive || e.Evacuated {
			continue
		}
		pool, ok := v.Set.Pool(e.Pool)
		duty := DutyPrefix + e.Domain
		grant, held := o.cfg.HeldGrant(duty)
		if !ok || !held || o.mustWaitForOldOrders(pool, grant) {
			continue
		}
		job := assignment{endpoint: e, duty: duty, epoch: grant.Epoch, orders: planOrders(v.Set, e, load, unload)}
		g.Go(func() error {
			o.sendOrders(ctx, job)
			return nil
		})
	}
	// sendOrders counts failed orders, and a later tick repeats them; the functions return no
	// error.
	_ = g.Wait()
}

// mustWaitForOldOrders reports whether an order of the old holder may still arrive at engines that
// would obey it. A new holder gets the duty only after the lease of the old holder has expired.
func (o *Orderer) mustWaitForOldOrders(pool loader.Pool, g dutykeeper.Grant) bool {
	return !pool.Fencing && o.cfg.Now().Sub(g.AcquiredAt) < takeoverWait
}

// assignment is the list of orders for one engine under one epoch of a duty.
type assignment struct {
	endpoint viewer.Endpoint
	duty     string
	epoch    uint64
	orders   []inferrer.Order
}

// planOrders returns the orders that bring an engine of a pool to the wanted state.
func planOrders(set loader.Set, e viewer.Endpoint, load, unload []string) []inferrer.Order {
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

// sendOrders sends an engine the orders whose effect the engine does not report, and once under
// each new epoch all of them.
func (o *Orderer) sendOrders(ctx context.Context, a assignment) {
	o.mu.Lock()
	isNewEpoch := o.assertedEpochs[a.endpoint.Name] != a.epoch
	o.mu.Unlock()
	allAccepted := true
	for _, order := range a.orders {
		inEffect := slices.Contains(a.endpoint.Versions, order.Version) == (order.Kind == inferrer.OrderLoad)
		if inEffect && !isNewEpoch {
			continue
		}
		order.Fence = a.epoch
		allAccepted = o.sendOrder(ctx, a, order, inEffect) && allAccepted
	}
	if allAccepted && isNewEpoch {
		o.mu.Lock()
		o.assertedEpochs[a.endpoint.Name] = a.epoch
		o.mu.Unlock()
	}
}

// sendOrder sends one order, unless the same order was sent within reorderInterval, and reports
// whether the engine accepted it. It checks again that this daemon still holds the duty just before
// it sends.
func (o *Orderer) sendOrder(ctx context.Context, a assignment, order inferrer.Order, inEffect bool) bool {
	now := o.cfg.Now()
	key := orderKey{a.endpoint.Name, order.Version, order.Kind}
	o.mu.Lock()
	recent := now.Sub(o.lastOrdered[key]) < reorderInterval
	o.mu.Unlock()
	if recent || order.Kind == inferrer.OrderLoad && !inEffect && !o.allowLoad(ctx, order.Weights) {
		return false
	}
	grant, held := o.cfg.HeldGrant(a.duty)
	if !held || grant.Epoch != a.epoch {
		return false
	}
	o.mu.Lock()
	o.lastOrdered[key] = now
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.cfg.Dial(a.endpoint.Address).Order(ctx, order)
	meter.AddToCounter(o.cfg.Registry, 1, "engine_orders_total", "kind", string(order.Kind), "result", orderResult(err))
	if err != nil || !inEffect {
		// The error of the logger itself cannot be logged.
		_ = level.Info(o.cfg.Logger).Log("msg", "order sent to engine", "endpoint", a.endpoint.Name, "kind", order.Kind,
			"version", order.Version, "fence", order.Fence, "err", err)
	}
	return err == nil
}

func orderResult(err error) string {
	switch {
	case err == nil:
		return "taken"
	case errors.Is(err, inferrer.ErrFenced):
		return "fenced"
	default:
		return "failed"
	}
}

// allowLoad reports whether a load may begin now, and takes a token of the rate limit. A weight
// store that does not answer does not prevent loads: the engine then reports whether the load
// succeeded.
func (o *Orderer) allowLoad(ctx context.Context, weights string) bool {
	now := o.cfg.Now()
	o.mu.Lock()
	resumeLoadsAt := o.resumeLoadsAt
	o.mu.Unlock()
	if now.Before(resumeLoadsAt) || !o.limiter.AllowN(now, 1) {
		return false
	}
	_, err := o.cfg.Fetcher.Fetch(ctx, weights)
	var limit *fetcher.LimitError
	if errors.As(err, &limit) {
		meter.AddToCounter(o.cfg.Registry, 1, "weight_waits_total")
		o.mu.Lock()
		o.resumeLoadsAt = now.Add(limit.RetryAfter)
		o.mu.Unlock()
		return false
	}
	if err != nil {
		meter.AddToCounter(o.cfg.Registry, 1, "weight_failures_total")
	}
	return true
}
