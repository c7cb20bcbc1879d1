package carrier

import (
	"context"
	"errors"
	"slices"
	"time"

	"pomelotiller/internal/observe/meter"
)

// wayBack is the return of a request that was moved away from a silent endpoint, in case that the endpoint that
// was to take over refuses it or can't be reached.
type wayBack struct {
	// until is when the caller will have left.
	until time.Time
	// takenAt is when the place in the retry budget was taken; zero once it is used.
	takenAt time.Time
	// returns counts the attempts to return.
	returns int
}

// beginWayBack begins the way back of a request whose attempt is given up, of which a place was taken from the
// budget at a time.
func (c *Carrier) beginWayBack(q *request, p patience, takenAt time.Time) {
	b := &wayBack{until: p.end, takenAt: takenAt}
	if p.end.IsZero() {
		b.until = q.expiry
	}
	if earlier := q.wayBack; earlier != nil && earlier.until.Before(b.until) {
		b.until = earlier.until
	}
	c.endWayBack(q)
	q.wayBack = b
}

// recordAttempt counts an attempt that begins.
func (q *request) recordAttempt(endpoint string) {
	q.attempts++
	q.isReturning = slices.Contains(q.sentTo, endpoint)
	if q.isReturning {
		q.returns++
	}
}

// recordUnsent takes back recordAttempt for an attempt of which no byte reached the endpoint.
func (q *request) recordUnsent() {
	q.attempts--
	if q.isReturning {
		q.returns--
	}
}

// endpointsTried counts the attempts except those at endpoints that were counted before.
func (q *request) endpointsTried() int { return q.attempts - q.returns }

// recordSent records that a request may have reached an endpoint, unless err says that no byte was sent.
func (q *request) recordSent(endpoint string, err error) {
	var a *attemptError
	if isUnsent := errors.As(err, &a) && !a.maybeSent; !isUnsent && !slices.Contains(q.sentTo, endpoint) {
		q.sentTo = append(q.sentTo, endpoint)
	}
}

// isUntaken reports whether an attempt failed because the endpoint refused the request before running it, or could
// not be reached.
func isUntaken(err error) bool {
	var a *attemptError
	return errors.As(err, &a) && (!a.maybeSent || errors.Is(err, errNotRun) || errors.Is(err, errPaused))
}

// goBack reserves an attempt at an endpoint that the request was sent to, after the one that was to take it over
// did not. Its last attempt has ended, so no two endpoints work on it. It waits for an endpoint and a place in the
// retry budget until the caller will have left, and returns false then.
func (c *Carrier) goBack(ctx context.Context, q *request, last string) bool {
	b := q.wayBack
	if b == nil {
		return false
	}
	for wait := time.Duration(b.returns) * nextCheckPeriod; ; wait = nextCheckPeriod {
		if !sleepUntil(ctx, time.Now().Add(wait), b.until) || c.cfg.Quarantine.IsSuspect(q.parts) {
			return false
		}
		if c.reserveReturn(q, last, time.Now()) {
			b.returns++
			meter.AddToCounter(c.cfg.Registry, 1, "silent_attempts_total", "service", q.service.Name, "outcome", "returned")
			return true
		}
	}
}

// sleepUntil waits until a time. It returns false if the context or the end comes first.
func sleepUntil(ctx context.Context, at, end time.Time) bool {
	if !at.Before(end) || ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserveReturn reserves an endpoint that the request was sent to, if possible another one than the last, and a
// place in the retry budget.
func (c *Carrier) reserveReturn(q *request, last string, now time.Time) bool {
	snap := c.cfg.Endpoints()
	query := q.query
	query.Among, query.Excluded = q.sentTo, []string{last}
	ch, ok := c.cfg.Chooser.Pick(query, snap.Services[q.service.Name])
	if !ok {
		query.Excluded = nil
		ch, ok = c.cfg.Chooser.Pick(query, snap.Services[q.service.Name])
	}
	if !ok {
		return false
	}
	if q.wayBack.takenAt.IsZero() && !c.cfg.Budget.TakeRetry(q.service.Name, now) {
		c.cfg.Chooser.Return(ch)
		return false
	}
	q.wayBack.takenAt = time.Time{}
	q.next, q.endpointsVersion = &ch, snap.Version
	return true
}

// endWayBack ends the way back of a request that an endpoint has taken or that has ended, and gives back the place
// in the retry budget that was not needed.
func (c *Carrier) endWayBack(q *request) {
	if b := q.wayBack; b != nil && !b.takenAt.IsZero() {
		c.cfg.Budget.ReturnRetry(q.service.Name, b.takenAt, time.Now())
	}
	q.wayBack = nil
}
