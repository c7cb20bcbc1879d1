package relayer

import (
	"context"
	"errors"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	// firstFactor and tokenFactor bound the silence of a stream before its
	// first token and between tokens, in multiples of the latency target.
	firstFactor        = 5
	tokenFactor        = 20
	minProgressTimeout = 500 * time.Millisecond
	// Targets of a route that names none.
	defaultFirstTarget = time.Second
	defaultTokenTarget = 50 * time.Millisecond
)

// errSilent ends an attempt whose connection has gone silent.
var errSilent = errors.New("endpoint has been silent for too long")

// watchdog ends an attempt that makes no progress.
type watchdog struct {
	timer *time.Timer
	token time.Duration
}

// startWatchdog starts the wait for the first token. The waits double with each
// silence that came before, so that an engine that is merely slow gets to
// answer.
func startWatchdog(t loader.Target, silences int, cancel context.CancelCauseFunc) *watchdog {
	first, token := t.First.Std(), t.Token.Std()
	if first <= 0 {
		first = defaultFirstTarget
	}
	if token <= 0 {
		token = defaultTokenTarget
	}
	return &watchdog{
		timer: time.AfterFunc(max(minProgressTimeout, firstFactor*first)<<silences, func() { cancel(errSilent) }),
		token: max(minProgressTimeout, tokenFactor*token) << silences,
	}
}

// reset starts the wait for the next token.
func (w *watchdog) reset() { w.timer.Reset(w.token) }

func (w *watchdog) stop() { w.timer.Stop() }
