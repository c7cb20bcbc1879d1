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
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	defaultTimeout = 30 * time.Second
	// queueTimeout is how long an accepted order waits for a service whose
	// caller named no deadline.
	queueTimeout = 10 * time.Minute
	// recordTimeout bounds one write on the way to the first byte, so that a
	// caller is refused soon.
	recordTimeout = 1500 * time.Millisecond
	// maxDispatchAge bounds the time from the start of the dispatch write to
	// the first byte. It is below the time after which others take over.
	maxDispatchAge = 3 * time.Second
	// answerGrace is how long a caller waits for its answer to be recorded.
	answerGrace = 250 * time.Millisecond
	// recentTime is how long a daemon remembers the keys that it took.
	recentTime = 10 * time.Minute
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Recorder keeps the orders.
	Recorder *Recorder
	// Router chooses the services.
	Router *router.Router
	// View returns the current view.
	View func() viewer.View
	// Name and Domain are this daemon's.
	Name, Domain string
	// Peers carries calls between daemons; nil if there are none.
	Peers Peers
	// Services carries orders to services; nil is HTTP.
	Services Services
	// Tracer starts a span for each store write and each attempt.
	Tracer tracer.Tracer
	// Logger receives the orders whose end stays unknown.
	Logger log.Logger
	// Registry receives counters.
	Registry metrics.Registry
}

// Submission is an order as a caller posts it.
type Submission struct {
	Organisation, Route, Key string
	Request                  Request
	// Async asks to return once the order is durable.
	Async bool
	// Wait is the caller's deadline; 0 leaves it to the route.
	Wait time.Duration
}

// Runner takes orders to their end, those of this daemon and those that daemons
// that are gone have left.
type Runner struct {
	cfg     RunnerConfig
	ctx     context.Context
	journal *journal
	drained chan struct{}
	drain   func()
	// settling counts the steps that this daemon writes for others.
	settling atomic.Int64

	mu       sync.Mutex
	jobs     map[string]*job
	recent   map[string]time.Time
	away     map[string]*refuser.Outage
	absent   map[string]time.Time
	adopting map[string]*adoption
	adopted  map[string]bool
}

// NewRunner returns a runner whose orders live until ctx ends.
func NewRunner(ctx context.Context, cfg RunnerConfig) *Runner {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Services == nil {
		cfg.Services = HTTPServices{}
	}
	r := &Runner{
		cfg: cfg, ctx: ctx, journal: newJournal(ctx, cfg.Recorder.cfg.Store, cfg.Recorder.cfg.Owner),
		drained: make(chan struct{}), jobs: make(map[string]*job), recent: make(map[string]time.Time),
		away: make(map[string]*refuser.Outage), absent: make(map[string]time.Time),
		adopting: make(map[string]*adoption), adopted: make(map[string]bool),
	}
	r.drain = sync.OnceFunc(func() { close(r.drained) })
	if cfg.Peers != nil {
		cfg.Peers.Handle(kindTake, r.handleTake)
		cfg.Peers.Handle(kindSettle, r.handleSettle)
		cfg.Peers.Handle(kindSeen, r.handleSeen)
	}
	return r
}

func (r *Runner) now() time.Time { return r.cfg.Recorder.cfg.Now() }

func (r *Runner) draining() bool {
	select {
	case <-r.drained:
		return true
	default:
		return false
	}
}

