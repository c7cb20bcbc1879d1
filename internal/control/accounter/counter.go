// Package accounter counts the requests of each organisation in fixed windows of the wall clock
// and reports each window to the platform. Daemons share their counts, so that every daemon can
// sum up the fleet. The holder of the reporting duty writes the report of a window to the store
// before it sends it. This makes the report final: every retry, also by a later holder, sends
// the same counts.
package accounter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// retainedWindows is the number of past windows whose counts a daemon keeps and shares.
const retainedWindows = 4

// Counter counts requests by organisation and window. It also holds the counts that other
// daemons reported.
type Counter struct {
	self  incarnation
	width time.Duration

	mu        sync.Mutex
	ownCounts map[int64]map[string]int
	// finalWindow is the latest window whose report is known to be final.
	finalWindow int64
	// peerCounts holds the counts of each incarnation of each other daemon, by window.
	peerCounts map[incarnation]map[int64]map[string]int
}

// incarnation identifies one run of a daemon between two restarts.
type incarnation struct {
	name string
	boot int64
}

// NewCounter returns a counter for the daemon with that name and boot number; width is the
// duration of a window.
func NewCounter(name string, boot int64, width time.Duration) *Counter {
	return &Counter{self: incarnation{name, boot}, width: width, ownCounts: make(map[int64]map[string]int), peerCounts: make(map[incarnation]map[int64]map[string]int)}
}

// Window returns the number of the window that contains the time at.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.width) }

// End returns the time at which a window ends.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.width)) }

// RecordStart counts a request that began to run at the given time. Requests without an
// organisation are not counted.
func (c *Counter) RecordStart(organisation string, at time.Time) {
	if organisation == "" {
		return
	}
	w := c.Window(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownCounts[w] == nil {
		c.ownCounts[w] = make(map[string]int)
		dropOldWindows(c.ownCounts, w)
	}
	c.ownCounts[w][organisation]++
}

// dropOldWindows deletes the windows that are more than retainedWindows older than latest.
func dropOldWindows(windows map[int64]map[string]int, latest int64) {
	for w := range windows {
		if w < latest-retainedWindows {
			delete(windows, w)
		}
	}
}

// OwnWindows returns the counts of this daemon, to be sent to the other daemons.
func (c *Counter) OwnWindows() []sharer.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []sharer.Window
	for _, w := range slices.Sorted(maps.Keys(c.ownCounts)) {
		out = append(out, sharer.Window{Number: w, Counts: maps.Clone(c.ownCounts[w])})
	}
	return out
}

// RecordPeerCounts records the counts that an incarnation of another daemon reported.
func (c *Counter) RecordPeerCounts(name string, boot int64, windows []sharer.Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := incarnation{name, boot}
	if c.peerCounts[o] == nil {
		c.peerCounts[o] = make(map[int64]map[string]int)
	}
	latest := int64(0)
	for _, w := range windows {
		c.peerCounts[o][w.Number] = w.Counts
		latest = max(latest, w.Number)
	}
	dropOldWindows(c.peerCounts[o], latest)
}

// Export returns the counts of all known incarnations of daemons, this one included, for the
// windows later than after.
func (c *Counter) Export(after int64) []sharer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := appendExported(nil, c.self, c.ownCounts, after)
	incarnations := slices.SortedFunc(maps.Keys(c.peerCounts), func(a, b incarnation) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.boot, b.boot))
	})
	for _, o := range incarnations {
		out = appendExported(out, o, c.peerCounts[o], after)
	}
	return out
}

// appendExported appends the counts of one incarnation for the windows later than after. It
// appends nothing if there are none.
func appendExported(out []sharer.Report, o incarnation, windows map[int64]map[string]int, after int64) []sharer.Report {
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

// FinalWindow returns the latest window whose report is known to be final.
func (c *Counter) FinalWindow() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalWindow
}

// RecordFinalWindow records that the report of a window is final. It ignores a window that has not
// ended, since only an invalid message can name one.
func (c *Counter) RecordFinalWindow(window int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if window < c.Window(now) {
		c.finalWindow = max(c.finalWindow, window)
	}
}

// Merge merges the counts known to another daemon or saved in the store. A count only grows, so
// the larger of two values is the later one.
func (c *Counter) Merge(counts []sharer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range counts {
		o := incarnation{r.Name, r.Boot}
		if o == c.self {
			continue
		}
		if c.peerCounts[o] == nil {
			c.peerCounts[o] = make(map[int64]map[string]int)
		}
		for _, w := range r.Windows {
			c.peerCounts[o][w.Number] = maxCounts(c.peerCounts[o][w.Number], w.Counts)
		}
	}
}

// maxCounts returns, for each organisation, the larger of its two counts.
func maxCounts(a, b map[string]int) map[string]int {
	out := maps.Clone(a)
	if out == nil {
		out = make(map[string]int, len(b))
	}
	for org, n := range b {
		out[org] = max(out[org], n)
	}
	return out
}

// Counts returns the requests of each organisation in a window, summed over all daemons.
func (c *Counter) Counts(window int64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := maps.Clone(c.ownCounts[window])
	if out == nil {
		out = make(map[string]int)
	}
	for _, windows := range c.peerCounts {
		for org, n := range windows[window] {
			out[org] += n
		}
	}
	return out
}

// DropExpired deletes old windows of other daemons, and the incarnations that have none left.
func (c *Counter) DropExpired(now time.Time) {
	latest := c.Window(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for o, windows := range c.peerCounts {
		dropOldWindows(windows, latest)
		if len(windows) == 0 {
			delete(c.peerCounts, o)
		}
	}
}
