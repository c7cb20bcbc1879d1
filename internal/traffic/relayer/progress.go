package relayer

import (
	"context"
	"time"

	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	// minBackoff and maxBackoff bound the wait before all engines are tried again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxStallRetries is how often in a row a stalled attempt is repeated at the same
	// engine over a new connection.
	maxStallRetries = 1
)

// jobProgress is the state of one job across its attempts.
type jobProgress struct {
	version string
	// nextToken is the number of the next token to relay to the caller.
	nextToken int
	// finished reports that the last token relayed has a finish reason.
	finished bool
	// hasUsage reports that the usage was relayed after it.
	hasUsage bool
	// model is what the engine of the first token named as its model. It may be another
	// name of the version.
	model    string
	runState refuser.RunState
	// excluded holds the engines that failed in the current round.
	excluded map[string]bool
	// fruitlessAttempts counts the failed attempts since the last new token.
	fruitlessAttempts int
	// stalls counts the attempts that timed out since the last new token. After one, attempts
	// use new connections.
	stalls int
	// retryTaken says that the retry after the last attempt was taken from the retry budget before it ended.
	retryTaken bool
	// rounds counts how often all engines have failed since the last new token.
	rounds int
	// failingSince is when the first attempt since the last new token failed.
	failingSince time.Time
	lastErr      error
	// blocks are the blocks by which the quarantine knows the prompt, and crashes counts the
	// engines that crashed under it.
	blocks  []string
	crashes int
	// reserved is the engine already chosen for the next attempt, if any.
	reserved *router.Choice
	// cancelsDone holds, by engine, a channel that closes once the call that cancels
	// the last attempt there has ended.
	cancelsDone map[string]<-chan struct{}
	// timing measures the current attempt.
	timing attemptTiming
}

func newJobProgress() *jobProgress {
	return &jobProgress{excluded: make(map[string]bool), cancelsDone: make(map[string]<-chan struct{})}
}

// hasBegun reports whether any token was relayed to the caller.
func (p *jobProgress) hasBegun() bool { return p.nextToken > 0 }

// recordRelayedToken records that a token was relayed, and resets the failure counts.
func (p *jobProgress) recordRelayedToken(finished bool) {
	p.nextToken++
	p.timing.recordToken()
	p.finished = finished
	p.runState = refuser.Ran
	if !p.failingSince.IsZero() {
		p.failingSince = time.Time{}
		p.fruitlessAttempts, p.rounds, p.stalls = 0, 0, 0
		clear(p.excluded)
	}
}

// recordFailure records the error of a failed attempt. A finish reason that something
// else than the end has followed is void.
func (p *jobProgress) recordFailure(err error) {
	p.lastErr = err
	p.finished = false
	if p.failingSince.IsZero() {
		p.failingSince = time.Now()
	}
}

// timeSinceFailure returns how long ago the first attempt since the last new token
// failed, or 0 if none has.
func (p *jobProgress) timeSinceFailure() time.Duration {
	if p.failingSince.IsZero() {
		return 0
	}
	return time.Since(p.failingSince)
}

// takeReserved returns the reserved engine, if any, and clears the reservation.
func (p *jobProgress) takeReserved() (router.Choice, bool) {
	if p.reserved == nil {
		return router.Choice{}, false
	}
	c := *p.reserved
	p.reserved = nil
	return c, true
}

// releaseReserved releases a reserved engine that was not used.
func (p *jobProgress) releaseReserved() {
	if c, ok := p.takeReserved(); ok {
		c.Release()
	}
}

// roundBackoff returns the exponential backoff before a round over all engines.
func roundBackoff(round int) time.Duration {
	return min(maxBackoff, minBackoff<<min(round-1, 8))
}

// sleepContext sleeps for d, or returns the error of ctx if ctx is done first.
func sleepContext(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
