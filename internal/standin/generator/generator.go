// Package generator is a small stand-in for a model engine. Its answers are a
// function of version and prompt alone, so that a test can tell each token of
// an answer in advance, whichever engines had a part in it.
package generator

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/platform/inferrer"
)

// Config configures an engine.
type Config struct {
	// Versions are the versions loaded at the start.
	Versions []string `yaml:"versions"`
	// FirstToken is the time to the first token.
	FirstToken time.Duration `yaml:"first"`
	// TokenTime is the time between tokens.
	TokenTime time.Duration `yaml:"token"`
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

const defaultMaxTokens = 16

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
}

// New returns an engine.
func New(cfg Config) *Generator {
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
	g := &Generator{
		cfg:      cfg,
		versions: make(map[string]bool),
		running:  make(map[string]func()),
		served:   make(map[string]int),
	}
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
	l := inferrer.Load{Versions: []string{}, Running: len(g.running), Leaving: g.leaving, Fence: g.fence}
	for v := range g.versions {
		l.Versions = append(l.Versions, v)
	}
	return l
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
