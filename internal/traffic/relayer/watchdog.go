package relayer

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/router"
)

const (
	// firstTokenFactor and tokenFactor limit the wait for the first token and for each
	// further one, in multiples of the latency target of the route.
	firstTokenFactor   = 5
	tokenFactor        = 20
	minProgressTimeout = 500 * time.Millisecond
	// nextCheckPeriod is the time after which a silent attempt that no other can follow is checked again.
	nextCheckPeriod = 100 * time.Millisecond
	// defaultFirstTarget and defaultTokenTarget apply to a route without targets.
	defaultFirstTarget = time.Second
	defaultTokenTarget = 50 * time.Millisecond
)

// errStalled ends an attempt whose engine sent no token in time.
var errStalled = errors.New("endpoint has been silent for too long")

// reservation is the result of the search for an attempt that can follow a silent one.
type reservation int

const (
	// notReserved means that none can follow now.
	notReserved reservation = iota
	// reserved means that one can follow, whose place in the retry budget is taken.
	reserved
	// givenUp means that the silent attempt ends although none can follow.
	givenUp
)

// watchdog cancels an attempt when no token arrives in time. An attempt at an answer that has not begun is kept
// until another one can follow.
type watchdog struct {
	// tokenTime is the timeout for each token after the first.
	tokenTime time.Duration
	cancel    context.CancelCauseFunc
	// reserveNext decides about the next attempt; nil means that there is always one.
	reserveNext func() reservation

	mu    sync.Mutex
	timer *time.Timer
	// progressed says that a token has arrived, and retryTaken that reserveNext has reserved the next attempt.
	progressed, retryTaken bool
}

// startWatchdog starts the timer for the first token. Its timeouts double with each
// earlier stall, so that an engine that is only slow can answer.
func startWatchdog(t loader.Target, stalls int, cancel context.CancelCauseFunc, reserveNext func() reservation) *watchdog {
	first, tokenTime := t.First.Std(), t.Token.Std()
	if first <= 0 {
		first = defaultFirstTarget
	}
	if tokenTime <= 0 {
		tokenTime = defaultTokenTarget
	}
	w := &watchdog{tokenTime: max(minProgressTimeout, tokenFactor*tokenTime) << stalls, cancel: cancel, reserveNext: reserveNext}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(minProgressTimeout, firstTokenFactor*first)<<stalls, w.judgeSilence)
	return w
}

// judgeSilence ends the attempt, or checks it again later if no other attempt may follow.
func (w *watchdog) judgeSilence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserveNext != nil && !w.progressed {
		switch w.reserveNext() {
		case notReserved:
			w.timer.Reset(nextCheckPeriod)
			return
		case reserved:
			w.retryTaken = true
		case givenUp:
		}
	}
	w.cancel(errStalled)
}

// restart starts the timer for the next token.
func (w *watchdog) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressed = true
	w.timer.Reset(w.tokenTime)
}

// stop stops the timer and reports whether the next attempt was reserved.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	return w.retryTaken
}

// nextAttempt returns a function that reserves the attempt after a silent one: there must be an engine for
// it and, for an answer that has not begun, a place in the retry budget. It returns nil for an answer that
// has begun, which needs no place and is tried again for ResumeTimeout. A job without a deadline keeps a
// silent attempt for ResumeTimeout at most.
func (r *Relayer) nextAttempt(ctx context.Context, p *jobProgress, c router.Choice) func() reservation {
	if p.hasBegun() {
		return nil
	}
	// The function is called while the attempt runs, so it must not read p.
	repeatable := p.stalls < maxStallRetries
	hasAttemptsLeft := p.fruitlessAttempts+1 < r.cfg.MaxAttempts && !r.mayCrashNext(p)
	tried := maps.Clone(p.excluded)
	tried[c.Endpoint.Name] = true
	var keptUntil time.Time
	return func() reservation {
		now := time.Now()
		if keptUntil.IsZero() {
			keptUntil = now.Add(r.cfg.ResumeTimeout)
		}
		if _, ok := ctx.Deadline(); !ok && now.After(keptUntil) {
			return givenUp
		}
		mayRepeat := repeatable && !r.isEvacuated(c.Endpoint)
		hasEngine := hasAttemptsLeft && (mayRepeat || hasOtherEngine(r.cfg.View(), c.Version, tried))
		if hasEngine && (r.cfg.AllowRetry == nil || r.cfg.AllowRetry()) {
			return reserved
		}
		return notReserved
	}
}

// hasOtherEngine reports whether an engine that was not tried yet can serve a version.
func hasOtherEngine(v viewer.View, version string, tried map[string]bool) bool {
	for _, e := range v.Endpoints {
		if !tried[e.Name] && e.CanServe(version) {
			return true
		}
	}
	return false
}
