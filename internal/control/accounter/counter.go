// Package accounter counts the requests of each organisation by windows of the
// wall clock and reports each window once. Every daemon knows the counts of all;
// the report of a window is fixed in the store before it is sent, so that
// whoever sends it, and however often, sends the same.
package accounter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// keptWindows is the number of past windows whose counts are kept and shared.
const keptWindows = 4

// Counter holds the counts of this daemon and of all others.
type Counter struct {
	width time.Duration

	mu  sync.Mutex
	own map[int64]map[string]int
	// others holds the counts of each start of each other daemon.
	others map[origin]map[int64]map[string]int
}

// origin is one start of a daemon.
type origin struct {
	name string
	boot int64
}

// NewCounter returns a counter of windows of that width.
func NewCounter(width time.Duration) *Counter {
	return &Counter{width: width, own: make(map[int64]map[string]int), others: make(map[origin]map[int64]map[string]int)}
}

// Window returns the number of the window that an instant falls into.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.width) }

// End returns when a window ends.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.width)) }

// Began counts a request that began to run.
func (c *Counter) Began(organisation string, at time.Time) {
	if organisation == "" {
		return
	}
	w := c.Window(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own[w] == nil {
		c.own[w] = make(map[string]int)
		prune(c.own, w)
	}
	c.own[w][organisation]++
}

// prune drops windows that are too old to be reported still.
func prune(windows map[int64]map[string]int, latest int64) {
	for w := range windows {
		if w < latest-keptWindows {
			delete(windows, w)
		}
	}
}

// Shared returns the counts of this daemon for the others.
func (c *Counter) Shared() []sharer.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []sharer.Window
	for _, w := range slices.Sorted(maps.Keys(c.own)) {
		out = append(out, sharer.Window{Number: w, Counts: maps.Clone(c.own[w])})
	}
	return out
}

// Hear takes in the counts of another daemon.
func (c *Counter) Hear(name string, boot int64, windows []sharer.Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := origin{name, boot}
	if c.others[o] == nil {
		c.others[o] = make(map[int64]map[string]int)
	}
	latest := int64(0)
	for _, w := range windows {
		c.others[o][w.Number] = w.Counts
		latest = max(latest, w.Number)
	}
	prune(c.others[o], latest)
}

// Counts sums up a window over all daemons.
func (c *Counter) Counts(window int64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := maps.Clone(c.own[window])
	if out == nil {
		out = make(map[string]int)
	}
	for _, windows := range c.others {
		for org, n := range windows[window] {
			out[org] += n
		}
	}
	return out
}

// Forget drops the counts of starts of daemons that are over.
func (c *Counter) Forget(now time.Time) {
	latest := c.Window(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for o, windows := range c.others {
		prune(windows, latest)
		if len(windows) == 0 {
			delete(c.others, o)
		}
	}
}
