// Package controller owns the control state of a daemon: the configuration, the hosts, the load
// reports of endpoints and the members of the fleet. One goroutine applies events to the state,
// one at a time, and publishes the result as an immutable view.
package controller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/evacuator"
	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/lister"
)

const (
	eventQueueSize = 256
	// hostListPeriod is the time between two reads of a host list of up to hostsPerListPeriod
	// hosts. For longer lists it grows in proportion, which limits the bytes read per second.
	// It suffices that one daemon reads that a host is leaving, since gossip spreads this to all.
	hostListPeriod     = time.Second
	hostsPerListPeriod = 40
	// hostListJitter is the fraction of the period by which it varies at random, so that daemons
	// read at different times.
	hostListJitter       = 0.2
	suspectAfterFailures = 4
)

// Config configures a Controller.
type Config struct {
	// CurrentView receives each new view.
	CurrentView *viewer.CurrentView
	// Lister returns the hosts.
	Lister lister.Lister
	// MoveShares returns, by route, the version shares by which moves replace the configured ones;
	// nil replaces none.
	MoveShares func(loader.Set) map[string][]loader.Share
	// OnAdopted is called with each release that came into force at this daemon.
	OnAdopted func(publisher.Release)
	// OnEvacuations is called with each set of evacuations that came into force at this daemon.
	OnEvacuations func(evacuator.Set)
	Logger        log.Logger
	Registry      metrics.Registry
}

// event is a change of the control state, which the goroutine of Run applies.
type event interface {
	apply(c *Controller)
}

// Controller owns the control state of one daemon.
type Controller struct {
	cfg    Config
	events chan event

	// Only the goroutine of Run may access the fields below.
	release          publisher.Release
	set              loader.Set
	evacuations      evacuator.Set
	hosts            []lister.Host
	reports          map[string]endpointReport
	members          []viewer.Member
	leavingEndpoints map[string]bool
	// suspected holds the endpoints that were suspected in the last view.
	suspected map[string]bool
}

// endpointReport is the latest load report of an endpoint, with the number of failed reports
// since the last one that succeeded.
type endpointReport struct {
	prober.Report
	failedReports int
}

// New returns a controller; events wait in a queue until Run applies them.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, events: make(chan event, eventQueueSize),
		reports: make(map[string]endpointReport), leavingEndpoints: make(map[string]bool), suspected: make(map[string]bool),
	}
}

// Run applies events until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			e.apply(c)
			c.publishView()
		}
	}
}

// RunHosts reads the host list periodically until ctx ends. The latest list stays in force while
// the platform does not answer.
func (c *Controller) RunHosts(ctx context.Context) error {
	known := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		hosts, err := c.cfg.Lister.Hosts(ctx)
		if err != nil {
			meter.AddToCounter(c.cfg.Registry, 1, "host_list_failures_total")
		} else {
			known = len(hosts)
			c.enqueue(ctx, hostsEvent(hosts))
		}
		timer.Reset(hostListDelay(known, rand.Float64()))
	}
}

// hostListDelay returns the time until the next read of a list of n hosts; at, a random number
// from 0 to 1, selects the delay within the range of the jitter.
func hostListDelay(n int, at float64) time.Duration {
	period := hostListPeriod * time.Duration(max(n, hostsPerListPeriod)) / hostsPerListPeriod
	return time.Duration(float64(period) * (1 + hostListJitter*(at-0.5)))
}

// OfferRelease offers a release, which comes into force if it is newer than the current one.
func (c *Controller) OfferRelease(ctx context.Context, r publisher.Release) {
	c.enqueue(ctx, releaseEvent(r))
}

// SetReports records the load reports of one round of probes.
func (c *Controller) SetReports(ctx context.Context, reports []prober.Report) {
	c.enqueue(ctx, reportsEvent(reports))
}

// SetMembers replaces the members, which are known by gossip.
func (c *Controller) SetMembers(ctx context.Context, members []viewer.Member) {
	c.enqueue(ctx, membersEvent(members))
}

// SetLeaving marks an endpoint as leaving, which lasts until the host list no longer holds it.
func (c *Controller) SetLeaving(ctx context.Context, endpoint string) {
	c.enqueue(ctx, leavingEvent(endpoint))
}

// RefreshView publishes a new view with the version shares that moves have now.
func (c *Controller) RefreshView(ctx context.Context) { c.enqueue(ctx, refreshEvent{}) }

