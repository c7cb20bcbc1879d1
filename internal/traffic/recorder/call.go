package recorder

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/refuser"
)

// maxCallAttempts is the maximum number of attempts for one idempotent call.
const maxCallAttempts = 4

// SendIdempotent sends an organisation's idempotent request without recording it. A failed attempt is
// retried, preferably at an endpoint that has not failed yet.
func (r *Runner) SendIdempotent(ctx context.Context, organisation string, route loader.Route, req Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout(route))
	defer cancel()
	o := Order{ID: uuid.NewString(), Organisation: organisation, Route: route.Name, Request: req}
	run, crashes := refuser.NotRun, 0
	exclude := make(map[string]bool)
	var last error
	for o.Attempt = 1; o.Attempt <= maxCallAttempts && ctx.Err() == nil; o.Attempt++ {
		l := r.connectToEndpoint(ctx, o, exclude)
		if l.err != nil {
			last = errors.Join(last, l.err)
			break
		}
		o.Endpoint = l.choice.Endpoint.Name
		a, err := r.sendAttempt(ctx, l, o)
		if r.recordAttempt(ctx, o, l.choice, err) {
			crashes++
		}
		l.close()
		if err == nil && !a.Omitted {
			return a, nil
		}
		if err == nil {
			return a, answerTooLargeRefusal()
		}
		var sendErr *SendError
		if !errors.As(err, &sendErr) || sendErr.RunState != refuser.NotRun {
			run = refuser.Unknown
		}
		last = err
		exclude[o.Endpoint] = true
		if crashes >= maxCallCrashes {
			break
		}
	}
	return Answer{}, r.callRefusal(route.Name, run, last)
}

// callRefusal returns the refusal of a call that no endpoint answered: that of the quarantine if cause is one.
func (r *Runner) callRefusal(route string, run refuser.RunState, cause error) error {
	var quarantined *refuser.Refusal
	if errors.As(cause, &quarantined) {
		refusal := *quarantined
		refusal.Run = run
		return &refusal
	}
	return nameEvacuation(&refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: run, Err: cause,
		RetryAfter: r.retryAfter(route, cause), Detail: "no service could answer the call",
	})
}
