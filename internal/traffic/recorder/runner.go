package recorder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

const (
	defaultRouteTimeout = 30 * time.Second
	// queueTimeout is how long an accepted order waits for an available endpoint if the caller set
	// no deadline.
	queueTimeout = 10 * time.Minute
	// recordTimeout is the time limit of one store write before the order is sent, so that a caller
	// is refused quickly while the store does not respond.
	recordTimeout = 1500 * time.Millisecond
	// maxDispatchAge is the maximum time from the start of the dispatch write until the order is
	// sent. It is shorter than the time after which other daemons take over the orders of an
	// unreachable daemon.
	maxDispatchAge = 3 * time.Second
	// answerRecordGrace is how long a caller waits for its answer to be recorded before it receives
	// the answer anyway.
	answerRecordGrace = 250 * time.Millisecond
	// recentOrderRetention is how long a daemon remembers the ids of the orders that it processed.
	recentOrderRetention = 10 * time.Minute
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Recorder reads and writes the records of orders.
	Recorder *Recorder
	// Router chooses the endpoint for each attempt.
	Router *router.Router
	// View returns the current members, endpoints and configuration.
	View func() viewer.View
	// Name and Domain are the name and the failure domain of this daemon.
	Name, Domain string
	// Peers sends calls to other daemons. It is nil if there are none.
	Peers Peers
	// Services sends orders to endpoints. It defaults to HTTPServices.
	Services Services
	// Limits learns the request limits that services name; nil learns none.
	Limits throttler.Observer
	// Quarantine refuses the requests under which services crash; nil refuses none.
	Quarantine quarantiner.Guard
	// Tracer starts a span for each store write and each attempt.
	Tracer tracer.Tracer
	// Logger receives a warning for each order whose outcome stays unknown.
	Logger log.Logger
	// Registry receives the metrics of orders.
	Registry metrics.Registry
}

// Submission is an order as a caller submits it.
type Submission struct {
	Organisation, Route, Key string
	Request                  Request
	// Async makes Submit return once the order is recorded, without waiting for its outcome.
	Async bool
	// Timeout is the caller's timeout; 0 selects the timeout of the route.
	Timeout time.Duration
}

// Runner processes orders until they end: those submitted to this daemon, and those left open by
// daemons that are gone.
type Runner struct {
	cfg          RunnerConfig
	ctx          context.Context
	journal      *journal
	drainStarted chan struct{}
	startDrain   func()
	// stepsInProgress is the number of steps that this daemon is writing on behalf of other daemons.
	stepsInProgress atomic.Int64

	mu            sync.Mutex
	jobs          map[string]*job
	recentOrders  map[string]time.Time
	outages       map[string]*refuser.Outage
	absentSince   map[string]time.Time
	adoptions     map[string]*adoption
	adoptedOwners map[string]bool
}

// NewRunner returns a runner that processes orders until ctx ends.
func NewRunner(ctx context.Context, cfg RunnerConfig) *Runner {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Services == nil {
		cfg.Services = HTTPServices{}
	}
	if cfg.Limits == nil {
		cfg.Limits = throttler.NoLimits{}
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantiner.NoGuard{}
	}
	r := &Runner{
		cfg: cfg, ctx: ctx, journal: newJournal(ctx, cfg.Recorder.cfg.Store, cfg.Recorder.cfg.Owner),
		drainStarted: make(chan struct{}), jobs: make(map[string]*job), recentOrders: make(map[string]time.Time),
		outages: make(map[string]*refuser.Outage), absentSince: make(map[string]time.Time),
		adoptions: make(map[string]*adoption), adoptedOwners: make(map[string]bool),
	}
	r.startDrain = sync.OnceFunc(func() { close(r.drainStarted) })
	if cfg.Peers != nil {
		cfg.Peers.Handle(kindAdoptJournal, r.handleAdoptJournal)
		cfg.Peers.Handle(kindResolveStep, r.handleResolveStep)
		cfg.Peers.Handle(kindSeenQuery, r.handleSeenQuery)
	}
	return r
}

func (r *Runner) now() time.Time { return r.cfg.Recorder.cfg.Now() }

func (r *Runner) isDraining() bool {
	select {
	case <-r.drainStarted:
		return true
	default:
		return false
	}
}

