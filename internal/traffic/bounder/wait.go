package bounder

import (
	"sync/atomic"
	"time"
)

// wait measures how far a caller is behind: the time in which the daemon waited for it, less the time that the bytes
// moved take at the least pace. Time in which the daemon itself is busy does not count.
type wait struct {
	// since is the time at which the present wait began, 0 if there is none. behind is what earlier ones left.
	since, behind atomic.Int64
}

func (w *wait) begin(now int64) { w.since.Store(now) }

// end ends a wait in which n bytes moved.
func (w *wait) end(now int64, n int) {
	since := w.since.Swap(0)
	if since == 0 {
		return
	}
	w.behind.Store(max(w.behind.Load()+now-since-int64(n)*int64(time.Second)/paceBytes, 0))
}

// reset forgets what the caller is behind.
func (w *wait) reset() {
	w.since.Store(0)
	w.behind.Store(0)
}

func (w *wait) lag(now int64) int64 {
	lag := w.behind.Load()
	if since := w.since.Load(); since != 0 {
		lag += now - since
	}
	return lag
}
