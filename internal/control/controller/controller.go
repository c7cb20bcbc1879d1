// Package controller owns a daemon's control state. One goroutine applies events
// to it, one at a time, and publishes the outcome as an immutable view.
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
	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/lister"
)

const (
	eventQueue = 256
	// hostPeriod is the time between two readings of a host list of up to
	// hostsPerPeriod hosts; with longer lists it grows, so that the bytes a second
	// stay the same. What one daemon reads of leaving hosts, gossip tells all.
	hostPeriod     = time.Second
	hostsPerPeriod = 40
	// hostJitter is the part of the period by which it varies, so that daemons
	// read at different times.
	hostJitter     = 0.2
	missingReports = 4
)

// Config configures a Controller.
type Config struct {
	// Holder receives each new view.
	Holder *viewer.Holder
	// Lister returns the hosts.
	Lister lister.Lister
	// Splits returns the shares that moves put in place of the routes' own in a
	// configuration; nil puts none.
	Splits func(loader.Set) map[string][]loader.Share
	// Adopted is called with each release that came into force.
	Adopted  func(publisher.Release)
	Logger   log.Logger
	Registry metrics.Registry
}

// event changes the control state.
type event interface {
	apply(c *Controller)
}

// Controller owns the control state of one daemon.
type Controller struct {
	cfg    Config
	events chan event

	// The fields below belong to the goroutine of Run.
	release publisher.Release
	set     loader.Set
	hosts   []lister.Host
	reports map[string]report
	members []viewer.Member
	leaving map[string]bool
}

// report is the last load report of an endpoint.
type report struct {
	prober.Report
	failures int
}

// New returns a controller that applies nothing before Run.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, events: make(chan event, eventQueue),
		reports: make(map[string]report), leaving: make(map[string]bool),
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
			c.publish()
		}
	}
}

// RunHosts reads the host list until ctx ends. The last list stays in force
// while the platform does not answer.
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
			meter.Count(c.cfg.Registry, 1, "host_list_failures_total")
		} else {
			known = len(hosts)
			c.send(ctx, hostsEvent(hosts))
		}
		timer.Reset(hostWait(known, rand.Float64()))
	}
}

// hostWait returns the time until the next reading of a list of n hosts; at,
// from 0 to 1, places it within the jitter.
func hostWait(n int, at float64) time.Duration {
	period := hostPeriod * time.Duration(max(n, hostsPerPeriod)) / hostsPerPeriod
	return time.Duration(float64(period) * (1 + hostJitter*(at-0.5)))
}

// Adopt offers a release.
func (c *Controller) Adopt(ctx context.Context, r publisher.Release) { c.send(ctx, releaseEvent(r)) }

// SetReports takes in a round of load reports.
func (c *Controller) SetReports(ctx context.Context, reports []prober.Report) {
	c.send(ctx, reportsEvent(reports))
}

// SetMembers takes in the members known by gossip.
func (c *Controller) SetMembers(ctx context.Context, members []viewer.Member) {
	c.send(ctx, membersEvent(members))
}

// SetLeaving marks an endpoint as leaving, for good.
func (c *Controller) SetLeaving(ctx context.Context, endpoint string) {
	c.send(ctx, leavingEvent(endpoint))
}

// Refresh publishes a new view with the splits now in force.
func (c *Controller) Refresh(ctx context.Context) { c.send(ctx, refreshEvent{}) }

func (c *Controller) send(ctx context.Context, e event) {
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
	if c.release.Newer(r) {
		meter.Count(c.cfg.Registry, 1, "config_stale_total")
		return
	}
	if !r.Newer(c.release) {
		return
	}
	set, err := r.Set()
	if err != nil {
		c.log("msg", "configuration refused", "generation", r.Generation, "err", err)
		return
	}
	c.release, c.set = r, set
	metrics.GetOrRegisterGauge("config_generation", c.cfg.Registry).Update(int64(r.Generation))
	c.log("msg", "configuration in force", "generation", r.Generation)
	if c.cfg.Adopted != nil {
		c.cfg.Adopted(r)
	}
}

func (e hostsEvent) apply(c *Controller) {
	c.hosts = e
	listed := make(map[string]bool)
	for _, h := range e {
		listed[h.Name] = true
	}
	for name := range c.leaving {
		if !listed[name] {
			delete(c.leaving, name)
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
		next := report{Report: r}
		if r.Err != nil {
			next.Load = old.Load
			next.At = old.At
			next.failures = max(old.failures+1, r.Misses)
		}
		c.reports[r.Endpoint] = next
		if r.Load.Leaving {
			leavingEvent(r.Endpoint).apply(c)
		}
	}
}

func (e membersEvent) apply(c *Controller) { c.members = e }

func (e leavingEvent) apply(c *Controller) {
	if !c.leaving[string(e)] {
		c.log("msg", "endpoint leaving", "endpoint", string(e))
	}
	c.leaving[string(e)] = true
}

// apply changes nothing: each event is followed by a new view.
func (refreshEvent) apply(*Controller) {}

func (c *Controller) log(fields ...any) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(c.cfg.Logger).Log(fields...)
}

func (c *Controller) publish() {
	v := viewer.View{}.
		WithConfig(c.release.Generation, c.set).
		WithEndpoints(c.endpoints()).
		WithMembers(c.members).
		WithEntries(c.entries())
	if c.cfg.Splits != nil {
		v = v.WithSplits(c.cfg.Splits(c.set))
	}
	c.cfg.Holder.Store(v)
}

// entries returns the addresses of entry hosts: hints at daemons that are not
// known by gossip yet.
func (c *Controller) entries() []string {
	var out []string
	for _, h := range c.hosts {
		if h.Role == lister.RoleEntry && h.State == lister.StateLive {
			out = append(out, h.Address)
		}
	}
	return out
}

func (c *Controller) endpoints() []viewer.Endpoint {
	var out []viewer.Endpoint
	for _, h := range c.hosts {
		if h.Role == lister.RoleEntry {
			continue
		}
		out = append(out, c.endpoint(h))
	}
	slices.SortFunc(out, func(a, b viewer.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c *Controller) endpoint(h lister.Host) viewer.Endpoint {
	e := viewer.Endpoint{
		Name: h.Name, Domain: h.Domain, Pool: h.Pool, Address: h.Address, Role: h.Role, State: viewer.StateAlive,
	}
	if h.Role == lister.RoleService {
		e.Versions = c.versionsOf(h.Pool)
	}
	r, ok := c.reports[h.Name]
	if ok {
		e.Versions, e.Running, e.Waiting = r.Load.Versions, r.Load.Running, r.Load.Waiting
		e.WaitingTokens, e.Reported = r.Load.WaitingTokens, r.At
	}
	switch {
	case h.State == lister.StateLeaving || c.leaving[h.Name]:
		e.State = viewer.StateLeaving
	case r.failures >= missingReports:
		e.State = viewer.StateSuspected
	}
	return e
}

// versionsOf returns the versions that the services of a pool run; services
// report no load.
func (c *Controller) versionsOf(pool string) []string {
	var names []string
	for _, v := range c.set.Versions {
		if slices.Contains(v.Pools, pool) {
			names = append(names, v.Name)
		}
	}
	return names
}
