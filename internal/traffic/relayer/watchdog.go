package relayer

import (
	"context"
	"errors"
	"time"
)

// errSilent ends an attempt whose connection has gone silent.
var errSilent = errors.New("endpoint has been silent for too long")

// watchdog ends an attempt that makes no progress.
type watchdog struct {
	timer *time.Timer
}

func startWatchdog(target time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(progressTimeout(target), func() { cancel(errSilent) })}
}

// reset starts the wait anew, with the target of the next step.
func (w *watchdog) reset(target time.Duration) { w.timer.Reset(progressTimeout(target)) }

func (w *watchdog) stop() { w.timer.Stop() }

func progressTimeout(target time.Duration) time.Duration {
	return max(minProgressTimeout, progressFactor*target)
}
