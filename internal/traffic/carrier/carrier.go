// Package carrier is a reverse proxy that forwards the requests of callers to
// endpoints; a Codec supplies the header fields of the protocol. It retries a request
// at another endpoint only if the request cannot run twice or its route allows that.
// A refusal says that the request was not run only if no endpoint can have run it.
package carrier

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/bounder"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/dialer"
	"pomelotiller/internal/traffic/limiter"
	"pomelotiller/internal/traffic/prioritizer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/throttler"
)

// Usage counts the requests that began to run, by organisation.
type Usage interface {
	RecordStart(organisation string, at time.Time)
}

// Demand records the requests to each service, and those refused for lack of
// capacity.
type Demand interface {
	// RecordRequest records a request, whose caller may have been refused before if mayReturn is set.
	RecordRequest(service string, unread, output int, mayReturn bool)
	RecordRefusal(service string, unread int)
}

// Trials splits the requests of a service between two releases during a canary
// rollout, and counts how each release answers.
type Trials interface {
	// AllowedReleases returns a filter of the releases that may serve the request with this
	// id; nil allows all.
	AllowedReleases(service, id string) func(release string) bool
	RecordSent(service, route, release string)
	RecordOutcome(o Outcome)
}

// Config configures a Carrier.
type Config struct {
	Codec Codec
	// Catalog returns the current configuration, or nil before there is one.
	Catalog   func() *registrar.Catalog
	Endpoints func() *tracker.Snapshot
	// MarkLeaving marks an endpoint as leaving, so that it gets no new requests.
	MarkLeaving func(id string, born int64, reason string)
	Chooser     *chooser.Chooser
	Pool        *dialer.Pool
	Allowances  *limiter.Allowances
	Budget      *limiter.Budget
	Usage       Usage
	Demand      Demand
	Trials      Trials
	// Prioritizer decides in which order competing callers are admitted; nil admits them alike.
	Prioritizer *prioritizer.Prioritizer
	// Quarantine knows the prompt blocks and whole requests under which endpoints crash.
	Quarantine quarantiner.Guard
	// Limits learns the request limits that endpoints name; nil means that they are not read.
	Limits throttler.Observer
	// Members returns the number of daemons in the fleet. They share the connection
	// limit of each endpoint equally.
	Members func() int
	// Policies selects the optional rules for refusing requests and abandoning attempts.
	Policies switcher.Policies
	// Tracer starts a span for each request and each attempt.
	Tracer   tracer.Tracer
	Logger   log.Logger
	Registry metrics.Registry
}

// Carrier is the http.Handler that forwards the requests of callers to endpoints.
// Its methods are safe for concurrent use.
type Carrier struct {
	cfg      Config
	inFlight atomic.Int64
	// answerMemory is the memory for the answers of all endpoints.
	answerMemory *rationer.Ration
	// stop holds the times of a planned stop; nil while there is none.
	stop atomic.Pointer[StopTimes]
	// ending is done once the requests in flight must end; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
}

// New returns a carrier.
func New(cfg Config) *Carrier {
	if cfg.Limits == nil {
		cfg.Limits = throttler.NoLimits{}
	}
	c := &Carrier{cfg: cfg, answerMemory: rationer.New(answerMemoryBytes)}
	c.ending, c.endRequests = context.WithCancel(context.Background())
	return c
}

// InFlight returns the number of requests that are being served.
func (c *Carrier) InFlight() int { return int(c.inFlight.Load()) }

// request is the state of one caller's request.
type request struct {
	Call
	w http.ResponseWriter
	// conn is the caller's connection; nil if it has no bounds.
	conn    *bounder.Conn
	method  string
	target  string
	host    string
	body    []byte
	start   time.Time
	expiry  time.Time
	route   registrar.Route
	org     registrar.Organisation
	service registrar.Service
	cost    float64
	// refusedCost is the cost that exceeded the allowance, and decision the limiter's
	// reason. Both are zero if the request was admitted.
	refusedCost float64
	decision    limiter.Decision
	query       chooser.Query
	// ticket is what the prioritizer knows of the request; nil if its callers do not compete.
	ticket *prioritizer.Ticket
	// order is the prioritizer's decision on the first attempt; nil before it.
	order *prioritizer.Decision
	// key identifies requests that are the same.
	key string
	// parts are what the quarantine knows the request by: the prompt blocks that other requests may share,
	// which are all but the last, and the request as a whole.
	parts []string
	// runState only moves from not run to unknown to ran.
	runState refuser.RunState
	attempts int
	// choice is the endpoint chosen for the latest attempt.
	choice chooser.Choice
	// next is the endpoint reserved for the next attempt, whose retry was taken from the budget; nil if none is.
	next *chooser.Choice
	// sentTo lists the endpoints that the request may have reached.
	sentTo []string
	// wayBack is set while the request moves away from a silent endpoint.
	wayBack *wayBack
	// returns counts the attempts at endpoints of earlier ones, and isReturning says that the latest is one.
	returns     int
	isReturning bool
	// holdings is the memory of the answers of all attempts.
	holdings []*rationer.Holding
	// lastFailure is the latest complete answer that reports a failure.
	lastFailure *answer
	// usageRecorded says that the request has been counted in the usage.
	usageRecorded bool
	// events is how much of a stream was sent to the caller.
	events streamProgress
	// status is the HTTP status sent to the caller.
	status int
	// catalogVersion and endpointsVersion are the versions of the configuration and
	// of the endpoint list that served the request.
	catalogVersion,
	endpointsVersion uint64
}

// ServeHTTP implements http.Handler.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	if c.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	ctx := c.cfg.Tracer.Propagation.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := c.cfg.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	q := &request{w: w, conn: bounder.FromContext(r.Context()), start: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host}
	defer q.endHoldings()
	err := c.admitRequest(q, r)
	if err == nil {
		err = c.serveWithDeadline(ctx, q)
	}
	if err != nil {
		span.RecordError(err)
	}
	span.SetAttributes(attribute.String("id", q.ID), attribute.String("route", q.route.Name), attribute.Int("attempts", q.attempts))
	c.finishRequest(r.Context(), q, err)
}

// endHoldings gives back the memory of all answers.
func (q *request) endHoldings() {
	for _, h := range q.holdings {
		h.End()
	}
}

// serveWithDeadline serves an admitted request until it expires.
func (c *Carrier) serveWithDeadline(ctx context.Context, q *request) error {
	ctx, cancel := context.WithDeadline(ctx, q.expiry)
	defer cancel()
	stop := context.AfterFunc(c.ending, cancel)
	defer stop()
	return c.serveWithRetries(ctx, q)
}

// errAborted means that an answer to the caller has begun and cannot be completed.
var errAborted = errors.New("answer cannot be completed")

// finishRequest sends a refusal to the caller if the request failed, and records the
// outcome of every request.
func (c *Carrier) finishRequest(ctx context.Context, q *request, err error) {
	// At the end of a stop the daemon itself may have interrupted the read of the body.
	gone := ctx.Err() != nil && c.ending.Err() == nil
	var r *refuser.Refusal
	// Without an answer from here the HTTP server would send 200, also to a caller that is still there and
	// has closed only its sending side.
	if errors.As(err, &r) && !q.events.started {
		q.status = r.Status
		if r.RetryAfter > 0 {
			q.w.Header().Set("Retry-After", c.cfg.Codec.RetryAfter(r.RetryAfter))
		}
		refuser.WriteBody(q.w, r)
	}
	c.recordRequest(q, err, gone)
	if errors.Is(err, errAborted) {
		// Closes the connection, so that the caller does not take the answer as complete.
		panic(http.ErrAbortHandler)
	}
}
