package prioritizer

import "time"

const (
	// deadlineWindow is the time over which the longest deadline of a route's callers is learned.
	deadlineWindow = 10 * time.Second
	// minUsed is the least time that a caller that came back has used. Callers honour no shorter time to return,
	// and deadlines of first attempts differ by some milliseconds.
	minUsed = 45 * time.Millisecond
)

// callers are the callers of one organisation to one route, which are assumed to allow the same time.
type callers struct{ route, organisation string }

// longestDeadline is the longest deadline in two successive windows. Callers that come back state shorter ones.
type longestDeadline struct {
	current, previous time.Duration
	since             time.Time
}

// record records a deadline and returns the longest one of late.
func (l *longestDeadline) record(d time.Duration, now time.Time) time.Duration {
	if age := now.Sub(l.since); age >= deadlineWindow {
		l.previous, l.current, l.since = l.current, 0, now
		if age >= 2*deadlineWindow {
			l.previous = 0
		}
	}
	l.current = max(l.current, d)
	return max(l.current, l.previous)
}

// timeUsed returns the time that a caller has spent on earlier attempts: by how much its deadline is shorter than
// that of first attempts, which is the longest of late and at most the route's timeout. It returns 0 if the
// caller states no deadline.
func (p *Prioritizer) timeUsed(q Request, now time.Time) time.Duration {
	deadline := q.Deadline
	if deadline == 0 {
		return 0
	}
	if q.Route.Timeout > 0 {
		deadline = min(deadline, q.Route.Timeout)
	}
	key := callers{q.Route.Name, q.Organisation.Name}
	l := p.deadlines[key]
	if l == nil {
		l = &longestDeadline{since: now}
		p.deadlines[key] = l
	}
	if used := l.record(deadline, now) - deadline; used >= minUsed {
		return used
	}
	return 0
}

// dropOldDeadlines drops the deadlines of callers that sent nothing for two windows.
func (p *Prioritizer) dropOldDeadlines() {
	now := p.cfg.Now()
	for key, l := range p.deadlines {
		if now.Sub(l.since) > 2*deadlineWindow {
			delete(p.deadlines, key)
		}
	}
}