// Submit takes an order to its end, or to where its caller need not wait any
// more. Posted again, an order is not run again: its callers get the same
// answer. The error is a *refuser.Refusal; the order is returned with it where
// there is one to read later.
func (r *Runner) Submit(ctx context.Context, s Submission) (Order, error) {
	route, ok := r.cfg.View().Set.Route(s.Route)
	if !ok {
		return Order{}, &refuser.Refusal{Status: http.StatusNotFound, Title: "unknown-route", Detail: "the route no longer exists"}
	}
	wait, expires := s.Wait, s.Wait
	if wait == 0 {
		wait, expires = timeoutOf(route), queueTimeout
	}
	o := r.cfg.Recorder.newOrder(s, expires)
	j, fresh := r.join(o.ID, o.Digest)
	if j.digest != o.Digest {
		return Order{}, keyReused(s.Key)
	}
	if fresh {
		r.start(ctx, j, func(ctx context.Context) { r.begin(ctx, j, o, s.Async) })
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	known, err := j.wait(ctx, s.Async)
	if err == nil && !known.Ended() && !s.Async {
		known, err = r.await(ctx, known)
	}
	if err != nil {
		return known, err
	}
	return r.revisit(ctx, known), nil
}

func timeoutOf(r loader.Route) time.Duration {
	if t := r.Timeout.Std(); t > 0 {
		return t
	}
	return defaultTimeout
}

// start runs a job that goes on when its caller is gone.
func (r *Runner) start(ctx context.Context, j *job, f func(context.Context)) {
	ctx = trace.ContextWithSpan(r.ctx, trace.SpanFromContext(ctx))
	go func() {
		defer r.leave(j)
		f(ctx)
	}()
}

// begin connects to a service, lists the order as open, and records it as
// dispatched. Nothing is written for an order that no service can take.
func (r *Runner) begin(ctx context.Context, j *job, o Order, async bool) {
	if !r.cfg.Recorder.cfg.Outage.Try(r.now()) {
		j.fail(r.storeRefusal(ctx, o, nil))
		return
	}
	connected := make(chan link, 1)
	go func() { connected <- r.connect(ctx, o, nil) }()
	err := r.list(ctx, o.ID)
	l := <-connected
	defer l.close()
	defer r.journal.remove(o.ID)
	if err != nil {
		j.fail(r.storeRefusal(ctx, o, err))
		return
	}
	if l.err != nil {
		r.beginUnsent(ctx, j, o, async, l.err)
		return
	}
	r.beginSend(ctx, j, o, l, async)
}

func (r *Runner) list(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outage := r.cfg.Recorder.cfg.Outage
	if err := r.journal.add(ctx, id); err != nil {
		outage.Fail(r.now())
		return err
	}
	outage.End()
	return nil
}

// beginSend records an order as dispatched and sends it. An order that was
// refused before may be dispatched again.
func (r *Runner) beginSend(ctx context.Context, j *job, o Order, l link, async bool) {
	began := r.now()
	s, err := r.cfg.Recorder.dispatch(o, l.choice.Endpoint.Name)
	if err != nil {
		j.fail(err)
		return
	}
	recorded, err := r.try(ctx, s)
	var stale *StaleError
	if err == nil {
		r.send(ctx, j, recorded, l, began, async)
		return
	}
	if !errors.As(err, &stale) || stale.Current.State != StateRefused || !sameRequest(stale.Current, o) {
		r.rejected(ctx, j, o, s, err)
		return
	}
	if err := r.list(ctx, o.ID); err != nil {
		j.fail(r.storeRefusal(ctx, o, err))
		return
	}
	r.beginSend(ctx, j, stale.Current.withRequest(o), l, async)
}

// rejected tells the callers of an order that its first step is not in force.
func (r *Runner) rejected(ctx context.Context, j *job, o Order, s Step, err error) {
	var stale *StaleError
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		j.fail(err)
	case errors.As(err, &stale):
		j.known(stale.Current, o)
	case s.Next.State == StateDispatched:
		// Only this daemon could send the order, and it does not.
		j.fail(r.storeRefusal(ctx, o, err))
		r.annul(ctx, s, triggerWithdraw)
	default:
		// The record may stand, and another daemon may run it.
		j.fail(r.unsettled(o, err))
		r.annul(ctx, s, triggerRefuse)
	}
}

// sameRequest reports whether an order may stand for a record; a record that
// only bars a late write has no digest.
func sameRequest(record, o Order) bool { return record.Digest == "" || record.Digest == o.Digest }

// beginUnsent is for an order that no service can take at present: one whose
// caller does not wait is queued, another refused without a record.
func (r *Runner) beginUnsent(ctx context.Context, j *job, o Order, async bool, cause error) {
	known, err := r.cfg.Recorder.Get(ctx, o.ID)
	switch {
	case err == nil && (known.State != StateRefused || !sameRequest(known, o)):
		j.known(known, o)
		return
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		j.fail(r.storeRefusal(ctx, o, err))
		return
	case !async:
		j.fail(r.unavailable(o, cause))
		return
	case err == nil:
		o = known.withRequest(o)
	}
	s, err := r.cfg.Recorder.step(o, triggerAccept, nil)
	if err != nil {
		j.fail(err)
		return
	}
	recorded, err := r.try(ctx, s)
	if err != nil {
		r.rejected(ctx, j, o, s, err)
		return
	}
	j.recorded(recorded)
	r.mark(o.ID)
	r.queue(ctx, j, recorded)
}

// try applies a step once, within the time that a caller can be kept waiting.
func (r *Runner) try(ctx context.Context, s Step) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.apply(ctx, s)
}

func (r *Runner) apply(ctx context.Context, s Step) (Order, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "store write", trace.WithAttributes(attribute.String("step", s.Name)))
	defer span.End()
	o, err := r.cfg.Recorder.Apply(ctx, s)
	outcome := "applied"
	if err != nil {
		span.RecordError(err)
		outcome = "failed"
	}
	meter.Count(r.cfg.Registry, 1, "order_steps_total", "outcome", outcome, "step", s.Name)
	return o, err
}
