package throttler

import (
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// maxShared bounds the limits in one status.
const maxShared = 24

// LocalReport returns what this daemon tells the others: the limits of which it has the latest answer.
func (t *Throttler) LocalReport() []sharer.RequestLimit {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var out []sharer.RequestLimit
	for endpoint, l := range t.limits {
		age := now.Sub(l.observedAt)
		if !l.isOwn || l.ended && age > endMemory {
			continue
		}
		out = append(out, sharer.RequestLimit{Endpoint: endpoint, Born: l.born, PerSecond: l.perSecond, Ended: l.ended, Age: age.Milliseconds()})
	}
	// The latest ones are news to most daemons.
	slices.SortFunc(out, func(a, b sharer.RequestLimit) int { return int(a.Age - b.Age) })
	out = out[:min(len(out), maxShared)]
	slices.SortFunc(out, func(a, b sharer.RequestLimit) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// RecordReport applies the limits that another daemon reported in a status that arrived at a time.
func (t *Throttler) RecordReport(limits []sharer.RequestLimit, received time.Time) {
	for _, l := range limits {
		at := received.Add(-time.Duration(l.Age) * time.Millisecond)
		t.observe(l.Endpoint, observation{born: l.Born, perSecond: l.PerSecond, ended: l.Ended, at: at})
	}
}
