package carrier

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/refuser"
)

// drainTimeout bounds the time in which drainBody reads.
const drainTimeout = 100 * time.Millisecond

// checkVerdict applies what the answer says about its endpoint, and returns an
// error if the endpoint did not run the request.
func (a *answer) checkVerdict(q *request) error {
	if a.verdict.Unnamed && a.reused {
		// It may be an answer to an earlier request on the connection, written once more.
		q.runState = max(q.runState, refuser.Unknown)
		return &attemptError{maybeSent: true, reason: fmt.Sprintf("answer with status %d does not name its request", a.res.StatusCode), err: errUnnamed}
	}
	a.recordLimit()
	if a.verdict.Misdirected {
		e := a.choice.Endpoint
		a.c.cfg.MarkLeaving(e.ID, e.Born, "another endpoint has its address")
	}
	if a.verdict.RetryAfter > 0 {
		a.c.cfg.Chooser.PauseEndpoint(a.choice.Endpoint, a.verdict.RetryAfter)
	}
	if !a.verdict.NotRun {
		q.runState = refuser.Ran
		a.c.endWayBack(q)
		return nil
	}
	err := &attemptError{maybeSent: true, reason: fmt.Sprintf("not run, status %d", a.res.StatusCode), err: errNotRun}
	if a.verdict.RetryAfter > 0 {
		err.err = fmt.Errorf("%w: next request in %s", errPaused, a.verdict.RetryAfter)
	}
	a.drainBody(resultOfError(a.ctx, err))
	return err
}

// isFalsePromise reports whether callers would take the status of an answer for a promise that the request was
// not run, although the endpoint has run it. A caller may send what must not run twice again after it.
func (a *answer) isFalsePromise(q *request) bool {
	return !q.route.IsRepeatable() && q.runState != refuser.NotRun && refuser.PromisesNotRun(a.res.StatusCode)
}

// isFailure reports whether an answer says that the endpoint ran the request and failed.
func (a *answer) isFailure(q *request) bool {
	return a.res.StatusCode >= http.StatusInternalServerError || a.isFalsePromise(q)
}

// errUnnamed means that an answer on a reused connection cannot be attributed to the request.
var errUnnamed = errors.New("answer to an unknown request")

// errNotRun means that an endpoint refused a request before running it.
var errNotRun = errors.New("refused by the endpoint")

// errPaused means that an endpoint refused a request before running it and asked for
// no requests for some time. Such an answer does not count against its health.
var errPaused = errors.New("refused by the endpoint, which takes no requests for a while")

// drainBody reads a short body that has arrived to its end, so that the connection can be reused.
func (a *answer) drainBody(r chooser.Result) {
	if err := a.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return
	}
	b, err := io.ReadAll(io.LimitReader(a.res.Body, maxInlineBodyBytes))
	if err == nil && len(b) < maxInlineBodyBytes {
		a.finish(r, true)
	}
}
