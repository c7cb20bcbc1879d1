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
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	maxConnects = 4
	queuePoll   = 250 * time.Millisecond
	firstRetry  = 50 * time.Millisecond
	maxRetry    = time.Second
)

// link is a connection to the service chosen for an order, or why there is
// none.
type link struct {
	sender Sender
	choice router.Choice
	err    error
}

func (l link) close() {
	if l.sender != nil {
		l.sender.Close()
		l.choice.Release()
	}
}

// connect chooses a service and connects to it; nothing of the order is sent.
func (r *Runner) connect(ctx context.Context, o Order, exclude map[string]bool) link {
	ctx, span := r.cfg.Tracer.Start(ctx, "route")
	defer span.End()
	v := r.cfg.View()
	route, ok := v.Set.Route(o.Route)
	if !ok {
		return link{err: fmt.Errorf("route %q no longer exists", o.Route)}
	}
	q := router.Query{Request: o.ID, Route: route, Domain: r.cfg.Domain, Exclude: maps.Clone(exclude)}
	if q.Exclude == nil {
		q.Exclude = make(map[string]bool)
	}
	outage := r.outage(o.Route)
	var last error
	for range maxConnects {
		choice, err := r.cfg.Router.Choose(v, q)
		if err != nil {
			last = errors.Join(last, err)
			break
		}
		s, err := r.cfg.Services.Connect(ctx, choice.Endpoint.Address)
		if err == nil {
			outage.End()
			return link{sender: s, choice: choice}
		}
		choice.Release()
		q.Exclude[choice.Endpoint.Name] = true
		last = err
	}
	outage.Fail(r.now())
	return link{err: last}
}

// outage returns how long no service of a route could be reached.
func (r *Runner) outage(route string) *refuser.Outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away[route] == nil {
		r.away[route] = &refuser.Outage{}
	}
	return r.away[route]
}

// send sends an order that this daemon has dispatched, unless it was held up
// for so long that others may count it as lost.
func (r *Runner) send(ctx context.Context, j *job, o Order, l link, began time.Time, async bool) {
	j.recorded(o)
	r.mark(o.ID)
	if age := r.now().Sub(began); age > maxDispatchAge {
		r.unsent(ctx, j, o, async, fmt.Errorf("dispatch took %s", age))
		return
	}
	route, _ := r.cfg.View().Set.Route(o.Route)
	sendCtx, cancel := context.WithTimeout(ctx, timeoutOf(route))
	answer, err := r.attempt(sendCtx, l.sender, o)
	cancel()
	var sendErr *SendError
	switch {
	case err == nil:
		r.answered(ctx, j, o, answer)
	case errors.As(err, &sendErr) && sendErr.Run == refuser.NotRun:
		r.unsent(ctx, j, o, async, err)
	default:
		r.learn(ctx, j, o, err)
	}
}

func (r *Runner) attempt(ctx context.Context, s Sender, o Order) (Answer, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", o.Endpoint), attribute.Int("attempt", o.Attempt)))
	defer span.End()
	header := make(http.Header)
	r.cfg.Tracer.Propagation.Inject(ctx, propagation.HeaderCarrier(header))
	a, err := s.Send(ctx, o, header)
	if err != nil {
		span.RecordError(err)
	}
	return a, err
}

// unsent takes back a dispatched order of which this daemon sent no byte.
func (r *Runner) unsent(ctx context.Context, j *job, o Order, async bool, cause error) {
	if !async {
		j.fail(r.unavailable(o, cause))
		r.end(ctx, j, o, triggerWithdraw, func(n *Order) { n.Reason = cause.Error() })
		return
	}
	s, err := r.cfg.Recorder.step(o, triggerRequeue, nil)
	if err != nil {
		j.fail(err)
		return
	}
	queued, ok := r.settle(ctx, s)
	if !ok || queued.State != StateAccepted {
		j.finish(queued)
		return
	}
	r.queue(ctx, j, queued)
}

// queue waits for a service that takes an accepted order, and sends it. While
// the daemon drains, the order is left for another one.
func (r *Runner) queue(ctx context.Context, j *job, o Order) {
	for {
		if r.draining() || ctx.Err() != nil {
			r.journal.keep(o.ID)
			j.finish(o)
			r.handOver(ctx)
			return
		}
		if r.now().After(o.Expires) {
			r.end(ctx, j, o, triggerRefuse, func(n *Order) { n.Reason = "no service could take the order in time" })
			return
		}
		if l := r.connect(ctx, o, nil); l.err == nil {
			defer l.close()
			r.dispatch(ctx, j, o, l)
			return
		}
		r.pause(ctx, queuePoll)
	}
}

