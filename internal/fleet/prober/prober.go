// Package prober polls engines for their load reports. A few daemons probe each engine, preferably
// those of its own failure domain, and publish the results to the other daemons, so that the number
// of probes does not grow with the product of daemons and engines.
package prober

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
)

const (
	defaultPeriod           = 250 * time.Millisecond
	defaultProbersPerEngine = 3
	probeTimeout            = 500 * time.Millisecond
	maxProbes               = 32
	// missesToFail is the number of unanswered probes in a row after which a daemon publishes that
	// an engine has failed.
	missesToFail = 4
)

// Report is the outcome of probing one engine, by this daemon or as published by others.
type Report struct {
	Endpoint string
	Load     inferrer.Load
	// At is when the engine answered.
	At time.Time
	// Err is set if the endpoint did not answer.
	Err error
	// Misses is the number of unanswered probes in a row.
	Misses int
}

// Config configures a Prober.
type Config struct {
	// Self is the name of this daemon.
	Self string
	// Endpoints returns the endpoints to probe.
	Endpoints func() []viewer.Endpoint
	// Members returns the known daemons. If it is nil, this daemon probes all engines.
	Members func() []viewer.Member
	// PublishStatus sends an encoded EngineStatus to the other daemons. If it is nil, nothing is
	// sent.
	PublishStatus func(key string, value []byte)
	// OnReports is called with the outcomes of each round.
	OnReports func([]Report)
	// Period is the time between rounds.
	Period time.Duration
	// ProbersPerEngine is the number of daemons that probe one engine.
	ProbersPerEngine int
	// HTTP sends the probes. If it is nil, the prober creates a client.
	HTTP *http.Client
}

// Prober probes the engines assigned to this daemon in rounds, and reports on all engines.
type Prober struct {
	cfg            Config
	mu             sync.Mutex
	misses         map[string]int // unanswered probes in a row, by engine
	sentStatus     map[string]sentStatus
	receivedStatus map[string]map[string]receivedStatus
	// countPeriod is the least time between two publications of an engine's changed counts.
	countPeriod time.Duration
	assignments assignments
}

// New returns a prober.
func New(cfg Config) *Prober {
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.ProbersPerEngine == 0 {
		cfg.ProbersPerEngine = defaultProbersPerEngine
	}
	if cfg.HTTP == nil {
		cfg.HTTP = inferrer.NewHTTP()
	}
	if cfg.Members == nil {
		cfg.Members = func() []viewer.Member { return nil }
	}
	if cfg.PublishStatus == nil {
		cfg.PublishStatus = func(string, []byte) {}
	}
	return &Prober{
		cfg: cfg, misses: make(map[string]int), sentStatus: make(map[string]sentStatus), receivedStatus: make(map[string]map[string]receivedStatus),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	tick := time.NewTicker(p.cfg.Period)
	defer tick.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (p *Prober) probeAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxProbes)
	var mu sync.Mutex
	var reports []Report
	members := p.cfg.Members()
	p.assignments.resetOnChange(members)
	engines := 0
	for _, e := range p.cfg.Endpoints() {
		if e.Role != lister.RoleEngine {
			continue
		}
		engines++
		ranks := p.assignments.probersOf(e, members, p.cfg.ProbersPerEngine)
		rank, mine := ranks[p.cfg.Self]
		if !mine && len(ranks) > 0 {
			mu.Lock()
			reports = append(reports, p.reportFromOthers(e.Name, ranks, members))
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			r := p.probeEngine(ctx, e)
			p.publishStatus(r, rank == 0)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
			return nil
		})
	}
	// The functions return no error: a failed probe is reported in its Report.
	_ = g.Wait()
	p.setCountPeriod(engines)
	if ctx.Err() == nil {
		p.cfg.OnReports(reports)
	}
}

func (p *Prober) probeEngine(ctx context.Context, e viewer.Endpoint) Report {
	c := inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, CallTimeout: probeTimeout, HTTP: p.cfg.HTTP})
	l, err := c.Load(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.misses[e.Name]++
		return Report{Endpoint: e.Name, Err: err, Misses: p.misses[e.Name]}
	}
	delete(p.misses, e.Name)
	return Report{Endpoint: e.Name, Load: l, At: time.Now()}
}
