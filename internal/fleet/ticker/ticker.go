// Package ticker runs periodic work.
package ticker

import (
	"context"
	"time"
)

// Every calls f once a period until ctx ends. Periods that pass while f runs
// are left out.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f(ctx)
		}
	}
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
