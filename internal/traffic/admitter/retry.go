package admitter

import (
	"sync"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	defaultFirstTarget = time.Second
	defaultTokenTarget = 50 * time.Millisecond
	// retryPart is the number of retries that each request pays for, and
	// retryBurst the number that may be saved up.
	retryPart  = 0.1
	retryBurst = 50
)

func firstTarget(t loader.Target) time.Duration {
	if t.First > 0 {
		return t.First.Std()
	}
	return defaultFirstTarget
}

func tokenTarget(t loader.Target) time.Duration {
	if t.Token > 0 {
		return t.Token.Std()
	}
	return defaultTokenTarget
}

// Budget bounds retries to a part of the requests, so that endpoints at their
// limit do not get more work through refusing it. It is safe for concurrent
// use.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget with a full burst.
func NewBudget() *Budget { return &Budget{saved: retryBurst} }

// Earn notes a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retryBurst, b.saved+retryPart)
}

// Take uses up one retry, or reports false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
