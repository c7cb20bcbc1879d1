package composer

import (
	"pomelotiller/internal/traffic/throttler"
)

// coldLimit returns what is known of an endpoint's warm-up. The latest incarnation counts, also for requests to
// an earlier one, which may have its address.
func (d *Daemon) coldLimit(endpoint string, _ int64) throttler.Cold {
	c := d.catalog.Load()
	if c == nil {
		return throttler.Cold{}
	}
	e, ok := d.tracker.Load().All[endpoint]
	if !ok {
		return throttler.Cold{}
	}
	s, ok := c.Service(e.Service)
	if !ok || s.Warmup.PerSecond <= 0 {
		return throttler.Cold{}
	}
	until := e.ColdUntil(s.Warmup.Duration)
	if until.IsZero() {
		return throttler.Cold{}
	}
	return throttler.Cold{
		Seen: e.Seen, Until: until, PerSecond: s.Warmup.PerSecond, Bound: d.currentSettings().Edge.Cold.Bound(s.Warmup.PerSecond),
	}
}

// refreshColdLimits lets the throttler notice which endpoints have become cold or warm.
func (d *Daemon) refreshColdLimits() {
	d.throttler.Refresh(func(yield func(string, int64) bool) {
		for id, e := range d.tracker.Load().All {
			if !yield(id, e.Born) {
				return
			}
		}
	})
}
