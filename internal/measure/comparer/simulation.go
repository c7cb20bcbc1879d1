package comparer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// simulation is the state of a simulated fleet.
type simulation struct {
	virtualClock
	cfg           Config
	daemons       []*daemon
	engines       []*engine
	enginesByName map[string]*engine
	// isolatedDomain is the failure domain behind a network partition, empty without one.
	isolatedDomain string
}

// daemon is a simulated daemon with a real router.
type daemon struct {
	name, domain string
	router       *router.Router
	view         viewer.View
	// missedReports counts, for each engine, consecutive load reports that did not arrive.
	missedReports map[string]int
	// nextEvent is the number of the next cache event to read from each engine.
	nextEvent map[string]uint64
}

// engine is a simulated engine with a real batch.
type engine struct {
	name, domain string
	batch        *generator.Batch
	events       *generator.Events
	// loads are the loads at each report period, the latest last.
	loads []inferrer.Load
	// jobs holds, for each running job, a function that fails its attempt if the connection to the
	// daemon is broken.
	jobs       map[*generator.Job]func()
	isStepping bool
	crashed    bool
	// slowdown multiplies the time of each step.
	slowdown float64
}

func newSimulation(cfg Config) *simulation {
	s := &simulation{cfg: cfg, enginesByName: make(map[string]*engine)}
	f := cfg.Fleet
	for _, domain := range f.Domains {
		for i := range f.EnginesPerDomain {
			s.addEngine(fmt.Sprintf("%s-engine-%d", domain, i), domain)
		}
	}
	for i := range f.DaemonsPerDomain {
		for _, domain := range f.Domains {
			s.addDaemon(fmt.Sprintf("%s-daemon-%d", domain, i), domain)
		}
	}
	return s
}

func (s *simulation) addEngine(name, domain string) {
	f := s.cfg.Fleet
	e := &engine{
		name: name, domain: domain, slowdown: 1, batch: generator.NewBatch(f.Model), jobs: make(map[*generator.Job]func()),
		events: generator.NewEvents(f.EventLag, f.EventLoss, s.cfg.Scenario.Seed+uint64(len(s.engines))),
	}
	e.batch.OnCacheChange = func(kind inferrer.EventKind, blocks []uint64) { e.events.Add(s.currentTime(), kind, blocks) }
	s.engines = append(s.engines, e)
	s.enginesByName[name] = e
}

func (s *simulation) addDaemon(name, domain string) {
	d := &daemon{name: name, domain: domain, missedReports: make(map[string]int), nextEvent: make(map[string]uint64)}
	cfg := router.Config{Policy: s.cfg.Policy(), Now: s.currentTime}
	if s.cfg.Oracle {
		cfg.CountCachedBlocks = func(endpoint string, hashes []uint64) int {
			return s.enginesByName[endpoint].batch.CountCachedBlocks(hashes)
		}
	}
	d.router = router.New(cfg)
	s.daemons = append(s.daemons, d)
}

// canReach reports whether the network connects two failure domains.
func (s *simulation) canReach(a, b string) bool {
	return a == b || s.isolatedDomain != a && s.isolatedDomain != b
}

// networkDelay returns the one-way delay between two failure domains.
func networkDelay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return remoteDelay
}

func (s *simulation) injectFault(f Fault) {
	switch f.Kind {
	case FaultPartition:
		s.isolatedDomain = f.Target
		for _, e := range s.engines {
			e.failBrokenAttempts()
		}
	case FaultSlow:
		s.enginesByName[f.Target].slowdown = f.Factor
	case FaultCrash:
		e := s.enginesByName[f.Target]
		e.crashed = true
		e.failBrokenAttempts()
	}
}