// Submit processes an order and returns when it ends or, for an asynchronous submission, when it is
// recorded. An order that is submitted again is not run again; its callers receive the same answer.
// The error is a *refuser.Refusal. The order is returned with the error if it can be read later.
func (r *Runner) Submit(ctx context.Context, s Submission) (Order, error) {
	route, ok := r.cfg.View().Set.Route(s.Route)
	if !ok {
		return Order{}, &refuser.Refusal{Status: http.StatusNotFound, Title: "unknown-route", Detail: "the route no longer exists"}
	}
	wait, expires := s.Timeout, s.Timeout
	if wait == 0 {
		wait, expires = routeTimeout(route), queueTimeout
	}
	o := r.cfg.Recorder.newOrder(s, expires)
	j, fresh := r.joinJob(o.ID, o.Digest)
	if j.digest != o.Digest {
		return Order{}, keyReusedRefusal(s.Key)
	}
	if fresh {
		r.startJob(ctx, j, func(ctx context.Context) { r.processNewOrder(ctx, j, o, s.Async) })
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	known, err := j.waitForOutcome(ctx, s.Async)
	if err == nil && !known.HasEnded() && !s.Async {
		known, err = r.awaitEnd(ctx, known)
	}
	if err != nil {
		return known, err
	}
	return r.refreshUnknown(ctx, known), nil
}

func routeTimeout(r loader.Route) time.Duration {
	if t := r.Timeout.Std(); t > 0 {
		return t
	}
	return defaultRouteTimeout
}

// startJob processes a job in the background, independently of the caller's context.
func (r *Runner) startJob(ctx context.Context, j *job, f func(context.Context)) {
	ctx = trace.ContextWithSpan(r.ctx, trace.SpanFromContext(ctx))
	go func() {
		defer r.removeJob(j)
		f(ctx)
	}()
}

// processNewOrder connects to an endpoint and adds the order to the journal at the same time, then
// records the order as dispatched and sends it. It writes no record if no endpoint is available,
// unless the order is queued.
func (r *Runner) processNewOrder(ctx context.Context, j *job, o Order, async bool) {
	if !r.cfg.Recorder.cfg.Outage.AllowAttempt(r.now()) {
		j.publishError(r.storeRefusal(ctx, o, nil))
		return
	}
	connected := make(chan connectResult, 1)
	go func() { connected <- r.connectToEndpoint(ctx, o, nil) }()
	err := r.addToJournal(ctx, o.ID)
	l := <-connected
	defer l.close()
	defer r.journal.removeOrder(o.ID)
	if err != nil {
		j.publishError(r.storeRefusal(ctx, o, err))
		return
	}
	if l.err != nil {
		r.queueOrRefuse(ctx, j, o, async, l.err)
		return
	}
	r.dispatchNewOrder(ctx, j, o, l, async)
}

func (r *Runner) addToJournal(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outage := r.cfg.Recorder.cfg.Outage
	if err := r.journal.addOrder(ctx, id); err != nil {
		outage.RecordFailure(r.now())
		return err
	}
	outage.RecordSuccess()
	return nil
}

// dispatchNewOrder records a new order as dispatched and sends it. An order whose record is in
// state refused may be dispatched again.
func (r *Runner) dispatchNewOrder(ctx context.Context, j *job, o Order, l connectResult, async bool) {
	began := r.now()
	s, err := r.cfg.Recorder.dispatchStep(o, l.choice.Endpoint.Name)
	if err != nil {
		j.publishError(err)
		return
	}
	recorded, err := r.applyOnce(ctx, s)
	var stale *StaleError
	if err == nil {
		r.sendDispatched(ctx, j, recorded, l, began, async)
		return
	}
	if !errors.As(err, &stale) || stale.Current.State != StateRefused || !isSameRequest(stale.Current, o) {
		r.handleFirstWriteFailure(ctx, j, o, s, err)
		return
	}
	if err := r.addToJournal(ctx, o.ID); err != nil {
		j.publishError(r.storeRefusal(ctx, o, err))
		return
	}
	r.dispatchNewOrder(ctx, j, stale.Current.withRequest(o), l, async)
}

// handleFirstWriteFailure reports to the callers that the first step of their order was not
// recorded, and cancels a write that may still take effect.
func (r *Runner) handleFirstWriteFailure(ctx context.Context, j *job, o Order, s Step, err error) {
	var stale *StaleError
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		j.publishError(err)
	case errors.As(err, &stale):
		j.publishExisting(stale.Current, o)
	case s.NextOrder.State == StateDispatched:
		// Only this daemon may send the order, and it does not send it.
		j.publishError(r.storeRefusal(ctx, o, err))
		r.cancelUnresolvedStep(ctx, s, triggerWithdraw)
	default:
		// The record may have been written, and then another daemon may run the order.
		j.publishError(r.unresolvedRefusal(o, err))
		r.cancelUnresolvedStep(ctx, s, triggerRefuse)
	}
}

// isSameRequest reports whether an existing record belongs to the same request as o. A record
// without a digest was written only to block a late write, so it matches any request.
func isSameRequest(record, o Order) bool { return record.Digest == "" || record.Digest == o.Digest }

// queueOrRefuse handles an order for which no endpoint is available: an asynchronous order is
// recorded and queued, any other is refused without a record. So is an asynchronous one if all
// endpoints are evacuated, which only an operator ends.
func (r *Runner) queueOrRefuse(ctx context.Context, j *job, o Order, async bool, cause error) {
	var evacuated *router.EvacuatedError
	known, err := r.cfg.Recorder.Get(ctx, o.ID)
	switch {
	case err == nil && (known.State != StateRefused || !isSameRequest(known, o)):
		j.publishExisting(known, o)
		return
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		j.publishError(r.storeRefusal(ctx, o, err))
		return
	case !async || errors.As(cause, &evacuated):
		j.publishError(r.unavailableRefusal(o, cause))
		return
	case err == nil:
		o = known.withRequest(o)
	}
	s, err := r.cfg.Recorder.newStep(o, triggerAccept, nil)
	if err != nil {
		j.publishError(err)
		return
	}
	recorded, err := r.applyOnce(ctx, s)
	if err != nil {
		r.handleFirstWriteFailure(ctx, j, o, s, err)
		return
	}
	j.setRecorded(recorded)
	r.rememberOrder(o.ID)
	r.processQueued(ctx, j, recorded)
}

// applyOnce applies a step once, within recordTimeout.
func (r *Runner) applyOnce(ctx context.Context, s Step) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.applyStep(ctx, s)
}

func (r *Runner) applyStep(ctx context.Context, s Step) (Order, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "store write", trace.WithAttributes(attribute.String("step", s.Name)))
	defer span.End()
	o, err := r.cfg.Recorder.ApplyStep(ctx, s)
	outcome := "applied"
	if err != nil {
		span.RecordError(err)
		outcome = "failed"
	}
	meter.AddToCounter(r.cfg.Registry, 1, "order_steps_total", "outcome", outcome, "step", s.Name)
	return o, err
}
