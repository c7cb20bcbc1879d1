package recorder

import (
	"context"
	"fmt"
	"net/http"

	"pomelotiller/internal/traffic/refuser"
)

// storeRefusal refuses an order that could not be recorded. It was not sent by
// this daemon, and none of its records allows another to send it; but an earlier
// request with its key may have run.
func (r *Runner) storeRefusal(ctx context.Context, o Order, err error) error {
	refusal := &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "store-unavailable", Run: refuser.NotRun, Err: err,
		RetryAfter: r.cfg.Recorder.RetryAfter(), Detail: "the order could not be recorded, and was not run",
	}
	if r.mayHaveRun(ctx, o.ID) {
		refusal.Run = refuser.Unknown
		refusal.Detail = "the order cannot be read at present, and an earlier request with its key may have run; read /v1/orders/" + o.ID
	}
	return refusal
}

func keyReused(key string) error {
	return &refuser.Refusal{
		Status: http.StatusUnprocessableEntity, Title: "key-reused", Run: refuser.NotRun,
		Detail: fmt.Sprintf("Idempotency-Key %q was used for another request; want a key of its own for each order", key),
	}
}

// unavailable refuses an order that no service could take.
func (r *Runner) unavailable(o Order, cause error) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: refuser.NotRun, Err: cause,
		RetryAfter: r.outage(o.Route).RetryAfter(r.now()), Detail: "no service could take the order",
	}
}

// unsettled refuses an order whose record may stand all the same.
func (r *Runner) unsettled(o Order, cause error) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "store-unavailable", Run: refuser.Unknown, Err: cause,
		RetryAfter: r.cfg.Recorder.RetryAfter(),
		Detail:     "it is not known whether the order was accepted; read /v1/orders/" + o.ID,
	}
}

func answerTooLarge() error {
	return &refuser.Refusal{
		Status: http.StatusBadGateway, Title: "answer-too-large", Run: refuser.Ran,
		Detail: "the service answered, but its answer is too large to be passed on",
	}
}
