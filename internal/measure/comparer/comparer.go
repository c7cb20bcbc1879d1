// Package comparer runs routing policies side by side on the same requests. The
// routers and the engines' batches are the real ones; time is virtual, so that
// a run takes less time than it stands for and always ends the same.
package comparer

import (
	"container/heap"
	"time"

	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// Fleet describes the daemons and engines of a run.
type Fleet struct {
	// Domains are the failure domains.
	Domains []string
	// Daemons and Engines are the numbers in each failure domain.
	Daemons, Engines int
	// Model is the engines' speed and memory.
	Model generator.Model
	// Price is that of one engine an hour.
	Price float64
	// EventLag and EventLoss say how late cache events come, and which part
	// of them is lost.
	EventLag  time.Duration
	EventLoss float64
	// ReportLag is the age of the counts in load reports.
	ReportLag time.Duration
	// Faults strike in the course of the run.
	Faults []Fault
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies the step times of the engine Target by Factor.
	FaultSlow FaultKind = "slow"
	// FaultGone ends the engine Target.
	FaultGone FaultKind = "gone"
	// FaultCut cuts the failure domain Target off from the others.
	FaultCut FaultKind = "cut"
)

// Fault is something that goes wrong from an instant on.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	Target string
	Factor float64
}

// Config configures a run.
type Config struct {
	Scenario planner.Scenario
	Fleet    Fleet
	// Policy makes the policy of one daemon.
	Policy func() router.Policy[router.Query, router.Candidate]
	// Oracle lets the policy see the true caches.
	Oracle bool
}

// Times of the network and of the daemons' periodic work.
const (
	localDelay     = 300 * time.Microsecond
	remoteDelay    = 1300 * time.Microsecond
	dialTimeout    = time.Second
	silenceTimeout = 540 * time.Millisecond
	reportPeriod   = 250 * time.Millisecond
	missingReports = 4
	workPeriod     = 500 * time.Millisecond
	workDelay      = 400 * time.Millisecond
	eventPeriod    = 250 * time.Millisecond
	maxAttempts    = 6
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// Run plays the scenario and reports on it.
func Run(cfg Config) reporter.Report {
	s := newStage(cfg)
	plan := planner.Plan(cfg.Scenario)
	outcomes := make([]reporter.Outcome, len(plan))
	end := cfg.Scenario.Duration.Std() + cfg.Scenario.Timeout.Std()
	for i, r := range plan {
		outcomes[i].Request = r
		s.at(r.At, func() { s.ask(&outcomes[i]) })
	}
	for _, f := range cfg.Fleet.Faults {
		s.at(f.At, func() { s.strike(f) })
	}
	s.every(reportPeriod, end, s.report)
	s.every(workPeriod, end, s.shareWork)
	s.every(eventPeriod, end, s.readEvents)
	s.play(end)
	var totals generator.Totals
	for _, e := range s.engines {
		t := e.batch.Totals()
		totals.Computed += t.Computed
		totals.Cached += t.Cached
	}
	scenario := cfg.Scenario
	scenario.Price = cfg.Fleet.Price * float64(len(s.engines))
	return reporter.New(reporter.Config{
		Scenario: scenario, Computed: totals.Computed, Cached: totals.Cached, Elapsed: scenario.Duration.Std(),
	}, outcomes)
}

// clock plays events in the order of their virtual times.
type clock struct {
	now   time.Duration
	queue events
	count int
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

func (c *clock) at(t time.Duration, run func()) {
	c.count++
	heap.Push(&c.queue, event{at: max(t, c.now), number: c.count, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) every(period, end time.Duration, run func()) {
	for t := time.Duration(0); t < end; t += period {
		c.at(t, run)
	}
}

func (c *clock) play(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// events is a heap of events by time and number.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

// Push implements heap.Interface.
func (h *events) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}
