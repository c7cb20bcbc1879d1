package admitter

import (
	"sync"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	defaultFirstTokenTarget = time.Second
	defaultTokenGapTarget   = 50 * time.Millisecond
	// retriesPerRequest is the fraction of a retry that each request adds to the budget, and
	// maxSavedRetries the number of retries that may accumulate.
	retriesPerRequest = 0.1
	maxSavedRetries   = 50
)

func firstTokenTarget(t loader.Target) time.Duration {
	if t.First > 0 {
		return t.First.Std()
	}
	return defaultFirstTokenTarget
}

func tokenGapTarget(t loader.Target) time.Duration {
	if t.Token > 0 {
		return t.Token.Std()
	}
	return defaultTokenGapTarget
}

// RetryBudget limits retries to a fraction of the requests, so that refusals by overloaded
// endpoints do not multiply their load. It is safe for concurrent use.
type RetryBudget struct {
	mu               sync.Mutex
	availableRetries float64
}

// NewRetryBudget returns a RetryBudget with maxSavedRetries available.
func NewRetryBudget() *RetryBudget { return &RetryBudget{availableRetries: maxSavedRetries} }

// Deposit adds one request's fraction of a retry to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availableRetries = min(maxSavedRetries, b.availableRetries+retriesPerRequest)
}

// TryWithdraw consumes one retry, or returns false if none is available.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.availableRetries < 1 {
		return false
	}
	b.availableRetries--
	return true
}
