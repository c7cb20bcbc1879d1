package chooser

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/traffic/localizer"
)

// The model: daemons in three failure domains choose engines that prefill one prompt after the other. Loads of
// other daemons are known modelReportPeriod to twice that later.
const (
	modelDomains      = 3
	modelReportPeriod = 400 * time.Millisecond
	modelTarget       = 800 * time.Millisecond
	modelPrefillSpeed = 55.0 // prompt tokens a millisecond
	modelShared       = 6300
	modelOwn          = 2890
	modelCached       = 300 // shared prefixes that an engine keeps
	modelPrefixes     = 300
	modelSlots        = 6
	modelPlainTarget  = 100 * time.Millisecond
	modelAnswer       = 900 * time.Millisecond
)

// rule is a way of choosing.
type rule string

const (
	ruleFixed rule = "fixed"        // an endpoint of another domain costs remoteDomainCost
	ruleLeave rule = "leave"        // the localizer decides
	ruleExact rule = "exact"        // as fixed, with exact loads of others
	ruleBoth  rule = "leave, exact" // the localizer decides, with exact loads
)

func (r rule) isExact() bool { return r == ruleExact || r == ruleBoth }

func (r rule) leaves() bool { return r == ruleLeave || r == ruleBoth }

// load is what the model plays.
type load struct {
	daemons, engines int
	// rates holds the requests a second of callers in each domain.
	rates [modelDomains]float64
	// lost is the number of engines of domain z0 that are gone from lostAt on.
	lost   int
	lostAt time.Duration
	// backAt is when they are back; 0 if they are not.
	backAt time.Duration
	// cut is a domain whose engines cannot be reached from others from cutAt on; empty for none.
	cut   string
	cutAt time.Duration
	// prefixes is the number of shared prefixes; 0 means modelPrefixes.
	prefixes int
	// plain is set for a service without prompts, whose endpoints have modelSlots places.
	plain bool
	// failing is the fraction of the calls to plain endpoints of z0 that fail.
	failing float64
	// evacuated is a domain whose engines are not listed.
	evacuated string
	// coldCaches says that no engine has any prefix at the start; otherwise the home endpoints have them.
	coldCaches bool
	length     time.Duration
	seed       uint64
}

// outcome is what came of the requests after a warm-up.
type outcome struct {
	waits                    []time.Duration
	requests, left, refused  int
	recomputed, late, failed int
	// leftOf counts the requests that left each domain, leftTo those that arrived in each from others.
	leftOf, leftTo map[string]int
	// leftBySecond counts the requests that left in each second.
	leftBySecond []int
}

// notInTime is the fraction of the requests that were answered late or not at all.
func (o outcome) notInTime() float64 {
	return float64(o.late+o.refused+o.failed) / float64(max(o.requests, 1))
}

func (o outcome) leftFraction() float64 { return float64(o.left) / float64(max(o.requests, 1)) }

func (o outcome) recomputedTokens() int { return o.recomputed / max(o.requests, 1) }

func (o outcome) quantile(q float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	return o.waits[min(int(q*float64(len(o.waits))), len(o.waits)-1)].Round(time.Millisecond)
}

func (o outcome) String() string {
	n := max(o.requests, 1)
	return fmt.Sprintf("p50 %s, p95 %s, late %.3f, refused %.3f, failed %.3f, left %.3f, tokens again a request %d",
		o.quantile(0.5), o.quantile(0.95), float64(o.late)/float64(n), float64(o.refused)/float64(n), float64(o.failed)/float64(n), float64(o.left)/float64(n), o.recomputed/n)
}

// event is a change of the model at a time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// engine is the real state of an engine.
type engine struct {
	tracker.Endpoint

	freeAt time.Duration
	// places holds when each place of a plain endpoint is free.
	places []time.Duration
	// cached holds when each shared prefix was last used.
	cached map[int]time.Duration
	gone   bool
}

// prefill returns the tokens that the engine computes for a prompt, and adds its prefix to the cache.
func (e *engine) prefill(prefix int, now time.Duration) int {
	_, ok := e.cached[prefix]
	e.cached[prefix] = now
	if len(e.cached) > modelCached {
		oldest := prefix
		for p, at := range e.cached {
			if at < e.cached[oldest] {
				oldest = p
			}
		}
		delete(e.cached, oldest)
	}
	if ok {
		return modelOwn
	}
	return modelOwn + modelShared
}

type model struct {
	load
	rule  rule
	rand  *rand.Rand
	now   time.Duration
	queue eventQueue

	engines  map[string]*engine
	listed   []tracker.Endpoint
	choosers []*Chooser
	reported [][]sharer.Load
	out      outcome
}

// modelWarmup is the time at the start whose requests are not counted.
const (
	modelWarmup = 4 * time.Second
)

