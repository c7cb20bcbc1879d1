// Package ticker runs periodic work. Work with the same period, or with one that
// is a multiple of another, falls due at the same instants within a process, so
// that an idle process wakes up few times a second.
package ticker

import (
	"context"
	"math/rand/v2"
	"time"
)

// Grid is the period whose multiples coincide.
const Grid = 100 * time.Millisecond

// phase sets the instants of one process apart from those of others.
var phase = rand.N(Grid)

// Every calls f once a period until ctx ends. Periods that pass while f runs
// are left out.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) error {
	t := NewTimer(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
			t.Next()
		}
	}
}

// Timer fires at the instants of a period, one at a time. Of instants that pass
// before it is armed again one is kept.
type Timer struct {
	*time.Timer
	period time.Duration
	due    time.Time
}

// NewTimer returns a timer that fires at the next instant of a period.
func NewTimer(period time.Duration) *Timer {
	wait := untilNext(period)
	return &Timer{time.NewTimer(wait), period, time.Now().Add(wait)}
}

// Next arms the timer for the instant after the one at which it fired.
func (t *Timer) Next() {
	if time.Since(t.due) >= t.period {
		t.due = time.Now()
		t.Reset(0)
		return
	}
	wait := untilNext(t.period)
	t.due = time.Now().Add(wait)
	t.Reset(wait)
}

// untilNext returns the time to the next instant of a period. It follows the
// time of day, a step of which moves the instants once.
func untilNext(period time.Duration) time.Duration {
	past := time.Duration((time.Now().UnixNano() - int64(phase)) % int64(period))
	return period - past
}

// Pause waits, and reports whether ctx still lasts.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
