package refuser

import (
	"sync"
	"time"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// probePeriod is how long a known outage goes without another try.
	probePeriod = 500 * time.Millisecond
)

// Outage keeps how long something has been away, and from that when another
// try can help. The zero value is ready; all methods are safe for concurrent
// use.
type Outage struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
}

// Fail notes a failed try.
func (o *Outage) Fail(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	o.last = now
}

// End notes a try that succeeded.
func (o *Outage) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}

// Fresh reports whether a try has failed so recently that another one is not
// worth its wait.
func (o *Outage) Fresh(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero() && now.Sub(o.last) < probePeriod
}

// RetryAfter estimates when a try can help: an outage is expected to go on for
// as long as it has lasted, within bounds.
func (o *Outage) RetryAfter(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return minRetryAfter
	}
	return BoundRetry(now.Sub(o.since))
}

// BoundRetry returns d within the bounds of a Retry-After.
func BoundRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
