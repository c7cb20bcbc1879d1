package scaler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// samplePeriod is the time between two samples of the sums.
	samplePeriod = 250 * time.Millisecond
	// span is what rates of late are taken over, and steadySpan steady ones.
	span       = 2500 * time.Millisecond
	steadySpan = 8 * time.Second
)

// Gauge sums up what all daemons are asked for, by service.
type Gauge struct {
	mu     sync.Mutex
	own    map[string]sharer.Demand
	others map[string]heard
	// past holds the sums of all daemons' prompt tokens over time.
	past []sample
}

// heard is the latest sums of one start of another daemon.
type heard struct {
	boot    int64
	demands map[string]sharer.Demand
}

// sample is the tokens asked for until an instant.
type sample struct {
	at     time.Time
	prompt map[string]float64
}

// NewGauge returns a gauge that has seen nothing.
func NewGauge() *Gauge {
	return &Gauge{own: make(map[string]sharer.Demand), others: make(map[string]heard)}
}

// RecordRequest counts a request that reached this daemon.
func (g *Gauge) RecordRequest(service string, unread, output int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.own[service]
	d.Service = service
	d.Requests++
	d.Prompt += float64(unread)
	d.Output += float64(output)
	g.own[service] = d
}

// RecordRefusal counts a request that was refused for want of endpoints.
func (g *Gauge) RecordRefusal(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.own[service]
	d.Service = service
	d.Refused++
	g.own[service] = d
}

// Shared returns the sums of this daemon for the others.
func (g *Gauge) Shared() []sharer.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]sharer.Demand, 0, len(g.own))
	for _, name := range slices.Sorted(maps.Keys(g.own)) {
		out = append(out, g.own[name])
	}
	return out
}

// Hear takes in the sums of another daemon. The sums of a new start begin anew,
// so that the past is moved by what the former start had; and by what was added
// while the daemon was silent, which is no rate of now.
func (g *Gauge) Hear(name string, boot int64, demands []sharer.Demand, wasSilent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := heard{boot, make(map[string]sharer.Demand, len(demands))}
	for _, d := range demands {
		h.demands[d.Service] = d
	}
	old, known := g.others[name]
	g.others[name] = h
	same := known && old.boot == boot
	if same && !wasSilent {
		return
	}
	for service := range union(old.demands, h.demands) {
		shift := old.demands[service].Prompt
		if !known || same {
			shift -= h.demands[service].Prompt
		}
		for _, s := range g.past {
			s.prompt[service] -= shift
		}
	}
}

func union(a, b map[string]sharer.Demand) map[string]bool {
	out := make(map[string]bool)
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}

// Prompt returns the prompt tokens a second that all daemons are asked for, of late
// and over a longer time.
func (g *Gauge) Prompt(service string, now time.Time) (late, steady float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sample(now)
	return g.rate(service, now, span), g.rate(service, now, steadySpan)
}

// rate returns the prompt tokens a second over a span.
func (g *Gauge) rate(service string, now time.Time, over time.Duration) float64 {
	past := g.past
	for len(past) > 1 && now.Sub(past[0].at) > over {
		past = past[1:]
	}
	first, last := past[0], past[len(past)-1]
	took := last.at.Sub(first.at).Seconds()
	if took <= 0 {
		return 0
	}
	return max(last.prompt[service]-first.prompt[service], 0) / took
}

// sample records the sums if it is time, and drops what is too old.
func (g *Gauge) sample(now time.Time) {
	if n := len(g.past); n > 0 && now.Sub(g.past[n-1].at) < samplePeriod {
		return
	}
	s := sample{at: now, prompt: make(map[string]float64)}
	for name, d := range g.own {
		s.prompt[name] += d.Prompt
	}
	for _, h := range g.others {
		for name, d := range h.demands {
			s.prompt[name] += d.Prompt
		}
	}
	g.past = append(g.past, s)
	for len(g.past) > 1 && now.Sub(g.past[0].at) > steadySpan {
		g.past = g.past[1:]
	}
}
