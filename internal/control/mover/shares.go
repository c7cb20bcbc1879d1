package mover

import (
	"slices"
	"time"

	"pomelotiller/internal/config/loader"
)

// RecordAndLatch returns the newest known record of a move, and the latch if it covers the record's
// run.
func (f *Follower) RecordAndLatch(name string) (Record, Latch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	if m == nil {
		return Record{}, Latch{}
	}
	if m.isLatched() {
		return m.record, m.latch
	}
	return m.record, Latch{}
}

// MoveNames returns the sorted names of the moves of a configuration and of those that it no longer
// contains but whose records are not yet withdrawn.
func (f *Follower) MoveNames(set loader.Set) []string {
	var names []string
	for _, m := range set.Moves {
		names = append(names, m.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range f.moves {
		if m.record.Step > 0 && !m.record.Withdrawn && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MoveShares returns the shares of versions by which moves replace the configured shares of their
// routes. A record applies while the configuration contains the same move, also after its end; a
// configuration without the move restores the route's configured shares.
func (f *Follower) MoveShares(set loader.Set) map[string][]loader.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	splits := make(map[string][]loader.Share)
	for _, c := range set.Moves {
		m, ok := f.moves[c.Name]
		route, found := set.Route(c.Route)
		if !ok || !found || !m.record.belongsTo(c) || m.record.Withdrawn {
			continue
		}
		splits[c.Route] = splitShares(route, c, m.newVersionShare(now))
		if m.record.Released {
			// The old version may be unloaded, so that no attempt is repeated there.
			splits[c.Route] = splits[c.Route][1:]
		}
	}
	return splits
}

// newVersionShare returns the new version's percentage of the traffic at this daemon.
func (f *followedMove) newVersionShare(now time.Time) float64 {
	if f.isLatched() && !f.record.Released || f.isOverdue(now) {
		return 0
	}
	return f.record.Share
}

// isOverdue reports whether the deadline has passed and this daemon has not received the end of the
// move. An isolated daemon then returns its own traffic to the old version.
func (f *followedMove) isOverdue(now time.Time) bool {
	switch f.record.State {
	case Canary, Ramping:
		return now.After(f.record.By.Add(deadlineGrace))
	}
	return false
}
