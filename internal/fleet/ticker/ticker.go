// Package ticker runs periodic functions on aligned timers. Timers whose periods are equal, or
// multiples of each other, fire at the same instants within a process, so that an idle process wakes
// up few times per second.
package ticker

import (
	"context"
	"math/rand/v2"
	"time"
)

// BasePeriod is the period that other periods should be multiples of, so that their timers fire
// together.
const BasePeriod = 100 * time.Millisecond

// processPhase is a random offset of the instants of this process, so that the timers of different
// processes do not all fire together.
var processPhase = rand.N(BasePeriod)

// Every calls f once per period until ctx ends. If several periods end while f runs, f is called
// once for all of them.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) error {
	t := NewTimer(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
			t.ScheduleNext()
		}
	}
}

// Timer fires at the next instant of a period each time it is armed. If one or more instants pass
// before ScheduleNext arms it again, it fires once, at once.
type Timer struct {
	*time.Timer
	period time.Duration
	fireAt time.Time // the instant for which the timer is armed
}

// NewTimer returns a timer that fires at the next instant of a period.
func NewTimer(period time.Duration) *Timer {
	wait := untilNextInstant(period)
	return &Timer{time.NewTimer(wait), period, time.Now().Add(wait)}
}

// ScheduleNext arms the timer for the next instant, or to fire at once if a whole period has passed
// since the instant for which it was armed last.
func (t *Timer) ScheduleNext() {
	if time.Since(t.fireAt) >= t.period {
		t.fireAt = time.Now()
		t.Reset(0)
		return
	}
	wait := untilNextInstant(t.period)
	t.fireAt = time.Now().Add(wait)
	t.Reset(wait)
}

// untilNextInstant returns the time until the next instant of a period. It uses the wall clock: a
// step of that clock shifts the instants once.
func untilNextInstant(period time.Duration) time.Duration {
	elapsed := time.Duration((time.Now().UnixNano() - int64(processPhase)) % int64(period))
	return period - elapsed
}

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
