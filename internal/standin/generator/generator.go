// Package generator is a small stand-in for a model engine. Its answers are a
// function of version and prompt alone, so that a test can tell each token of
// an answer in advance, whichever engines had a part in it.
package generator

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/remote/inferrer"
)

// Config configures an engine.
type Config struct {
	// Versions are the versions loaded at the start.
	Versions []string `yaml:"versions"`
	// FirstToken is added to the time to the first token.
	FirstToken time.Duration `yaml:"first"`
	// TokenTime is the time between tokens; it is added to the model's steps.
	TokenTime time.Duration `yaml:"token"`
	// Model states speed and memory.
	Model Model `yaml:"model"`
	// EventLag is how late cache events can be read, and EventLoss the part
	// of them that is lost.
	EventLag  time.Duration `yaml:"event_lag"`
	EventLoss float64       `yaml:"event_loss"`
	// ReportLag is how old the counts of a load report are.
	ReportLag time.Duration `yaml:"report_lag"`
	// Seed decides which events are lost.
	Seed uint64 `yaml:"seed"`
	// MaxTokens is the length of an answer whose request names none.
	MaxTokens int `yaml:"length"`
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool `yaml:"fencing"`
	// LoadTime is the time that loading a version takes.
	LoadTime time.Duration `yaml:"load"`
	// Faulty maps a version to the way in which it misbehaves.
	Faulty map[string]Fault `yaml:"faulty"`
}

// Fault is the way in which a version misbehaves.
type Fault string

// Faults of versions.
const (
	FaultErrors Fault = "errors"
	FaultSlow   Fault = "slow"
	FaultShort  Fault = "short"
)

const (
	defaultMaxTokens = 16
	// maxDelay bounds the lateness that later steps make up for.
	maxDelay = 100 * time.Millisecond
)

// Generator is one engine. All methods are safe for concurrent use.
type Generator struct {
	cfg      Config
	mu       sync.Mutex
	versions map[string]bool
	running  map[string]func()
	leaving  bool
	fence    uint64
	served   map[string]int
	answers  answerFaulter
	caches   kvKeeper
	batch    *Batch
	events   *Events
	// looping is set while a goroutine runs the batch.
	looping bool
	// shown is the load that reports show, and next the one after it.
	shown, next stampedLoad
}

// stampedLoad is a load with its time.
type stampedLoad struct {
	inferrer.Load
	at time.Time
}

// New returns an engine.
func New(cfg Config) *Generator {
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
	cfg.Model.StepTime += cfg.TokenTime
	g := &Generator{
		cfg:      cfg,
		versions: make(map[string]bool),
		running:  make(map[string]func()),
		served:   make(map[string]int),
		batch:    NewBatch(cfg.Model),
		events:   NewEvents(cfg.EventLag, cfg.EventLoss, cfg.Seed),
	}
	g.batch.Changed = func(kind inferrer.EventKind, blocks []uint64) { g.events.Add(time.Now(), kind, blocks) }
	for _, v := range cfg.Versions {
		g.versions[v] = true
	}
	return g
}

// SetLeaving says whether the engine's host is being reclaimed.
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
	l.Versions, l.Leaving, l.Fence = []string{}, g.leaving, g.fence
	for v := range g.versions {
		l.Versions = append(l.Versions, v)
	}
	return l
}

// laggedLoad returns counts that are at least as old as the report lag. The
// caller holds the lock.
func (g *Generator) laggedLoad(now time.Time) inferrer.Load {
	current := stampedLoad{g.batch.Load(), now}
	// Requests whose first token is delayed are not in the batch yet.
	current.Running = len(g.running) - current.Waiting
	if g.cfg.ReportLag == 0 {
		return current.Load
	}
	if now.Sub(g.next.at) >= g.cfg.ReportLag {
		g.shown, g.next = g.next, current
	}
	return g.shown.Load
}

// Events returns the visible cache events from a number on.
func (g *Generator) Events(from uint64) []inferrer.Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events.From(time.Now(), from)
}

// Totals returns what the engine has computed so far.
func (g *Generator) Totals() Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.batch.Totals()
}

// submit queues a job and sees to it that the batch runs.
func (g *Generator) submit(j *Job) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.batch.Submit(j); err != nil {
		return err
	}
	if !g.looping {
		g.looping = true
		go g.loop()
	}
	return nil
}

// withdraw takes a job out of the batch, if it is still there.
func (g *Generator) withdraw(j *Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.batch.Cancel(j)
}

// loop runs the batch in real time until it is empty. A step that was late
// shortens the wait of the next.
func (g *Generator) loop() {
	end := time.Now()
	for {
		g.mu.Lock()
		d, ok := g.batch.Begin()
		if !ok {
			g.looping = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		if end = end.Add(d); time.Since(end) > maxDelay {
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
	served := make(map[string]int, len(g.served))
	for v, n := range g.served {
		served[v] = n
	}
	return served
}

// order carries out an order, or returns inferrer.ErrFenced.
func (g *Generator) order(o inferrer.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Fencing && o.Fence < g.fence {
		return fmt.Errorf("%w: got %d, have seen %d", inferrer.ErrFenced, o.Fence, g.fence)
	}
	g.fence = max(g.fence, o.Fence)
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

// Token returns token number n of the answer of version to prompt.
func Token(version, prompt string, n int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", version, prompt, n))
	return words[h%uint64(len(words))] + " "
}

// Text returns the first n tokens of the answer of version to prompt.
func Text(version, prompt string, n int) string {
	var s string
	for i := range n {
		s += Token(version, prompt, i)
	}
	return s
}

var words = []string{
	"lamp", "road", "wharf", "campus", "crew", "van", "route", "site", "panel", "clean",
	"dawn", "note", "town", "stand", "permit", "stall", "beach", "market", "office", "form",
	"north", "south", "east", "west", "first", "second", "third", "before", "after", "with",
}
