package relayer

import (
	"context"
	"errors"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	// firstTokenFactor and tokenFactor limit the wait for the first token and for each
	// further one, in multiples of the latency target of the route.
	firstTokenFactor   = 5
	tokenFactor        = 20
	minProgressTimeout = 500 * time.Millisecond
	// defaultFirstTarget and defaultTokenTarget apply to a route without targets.
	defaultFirstTarget = time.Second
	defaultTokenTarget = 50 * time.Millisecond
)

// errStalled ends an attempt whose engine sent no token in time.
var errStalled = errors.New("endpoint has been silent for too long")

// watchdog cancels an attempt when no token arrives in time.
type watchdog struct {
	timer *time.Timer
	// tokenTime is the timeout for each token after the first.
	tokenTime time.Duration
}

// startWatchdog starts the timer for the first token. Its timeouts double with each
// earlier stall, so that an engine that is only slow can answer.
func startWatchdog(t loader.Target, stalls int, cancel context.CancelCauseFunc) *watchdog {
	first, tokenTime := t.First.Std(), t.Token.Std()
	if first <= 0 {
		first = defaultFirstTarget
	}
	if tokenTime <= 0 {
		tokenTime = defaultTokenTarget
	}
	return &watchdog{
		timer:     time.AfterFunc(max(minProgressTimeout, firstTokenFactor*first)<<stalls, func() { cancel(errStalled) }),
		tokenTime: max(minProgressTimeout, tokenFactor*tokenTime) << stalls,
	}
}

// restart starts the timer for the next token.
func (w *watchdog) restart() { w.timer.Reset(w.tokenTime) }

func (w *watchdog) stop() { w.timer.Stop() }
