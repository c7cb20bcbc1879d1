// Package prober asks endpoints for their load reports.
package prober

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/platform/inferrer"
	"pomelotiller/internal/platform/lister"
)

const (
	defaultPeriod = 250 * time.Millisecond
	probeTimeout  = time.Second
	maxProbes     = 32
)

// Report is the outcome of one probe.
type Report struct {
	Endpoint string
	Load     inferrer.Load
	// Err is set if the endpoint did not answer.
	Err error
}

// Config configures a Prober.
type Config struct {
	// Endpoints returns the endpoints to probe.
	Endpoints func() []viewer.Endpoint
	// Report receives the outcomes of a round.
	Report func([]Report)
	// Period is the time between rounds.
	Period time.Duration
	// HTTP carries the probes; nil makes a client of the prober's own.
	HTTP *http.Client
}

// Prober probes the engines in rounds.
type Prober struct {
	cfg Config
}

// New returns a prober.
func New(cfg Config) *Prober {
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.HTTP == nil {
		cfg.HTTP = inferrer.NewHTTP()
	}
	return &Prober{cfg: cfg}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	tick := time.NewTicker(p.cfg.Period)
	defer tick.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (p *Prober) round(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxProbes)
	var mu sync.Mutex
	var reports []Report
	for _, e := range p.cfg.Endpoints() {
		if e.Role != lister.RoleEngine {
			continue
		}
		g.Go(func() error {
			c := inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, CallTimeout: probeTimeout, HTTP: p.cfg.HTTP})
			l, err := c.Load(ctx)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, Report{Endpoint: e.Name, Load: l, Err: err})
			return nil
		})
	}
	// The probes report their errors one by one.
	_ = g.Wait()
	if ctx.Err() == nil {
		p.cfg.Report(reports)
	}
}
