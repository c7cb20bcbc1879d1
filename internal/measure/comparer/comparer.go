// Package comparer compares routing policies on the same requests by discrete-event simulation. Routers
// and engine batches are the real code. Time is virtual, so that a run is faster than real time and its
// result depends only on the configuration.
package comparer

import (
	"container/heap"
	"time"

	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// Fleet describes the daemons and engines of a simulation.
type Fleet struct {
	// Domains are the failure domains.
	Domains                            []string
	DaemonsPerDomain, EnginesPerDomain int
	// Model describes the speed and the memory of each engine.
	Model generator.Model
	// Price is the price of one engine per hour.
	Price float64
	// EventLag is the delay of cache events, EventLoss the fraction of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// ReportLag is the age of load reports when daemons receive them.
	ReportLag time.Duration
	// Faults are injected during the simulation.
	Faults []Fault
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies the step times of the engine Target by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCrash stops the engine Target for good.
	FaultCrash FaultKind = "gone"
	// FaultPartition separates the failure domain Target from the others.
	FaultPartition FaultKind = "cut"
)

// Fault is a fault that lasts from Start to the end of the simulation.
type Fault struct {
	Kind   FaultKind
	Start  time.Duration
	Target string
	Factor float64
}

// Config configures a simulation.
type Config struct {
	Scenario planner.Scenario
	Fleet    Fleet
	// Policy returns a new routing policy for one daemon.
	Policy func() router.Policy[router.Query, router.Candidate]
	// Oracle gives the policy the true cache contents of the engines instead of those learnt from
	// delayed cache events.
	Oracle bool
}

// Delays of the network, timeouts of daemons, and periods of their reports.
const (
	localDelay  = 300 * time.Microsecond
	remoteDelay = 1300 * time.Microsecond
	dialTimeout = time.Second
	// stallTimeout is the time after which a daemon gives up a stream without tokens.
	stallTimeout = 540 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
	// suspectAfterReports is the number of missed load reports after which an engine is suspected.
	suspectAfterReports = 4
	// Daemons exchange their loads every loadPeriod; these arrive after loadDelay.
	loadPeriod  = 500 * time.Millisecond
	loadDelay   = 400 * time.Millisecond
	eventPeriod = 250 * time.Millisecond
	maxAttempts = 6
)

// virtualEpoch is the wall-clock time that stands for the start of virtual time.
var virtualEpoch = time.Unix(1_700_000_000, 0)

// Run simulates the scenario and returns the report on it.
func Run(cfg Config) reporter.Report {
	s := newSimulation(cfg)
	plan := planner.Plan(cfg.Scenario)
	outcomes := make([]reporter.Outcome, len(plan))
	end := cfg.Scenario.Duration.Std() + cfg.Scenario.Timeout.Std()
	for i, r := range plan {
		outcomes[i].Request = r
		s.schedule(r.Start, func() { s.startRequest(&outcomes[i]) })
	}
	for _, f := range cfg.Fleet.Faults {
		s.schedule(f.Start, func() { s.injectFault(f) })
	}
	s.schedulePeriodic(reportPeriod, end, s.updateViews)
	s.schedulePeriodic(loadPeriod, end, s.exchangeLoads)
	s.schedulePeriodic(eventPeriod, end, s.deliverCacheEvents)
	s.runUntil(end)
	var totals generator.Totals
	for _, e := range s.engines {
		t := e.batch.Totals()
		totals.ComputedTokens += t.ComputedTokens
		totals.CachedTokens += t.CachedTokens
	}
	scenario := cfg.Scenario
	scenario.Price = cfg.Fleet.Price * float64(len(s.engines))
	return reporter.New(reporter.Config{
		Scenario: scenario, ComputedTokens: totals.ComputedTokens, CachedTokens: totals.CachedTokens, Elapsed: scenario.Duration.Std(),
	}, outcomes)
}

// virtualClock is a queue of events that run in the order of their virtual times.
type virtualClock struct {
	now     time.Duration
	pending events
	// scheduled is the number of events scheduled so far.
	scheduled int
}

// event is a function to run at a virtual time. The sequence number orders events of the same time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

func (c *virtualClock) schedule(t time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.pending, event{at: max(t, c.now), sequence: c.scheduled, run: run})
}

func (c *virtualClock) scheduleAfter(d time.Duration, run func()) { c.schedule(c.now+d, run) }

// schedulePeriodic schedules a function at 0 and then once every period before end.
func (c *virtualClock) schedulePeriodic(period, end time.Duration, run func()) {
	for t := time.Duration(0); t < end; t += period {
		c.schedule(t, run)
	}
}

// runUntil runs all events up to and including the time end.
func (c *virtualClock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.run()
	}
}

func (c *virtualClock) currentTime() time.Time { return virtualEpoch.Add(c.now) }

// events is a heap of events by time and sequence number.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *events) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}
