package scaler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// samplePeriod is the time between two samples of the totals.
	samplePeriod = 250 * time.Millisecond
	// recentWindow is the time over which the recent prompt rate is computed, and steadyWindow the
	// time for the steady one.
	recentWindow = 2500 * time.Millisecond
	steadyWindow = 8 * time.Second
)

// DemandMeter adds up the demand that all daemons receive, by service, and computes prompt token
// rates from samples of the totals.
type DemandMeter struct {
	mu        sync.Mutex
	ownDemand map[string]sharer.Demand
	peers     map[string]peerDemand
	// returns limits the demand of callers that return, by service.
	returns map[string]*returnBudget
	// samples holds the prompt tokens requested of all daemons at past instants.
	samples []sample
	// newPeers counts the daemons that became known or reachable since the latest sample, and trendFrom is
	// the latest sample before which they were at least minNewPeerFraction of all.
	newPeers  int
	trendFrom time.Time
}

// peerDemand is the latest demand reported by one incarnation of another daemon.
type peerDemand struct {
	incarnation int64
	demands     map[string]sharer.Demand
}

// sample is the prompt tokens requested of each service up to an instant.
type sample struct {
	at           time.Time
	promptTokens map[string]float64
}

// NewDemandMeter returns a DemandMeter without demand.
func NewDemandMeter() *DemandMeter {
	return &DemandMeter{ownDemand: make(map[string]sharer.Demand), peers: make(map[string]peerDemand), returns: make(map[string]*returnBudget)}
}

// RecordRequest records a request that reached this daemon, also one that is refused then. mayReturn says
// that its caller may have been refused before.
func (g *DemandMeter) RecordRequest(service string, uncomputed, output int, mayReturn bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.ownDemand[service]
	d.Service = service
	d.Requests++
	if g.returnBudget(service).counts(float64(uncomputed), mayReturn) {
		d.Prompt += float64(uncomputed)
	}
	d.Output += float64(output)
	g.ownDemand[service] = d
}

// RecordRefusal records a request that this daemon refused for lack of endpoints.
func (g *DemandMeter) RecordRefusal(service string, uncomputed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.ownDemand[service]
	d.Service = service
	d.Refused++
	g.ownDemand[service] = d
	g.returnBudget(service).refused += float64(uncomputed)
}

func (g *DemandMeter) returnBudget(service string) *returnBudget {
	b := g.returns[service]
	if b == nil {
		b = &returnBudget{}
		g.returns[service] = b
	}
	return b
}

// OwnDemand returns the totals of this daemon, which it sends to the others.
func (g *DemandMeter) OwnDemand() []sharer.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]sharer.Demand, 0, len(g.ownDemand))
	for _, name := range slices.Sorted(maps.Keys(g.ownDemand)) {
		out = append(out, g.ownDemand[name])
	}
	return out
}

// RecordPeerDemand records the totals of another daemon. The totals of a new
// incarnation start at zero, so RecordPeerDemand subtracts those of the former incarnation from the
// samples. It also shifts the samples by what a daemon received before its first report or while it
// was unreachable, since that demand is not part of the current rate.
func (g *DemandMeter) RecordPeerDemand(name string, incarnation int64, demands []sharer.Demand, wasUnreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := peerDemand{incarnation, make(map[string]sharer.Demand, len(demands))}
	for _, d := range demands {
		h.demands[d.Service] = d
	}
	old, known := g.peers[name]
	g.peers[name] = h
	sameIncarnation := known && old.incarnation == incarnation
	if sameIncarnation && !wasUnreachable {
		return
	}
	if !known || sameIncarnation {
		g.newPeers++
	}
	for service := range unionServices(old.demands, h.demands) {
		shift := old.demands[service].Prompt
		if !known || sameIncarnation {
			shift -= h.demands[service].Prompt
		}
		for _, s := range g.samples {
			s.promptTokens[service] -= shift
		}
	}
}

func unionServices(a, b map[string]sharer.Demand) map[string]bool {
	out := make(map[string]bool)
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}

// PromptRates returns the prompt tokens per second requested of all daemons, over recentWindow and
// over steadyWindow.
func (g *DemandMeter) PromptRates(service string, now time.Time) (recent, steady float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sample(now)
	return g.promptRate(service, now, recentWindow), g.promptRate(service, now, steadyWindow)
}

// promptRate returns the prompt tokens per second over a window.
func (g *DemandMeter) promptRate(service string, now time.Time, window time.Duration) float64 {
	samples := g.samples
	for len(samples) > 1 && now.Sub(samples[0].at) > window {
		samples = samples[1:]
	}
	first, last := samples[0], samples[len(samples)-1]
	elapsed := last.at.Sub(first.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return max(last.promptTokens[service]-first.promptTokens[service], 0) / elapsed
}

// sample records the totals if samplePeriod has passed, and drops samples older than steadyWindow.
func (g *DemandMeter) sample(now time.Time) {
	if n := len(g.samples); n > 0 {
		elapsed := now.Sub(g.samples[n-1].at)
		if elapsed < samplePeriod {
			return
		}
		for _, b := range g.returns {
			b.decay(elapsed)
		}
	}
	s := sample{at: now, promptTokens: make(map[string]float64)}
	for name, d := range g.ownDemand {
		s.promptTokens[name] += d.Prompt
	}
	for _, h := range g.peers {
		for name, d := range h.demands {
			s.promptTokens[name] += d.Prompt
		}
	}
	if g.newPeers > 0 && float64(g.newPeers) >= minNewPeerFraction*float64(len(g.peers)) {
		g.trendFrom = now
	}
	g.newPeers = 0
	g.samples = append(g.samples, s)
	for len(g.samples) > 1 && now.Sub(g.samples[0].at) > steadyWindow {
		g.samples = g.samples[1:]
	}
}