// failBrokenAttempts fails all attempts on the engine whose connections are broken, in the order of their
// job IDs, so that each run gives the same result.
func (e *engine) failBrokenAttempts() {
	jobs := slices.SortedFunc(maps.Keys(e.jobs), func(a, b *generator.Job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		e.jobs[j]()
	}
}

// startStep starts the next step of an engine that has jobs and runs no step.
func (s *simulation) startStep(e *engine) {
	if e.isStepping || e.crashed {
		return
	}
	d, ok := e.batch.Begin()
	if !ok {
		return
	}
	e.isStepping = true
	s.scheduleAfter(time.Duration(float64(d)*e.slowdown), func() {
		e.isStepping = false
		if !e.crashed {
			e.batch.Finish()
			s.startStep(e)
		}
	})
}

// updateViews records the loads of all engines and gives every daemon a view of the loads that is
// ReportLag old.
func (s *simulation) updateViews() {
	lag := int(s.cfg.Fleet.ReportLag / reportPeriod)
	for _, e := range s.engines {
		e.loads = append(e.loads, e.batch.Load())
	}
	for _, d := range s.daemons {
		endpoints := make([]viewer.Endpoint, len(s.engines))
		for i, e := range s.engines {
			endpoints[i] = s.observeEndpoint(d, e, e.loads[max(0, len(e.loads)-1-lag)])
			d.router.SetCacheSize(e.name, s.cfg.Fleet.Model.Blocks)
		}
		d.view = d.view.WithEndpoints(endpoints)
	}
}

// observeEndpoint returns the endpoint as the daemon sees it: with load l if the engine is reachable,
// and suspected after suspectAfterReports missed reports.
func (s *simulation) observeEndpoint(d *daemon, e *engine, l inferrer.Load) viewer.Endpoint {
	v := viewer.Endpoint{Name: e.name, Domain: e.domain, State: viewer.StateAlive, Versions: []string{servedVersion}}
	if e.crashed || !s.canReach(d.domain, e.domain) {
		if d.missedReports[e.name]++; d.missedReports[e.name] >= suspectAfterReports {
			v.State = viewer.StateSuspected
		}
		return v
	}
	d.missedReports[e.name] = 0
	v.Running, v.Waiting, v.WaitingTokens, v.Reported = l.Running, l.Waiting, l.WaitingTokens, s.currentTime()
	return v
}

// exchangeLoads sends the load of each daemon to every other daemon that it can reach.
func (s *simulation) exchangeLoads() {
	for _, from := range s.daemons {
		b, err := from.router.EncodeOwnLoad()
		if err != nil {
			panic(err)
		}
		for _, to := range s.daemons {
			if to == from || !s.canReach(from.domain, to.domain) {
				continue
			}
			s.scheduleAfter(loadDelay, func() {
				if err := to.router.SetPeerLoad(from.name, b); err != nil {
					panic(err)
				}
			})
		}
	}
}

// deliverCacheEvents passes the new cache events of each engine to all daemons that can reach it.
func (s *simulation) deliverCacheEvents() {
	for _, d := range s.daemons {
		for _, e := range s.engines {
			if e.crashed || !s.canReach(d.domain, e.domain) {
				continue
			}
			events := e.events.From(s.currentTime(), d.nextEvent[e.name])
			if len(events) > 0 {
				d.nextEvent[e.name] = events[len(events)-1].Number + 1
				d.router.ApplyCacheEvents(e.name, events)
			}
		}
	}
}

// servedVersion is the only version that the engines serve.
const servedVersion = "chat-v1"

var chatRoute = loader.Route{Name: "chat", Versions: []loader.Share{{Version: servedVersion, Share: 100}}}

// startRequest starts a request at one of the daemons, chosen round-robin. Orders count as complete
// at once, since only completions are simulated.
func (s *simulation) startRequest(out *reporter.Outcome) {
	if out.Request.Kind.Path != "" {
		out.Complete = true
		return
	}
	d := s.daemons[out.Request.Number%len(s.daemons)]
	a := &requestRun{simulation: s, daemon: d, out: out, prompt: out.Request.Prompt(), excluded: make(map[string]bool)}
	a.startAttempt()
}
