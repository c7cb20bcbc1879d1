package recorder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

const (
	maxConnectAttempts = 4
	queuePollPeriod    = 250 * time.Millisecond
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = time.Second
)

// connectResult is a connection to the endpoint chosen for an order, or the error if no endpoint
// could be reached.
type connectResult struct {
	sender Sender
	choice router.Choice
	err    error
}

func (l connectResult) close() {
	if l.sender != nil {
		l.sender.Close()
		l.choice.Release()
	}
}

// connectToEndpoint chooses an endpoint and connects to it, trying up to maxConnectAttempts endpoints.
// It sends nothing of the order. The error is a *refuser.Refusal if services crash under the request.
func (r *Runner) connectToEndpoint(ctx context.Context, o Order, exclude map[string]bool) connectResult {
	ctx, span := r.cfg.Tracer.Start(ctx, "route")
	defer span.End()
	v := r.cfg.View()
	route, ok := v.Set.Route(o.Route)
	if !ok {
		return connectResult{err: fmt.Errorf("route %q no longer exists", o.Route)}
	}
	if err := quarantiner.Check(r.cfg.Quarantine, o.parts()); err != nil {
		return connectResult{err: err}
	}
	q := router.Query{Request: o.ID, Route: route, Domain: r.cfg.Domain, Exclude: maps.Clone(exclude)}
	if q.Exclude == nil {
		q.Exclude = make(map[string]bool)
	}
	routeOutage := r.routeOutage(o.Route)
	var last error
	for range maxConnectAttempts {
		choice, err := r.cfg.Router.Choose(v, q)
		var limited *router.LimitedError
		if errors.As(err, &limited) {
			return connectResult{err: err}
		}
		if err != nil {
			last = errors.Join(last, err)
			break
		}
		s, err := r.cfg.Services.Connect(ctx, choice.Endpoint.Address)
		if err == nil {
			routeOutage.RecordSuccess()
			return connectResult{sender: s, choice: choice}
		}
		choice.Release()
		q.Exclude[choice.Endpoint.Name] = true
		last = err
	}
	routeOutage.RecordFailure(r.now())
	return connectResult{err: last}
}

// routeOutage returns the tracker of the time for which no endpoint of a route could be reached.
func (r *Runner) routeOutage(route string) *refuser.Outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outages[route] == nil {
		r.outages[route] = &refuser.Outage{}
	}
	return r.outages[route]
}

// sendDispatched sends an order that this daemon has dispatched. If more than maxDispatchAge has
// passed since the dispatch began, other daemons may already consider the order lost, so it is not
// sent.
func (r *Runner) sendDispatched(ctx context.Context, j *job, o Order, l connectResult, began time.Time, async bool) {
	j.setRecorded(o)
	r.rememberOrder(o.ID)
	if age := r.now().Sub(began); age > maxDispatchAge {
		r.undoDispatch(ctx, j, o, async, fmt.Errorf("dispatch took %s", age))
		return
	}
	view := r.cfg.View()
	if domain := l.choice.Endpoint.Domain; view.IsEvacuated(domain) {
		r.undoDispatch(ctx, j, o, async, fmt.Errorf("failure domain %q was evacuated before the order was sent", domain))
		return
	}
	route, _ := view.Set.Route(o.Route)
	sendCtx, cancel := context.WithTimeout(ctx, routeTimeout(route))
	answer, err := r.sendAttempt(sendCtx, l, o)
	r.recordAttempt(sendCtx, o, l.choice, err)
	cancel()
	var sendErr *SendError
	switch {
	case err == nil:
		r.recordAnswer(ctx, j, o, answer)
	case errors.As(err, &sendErr) && sendErr.RunState == refuser.NotRun:
		r.undoDispatch(ctx, j, o, async, err)
	default:
		r.resolveOutcome(ctx, j, o, err)
	}
}

func (r *Runner) sendAttempt(ctx context.Context, l connectResult, o Order) (Answer, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", o.Endpoint), attribute.Int("attempt", o.Attempt)))
	defer span.End()
	header := make(http.Header)
	r.cfg.Tracer.Propagation.Inject(ctx, propagation.HeaderCarrier(header))
	sentAt := time.Now()
	a, err := l.sender.Send(ctx, o, header)
	if err != nil {
		span.RecordError(err)
		return a, err
	}
	throttler.Observe(r.cfg.Limits, router.LimitKey(l.choice.Endpoint), 0, a.Limit, a.Status, sentAt)
	return a, nil
}

// undoDispatch reverts the dispatch of an order of which this daemon has sent no byte: an
// asynchronous order is queued again, any other is refused.
func (r *Runner) undoDispatch(ctx context.Context, j *job, o Order, async bool, cause error) {
	if !async {
		j.publishError(r.unavailableRefusal(o, cause))
		r.recordEnd(ctx, j, o, triggerWithdraw, func(n *Order) { n.Reason = cause.Error() })
		return
	}
	s, err := r.cfg.Recorder.newStep(o, triggerRequeue, nil)
	if err != nil {
		j.publishError(err)
		return
	}
	queued, ok := r.resolveStep(ctx, s)
	if !ok || queued.State != StateAccepted {
		j.publishOrder(queued)
		return
	}
	r.processQueued(ctx, j, queued)
}

