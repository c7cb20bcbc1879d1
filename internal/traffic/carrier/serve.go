package carrier

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/refuser"
)

const (
	// defaultTimeout limits a request if neither the caller nor the route sets a
	// timeout.
	defaultTimeout = 60 * time.Second
	// startupRetryAfter is the Retry-After value while the daemon starts, or if it is
	// not known when an endpoint will be available.
	startupRetryAfter = 300 * time.Millisecond
	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
)

// serveWithRetries sends a request to one endpoint after another until one answers or
// no retry is allowed.
func (c *Carrier) serveWithRetries(ctx context.Context, q *request) error {
	now := time.Now()
	c.cfg.Budget.RecordRequest(q.service.Name, now)
	defer c.endWayBack(q)
	var last string
	for {
		if err := c.checkStop(q); err != nil {
			return c.endFailedRequest(ctx, q, err)
		}
		ch, err := c.chooseEndpoint(q)
		if err != nil && c.goBack(ctx, q, last) {
			continue
		}
		if err != nil {
			return c.endFailedRequest(ctx, q, err)
		}
		last = ch.Endpoint.ID
		q.recordAttempt(last)
		a, err := c.tryEndpoint(ctx, q, ch)
		if err == nil {
			err = c.deliverAnswer(ctx, q, a)
		}
		if err == nil {
			return nil
		}
		q.recordSent(last, err)
		q.query.Excluded = append(q.query.Excluded, last)
		if !c.mayRetry(ctx, q, err) && !(isUntaken(err) && c.goBack(ctx, q, last)) {
			return c.endFailedRequest(ctx, q, err)
		}
	}
}

// chooseEndpoint takes the reserved endpoint or picks one, or refuses the request if none is available or
// the predicted wait of its first attempt is too long.
func (c *Carrier) chooseEndpoint(q *request) (chooser.Choice, error) {
	snap := c.cfg.Endpoints()
	if q.next != nil && snap.IsEvacuated(q.next.Endpoint.Domain) {
		c.returnReserved(q)
	}
	if next := q.next; next != nil {
		q.next, q.choice = nil, *next
		return *next, nil
	}
	q.endpointsVersion = snap.Version
	q.query.MaxWait, q.query.MaxQueue = q.maxWait(), q.maxQueue()
	ch, ok := c.cfg.Chooser.Pick(q.query, snap.Services[q.service.Name])
	q.choice = ch
	unread := q.Prompt
	if ok {
		unread = ch.UncomputedTokens
	}
	if q.attempts == 0 {
		c.cfg.Demand.RecordRequest(q.service.Name, unread, q.Output, q.mayReturn() && c.cfg.Policies.IsOn(switcher.Returns))
	}
	if !ok {
		c.cfg.Demand.RecordRefusal(q.service.Name, unread)
		return ch, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "unavailable", Run: q.runState, RetryAfter: max(cmp.Or(ch.AvailableIn, startupRetryAfter), minRetryAfter),
			Detail: fmt.Sprintf("none of %d endpoints can take the request", ch.Candidates),
		}
	}
	if q.attempts > 0 || !c.cfg.Policies.IsOn(switcher.Late) {
		return ch, nil
	}
	if refusal := c.refuseLate(q, ch); refusal != nil {
		c.cfg.Chooser.Return(ch)
		c.cfg.Demand.RecordRefusal(q.service.Name, unread)
		return ch, refusal
	}
	return ch, nil
}

// mayReturn reports whether the caller states less time left than its route allows, as one that was
// refused before does.
func (q *request) mayReturn() bool { return q.Deadline > 0 && q.Deadline < q.route.Timeout }

// refuseLate returns the refusal of a request that would be answered too late, or that gives way to others.
func (c *Carrier) refuseLate(q *request, ch chooser.Choice) error {
	late := ch.Wait - q.query.MaxWait
	if late <= 0 {
		return c.refuseForOthers(q, ch)
	}
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "overloaded", Run: q.runState, RetryAfter: max(late, minRetryAfter),
		Detail: fmt.Sprintf("the answer would begin in %s", ch.Wait),
	}
}

// maxWaitFactor is the longest predicted wait at which a request is admitted, in
// multiples of the route's target. It is above 1 because predictions tend to be too
// long.
const maxWaitFactor = 1.5

