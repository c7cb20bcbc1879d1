package carrier

import (
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/observe/meter"
)

const (
	// hedgeFraction is the fraction of the remaining time after which an attempt at a
	// repeatable request may be given up without an answer, to try another endpoint.
	hedgeFraction = 0.45
	// retryGapFactor is the silence after which an attempt at a resumable stream may be given up, in
	// multiples of the route's longest pause between events.
	retryGapFactor = 4
	// minRetryGap is the shortest silence after which such an attempt may be given up.
	minRetryGap = time.Second
	// Callers abandon a stream after a silence of minCallerGap, callerTargetFactor
	// times the route's target or callerGapFactor times its longest pause, whichever
	// is longest. The carrier waits callerGapMargin longer, so that the caller
	// decides.
	minCallerGap       = 2 * time.Second
	callerTargetFactor = 4
	callerGapFactor    = 8
	callerGapMargin    = 500 * time.Millisecond
	// nextCheckPeriod is the time after which a silent attempt that no other can follow is checked again.
	nextCheckPeriod = 100 * time.Millisecond
)

// patience is how long an attempt may wait for its endpoint.
type patience struct {
	// next is the time from which the attempt is given up as soon as another one can follow. It is zero if none
	// can, whatever happens.
	next time.Time
	// end is the time at which the attempt ends in any case; zero leaves it to the request's time limit.
	end time.Time
	// due is the time from which the silence is unexpected; zero if it is not known.
	due time.Time
}

// until returns the earlier of the two times that are set; zero if none is.
func (p patience) until() time.Time {
	if p.next.IsZero() || !p.end.IsZero() && p.end.Before(p.next) {
		return p.end
	}
	return p.next
}

// isNextDue reports whether the attempt may be given up for another one now.
func (p patience) isNextDue(now time.Time) bool { return !p.next.IsZero() && !now.Before(p.next) }

// errSilent ends an attempt whose endpoint was silent for too long.
var errSilent = errors.New("endpoint has been silent for too long")

// mayHaveNext reports whether the route allows a further attempt after the present one.
func (q *request) mayHaveNext() bool {
	return q.route.IsRepeatable() && q.endpointsTried() < q.route.Attempts
}

// headerPatience returns how long an attempt waits for the header of its answer.
func (a *answer) headerPatience(q *request) patience {
	if !q.mayHaveNext() || !a.c.cfg.Policies.IsOn(switcher.Patience) {
		return patience{}
	}
	if q.route.Kind == registrar.KindStream {
		wait := max(a.choice.Wait, q.route.Target)
		return patience{next: a.sentAt.Add(2 * wait), due: a.sentAt.Add(wait)}
	}
	now, wait := time.Now(), time.Duration(hedgeFraction*float64(time.Until(q.expiry)))
	return patience{next: now.Add(wait), due: now.Add(wait / 2)}
}

// eventPatience returns how long a stream waits for its next event, and extra longer.
func (a *answer) eventPatience(q *request, extra time.Duration) patience {
	now := time.Now().Add(extra)
	retryGap := max(retryGapFactor*q.route.Gap, minRetryGap)
	p := patience{
		end: now.Add(max(minCallerGap, callerTargetFactor*q.route.Target, callerGapFactor*q.route.Gap) + callerGapMargin),
		due: now.Add(retryGap / retryGapFactor),
	}
	if q.mayHaveNext() {
		p.next = now.Add(retryGap)
	}
	return p
}

// watchSilence begins to limit the time for which the endpoint may send nothing.
func (a *answer) watchSilence(q *request, p patience) error {
	a.patience = p
	a.attempt.ExpectBy(p.due)
	return a.conn.WatchSilence(a.ctx, p.until(), func() (time.Time, error) { return a.judgeSilence(q) })
}

// waitOn replaces the limit that watchSilence set.
func (a *answer) waitOn(p patience) error {
	a.patience = p
	a.attempt.ExpectBy(p.due)
	return a.conn.ReadUntil(p.until())
}

// judgeSilence decides about an endpoint that has sent nothing up to a time of a.patience. It ends the attempt
// only if another one can follow for certain, since a silent endpoint may yet send the whole answer, or if
// the caller no longer waits.
func (a *answer) judgeSilence(q *request) (time.Time, error) {
	now, p := time.Now(), a.patience
	switch {
	case !p.end.IsZero() && !now.Before(p.end):
		a.countSilence(q, "ended")
	case p.isNextDue(now) && a.reserveNext(q, p, now):
		a.countSilence(q, "moved")
	default:
		if a.silences++; a.silences == 1 {
			a.countSilence(q, "kept")
		}
		if !p.next.IsZero() {
			p.next = now.Add(nextCheckPeriod)
		}
		return p.until(), nil
	}
	a.cancel()
	return time.Time{}, errSilent
}

func (a *answer) countSilence(q *request, outcome string) {
	meter.AddToCounter(a.c.cfg.Registry, 1, "silent_attempts_total", "service", q.service.Name, "outcome", outcome)
}

// reserveNext reserves what the next attempt needs: an endpoint that can take over and begin to answer in time, and
// two places in the retry budget, the second for the way back if that endpoint refuses the request. It returns
// false and notes what is missing if it can't.
func (a *answer) reserveNext(q *request, p patience, now time.Time) bool {
	c := a.c
	switch {
	case q.events.order.unnamed:
		a.noNext = "events without ids"
		return false
	case c.cfg.Quarantine.IsSuspect(q.parts):
		a.noNext = "suspected of crashes"
		return false
	}
	query := q.query
	query.Excluded = append(query.Excluded[:len(query.Excluded):len(query.Excluded)], a.choice.Endpoint.ID)
	query.SilentSince = p.due
	snap := c.cfg.Endpoints()
	ch, ok := c.cfg.Chooser.Pick(query, snap.Services[q.service.Name])
	if !ok {
		a.noNext = fmt.Sprintf("none of %d endpoints", ch.Candidates)
		return false
	}
	if begin := now.Add(ch.Wait); begin.After(q.expiry) || !p.end.IsZero() && begin.After(p.end) {
		a.noNext = fmt.Sprintf("next answer would begin in %s", ch.Wait)
		c.cfg.Chooser.Return(ch)
		return false
	}
	if !c.cfg.Budget.TakeRetries(q.service.Name, 2, now) {
		a.noNext = "retry budget"
		c.cfg.Chooser.Return(ch)
		return false
	}
	q.next, q.endpointsVersion = &ch, snap.Version
	c.beginWayBack(q, p, now)
	return true
}

// returnReserved gives back the endpoint of an attempt that will not follow. The retry budget keeps the place,
// which errs on the safe side.
func (c *Carrier) returnReserved(q *request) {
	c.endWayBack(q)
	if q.next != nil {
		c.cfg.Chooser.Return(*q.next)
		q.next = nil
	}
}
