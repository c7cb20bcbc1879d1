package recorder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

// storeRefusal returns the refusal of an order that could not be recorded. This daemon has not sent
// the order, and no record allows another daemon to send it. The run state is unknown only if an
// earlier request with the same key may have run.
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

func keyReusedRefusal(key string) error {
	return &refuser.Refusal{
		Status: http.StatusUnprocessableEntity, Title: "key-reused", Run: refuser.NotRun,
		Detail: fmt.Sprintf("Idempotency-Key %q was used for another request; want a key of its own for each order", key),
	}
}

// unavailableRefusal returns the refusal of an order for which no endpoint is available, or cause if it is a
// refusal itself.
func (r *Runner) unavailableRefusal(o Order, cause error) error {
	var refusal *refuser.Refusal
	if errors.As(cause, &refusal) {
		return refusal
	}
	return nameEvacuation(&refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: refuser.NotRun, Err: cause,
		RetryAfter: r.retryAfter(o.Route, cause), Detail: "no service could take the order",
	})
}

// nameEvacuation sets the title and the detail of a refusal whose cause is that all endpoints are
// evacuated.
func nameEvacuation(refusal *refuser.Refusal) *refuser.Refusal {
	var evacuated *router.EvacuatedError
	if errors.As(refusal.Err, &evacuated) {
		refusal.Title, refusal.Detail = "evacuated", evacuated.Error()
	}
	return refusal
}

// retryAfter returns when a request may be sent again that no endpoint of a route took: once one takes another
// request if all are at their limits, else by how long none could be reached.
func (r *Runner) retryAfter(route string, cause error) time.Duration {
	var limited *router.LimitedError
	if errors.As(cause, &limited) {
		return limited.Wait
	}
	return r.routeOutage(route).RetryAfter(r.now())
}

// unresolvedRefusal returns the refusal of an order whose first write has an unknown result, so
// that the order may have been recorded.
func (r *Runner) unresolvedRefusal(o Order, cause error) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "store-unavailable", Run: refuser.Unknown, Err: cause,
		RetryAfter: r.cfg.Recorder.RetryAfter(),
		Detail:     "it is not known whether the order was accepted; read /v1/orders/" + o.ID,
	}
}

func answerTooLargeRefusal() error {
	return &refuser.Refusal{
		Status: http.StatusBadGateway, Title: "answer-too-large", Run: refuser.Ran,
		Detail: "the service answered, but its answer is too large to be passed on",
	}
}