// pause waits, but not longer than until the daemon drains.
func (r *Runner) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.drained:
	case <-time.After(d):
	}
}

// dispatch takes an accepted order, whoever owned it, and sends it.
func (r *Runner) dispatch(ctx context.Context, j *job, o Order, l link) {
	began := r.now()
	s, err := r.cfg.Recorder.dispatch(o, l.choice.Endpoint.Name)
	if err != nil {
		j.fail(err)
		return
	}
	next, ok := r.settle(ctx, s)
	if !ok || next.write != s.Write {
		j.finish(next)
		r.handOver(ctx)
		return
	}
	r.send(ctx, j, next, l, began, true)
}

func (r *Runner) answered(ctx context.Context, j *job, o Order, a Answer) {
	r.end(ctx, j, o, triggerFinish, func(n *Order) { n.Answer, n.Reason = &a, "" })
}

// end records how an order ended. Its callers are told when that is recorded,
// or a little later while the store is away: the record can only come true.
func (r *Runner) end(ctx context.Context, j *job, o Order, t trigger, change func(*Order)) {
	s, err := r.cfg.Recorder.step(o, t, change)
	if err != nil {
		j.fail(err)
		return
	}
	meter.Count(r.cfg.Registry, 1, "orders_ended_total", "state", string(s.Next.State))
	if s.Next.State == StateUnknown {
		// A logger that fails has nowhere to say so.
		_ = level.Warn(r.cfg.Logger).Log("msg", "order unknown", "order", o.ID, "route", o.Route, "endpoint", o.Endpoint, "reason", s.Next.Reason)
	}
	grace := time.AfterFunc(answerGrace, func() { j.finish(s.Next) })
	defer grace.Stop()
	if final, ok := r.settle(ctx, s); ok {
		j.finish(final)
	}
	j.finish(s.Next)
}

// settle applies a step until the record shows it or another outcome. It
// reports false if the daemon's life ends first, or if another daemon has
// taken the step in hand.
func (r *Runner) settle(ctx context.Context, s Step) (Order, bool) {
	o, ok := r.trySettle(ctx, s)
	if !ok {
		r.journal.keep(s.Next.ID)
	}
	return o, ok
}

func (r *Runner) trySettle(ctx context.Context, s Step) (Order, bool) {
	for delay := firstRetry; ; delay = min(2*delay, maxRetry) {
		o, err := r.apply(ctx, s)
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
		if ctx.Err() != nil || errors.As(err, &refusal) || !s.Next.Ended() && r.draining() {
			return s.Next, false
		}
		if s.Next.Ended() && r.draining() && r.handOverStep(ctx, s) {
			return s.Next, false
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// rebase returns the step for a record that has changed under it, if the step
// is still true: an answer supersedes an unknown end, and what ended an attempt
// is true of that attempt's record at any revision.
func (s Step) rebase(current Order) (Step, bool) {
	if !s.Next.Ended() {
		return s, false
	}
	sameAttempt := current.State == StateDispatched && current.Owner == s.Next.Owner && current.Attempt == s.Next.Attempt
	superseded := current.State == StateUnknown && s.Next.State == StateDone
	expired := current.ID == ""
	if s.Expect == current.revision || !sameAttempt && !superseded && !expired {
		return s, false
	}
	s.Expect = current.revision
	return s, true
}

// annul makes sure that a step whose write is not settled leaves nothing behind
// that could be run.
func (r *Runner) annul(ctx context.Context, s Step, t trigger) {
	bar, err := r.cfg.Recorder.step(s.Next, t, func(n *Order) { n.Reason = "the order could not be recorded in time" })
	if err != nil {
		return
	}
	bar.Expect = s.Expect
	current, ok := r.settle(ctx, bar)
	if !ok || current.write != s.Write {
		return
	}
	if undo, err := r.cfg.Recorder.step(current, t, func(n *Order) { n.Reason = bar.Next.Reason }); err == nil {
		r.settle(ctx, undo)
	}
}
