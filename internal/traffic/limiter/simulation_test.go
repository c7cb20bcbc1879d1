package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelotiller/internal/config/registrar"
)

// simulationStep is the step of virtual time in the simulation.
const simulationStep = 10 * time.Millisecond

// testTolerance is the tolerance in one customer's settings.
var testTolerance = Tolerance{Window: 8 * time.Second, OverrunFraction: 0.1, Extra: 140_000}

// maxPerWindow is the most that may be admitted in any window.
func maxPerWindow(o registrar.Organisation) float64 {
	return o.Rate*testTolerance.Window.Seconds() + o.Burst + testTolerance.slack(o)
}

// fleet simulates daemons in virtual time that share one organisation's allowance.
type fleet struct {
	org   registrar.Organisation
	rnd   *rand.Rand
	nodes []*node
	now   time.Time
	// reportDelay is how long reports of admissions take to reach the other daemons.
	reportDelay time.Duration
	// admittedPerStep holds the tokens that were admitted in each step.
	admittedPerStep               []float64
	requested, admitted           float64
	largeRequested, largeAdmitted int
	// extrapolatedRate is what hubs assume isolated daemons to admit per second, from
	// extrapolatedFrom on.
	extrapolatedRate float64
	extrapolatedFrom time.Time
}

// node is one simulated daemon.
type node struct {
	*Allowances
	// requestFraction is the fraction of the requests that it receives.
	requestFraction float64
	// side is the side of a network partition that it is on.
	side int
	// unreported is what it admitted in each step whose report is still on its way.
	unreported map[int]float64
	// admitRate averages what it admits per second.
	admitRate float64
	// joinsAt is when a restarted daemon starts to receive messages from the others.
	joinsAt time.Time
}

func newFleet(n int, reportDelay time.Duration, org registrar.Organisation, seed uint64) *fleet {
	f := &fleet{org: org, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), reportDelay: reportDelay}
	sum := 0.0
	for range n {
		d := &node{Allowances: NewAllowances(Config{StartFull: true, Tolerance: testTolerance}), requestFraction: 0.2 + f.rnd.Float64(), unreported: make(map[int]float64)}
		d.Configure([]registrar.Organisation{org}, f.now)
		sum += d.requestFraction
		f.nodes = append(f.nodes, d)
	}
	for _, d := range f.nodes {
		d.requestFraction /= sum
	}
	f.partition(0)
	return f
}

// partition cuts the first daemons off from the rest, and all daemons detect it at once. Zero
// heals all partitions.
func (f *fleet) partition(first int) {
	f.partitionUndetected(first)
	f.detectUnreachable()
}

// partitionUndetected cuts the first daemons off from the rest.
func (f *fleet) partitionUndetected(first int) {
	for i, d := range f.nodes {
		d.side = 0
		if i < first {
			d.side = 1
		}
	}
}

// isolateEach cuts each of the first daemons off from all other daemons.
func (f *fleet) isolateEach(first int) {
	f.partitionUndetected(0)
	for i, d := range f.nodes[:first] {
		d.side = 1 + i
	}
}

// extrapolationDelay is how long reports of a daemon are missing before hubs extrapolate them.
const extrapolationDelay = time.Second

// extrapolateIsolated makes the hubs extrapolate the admissions of isolated daemons from their
// last rates.
func (f *fleet) extrapolateIsolated() {
	for _, d := range f.nodes {
		if d.side != 0 {
			f.extrapolatedRate += d.admitRate
		}
	}
	f.extrapolatedFrom = f.now.Add(extrapolationDelay)
}

// detectUnreachable sets at each daemon how many others are unreachable, and ends extrapolation.
func (f *fleet) detectUnreachable() {
	f.extrapolatedRate = 0
	for _, d := range f.nodes {
		unreachable := 0
		for _, e := range f.nodes {
			if e.side != d.side {
				unreachable++
			}
		}
		d.SetMembers(len(f.nodes), unreachable, f.reportDelay, f.now)
	}
}

// runOverloadWithIsolated runs the fleet under overload and isolates n daemons after some time, for
// a span in which hubs extrapolate their admissions.
func (f *fleet) runOverloadWithIsolated(n int, after, span time.Duration) {
	f.run(10*time.Second, 0.55)
	f.run(after, 4.2)
	f.isolateEach(n)
	f.extrapolateIsolated()
	f.run(span, 4.2)
}

// admitRateWeight is the weight of the latest step in the average of admitRate.
const admitRateWeight = 0.005

// joinDelay is how long a restarted daemon receives no messages from others.
const joinDelay = 200 * time.Millisecond

// restart restarts daemons without any state from before.
func (f *fleet) restart(nodes ...*node) {
	for _, d := range nodes {
		d.Allowances = NewAllowances(Config{Tolerance: testTolerance})
		d.Configure([]registrar.Organisation{f.org}, f.now)
		d.SetMembers(16, 15, f.reportDelay, f.now)
		d.joinsAt = f.now.Add(joinDelay)
	}
}

