package recorder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	maxConnects    = 4
	endpointRetry  = 2 * time.Second
	defaultTimeout = 30 * time.Second
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Recorder keeps the orders.
	Recorder *Recorder
	// Router chooses the services.
	Router *router.Router
	// View returns the current view.
	View func() viewer.View
	// Domain is the failure domain of this daemon.
	Domain string
	// Tracer starts a span for each store write and each attempt.
	Tracer tracer.Tracer
	// Registry receives counters.
	Registry metrics.Registry
}

// Runner takes accepted orders to their end.
type Runner struct {
	cfg RunnerConfig
}

// NewRunner returns a runner.
func NewRunner(cfg RunnerConfig) *Runner { return &Runner{cfg: cfg} }

// Run sends an accepted order and records its end. Its error is a
// *refuser.Refusal, also when the order has ended without an answer.
func (r *Runner) Run(ctx context.Context, o Order) (Order, error) {
	route, ok := r.cfg.View().Set.Route(o.Route)
	if !ok {
		return o, &refuser.Refusal{Status: http.StatusNotFound, Title: "unknown-route", Detail: "the route no longer exists"}
	}
	timeout := route.Timeout.Std()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, choice, err := r.connect(ctx, o)
	if err != nil {
		return r.refuse(ctx, o, err)
	}
	defer conn.Close()
	defer choice.Release()
	o, err = r.record(ctx, "dispatch", func(ctx context.Context) (Order, error) {
		return r.cfg.Recorder.Dispatch(ctx, o, choice.Endpoint.Name)
	})
	if err != nil {
		return o, storeRefusal(err)
	}
	answer, err := r.send(ctx, conn, o)
	if err != nil {
		return r.lose(ctx, o, err)
	}
	return r.record(ctx, "finish", func(ctx context.Context) (Order, error) {
		return r.cfg.Recorder.Finish(ctx, o, answer)
	})
}

// connect chooses a service and connects to it; nothing of the order is sent.
func (r *Runner) connect(ctx context.Context, o Order) (*Connection, router.Choice, error) {
	v := r.cfg.View()
	route, _ := v.Set.Route(o.Route)
	q := router.Query{Request: o.ID, Route: route, Domain: r.cfg.Domain, Exclude: make(map[string]bool)}
	var last error
	for range maxConnects {
		choice, err := r.cfg.Router.Choose(v, q)
		if err != nil {
			return nil, choice, errors.Join(last, err)
		}
		conn, err := Connect(ctx, choice.Endpoint.Address)
		if err == nil {
			return conn, choice, nil
		}
		choice.Release()
		q.Exclude[choice.Endpoint.Name] = true
		last = err
	}
	return nil, router.Choice{}, last
}

func (r *Runner) send(ctx context.Context, conn *Connection, o Order) (Answer, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", o.Endpoint), attribute.Int("attempt", o.Attempt)))
	defer span.End()
	header := make(http.Header)
	r.cfg.Tracer.Propagation.Inject(ctx, propagation.HeaderCarrier(header))
	a, err := conn.Send(ctx, o, header)
	if err != nil {
		span.RecordError(err)
	}
	return a, err
}

func (r *Runner) record(ctx context.Context, step string, f func(context.Context) (Order, error)) (Order, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "store write", trace.WithAttributes(attribute.String("step", step)))
	defer span.End()
	meter.Count(r.cfg.Registry, 1, "order_steps_total", "step", step)
	o, err := f(ctx)
	if err != nil {
		span.RecordError(err)
	}
	return o, err
}

func (r *Runner) refuse(ctx context.Context, o Order, cause error) (Order, error) {
	refusal := &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: refuser.NotRun,
		RetryAfter: endpointRetry, Detail: "no service could take the order", Err: cause,
	}
	ended, err := r.record(ctx, "refuse", func(ctx context.Context) (Order, error) {
		return r.cfg.Recorder.Refuse(ctx, o, cause.Error())
	})
	if err != nil {
		refusal.Run = refuser.Unknown
		refusal.Err = errors.Join(cause, err)
	}
	return ended, refusal
}

func (r *Runner) lose(ctx context.Context, o Order, cause error) (Order, error) {
	refusal := &refuser.Refusal{
		Status: http.StatusBadGateway, Title: "outcome-unknown", Run: refuser.Unknown,
		Detail: "the order was sent and its answer was lost; read /v1/orders/" + o.ID, Err: cause,
	}
	ctx = context.WithoutCancel(ctx)
	ended, err := r.record(ctx, "lose", func(ctx context.Context) (Order, error) {
		return r.cfg.Recorder.Lose(ctx, o, cause.Error())
	})
	if err != nil {
		refusal.Err = errors.Join(cause, err)
	}
	return ended, refusal
}