// play plays a load under a rule.
func (l load) play(r rule) outcome {
	m := &model{load: l, rule: r, rand: rand.New(rand.NewPCG(l.seed, 1)), engines: make(map[string]*engine)}
	m.out = outcome{leftOf: make(map[string]int), leftTo: make(map[string]int), leftBySecond: make([]int, int(l.length/time.Second)+1)}
	for i := range l.engines {
		e := tracker.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: fmt.Sprint("z", i%modelDomains), Slots: 64}
		if l.plain {
			e.Slots = modelSlots
		}
		m.engines[e.ID] = &engine{Endpoint: e, cached: make(map[int]time.Duration), places: make([]time.Duration, e.Slots)}
	}
	m.prefixes = cmp.Or(l.prefixes, modelPrefixes)
	if r.isExact() {
		m.daemons = modelDomains
	}
	clock := func() time.Time { return time.Unix(1000, 0).Add(m.now) }
	for i := range l.daemons {
		domain := fmt.Sprint("z", i%modelDomains)
		p := switcher.Policies{}
		if !r.leaves() {
			p = p.Without(switcher.Leave)
		}
		loc := localizer.New(localizer.Config{Domain: domain, Now: clock, Random: m.rand.Float64})
		m.choosers = append(m.choosers, New(Config{Domain: domain, Now: clock, Policies: p, Localizer: loc, IsLargeFleet: func() bool { return !r.isExact() }}))
	}
	if !l.coldCaches {
		m.fillCaches()
	}
	for d, rate := range l.rates {
		m.scheduleArrival(d, rate)
	}
	m.schedule(modelReportPeriod, m.report)
	if l.lost > 0 {
		m.schedule(l.lostAt, func() { m.setLost(true) })
	}
	if l.backAt > 0 {
		m.schedule(l.backAt, func() { m.setLost(false) })
	}
	heap.Init(&m.queue)
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if m.now > l.length {
			break
		}
		e.do()
	}
	slices.Sort(m.out.waits)
	return m.out
}

// fillCaches puts each prefix into the caches of its home endpoints.
func (m *model) fillCaches() {
	for i, c := range m.choosers[:modelDomains] {
		endpoints := m.list()
		if m.rule.leaves() {
			endpoints = slices.DeleteFunc(slices.Clone(endpoints), func(e tracker.Endpoint) bool { return e.Domain != fmt.Sprint("z", i) })
		}
		for prefix := range m.prefixes {
			if home := c.homeEndpoint(newModelQuery(prefix), endpoints); home != "" {
				m.engines[home].cached[prefix] = 0
			}
		}
	}
}

func newModelQuery(prefix int) Query {
	return Query{Service: "s", PromptTokens: modelShared + modelOwn, PromptBlocks: []PromptBlock{{fmt.Sprint("p", prefix), modelShared}, {"own", modelOwn}}, Target: modelTarget, MaxWait: 3 * modelTarget / 2}
}

func (m *model) schedule(at time.Duration, do func()) { heap.Push(&m.queue, event{at, do}) }

func (m *model) scheduleArrival(domain int, rate float64) {
	at := m.now + time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second))
	m.schedule(at, func() {
		// Daemons of a domain have numbers that are its number modulo modelDomains.
		n := (m.daemons - domain + modelDomains - 1) / modelDomains
		m.request(m.choosers[domain+modelDomains*m.rand.IntN(n)], fmt.Sprint("z", domain))
		m.scheduleArrival(domain, rate)
	})
}

// report delivers what all others had in flight a period ago, and notes what they have now.
func (m *model) report() {
	if m.reported != nil {
		for i, c := range m.choosers {
			c.SetPeerLoads("others", m.othersLoads(i))
		}
	}
	m.reported = nil
	for _, c := range m.choosers {
		m.reported = append(m.reported, c.Loads())
	}
	m.schedule(m.now+modelReportPeriod, m.report)
}

// othersLoads adds up the reported loads of all daemons but one.
func (m *model) othersLoads(but int) []sharer.Load {
	sum := make(map[string]sharer.Load)
	for i, loads := range m.reported {
		if i == but {
			continue
		}
		for _, l := range loads {
			s := sum[l.Endpoint]
			sum[l.Endpoint] = sharer.Load{Endpoint: l.Endpoint, Running: s.Running + l.Running, PromptTokens: s.PromptTokens + l.PromptTokens}
		}
	}
	out := make([]sharer.Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	return out
}

// setLost makes the lost engines of z0 leave or come back.
func (m *model) setLost(gone bool) {
	n := 0
	for _, id := range m.ids() {
		if e := m.engines[id]; e.Domain == "z0" && n < m.lost {
			e.gone = gone
			n++
		}
	}
	m.listed = nil
}

func (m *model) ids() []string {
	ids := make([]string, 0, len(m.engines))
	for id := range m.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *model) list() []tracker.Endpoint {
	if m.listed != nil {
		return m.listed
	}
	var out []tracker.Endpoint
	for _, id := range m.ids() {
		if e := m.engines[id]; !e.gone && e.Domain != m.evacuated {
			out = append(out, e.Endpoint)
		}
	}
	m.listed = out
	return out
}
