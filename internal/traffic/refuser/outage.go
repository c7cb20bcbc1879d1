package refuser

import (
	"sync"
	"time"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// probePeriod is the time between two tries during an outage.
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

// Try reports whether to make another try: during an outage only now and then,
// so that one caller waits for it and all others are refused at once.
func (o *Outage) Try(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return true
	}
	if now.Sub(o.last) < probePeriod {
		return false
	}
	o.last = now
	return true
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
