// Package generator simulates a language-model engine for tests. The tokens of
// an answer depend only on the model version and the prompt, so a test can
// compute the expected answer whichever engines generated it.
package generator

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/remote/inferrer"
)

// Config configures a simulated engine.
type Config struct {
	// Versions are the versions loaded at the start.
	Versions []string `yaml:"versions"`
	// FirstToken is added to the time to the first token.
	FirstToken time.Duration `yaml:"first"`
	// TokenTime is the time between tokens; it is added to the model's steps.
	TokenTime time.Duration `yaml:"token"`
	// Model is the speed and memory of the engine.
	Model Model `yaml:"model"`
	// EventLag is the time before a cache event becomes visible, and EventLoss
	// the fraction of events that are lost.
	EventLag  time.Duration `yaml:"event_lag"`
	EventLoss float64       `yaml:"event_loss"`
	// ReportLag is the least age of the counts in a load report.
	ReportLag time.Duration `yaml:"report_lag"`
	// Seed seeds the random choice of lost events.
	Seed uint64 `yaml:"seed"`
	// MaxTokens is the length in tokens of an answer if the request sets no limit.
	MaxTokens int `yaml:"length"`
	// Fencing makes the engine refuse orders with an old fencing token.
	Fencing bool `yaml:"fencing"`
	// LoadTime is the time between an order to load a version and its availability.
	LoadTime time.Duration `yaml:"load"`
	// Faulty maps a model version to the fault that it shows.
	Faulty map[string]Fault `yaml:"faulty"`
}

// Fault is a kind of fault that all requests to a model version meet.
type Fault string

const (
	// FaultErrors answers every request with status 500.
	FaultErrors Fault = "errors"
	// FaultSlow multiplies the time to the first token and between tokens.
	FaultSlow Fault = "slow"
	// FaultShort generates half of the tokens.
	FaultShort Fault = "short"
)

const (
	defaultMaxTokens = 16
	// maxStepDelay bounds the delay of a step that runBatch makes up for by
	// shortening later steps.
	maxStepDelay = 100 * time.Millisecond
)

// Generator is one simulated engine with continuous batching and a prefix cache.
// All methods are safe for concurrent use.
type Generator struct {
	cfg              Config
	mu               sync.Mutex
	versions         map[string]bool
	cancels          map[string]func()
	leaving          bool
	highestFence     uint64
	startedByVersion map[string]int
	answerFaults     answerFaultSource
	kvCaches         kvCacheStore
	batch            *Batch
	events           *Events
	// isBatchRunning is set while a goroutine executes runBatch.
	isBatchRunning bool
	// reportedLoad is the load in current reports. nextLoad replaces it once it is
	// as old as the report lag.
	reportedLoad, nextLoad timestampedLoad
}

// timestampedLoad is a load with the time at which it was measured.
type timestampedLoad struct {
	inferrer.Load
	at time.Time
}

// New returns an engine without requests that has the configured versions loaded.
func New(cfg Config) *Generator {
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
	cfg.Model.StepTime += cfg.TokenTime
	g := &Generator{
		cfg:              cfg,
		versions:         make(map[string]bool),
		cancels:          make(map[string]func()),
		startedByVersion: make(map[string]int),
		batch:            NewBatch(cfg.Model),
		events:           NewEvents(cfg.EventLag, cfg.EventLoss, cfg.Seed),
	}
	g.batch.OnCacheChange = func(kind inferrer.EventKind, blocks []uint64) { g.events.Add(time.Now(), kind, blocks) }
	for _, v := range cfg.Versions {
		g.versions[v] = true
	}
	return g
}

// SetLeaving sets whether the engine's host is being reclaimed. A leaving engine
// refuses new requests.
func (g *Generator) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
}

// Load returns the engine's load report.
func (g *Generator) Load() inferrer.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.laggedLoad(time.Now())
	l.Versions, l.Leaving, l.Fence = []string{}, g.leaving, g.highestFence
	for v := range g.versions {
		l.Versions = append(l.Versions, v)
	}
	return l
}

// laggedLoad returns counts that are at least as old as the report lag. The
// caller must hold g.mu.
func (g *Generator) laggedLoad(now time.Time) inferrer.Load {
	current := timestampedLoad{g.batch.Load(), now}
	// Running also counts requests that are not in the batch yet, since FirstToken
	// delays them.
	current.Running = len(g.cancels) - current.Waiting
	if g.cfg.ReportLag == 0 {
		return current.Load
	}
	if now.Sub(g.nextLoad.at) >= g.cfg.ReportLag {
		g.reportedLoad, g.nextLoad = g.nextLoad, current
	}
	return g.reportedLoad.Load
}

// Events returns the visible cache events with at least the given number.
func (g *Generator) Events(from uint64) []inferrer.Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events.From(time.Now(), from)
}

// Totals returns the tokens that the engine has computed so far.
func (g *Generator) Totals() Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.batch.Totals()
}

// submitJob queues a job and starts runBatch unless it is running.
func (g *Generator) submitJob(j *Job) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.batch.Submit(j); err != nil {
		return err
	}
	if !g.isBatchRunning {
		g.isBatchRunning = true
		go g.runBatch()
	}
	return nil
}

// withdrawJob cancels a job if it is still in the batch.
func (g *Generator) withdrawJob(j *Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.batch.Cancel(j)
}

// runBatch executes the steps of the batch in real time until the batch is
// empty. If a step ends late, the next one is shorter.
func (g *Generator) runBatch() {
	end := time.Now()
	for {
		g.mu.Lock()
		d, ok := g.batch.Begin()
		if !ok {
			g.isBatchRunning = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		if end = end.Add(d); time.Since(end) > maxStepDelay {
			end = time.Now()
		}
		time.Sleep(time.Until(end))
		g.mu.Lock()
		g.batch.Finish()
		g.mu.Unlock()
	}
}

// Served returns the number of completions started for each version.
func (g *Generator) Served() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	startedByVersion := make(map[string]int, len(g.startedByVersion))
	for v, n := range g.startedByVersion {
		startedByVersion[v] = n
	}
	return startedByVersion
}

// applyOrder loads or unloads a version. It returns inferrer.ErrFenced if the
// fencing token of the order is old.
func (g *Generator) applyOrder(o inferrer.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Fencing && o.Fence < g.highestFence {
		return fmt.Errorf("%w: got %d, have seen %d", inferrer.ErrFenced, o.Fence, g.highestFence)
	}
	g.highestFence = max(g.highestFence, o.Fence)
	switch o.Kind {
	case inferrer.OrderLoad:
		time.AfterFunc(g.cfg.LoadTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.versions[o.Version] = true
		})
	case inferrer.OrderUnload:
		delete(g.versions, o.Version)
	}
	return nil
}

// Token returns token n of the answer of a model version to a prompt.
func Token(version, prompt string, n int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", version, prompt, n))
	return words[h%uint64(len(words))] + " "
}

// Text returns the first n tokens of the answer of a model version to a prompt.
func Text(version, prompt string, n int) string {
	var s string
	for i := range n {
		s += Token(version, prompt, i)
	}
	return s
}

// words is the vocabulary of the answers.
var words = []string{
	"lamp", "road", "wharf", "campus", "crew", "van", "route", "site", "panel", "clean",
	"dawn", "note", "town", "stand", "permit", "stall", "beach", "market", "office", "form",
	"north", "south", "east", "west", "first", "second", "third", "before", "after", "with",
}
