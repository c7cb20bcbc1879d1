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

// stage holds the daemons and engines of a run.
type stage struct {
	clock
	cfg     Config
	daemons []*daemon
	engines []*engine
	byName  map[string]*engine
	cut     string
}

type daemon struct {
	name, domain string
	router       *router.Router
	view         viewer.View
	// missing counts the reports that an engine did not answer in a row.
	missing map[string]int
	// next is the number of the next cache event of each engine.
	next map[string]uint64
}

type engine struct {
	name, domain string
	batch        *generator.Batch
	events       *generator.Events
	loads        []inferrer.Load
	jobs         map[*generator.Job]func()
	stepping     bool
	gone         bool
	slow         float64
}

func newStage(cfg Config) *stage {
	s := &stage{cfg: cfg, byName: make(map[string]*engine)}
	f := cfg.Fleet
	for _, domain := range f.Domains {
		for i := range f.Engines {
			s.addEngine(fmt.Sprintf("%s-engine-%d", domain, i), domain)
		}
	}
	for i := range f.Daemons {
		for _, domain := range f.Domains {
			s.addDaemon(fmt.Sprintf("%s-daemon-%d", domain, i), domain)
		}
	}
	return s
}

func (s *stage) addEngine(name, domain string) {
	f := s.cfg.Fleet
	e := &engine{
		name: name, domain: domain, slow: 1, batch: generator.NewBatch(f.Model), jobs: make(map[*generator.Job]func()),
		events: generator.NewEvents(f.EventLag, f.EventLoss, s.cfg.Scenario.Seed+uint64(len(s.engines))),
	}
	e.batch.Changed = func(kind inferrer.EventKind, blocks []uint64) { e.events.Add(s.time(), kind, blocks) }
	s.engines = append(s.engines, e)
	s.byName[name] = e
}

func (s *stage) addDaemon(name, domain string) {
	d := &daemon{name: name, domain: domain, missing: make(map[string]int), next: make(map[string]uint64)}
	cfg := router.Config{Policy: s.cfg.Policy(), Now: s.time}
	if s.cfg.Oracle {
		cfg.CountCachedBlocks = func(endpoint string, hashes []uint64) int { return s.byName[endpoint].batch.Held(hashes) }
	}
	d.router = router.New(cfg)
	s.daemons = append(s.daemons, d)
}

// reaches reports whether two failure domains can talk.
func (s *stage) reaches(a, b string) bool { return a == b || s.cut != a && s.cut != b }

func delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return remoteDelay
}

func (s *stage) strike(f Fault) {
	switch f.Kind {
	case FaultCut:
		s.cut = f.Target
		for _, e := range s.engines {
			e.breakOff()
		}
	case FaultSlow:
		s.byName[f.Target].slow = f.Factor
	case FaultGone:
		e := s.byName[f.Target]
		e.gone = true
		e.breakOff()
	}
}

// breakOff tells all attempts on the engine to look whether they still live, in
// an order that is the same in each run.
func (e *engine) breakOff() {
	jobs := slices.SortedFunc(maps.Keys(e.jobs), func(a, b *generator.Job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		e.jobs[j]()
	}
}

// kick starts a step of an idle engine that has work.
func (s *stage) kick(e *engine) {
	if e.stepping || e.gone {
		return
	}
	d, ok := e.batch.Begin()
	if !ok {
		return
	}
	e.stepping = true
	s.after(time.Duration(float64(d)*e.slow), func() {
		e.stepping = false
		if !e.gone {
			e.batch.Finish()
			s.kick(e)
		}
	})
}

// report takes a round of load reports of all daemons.
func (s *stage) report() {
	lag := int(s.cfg.Fleet.ReportLag / reportPeriod)
	for _, e := range s.engines {
		e.loads = append(e.loads, e.batch.Load())
	}
	for _, d := range s.daemons {
		endpoints := make([]viewer.Endpoint, len(s.engines))
		for i, e := range s.engines {
			endpoints[i] = s.endpoint(d, e, e.loads[max(0, len(e.loads)-1-lag)])
			d.router.SetCacheSize(e.name, s.cfg.Fleet.Model.Blocks)
		}
		d.view = d.view.WithEndpoints(endpoints)
	}
}

func (s *stage) endpoint(d *daemon, e *engine, l inferrer.Load) viewer.Endpoint {
	v := viewer.Endpoint{Name: e.name, Domain: e.domain, State: viewer.StateAlive, Versions: []string{version}}
	if e.gone || !s.reaches(d.domain, e.domain) {
		if d.missing[e.name]++; d.missing[e.name] >= missingReports {
			v.State = viewer.StateSuspected
		}
		return v
	}
	d.missing[e.name] = 0
	v.Running, v.Waiting, v.WaitingTokens, v.Reported = l.Running, l.Waiting, l.WaitingTokens, s.time()
	return v
}

// shareWork tells all daemons what each has in flight.
func (s *stage) shareWork() {
	for _, from := range s.daemons {
		b, err := from.router.EncodeOwnLoad()
		if err != nil {
			panic(err)
		}
		for _, to := range s.daemons {
			if to == from || !s.reaches(from.domain, to.domain) {
				continue
			}
			s.after(workDelay, func() {
				if err := to.router.SetPeerLoad(from.name, b); err != nil {
					panic(err)
				}
			})
		}
	}
}

// readEvents lets all daemons read the engines' cache events.
func (s *stage) readEvents() {
	for _, d := range s.daemons {
		for _, e := range s.engines {
			if e.gone || !s.reaches(d.domain, e.domain) {
				continue
			}
			events := e.events.From(s.time(), d.next[e.name])
			if len(events) > 0 {
				d.next[e.name] = events[len(events)-1].Number + 1
				d.router.ApplyCacheEvents(e.name, events)
			}
		}
	}
}

// version is the only version that the engines serve.
const version = "chat-v1"

var route = loader.Route{Name: "chat", Versions: []loader.Share{{Version: version, Share: 100}}}

// ask starts a request at the daemon whose turn it is.
func (s *stage) ask(out *reporter.Outcome) {
	if out.Request.Kind.Path != "" {
		out.Whole = true
		return
	}
	d := s.daemons[out.Request.Number%len(s.daemons)]
	a := &answer{stage: s, daemon: d, out: out, prompt: out.Request.Prompt(), exclude: make(map[string]bool)}
	a.try()
}
