package recorder

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/refuser"
)

// maxCalls bounds the attempts of a call that may be repeated.
const maxCalls = 4

// Call carries a call that may be repeated, without a record: an attempt that
// fails is followed by another, at other services first.
func (r *Runner) Call(ctx context.Context, route loader.Route, req Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(route))
	defer cancel()
	o := Order{ID: uuid.NewString(), Route: route.Name, Request: req}
	run := refuser.NotRun
	exclude := make(map[string]bool)
	var last error
	for o.Attempt = 1; o.Attempt <= maxCalls && ctx.Err() == nil; o.Attempt++ {
		l := r.connect(ctx, o, exclude)
		if l.err != nil {
			last = errors.Join(last, l.err)
			break
		}
		o.Endpoint = l.choice.Endpoint.Name
		a, err := r.attempt(ctx, l.sender, o)
		l.close()
		if err == nil && !a.Omitted {
			return a, nil
		}
		if err == nil {
			return a, answerTooLarge()
		}
		var sendErr *SendError
		if !errors.As(err, &sendErr) || sendErr.Run != refuser.NotRun {
			run = refuser.Unknown
		}
		last = err
		exclude[o.Endpoint] = true
	}
	refusal := &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: run, Err: last,
		RetryAfter: r.outage(route.Name).RetryAfter(r.now()), Detail: "no service could answer the call",
	}
	return Answer{}, refusal
}