// processQueued waits until an endpoint is available for an accepted order, and sends the order.
// While this daemon drains, it hands the order over to another daemon.
func (r *Runner) processQueued(ctx context.Context, j *job, o Order) {
	for {
		if r.isDraining() || ctx.Err() != nil {
			r.journal.retainOrder(o.ID)
			j.publishOrder(o)
			r.handOverQueued(ctx)
			return
		}
		if r.now().After(o.Expires) {
			r.recordEnd(ctx, j, o, triggerRefuse, func(n *Order) { n.Reason = "no service could take the order in time" })
			return
		}
		if l := r.connectToEndpoint(ctx, o, nil); l.err == nil {
			defer l.close()
			r.dispatchQueued(ctx, j, o, l)
			return
		}
		r.pauseUnlessDraining(ctx, queuePollPeriod)
	}
}

// pauseUnlessDraining sleeps for d. It returns early when ctx ends or this daemon starts to drain.
func (r *Runner) pauseUnlessDraining(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.drainStarted:
	case <-time.After(d):
	}
}

// dispatchQueued records an accepted order as dispatched by this daemon, whichever daemon owned it
// before, and sends it.
func (r *Runner) dispatchQueued(ctx context.Context, j *job, o Order, l connectResult) {
	began := r.now()
	s, err := r.cfg.Recorder.dispatchStep(o, l.choice.Endpoint.Name)
	if err != nil {
		j.publishError(err)
		return
	}
	next, ok := r.resolveStep(ctx, s)
	if !ok || next.writeID != s.WriteID {
		j.publishOrder(next)
		r.handOverQueued(ctx)
		return
	}
	r.sendDispatched(ctx, j, next, l, began, true)
}

func (r *Runner) recordAnswer(ctx context.Context, j *job, o Order, a Answer) {
	r.recordEnd(ctx, j, o, triggerFinish, func(n *Order) { n.Answer, n.Reason = &a, "" })
}

// recordEnd records the final state of an order and reports it to the callers once it is recorded.
// While the store is unavailable the callers receive it after answerRecordGrace, since no later
// record can contradict it.
func (r *Runner) recordEnd(ctx context.Context, j *job, o Order, t trigger, change func(*Order)) {
	s, err := r.cfg.Recorder.newStep(o, t, change)
	if err != nil {
		j.publishError(err)
		return
	}
	meter.AddToCounter(r.cfg.Registry, 1, "orders_ended_total", "state", string(s.NextOrder.State))
	if s.NextOrder.State == StateUnknown {
		// The error is ignored: a failed logger cannot log its own failure.
		_ = level.Warn(r.cfg.Logger).Log("msg", "outcome of order is unknown", "order", o.ID, "route", o.Route, "endpoint", o.Endpoint, "reason", s.NextOrder.Reason)
	}
	grace := time.AfterFunc(answerRecordGrace, func() { j.publishOrder(s.NextOrder) })
	defer grace.Stop()
	if final, ok := r.resolveStep(ctx, s); ok {
		j.publishOrder(final)
	}
	j.publishOrder(s.NextOrder)
}

// resolveStep applies a step until the record contains it or a conflicting result. It reports false
// if this daemon stops first or if another daemon has taken over the step.
func (r *Runner) resolveStep(ctx context.Context, s Step) (Order, bool) {
	o, ok := r.applyUntilResolved(ctx, s)
	if !ok {
		r.journal.retainOrder(s.NextOrder.ID)
	}
	return o, ok
}

func (r *Runner) applyUntilResolved(ctx context.Context, s Step) (Order, bool) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		o, err := r.applyStep(ctx, s)
		if err == nil {
			return o, true
		}
		var stale *StaleError
		if errors.As(err, &stale) {
			rebased, ok := s.rebase(stale.Current)
			if !ok {
				return stale.Current, true
			}
			s = rebased
			continue
		}
		var refusal *refuser.Refusal
		if ctx.Err() != nil || errors.As(err, &refusal) || !s.NextOrder.HasEnded() && r.isDraining() {
			return s.NextOrder, false
		}
		if s.NextOrder.HasEnded() && r.isDraining() && r.handOverStep(ctx, s) {
			return s.NextOrder, false
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// rebase returns the step adapted to a record that has changed since the step was prepared, if the
// step is still valid. An answer replaces an unknown outcome, and the end of an attempt is valid
// for any revision of that attempt's record.
func (s Step) rebase(current Order) (Step, bool) {
	if !s.NextOrder.HasEnded() {
		return s, false
	}
	sameAttempt := current.State == StateDispatched && current.Owner == s.NextOrder.Owner && current.Attempt == s.NextOrder.Attempt
	superseded := current.State == StateUnknown && s.NextOrder.State == StateDone
	expired := current.ID == ""
	if s.ExpectedRevision == current.revision || !sameAttempt && !superseded && !expired {
		return s, false
	}
	s.ExpectedRevision = current.revision
	return s, true
}

// cancelUnresolvedStep ensures that a step whose write has an unknown result leaves no record from
// which the order could be run.
func (r *Runner) cancelUnresolvedStep(ctx context.Context, s Step, t trigger) {
	cancelStep, err := r.cfg.Recorder.newStep(s.NextOrder, t, func(n *Order) { n.Reason = "the order could not be recorded in time" })
	if err != nil {
		return
	}
	cancelStep.ExpectedRevision = s.ExpectedRevision
	current, ok := r.resolveStep(ctx, cancelStep)
	if !ok || current.writeID != s.WriteID {
		return
	}
	if undo, err := r.cfg.Recorder.newStep(current, t, func(n *Order) { n.Reason = cancelStep.NextOrder.Reason }); err == nil {
		r.resolveStep(ctx, undo)
	}
}