func (c *Controller) enqueue(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

type (
	releaseEvent publisher.Release
	hostsEvent   []lister.Host
	reportsEvent []prober.Report
	membersEvent []viewer.Member
	leavingEvent string
	refreshEvent struct{}
)

func (e releaseEvent) apply(c *Controller) {
	r := publisher.Release(e)
	if c.release.IsNewer(r) {
		meter.AddToCounter(c.cfg.Registry, 1, "config_stale_total")
		return
	}
	if !r.IsNewer(c.release) {
		return
	}
	set, err := r.ParseConfig()
	if err != nil {
		c.log("msg", "configuration is invalid, not adopted", "generation", r.Generation, "err", err)
		return
	}
	c.release, c.set = r, set
	metrics.GetOrRegisterGauge("config_generation", c.cfg.Registry).Update(int64(r.Generation))
	c.log("msg", "configuration in force", "generation", r.Generation)
	if c.cfg.OnAdopted != nil {
		c.cfg.OnAdopted(r)
	}
}

func (e hostsEvent) apply(c *Controller) {
	c.hosts = e
	listed := make(map[string]bool)
	for _, h := range e {
		listed[h.Name] = true
	}
	for name := range c.leavingEndpoints {
		if !listed[name] {
			delete(c.leavingEndpoints, name)
		}
	}
	for name := range c.reports {
		if !listed[name] {
			delete(c.reports, name)
		}
	}
}

func (e reportsEvent) apply(c *Controller) {
	for _, r := range e {
		old := c.reports[r.Endpoint]
		next := endpointReport{Report: r}
		if r.Err != nil {
			next.Load = old.Load
			next.At = old.At
			next.failedReports = max(old.failedReports+1, r.Misses)
		}
		c.reports[r.Endpoint] = next
		if r.Load.Leaving {
			leavingEvent(r.Endpoint).apply(c)
		}
	}
}

func (e membersEvent) apply(c *Controller) { c.members = e }

func (e leavingEvent) apply(c *Controller) {
	if !c.leavingEndpoints[string(e)] {
		c.log("msg", "endpoint leaving", "endpoint", string(e))
	}
	c.leavingEndpoints[string(e)] = true
}

// apply changes nothing, since Run publishes a new view after every event.
func (refreshEvent) apply(*Controller) {}

func (c *Controller) log(fields ...any) {
	// There is nowhere to report that logging fails.
	_ = level.Info(c.cfg.Logger).Log(fields...)
}

func (c *Controller) publishView() {
	endpoints := c.buildEndpoints()
	c.logSuspicions(endpoints)
	v := viewer.View{}.
		WithConfig(c.release.Generation, c.set).
		WithEndpoints(endpoints).
		WithMembers(c.members).
		WithEntryPeers(c.entryAddresses()).
		WithEvacuations(c.evacuations.Domains)
	if c.cfg.MoveShares != nil {
		v = v.WithMoveShares(c.cfg.MoveShares(c.set))
	}
	c.cfg.CurrentView.Store(v)
}

// logSuspicions logs each endpoint that gets no more requests because its load reports fail, and
// each one that gets requests again.
func (c *Controller) logSuspicions(endpoints []viewer.Endpoint) {
	suspected := make(map[string]bool)
	for _, e := range endpoints {
		isSuspected := e.State == viewer.StateSuspected
		switch {
		case isSuspected && !c.suspected[e.Name]:
			r := c.reports[e.Name]
			c.log("msg", "endpoint suspected", "endpoint", e.Name, "failed_reports", r.failedReports, "last", r.At, "err", r.Err)
		case c.suspected[e.Name] && e.State == viewer.StateAlive:
			c.log("msg", "endpoint alive again", "endpoint", e.Name)
		}
		if isSuspected {
			suspected[e.Name] = true
		}
	}
	c.suspected = suspected
}

// entryAddresses returns the addresses of live entry hosts, by which a daemon can reach daemons
// that gossip has not announced yet.
func (c *Controller) entryAddresses() []string {
	var out []string
	for _, h := range c.hosts {
		if h.Role == lister.RoleEntry && h.State == lister.StateLive {
			out = append(out, h.Address)
		}
	}
	return out
}

func (c *Controller) buildEndpoints() []viewer.Endpoint {
	var out []viewer.Endpoint
	for _, h := range c.hosts {
		if h.Role == lister.RoleEntry {
			continue
		}
		out = append(out, c.buildEndpoint(h))
	}
	slices.SortFunc(out, func(a, b viewer.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c *Controller) buildEndpoint(h lister.Host) viewer.Endpoint {
	e := viewer.Endpoint{
		Name: h.Name, Domain: h.Domain, Pool: h.Pool, Address: h.Address, Role: h.Role, State: viewer.StateAlive,
	}
	if h.Role == lister.RoleService {
		e.Versions = c.poolVersions(h.Pool)
	}
	r, ok := c.reports[h.Name]
	if ok {
		e.Versions, e.Running, e.Waiting = r.Load.Versions, r.Load.Running, r.Load.Waiting
		e.WaitingTokens, e.Reported = r.Load.WaitingTokens, r.At
	}
	switch {
	case h.State == lister.StateLeaving || c.leavingEndpoints[h.Name]:
		e.State = viewer.StateLeaving
	case r.failedReports >= suspectAfterFailures:
		e.State = viewer.StateSuspected
	}
	return e
}

// poolVersions returns the versions that the services of a pool run by the configuration, since
// services send no load reports.
func (c *Controller) poolVersions(pool string) []string {
	var names []string
	for _, v := range c.set.Versions {
		if slices.Contains(v.Pools, pool) {
			names = append(names, v.Name)
		}
	}
	return names
}
