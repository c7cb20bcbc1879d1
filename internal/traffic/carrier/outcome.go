package carrier

import (
	"context"
	"errors"
	"net"
	"time"

	"pomelotiller/internal/traffic/quarantiner"
)

// maxAliveRest is how long a connection may be idle and still be taken for one that its endpoint keeps open. Idle
// timeouts below it are unusual.
const maxAliveRest = 100 * time.Millisecond

// OutcomeKind is how an attempt at an endpoint ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	// OutcomeGood is an answer without a fault, or the first event of a stream.
	OutcomeGood OutcomeKind = iota
	// OutcomeFailed is an answer that says that the endpoint failed.
	OutcomeFailed
	// OutcomeBroken is an answer that broke off before its end.
	OutcomeBroken
	// OutcomeStreamBroken is a stream that broke off after its first event, which was recorded as
	// OutcomeGood.
	OutcomeStreamBroken
	// OutcomeNone is a wait that ended without an answer.
	OutcomeNone
)

// Outcome is how an attempt at an endpoint of one release ended.
type Outcome struct {
	Service, Route, Release, Endpoint string
	Kind                              OutcomeKind
	// Late reports that the answer to a first attempt began after the route's latency target.
	Late bool
	// Took is the time until the answer began, or until the wait ended, and Predicted the time
	// that the daemon had predicted for it.
	Took, Predicted time.Duration
	// ConnectedAt is when the connection of the attempt was opened, and SentAt when the attempt began.
	ConnectedAt, SentAt time.Time
	// HasHead reports that the head of an answer came, and IsSilent that the attempt ended since nothing came.
	HasHead, IsSilent bool
}

// recordOutcome records how an attempt that reached its endpoint ended; err is why it failed.
func (c *Carrier) recordOutcome(q *request, a *answer, kind OutcomeKind, err error) {
	if a.outcomeRecorded && kind != OutcomeStreamBroken {
		return
	}
	a.outcomeRecorded = true
	c.cfg.Trials.RecordOutcome(Outcome{
		Service: q.service.Name, Route: q.route.Name, Release: a.choice.Endpoint.Version, Endpoint: a.choice.Endpoint.ID,
		Kind: kind, Late: q.attempts == 1 && q.isLate(), Took: time.Since(a.sentAt), Predicted: a.choice.Wait,
		ConnectedAt: a.conn.OpenedAt, SentAt: a.sentAt, HasHead: a.res != nil, IsSilent: isTimeout(err),
	})
}

// isTimeout reports whether an attempt failed since its endpoint sent nothing for too long.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// recordAnswer records the outcome of an answer that was read to its end.
func (c *Carrier) recordAnswer(q *request, a *answer) {
	kind := OutcomeGood
	if a.isFailure(q) {
		kind = OutcomeFailed
	}
	c.recordOutcome(q, a, kind, nil)
}

// recordMissingAnswer records the outcome of an attempt whose answer is missing or incomplete. ctx is
// that of the request: if it is done, the caller left or the time is up, which says nothing against
// the endpoint but that it took so long.
func (c *Carrier) recordMissingAnswer(ctx context.Context, q *request, a *answer, err error) {
	c.recordBreak(q, a, err)
	switch {
	case a.conn == nil || errors.Is(err, errNotRun) || errors.Is(err, errPaused):
		// The endpoint did not run the request.
	case a.outcomeRecorded:
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.recordOutcome(q, a, OutcomeStreamBroken, err)
		}
	case a.ctx.Err() != nil:
		c.recordOutcome(q, a, OutcomeNone, err)
	case a.res != nil || !a.reused || a.isEndedAfterSending(err):
		c.recordOutcome(q, a, OutcomeBroken, err)
	}
}

// isEndedAfterSending reports whether the endpoint ended a reused connection after the request was sent on it. What
// else befalls an attempt there before its answer may come from earlier: what an earlier request left, or the
// connection died or was forgotten while it was idle.
func (a *answer) isEndedAfterSending(err error) bool {
	return a.isRequestSent && a.rested <= maxAliveRest && quarantiner.IsConnectionLost(err)
}