// joinRestarted lets restarted daemons receive messages from the others and adopt their levels.
func (f *fleet) joinRestarted() {
	for _, d := range f.nodes {
		if d.joinsAt.IsZero() || f.now.Before(d.joinsAt) {
			continue
		}
		d.joinsAt = time.Time{}
		d.SetMembers(len(f.nodes), 0, f.reportDelay, f.now)
		for _, e := range f.nodes {
			if left, ok := e.KnownLevels()[f.org.Name]; ok && e != d {
				d.AdoptLevel(f.org.Name, left)
			}
		}
	}
}

// run simulates a span in which x times the rate of the allowance is requested.
func (f *fleet) run(span time.Duration, x float64) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		f.joinRestarted()
		i := len(f.admittedPerStep)
		f.admittedPerStep = append(f.admittedPerStep, 0)
		for _, d := range f.nodes {
			d.unreported[i] = f.sendRequests(d, x*f.org.Rate*d.requestFraction*simulationStep.Seconds())
			f.admittedPerStep[i] += d.unreported[i]
			d.admitRate += admitRateWeight * (d.unreported[i]/simulationStep.Seconds() - d.admitRate)
		}
		f.deliverReports(i - int(f.reportDelay/simulationStep))
	}
}

// sendRequests sends small and large requests with that many tokens on average to a daemon, and
// returns the tokens that it admits.
func (f *fleet) sendRequests(d *node, tokens float64) float64 {
	const small, large, largeFraction = 2_400.0, 20_000.0, 0.2
	mean := small*(1-largeFraction) + large*largeFraction
	total := 0.0
	for n := tokens / mean; f.rnd.Float64() < n; n-- {
		cost := small * (0.5 + f.rnd.Float64())
		isLarge := f.rnd.Float64() < largeFraction
		if isLarge {
			cost = large * (0.5 + f.rnd.Float64())
			f.largeRequested++
		}
		f.requested += cost
		if !d.Admit(f.org.Name, cost, f.now).Admitted {
			continue
		}
		total += cost
		if isLarge {
			f.largeAdmitted++
		}
	}
	f.admitted += total
	return total
}

// extrapolatedCost returns what hubs extrapolate for a step. The first step also covers
// extrapolationDelay.
func (f *fleet) extrapolatedCost() float64 {
	switch took := f.now.Sub(f.extrapolatedFrom); {
	case f.extrapolatedRate == 0 || took < 0:
		return 0
	case took < simulationStep:
		return f.extrapolatedRate * extrapolationDelay.Seconds()
	}
	return f.extrapolatedRate * simulationStep.Seconds()
}

// deliverReports delivers the reports of what each daemon admitted in step i to the daemons on the
// same side of a partition.
func (f *fleet) deliverReports(i int) {
	if i < 0 {
		return
	}
	sums, sizes := make(map[int]float64), make(map[int]int)
	for _, d := range f.nodes {
		sums[d.side] += d.unreported[i]
		sizes[d.side]++
	}
	extrapolated := f.extrapolatedCost()
	for _, d := range f.nodes {
		if sizes[d.side] > 1 {
			d.RecordReport(f.now)
		}
		others := sums[d.side] - d.unreported[i]
		if d.side == 0 {
			others += extrapolated
		}
		if others > 0 {
			d.ChargePeer(f.org.Name, others, 0, f.now)
		}
		delete(d.unreported, i)
	}
}

// maxAdmitted returns the most that was admitted within any window.
func (f *fleet) maxAdmitted(window time.Duration) float64 {
	n, sum, maxAdmitted := int(window/simulationStep), 0.0, 0.0
	for i, p := range f.admittedPerStep {
		sum += p
		if i >= n {
			sum -= f.admittedPerStep[i-n]
		}
		maxAdmitted = max(maxAdmitted, sum)
	}
	return maxAdmitted
}

// fleetSize is a simulated number of daemons, with the delays and the rate that go with it.
type fleetSize struct {
	// daemons is the size of the fleet, partition the number of daemons that a test cuts off together.
	daemons, partition int
	// reportDelay is how long reports take to arrive, hubDetectDelay how long hubs take to detect
	// a partition, and unreachableDelay how long until a daemon is treated as unreachable.
	reportDelay, hubDetectDelay, unreachableDelay time.Duration
	rate                                          float64
}

var fleetSizes = []fleetSize{
	{9, 3, 150 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 60_000},
	{9, 3, 150 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 172_000},
	{65, 23, 600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 569_000},
	{195, 60, 700 * time.Millisecond, 2 * time.Second, 8500 * time.Millisecond, 570_000},
	{420, 100, 800 * time.Millisecond, 2 * time.Second, 17500 * time.Millisecond, 900_000},
}

// checkLimit runs a scenario with one organisation in fleets of several sizes, with several
// seeds, and checks that no window admits more than maxPerWindow.
func checkLimit(t *testing.T, sizes []fleetSize, seeds uint64, runScenario func(t *testing.T, f *fleet, s fleetSize)) {
	for _, s := range sizes {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d daemons, rate %.0f, seed %d", s.daemons, s.rate, seed), func(t *testing.T) {
				org := registrar.Organisation{Name: "o", Rate: s.rate, Burst: s.rate}
				f := newFleet(s.daemons, s.reportDelay, org, seed)
				runScenario(t, f, s)
				if got, want := f.maxAdmitted(testTolerance.Window), maxPerWindow(org); got > want {
					t.Errorf("got %.0f in a window, want %.0f at most", got, want)
				}
			})
		}
	}
}
