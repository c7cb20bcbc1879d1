package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

// recordFailedAttempt records a failed attempt, and excludes its engine from the next
// ones in most cases.
func (r *Relayer) recordFailedAttempt(job Job, p *jobProgress, c router.Choice, err error) {
	p.recordFailure(err)
	switch {
	case errors.Is(err, errMigrated):
		p.excluded[c.Endpoint.Name] = true
		return
	case errors.Is(err, errStalled) && p.stalls <= maxStallRetries:
		// The connection may be dead and the engine alive, so it is tried again.
	default:
		p.excluded[c.Endpoint.Name] = true
	}
	p.version = nextVersion(r.cfg.View(), job.Route, c.Version, p.hasBegun(), err)
	p.fruitlessAttempts++
	meter.AddToCounter(r.cfg.Registry, 1, "attempt_failures_total", "route", job.Route.Name, "version", c.Version, "cause", causeLabel(err))
	if errors.Is(err, inferrer.ErrLeaving) && r.cfg.OnLeaving != nil {
		r.cfg.OnLeaving(c.Endpoint)
	}
}

// causeLabel returns the metric label for the cause of a failed attempt.
func causeLabel(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{inferrer.ErrLeaving, "leaving"},
		{inferrer.ErrOverloaded, "overloaded"},
		{inferrer.ErrNotLoaded, "not-loaded"},
		{inferrer.ErrNotConnected, "not-connected"},
		{inferrer.ErrForeignAnswer, "crossed"},
		{inferrer.ErrTruncated, "truncated"},
		{errStalled, "silent"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "other"
}

// isFinalFailure reports whether a job gets no further attempt after err.
func (r *Relayer) isFinalFailure(ctx context.Context, p *jobProgress, err error) bool {
	var sinkErr *sinkError
	switch {
	case ctx.Err() != nil || errors.As(err, &sinkErr) || r.mayCrashNext(p):
		return true
	case p.hasBegun():
		return p.timeSinceFailure() >= r.cfg.ResumeTimeout
	case rejectionStatus(err) != 0 || p.fruitlessAttempts >= r.cfg.MaxAttempts:
		return true
	case errors.Is(err, errMigrated):
		return false
	}
	if errors.Is(err, errStalled) && p.retryTaken {
		return false
	}
	return r.cfg.AllowRetry != nil && mayAddOverload(err) && !r.cfg.AllowRetry()
}

// mayAddOverload reports whether a retry after an error can worsen an overload.
func mayAddOverload(err error) bool {
	var e *inferrer.StatusError
	failed := errors.As(err, &e) && e.Status >= http.StatusInternalServerError && !errors.Is(err, inferrer.ErrLeaving)
	return failed || errors.Is(err, inferrer.ErrOverloaded) || errors.Is(err, errStalled)
}

// rejectionStatus returns the 4xx status of an engine that refused a request which every
// engine would refuse, or 0 for any other error.
func rejectionStatus(err error) int {
	var e *inferrer.StatusError
	if !errors.As(err, &e) || e.Status < http.StatusBadRequest || e.Status >= http.StatusInternalServerError {
		return 0
	}
	if refuser.PromisesNotRun(e.Status) || e.Status == http.StatusNotFound || e.Status == http.StatusPreconditionFailed {
		return 0
	}
	return e.Status
}

// finalError returns the error that ends a job: a refusal, or another error if the
// caller has left.
func (r *Relayer) finalError(ctx context.Context, job Job, p *jobProgress, err error) error {
	var sinkErr *sinkError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &refuser.Refusal{
			Status: http.StatusGatewayTimeout, Title: "deadline", Run: p.runState, Err: err,
			Detail: "the answer was not whole by the deadline",
		}
	case ctx.Err() != nil || errors.As(err, &sinkErr):
		return fmt.Errorf("caller closed the request: %w", err)
	}
	if status := rejectionStatus(err); status != 0 && !p.hasBegun() {
		return &refuser.Refusal{
			Status: status, Title: "rejected", Run: p.runState, Err: err,
			Detail: fmt.Sprintf("the endpoint refused the request: %v", err),
		}
	}
	refusal := &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: p.runState, Err: err,
		RetryAfter: r.outageTracker.recordOutage(p.version),
		Detail:     fmt.Sprintf("no endpoint could answer for route %q", job.Route.Name),
	}
	var limited *router.LimitedError
	if isLimited := errors.As(err, &limited); isLimited || errors.Is(err, inferrer.ErrOverloaded) {
		refusal.Title = "overloaded"
		refusal.RetryAfter = r.outageTracker.queueWait(r.cfg.View(), p.version)
		if isLimited {
			refusal.RetryAfter = limited.Wait
		}
		refusal.Detail = fmt.Sprintf("all endpoints of route %q are at their limit", job.Route.Name)
	}
	var evacuated *router.EvacuatedError
	if errors.As(err, &evacuated) {
		refusal.Title, refusal.Detail = "evacuated", evacuated.Error()
	}
	meter.AddToCounter(r.cfg.Registry, 1, "completions_refused_total", "route", job.Route.Name, "title", refusal.Title)
	return refusal
}
