package refuser

import (
	"sync"
	"time"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// probePeriod is the time between two attempts during an outage.
	probePeriod = 500 * time.Millisecond
)

// Outage is a circuit breaker for a dependency. It opens with the first failure, lets one attempt
// through per probePeriod, and closes with a success. The zero value is ready for use. All methods
// are safe for concurrent use.
type Outage struct {
	mu sync.Mutex
	// startedAt is the time of the first failure; zero while there is no outage.
	startedAt time.Time
	// lastAttempt is the time of the last failure or probe.
	lastAttempt time.Time
}

// RecordFailure records a failed attempt.
func (o *Outage) RecordFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	o.lastAttempt = now
}

// RecordSuccess records a successful attempt, which ends the outage.
func (o *Outage) RecordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startedAt = time.Time{}
}

// AllowAttempt reports whether to make an attempt. During an outage it allows one per probePeriod,
// so that one caller waits for the result and all others are refused at once.
func (o *Outage) AllowAttempt(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.startedAt.IsZero() {
		return true
	}
	if now.Sub(o.lastAttempt) < probePeriod {
		return false
	}
	o.lastAttempt = now
	return true
}

// RetryAfter estimates after how long a retry can succeed: an outage is expected to last as much
// longer as it has lasted so far, within the bounds of ClampRetryAfter.
func (o *Outage) RetryAfter(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.startedAt.IsZero() {
		return minRetryAfter
	}
	return ClampRetryAfter(now.Sub(o.startedAt))
}

// ClampRetryAfter limits d to the range of Retry-After values, minRetryAfter to maxRetryAfter.
func ClampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
