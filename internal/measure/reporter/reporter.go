// Package reporter summarises the outcomes of a load: cost at the latency target, recomputed tokens,
// latency percentiles, refusals, unanswered requests and orders that ran twice.
package reporter

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/remote/inferrer"
)

// Outcome is the result of one request. Its times count from the planned start, not from the sending,
// to avoid coordinated omission: a load generator that falls behind does not hide the delay.
type Outcome struct {
	Request planner.Request
	// Refusal is the kind of the refusal, empty if the request was not refused.
	Refusal string
	// Complete is true if all of the answer arrived.
	Complete bool
	// TimeToFirstToken of an order is the time to the end of its answer.
	TimeToFirstToken time.Duration
	// TokenGaps are the times between consecutive tokens.
	TokenGaps []time.Duration
	// TotalTime is the time to the end of the answer.
	TotalTime time.Duration
}

// Config configures a report.
type Config struct {
	Scenario planner.Scenario
	// ComputedTokens and CachedTokens are the prompt tokens that the engines computed, and those
	// that they took from their prefix caches, during the load.
	ComputedTokens, CachedTokens int64
	// DoubledOrders is the number of orders that ran more than once.
	DoubledOrders int
	// Elapsed is the time for which the hosts are paid.
	Elapsed time.Duration
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Group summarises the requests of one organisation or of one kind.
type Group struct {
	Name             string      `json:"name"`
	Requests         int         `json:"requests"`
	Answered         int         `json:"answered"`
	OnTime           int         `json:"on_time"`
	TimeToFirstToken Percentiles `json:"first_ms"`

	firstTokenTimes histogram
}

// Report summarises the outcomes of a load.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// OnTime counts answers that met the latency target.
	OnTime int `json:"on_time"`
	// Refusals counts refused requests by kind of refusal.
	Refusals map[string]int `json:"refusals"`
	// Unanswered counts requests without a refusal or a complete answer.
	Unanswered int `json:"unanswered"`
	// DoubledOrders counts orders that ran more than once.
	DoubledOrders int `json:"doubled"`
	// Cost is the price of the hosts during the load. CostPerThousand is the cost of 1,000 requests
	// answered on time, 0 if none was.
	Cost            float64 `json:"cost"`
	CostPerThousand float64 `json:"cost_per_1000_on_time"`
	// PromptTokens is the total length of all answered prompts.
	PromptTokens int64 `json:"prompt_tokens"`
	// ComputedTokens and CachedTokens are the prompt tokens that the engines computed, and those
	// that they took from their prefix caches.
	ComputedTokens int64 `json:"computed_tokens"`
	CachedTokens   int64 `json:"cached_tokens"`
	// RecomputedTokens counts the prompt tokens that were computed although a cache of unlimited size
	// would hold them: those beyond the first computation of each distinct prefix.
	RecomputedTokens  int64       `json:"recomputed_tokens"`
	TimeToFirstToken  Percentiles `json:"first_ms"`
	InterTokenLatency Percentiles `json:"between_ms"`
	Organisations     []Group     `json:"organisations"`
	Kinds             []Group     `json:"kinds"`

	firstTokenTimes, tokenGaps histogram
}

// New returns the report on the outcomes of a load.
func New(cfg Config, outcomes []Outcome) Report {
	s := cfg.Scenario
	r := Report{
		Scenario: s.Name, Seed: s.Seed, Refusals: make(map[string]int), DoubledOrders: cfg.DoubledOrders,
		ComputedTokens: cfg.ComputedTokens, CachedTokens: cfg.CachedTokens, firstTokenTimes: newHistogram(), tokenGaps: newHistogram(),
	}
	orgs, kinds := newGroups(), newGroups()
	for _, o := range s.Organisations {
		orgs.getOrAdd(o.Name)
	}
	for _, k := range s.Kinds {
		kinds.getOrAdd(k.Name)
	}
	prefixes := newPrefixCounter()
	for _, o := range outcomes {
		r.add(o, s.Target)
		prefixes.add(o)
		for _, g := range []*Group{orgs.getOrAdd(o.Request.Organisation.Name), kinds.getOrAdd(o.Request.Kind.Name)} {
			g.add(o, s.Target)
		}
	}
	r.PromptTokens = prefixes.promptTokens
	r.RecomputedTokens = max(0, r.ComputedTokens-prefixes.distinctTokens)
	r.TimeToFirstToken, r.InterTokenLatency = r.firstTokenTimes.percentiles(), r.tokenGaps.percentiles()
	r.Organisations, r.Kinds = orgs.list(), kinds.list()
	r.Cost = s.Price * cfg.Elapsed.Hours()
	if r.OnTime > 0 {
		r.CostPerThousand = r.Cost / float64(r.OnTime) * 1000
	}
	return r
}

