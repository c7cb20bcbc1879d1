package relayer

import (
	"sync"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// meanSteps is the number of answers over which their mean time is smoothed.
	meanSteps = 16
)

// outages knows since when each version cannot be served, and how long its
// answers take.
type outages struct {
	mu    sync.Mutex
	since map[string]time.Time
	mean  map[string]time.Duration
}

// end notes that an answer of a version took some time.
func (o *outages) end(version string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, version)
	if o.mean == nil {
		o.mean = make(map[string]time.Duration)
	}
	old, ok := o.mean[version]
	if !ok {
		old = took
	}
	o.mean[version] = old + (took-old)/meanSteps
}

// rest notes that a version could not be served, and returns how long the
// outage is expected to last yet: as long as it has lasted.
func (o *outages) rest(version string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	if o.since[version].IsZero() {
		o.since[version] = now
	}
	return boundRetry(now.Sub(o.since[version]))
}

// queue returns when a place is expected at the engines of a version, which are
// all at their limit: the requests that wait each need one that runs to end.
func (o *outages) queue(v viewer.View, version string) time.Duration {
	var running, waiting int
	for _, e := range v.Endpoints {
		if e.Serves(version) {
			running += e.Running
			waiting += e.Waiting
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return boundRetry(o.mean[version] * time.Duration(waiting+1) / time.Duration(max(1, running)))
}

func boundRetry(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d))
}
