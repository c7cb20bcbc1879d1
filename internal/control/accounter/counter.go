// Package accounter counts the requests of each organisation by windows of the
// wall clock and reports each window once. Every daemon knows the counts of all;
// the report of a window is fixed in the store before it is sent, so that
// whoever sends it, and however often, sends the same.
package accounter

import (
	"cmp"
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
	self  origin
	width time.Duration

	mu  sync.Mutex
	own map[int64]map[string]int
	// fixed is the latest window whose report any daemon has fixed.
	fixed int64
	// others holds the counts of each start of each other daemon.
	others map[origin]map[int64]map[string]int
}

// origin is one start of a daemon.
type origin struct {
	name string
	boot int64
}

// NewCounter returns a counter of windows of that width at one start of a daemon.
func NewCounter(name string, boot int64, width time.Duration) *Counter {
	return &Counter{self: origin{name, boot}, width: width, own: make(map[int64]map[string]int), others: make(map[origin]map[int64]map[string]int)}
}

// Window returns the number of the window that an instant falls into.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.width) }

// End returns when a window ends.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.width)) }

// RecordStart counts a request that began to run.
func (c *Counter) RecordStart(organisation string, at time.Time) {
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

// Export returns the counts after a window by starts of daemons, as far as they are
// known here.
func (c *Counter) Export(after int64) []sharer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := exported(nil, c.self, c.own, after)
	origins := slices.SortedFunc(maps.Keys(c.others), func(a, b origin) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.boot, b.boot))
	})
	for _, o := range origins {
		out = exported(out, o, c.others[o], after)
	}
	return out
}

// exported appends the counts of one start of a daemon after a window, if there are
// any.
func exported(out []sharer.Report, o origin, windows map[int64]map[string]int, after int64) []sharer.Report {
	r := sharer.Report{Name: o.name, Boot: o.boot}
	for _, w := range slices.Sorted(maps.Keys(windows)) {
		if w > after {
			r.Windows = append(r.Windows, sharer.Window{Number: w, Counts: maps.Clone(windows[w])})
		}
	}
	if len(r.Windows) == 0 {
		return out
	}
	return append(out, r)
}

// Fixed returns the latest window whose report is known to be fixed.
func (c *Counter) Fixed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fixed
}

// SetFixed notes that the report of a window was fixed. One that is not over cannot be,
// whatever a message says.
func (c *Counter) SetFixed(window int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if window < c.Window(now) {
		c.fixed = max(c.fixed, window)
	}
}

// Merge takes in what another daemon knew. Counts only grow, so of two the larger is
// the later one.
func (c *Counter) Merge(counts []sharer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range counts {
		o := origin{r.Name, r.Boot}
		if o == c.self {
			continue
		}
		if c.others[o] == nil {
			c.others[o] = make(map[int64]map[string]int)
		}
		for _, w := range r.Windows {
			c.others[o][w.Number] = larger(c.others[o][w.Number], w.Counts)
		}
	}
}

// larger returns the larger of two counts of each organisation.
func larger(a, b map[string]int) map[string]int {
	out := maps.Clone(a)
	if out == nil {
		out = make(map[string]int, len(b))
	}
	for org, n := range b {
		out[org] = max(out[org], n)
	}
	return out
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