func (r *Report) add(o Outcome, target loader.Target) {
	r.Requests++
	switch {
	case o.Refusal != "":
		r.Refusals[o.Refusal]++
		return
	case !o.Complete:
		r.Unanswered++
		return
	}
	r.Answered++
	if o.OnTime(target) {
		r.OnTime++
	}
	if o.Request.Kind.Path == "" {
		r.firstTokenTimes.add(o.TimeToFirstToken)
		for _, g := range o.TokenGaps {
			r.tokenGaps.add(g)
		}
	}
}

// OnTime reports whether the answer is complete and met the latency target: the first token in time,
// and the mean gap between tokens not above the target. Of an order only the end of the answer counts.
func (o Outcome) OnTime(t loader.Target) bool {
	if !o.Complete || o.TimeToFirstToken > t.First.Std() {
		return false
	}
	var between time.Duration
	for _, g := range o.TokenGaps {
		between += g
	}
	return len(o.TokenGaps) == 0 || between/time.Duration(len(o.TokenGaps)) <= t.Token.Std()
}

func (g *Group) add(o Outcome, target loader.Target) {
	g.Requests++
	if !o.Complete {
		return
	}
	g.Answered++
	g.firstTokenTimes.add(o.TimeToFirstToken)
	if o.OnTime(target) {
		g.OnTime++
	}
}

// groups holds groups by name, in the order in which they were added.
type groups struct {
	names  []string
	byName map[string]*Group
}

func newGroups() *groups { return &groups{byName: make(map[string]*Group)} }

func (g *groups) getOrAdd(name string) *Group {
	if g.byName[name] == nil {
		g.names = append(g.names, name)
		g.byName[name] = &Group{Name: name, firstTokenTimes: newHistogram()}
	}
	return g.byName[name]
}

func (g *groups) list() []Group {
	var out []Group
	for _, name := range g.names {
		one := *g.byName[name]
		one.TimeToFirstToken = one.firstTokenTimes.percentiles()
		out = append(out, one)
	}
	return out
}

// prefixCounter counts the prompt tokens of distinct prefixes, of which each needs to be computed
// only once.
type prefixCounter struct {
	seenBlocks map[uint64]bool
	// distinctTokens counts the tokens that a cache of unlimited size would still compute, and
	// promptTokens all tokens of the prompts.
	distinctTokens, promptTokens int64
}

func newPrefixCounter() *prefixCounter { return &prefixCounter{seenBlocks: make(map[uint64]bool)} }

func (d *prefixCounter) add(o Outcome) {
	if o.Request.Kind.Path != "" || !o.Complete {
		return
	}
	text := o.Request.Prompt()
	n := inferrer.Tokens(text)
	d.promptTokens += int64(n)
	hashes := inferrer.BlockHashes(o.Request.Kind.Route, text)
	for _, h := range hashes {
		if !d.seenBlocks[h] {
			d.seenBlocks[h] = true
			d.distinctTokens += inferrer.BlockTokens
		}
	}
	// Tokens after the last full block are never cached, and an engine always computes the last
	// token of a prompt.
	d.distinctTokens += int64(max(1, n-len(hashes)*inferrer.BlockTokens))
}

const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3
)

// histogram records latencies in an HDR histogram.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// RecordValue fails only for values out of range, and these are clamped.
	_ = h.h.RecordValue(min(max(int64(d/histogramUnit), 1), histogramMax))
}

// percentiles returns the latency percentiles in milliseconds.
func (h histogram) percentiles() Percentiles {
	at := func(p float64) float64 { return toMilliseconds(h.h.ValueAtPercentile(p)) }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: toMilliseconds(h.h.Max())}
}

// toMilliseconds converts units of the histogram to milliseconds, rounded to hundredths.
func toMilliseconds(units int64) float64 {
	return math.Round(float64(units)*float64(histogramUnit)/float64(time.Millisecond)*100) / 100
}
