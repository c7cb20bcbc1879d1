// Package prober asks endpoints for their load reports. Each engine is probed by
// a few daemons, those of its own failure domain first, who tell the others
// what they saw; so the number of probes does not grow with the product of
// daemons and engines.
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
	defaultPeriod  = 250 * time.Millisecond
	defaultProbers = 3
	probeTimeout   = 500 * time.Millisecond
	maxProbes      = 32
	// missesToFail is the number of probes in a row without an answer after
	// which a daemon tells others that an engine has failed.
	missesToFail = 4
)

// Report is the outcome of one probe, by this daemon or by another.
type Report struct {
	Endpoint string
	Load     inferrer.Load
	// At is when the engine answered.
	At time.Time
	// Err is set if the endpoint did not answer.
	Err error
	// Misses is the number of probes in a row that it did not answer.
	Misses int
}

// Config configures a Prober.
type Config struct {
	// Self is the name of this daemon.
	Self string
	// Endpoints returns the endpoints to probe.
	Endpoints func() []viewer.Endpoint
	// Members returns the known daemons; nil makes this one probe all.
	Members func() []viewer.Member
	// Publish tells the other daemons of a report; nil tells none.
	Publish func(key string, value []byte)
	// Report receives the outcomes of a round.
	Report func([]Report)
	// Period is the time between rounds.
	Period time.Duration
	// Probers is the number of daemons that probe one engine.
	Probers int
	// HTTP carries the probes; nil makes a client of the prober's own.
	HTTP *http.Client
}

// Prober probes the engines in rounds.
type Prober struct {
	cfg    Config
	mu     sync.Mutex
	misses map[string]int
	told   map[string]told
	heard  map[string]map[string]heard
	// period is the least time between two tellings of counts.
	period time.Duration
	share  share
}

// New returns a prober.
func New(cfg Config) *Prober {
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.Probers == 0 {
		cfg.Probers = defaultProbers
	}
	if cfg.HTTP == nil {
		cfg.HTTP = inferrer.NewHTTP()
	}
	if cfg.Members == nil {
		cfg.Members = func() []viewer.Member { return nil }
	}
	if cfg.Publish == nil {
		cfg.Publish = func(string, []byte) {}
	}
	return &Prober{
		cfg: cfg, misses: make(map[string]int), told: make(map[string]told), heard: make(map[string]map[string]heard),
	}
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
	members := p.cfg.Members()
	p.share.update(members)
	engines := 0
	for _, e := range p.cfg.Endpoints() {
		if e.Role != lister.RoleEngine {
			continue
		}
		engines++
		ranks := p.share.of(e, members, p.cfg.Probers)
		rank, mine := ranks[p.cfg.Self]
		if !mine && len(ranks) > 0 {
			mu.Lock()
			reports = append(reports, p.word(e.Name, ranks, members))
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			r := p.probe(ctx, e)
			p.tell(r, rank == 0)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
			return nil
		})
	}
	// The probes report their errors one by one.
	_ = g.Wait()
	p.setCountPeriod(engines)
	if ctx.Err() == nil {
		p.cfg.Report(reports)
	}
}

func (p *Prober) probe(ctx context.Context, e viewer.Endpoint) Report {
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
