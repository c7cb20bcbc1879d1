// Package reporter sums up what came of a load: cost at the latency target,
// recomputed tokens, latency percentiles, refusals, unanswered and doubled
// requests.
package reporter

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/remote/inferrer"
)

// Outcome is what came of one request. Times count from the intended start, so
// that a load that falls behind does not hide the wait it causes.
type Outcome struct {
	Request planner.Request
	// Refusal is the kind of refusal, empty if there was none.
	Refusal string
	// Whole says that the whole answer arrived.
	Whole bool
	// First is the time to the first token.
	First time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Total is the time to the end of the answer.
	Total time.Duration
}

// Config configures a report.
type Config struct {
	Scenario planner.Scenario
	// Computed and Cached are the prompt tokens that the engines computed and
	// took from their caches during the load.
	Computed, Cached int64
	// Doubled is the number of orders that ran more than once.
	Doubled int
	// Elapsed is the time that the hosts were paid for.
	Elapsed time.Duration
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Group is the part of a report that concerns one organisation or kind.
type Group struct {
	Name     string      `json:"name"`
	Requests int         `json:"requests"`
	Answered int         `json:"answered"`
	OnTime   int         `json:"on_time"`
	First    Percentiles `json:"first_ms"`

	first histogram
}

// Report is the sum of a load.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// OnTime counts answers that met the latency target.
	OnTime int `json:"on_time"`
	// Refusals counts refused requests by kind.
	Refusals map[string]int `json:"refusals"`
	// Unanswered counts requests that were neither refused nor wholly
	// answered.
	Unanswered int `json:"unanswered"`
	Doubled    int `json:"doubled"`
	// Cost is what the hosts cost during the load, and CostPerThousand that
	// for each 1,000 requests answered on time; it is 0 if there are none.
	Cost            float64 `json:"cost"`
	CostPerThousand float64 `json:"cost_per_1000_on_time"`
	// PromptTokens is the length of all answered prompts.
	PromptTokens int64 `json:"prompt_tokens"`
	Computed     int64 `json:"computed_tokens"`
	Cached       int64 `json:"cached_tokens"`
	// Recomputed counts prompt tokens computed beyond the first time each
	// distinct prefix was needed.
	Recomputed    int64       `json:"recomputed_tokens"`
	First         Percentiles `json:"first_ms"`
	Between       Percentiles `json:"between_ms"`
	Organisations []Group     `json:"organisations"`
	Kinds         []Group     `json:"kinds"`

	first, between histogram
}

// New sums up the outcomes of a load.
func New(cfg Config, outcomes []Outcome) Report {
	s := cfg.Scenario
	r := Report{
		Scenario: s.Name, Seed: s.Seed, Refusals: make(map[string]int), Doubled: cfg.Doubled,
		Computed: cfg.Computed, Cached: cfg.Cached, first: newHistogram(), between: newHistogram(),
	}
	orgs, kinds := newGroups(), newGroups()
	for _, o := range s.Organisations {
		orgs.get(o.Name)
	}
	for _, k := range s.Kinds {
		kinds.get(k.Name)
	}
	fresh := newDistinct()
	for _, o := range outcomes {
		r.add(o, s.Target)
		fresh.add(o)
		for _, g := range []*Group{orgs.get(o.Request.Organisation.Name), kinds.get(o.Request.Kind.Name)} {
			g.add(o, s.Target)
		}
	}
	r.PromptTokens = fresh.all
	r.Recomputed = max(0, r.Computed-fresh.tokens)
	r.First, r.Between = r.first.percentiles(), r.between.percentiles()
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
	case !o.Whole:
		r.Unanswered++
		return
	}
	r.Answered++
	if o.OnTime(target) {
		r.OnTime++
	}
	if o.Request.Kind.Path == "" {
		r.first.add(o.First)
		for _, g := range o.Gaps {
			r.between.add(g)
		}
	}
}

// OnTime reports whether a whole answer met the target: the first token in
// time, and the rest at the wanted pace on average. An order meets it by its
// whole answer.
func (o Outcome) OnTime(t loader.Target) bool {
	if !o.Whole || o.First > t.First.Std() {
		return false
	}
	var between time.Duration
	for _, g := range o.Gaps {
		between += g
	}
	return len(o.Gaps) == 0 || between/time.Duration(len(o.Gaps)) <= t.Token.Std()
}

func (g *Group) add(o Outcome, target loader.Target) {
	g.Requests++
	if !o.Whole {
		return
	}
	g.Answered++
	g.first.add(o.First)
	if o.OnTime(target) {
		g.OnTime++
	}
}

// groups keeps groups in the order of their first mention.
type groups struct {
	names []string
	all   map[string]*Group
}

func newGroups() *groups { return &groups{all: make(map[string]*Group)} }

func (g *groups) get(name string) *Group {
	if g.all[name] == nil {
		g.names = append(g.names, name)
		g.all[name] = &Group{Name: name, first: newHistogram()}
	}
	return g.all[name]
}

func (g *groups) list() []Group {
	var out []Group
	for _, name := range g.names {
		one := *g.all[name]
		one.First = one.first.percentiles()
		out = append(out, one)
	}
	return out
}

// distinct counts the tokens of distinct prefixes.
type distinct struct {
	blocks      map[uint64]bool
	tokens, all int64
}

func newDistinct() *distinct { return &distinct{blocks: make(map[uint64]bool)} }

func (d *distinct) add(o Outcome) {
	if o.Request.Kind.Path != "" || !o.Whole {
		return
	}
	text := o.Request.Prompt()
	n := inferrer.Tokens(text)
	d.all += int64(n)
	hashes := inferrer.BlockHashes(o.Request.Kind.Route, text)
	for _, h := range hashes {
		if !d.blocks[h] {
			d.blocks[h] = true
			d.tokens += inferrer.BlockTokens
		}
	}
	// Tokens after the last full block can never be taken from the cache, and
	// the last token of a prompt is always computed.
	d.tokens += int64(max(1, n-len(hashes)*inferrer.BlockTokens))
}

const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3
)

// histogram records latencies.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// Values are cut to the range, so that recording cannot fail.
	_ = h.h.RecordValue(min(max(int64(d/histogramUnit), 1), histogramMax))
}

func (h histogram) percentiles() Percentiles {
	at := func(p float64) float64 { return milliseconds(h.h.ValueAtPercentile(p)) }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: milliseconds(h.h.Max())}
}

func milliseconds(units int64) float64 {
	return math.Round(float64(units)*float64(histogramUnit)/float64(time.Millisecond)*100) / 100
}