// maxWait returns the longest predicted wait for an answer at which the request is
// admitted. Where callers compete, only the wait for others is compared with the target:
// a bound on the whole refused most of the longest prompts.
func (q *request) maxWait() time.Duration {
	limit := time.Until(q.expiry)
	if q.route.Target > 0 && q.ticket == nil {
		limit = min(limit, time.Duration(maxWaitFactor*float64(q.route.Target)))
	}
	return limit
}

// attemptError says why an attempt failed. Requests are retried only after this error.
type attemptError struct {
	// maybeSent says whether any byte of the request may have reached the endpoint.
	maybeSent bool
	reason    string
	err       error
}

// Error returns the reason followed by the cause, if there is one.
func (e *attemptError) Error() string {
	if e.err == nil {
		return e.reason
	}
	return e.reason + ": " + e.err.Error()
}

// Unwrap returns the cause, or nil.
func (e *attemptError) Unwrap() error { return e.err }

// mayRetry reports whether the request may be tried at another endpoint after err. A
// retry takes from the retry budget unless nothing was sent.
func (c *Carrier) mayRetry(ctx context.Context, q *request, err error) bool {
	var a *attemptError
	if !errors.As(err, &a) || ctx.Err() != nil {
		c.returnReserved(q)
		return false
	}
	if q.next != nil {
		// The retry was taken from the budget before the attempt was ended.
		return true
	}
	if q.runState != refuser.NotRun && !q.route.IsRepeatable() {
		return false
	}
	if q.events.order.unnamed {
		// No endpoint can be told to go on after an event that has no id.
		return false
	}
	if !a.maybeSent {
		// No byte reached the endpoint, so the attempt does not count.
		q.recordUnsent()
		return len(q.query.Excluded) < maxUnsentAttempts && q.endpointsTried() < max(q.route.Attempts, 1)
	}
	if q.endpointsTried() >= max(q.route.Attempts, 1) || c.cfg.Quarantine.IsSuspect(q.parts) {
		return false
	}
	return c.cfg.Budget.TakeRetry(q.service.Name, time.Now())
}

// maxUnsentAttempts limits the endpoints that are tried when no connection succeeds.
const maxUnsentAttempts = 6

// endFailedRequest sends the caller the last failure that an endpoint answered, or
// returns the final error if there is none. It refunds the allowance if the request
// was not run.
func (c *Carrier) endFailedRequest(ctx context.Context, q *request, err error) error {
	if q.events.started {
		return fmt.Errorf("%w: %w", errAborted, err)
	}
	if q.lastFailure != nil && ctx.Err() == nil {
		return c.writeAnswer(q, q.lastFailure)
	}
	var r *refuser.Refusal
	if errors.As(err, &r) && q.runState == refuser.NotRun {
		c.refundAllowance(q)
		return r
	}
	timeout := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case q.runState == refuser.NotRun && timeout:
		c.refundAllowance(q)
		return &refuser.Refusal{Status: http.StatusServiceUnavailable, Title: "timeout", Detail: "no endpoint took the request in time", Err: err}
	case q.runState == refuser.NotRun:
		c.refundAllowance(q)
		return &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "unavailable", Detail: "no endpoint took the request", RetryAfter: minRetryAfter, Err: err,
		}
	case timeout:
		return &refuser.Refusal{Status: http.StatusGatewayTimeout, Title: "timeout", Detail: "no answer in time", Run: q.runState, Err: err}
	case c.ending.Err() != nil:
		return &refuser.Refusal{Status: http.StatusBadGateway, Title: "stopping", Detail: "the daemon stopped before the answer", Run: q.runState, Err: err}
	}
	return &refuser.Refusal{Status: http.StatusBadGateway, Title: "broken", Detail: "the endpoint gave no whole answer", Run: q.runState, Err: err}
}

// refundAllowance returns the cost of a request that was not run to its organisation.
func (c *Carrier) refundAllowance(q *request) {
	if q.cost > 0 {
		c.cfg.Allowances.Refund(q.org.Name, q.cost)
		q.cost = 0
	}
}

// hostName returns the value of a Host header without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
