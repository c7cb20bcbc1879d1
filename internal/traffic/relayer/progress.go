package relayer

import (
	"context"
	"time"

	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxSilences is how often in a row an engine is asked again over a fresh
	// connection after a silence.
	maxSilences = 1
)

// progress is how far the answer to one job has come.
type progress struct {
	version string
	// next is the number of the next token to pass on.
	next     int
	finished bool
	run      refuser.RunState
	// exclude holds the engines that failed since the last round.
	exclude map[string]bool
	// fruitless counts the attempts since the last new token.
	fruitless int
	// silences counts the silent attempts since the last new token.
	silences int
	// round counts the rounds over all engines since the last new token.
	round int
	// stalled is when the first attempt since the last new token failed.
	stalled time.Time
	last    error
	// fresh asks for a connection that no earlier attempt has used.
	fresh bool
	// held is a choice made in advance for the next attempt.
	held *router.Choice
	// cancels holds, by engine, a channel that closes once the engine was told
	// to cancel its last attempt.
	cancels map[string]<-chan struct{}
	// seen measures the present attempt.
	seen observation
}

func newProgress() *progress {
	return &progress{exclude: make(map[string]bool), cancels: make(map[string]<-chan struct{})}
}

// begun reports whether a token was passed on.
func (p *progress) begun() bool { return p.next > 0 }

// advance notes that a token was passed on.
func (p *progress) advance(finished bool) {
	p.next++
	p.seen.token()
	p.finished = finished
	p.run = refuser.Ran
	if !p.stalled.IsZero() {
		p.stalled = time.Time{}
		p.fruitless, p.round, p.silences = 0, 0, 0
		clear(p.exclude)
	}
}

// stall notes a failed attempt.
func (p *progress) stall(err error) {
	p.last = err
	if p.stalled.IsZero() {
		p.stalled = time.Now()
	}
}

// waited returns how long the answer has been without an engine.
func (p *progress) waited() time.Duration {
	if p.stalled.IsZero() {
		return 0
	}
	return time.Since(p.stalled)
}

// take returns the choice that was made in advance, if any.
func (p *progress) take() (router.Choice, bool) {
	if p.held == nil {
		return router.Choice{}, false
	}
	c := *p.held
	p.held = nil
	return c, true
}

// drop releases a choice that was not used.
func (p *progress) drop() {
	if c, ok := p.take(); ok {
		c.Release()
	}
}

// backoff returns the pause before a round over all engines.
func backoff(round int) time.Duration {
	return min(maxBackoff, minBackoff<<min(round-1, 8))
}

// pause waits for d, or returns ctx's error when it ends first.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
