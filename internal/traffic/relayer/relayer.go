// Package relayer carries a completion from an engine to its caller. An answer
// that breaks off is resumed on another engine from the last token passed on; a
// stream is never ended as if it were complete.
package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	defaultMaxAttempts = 6
	// defaultPatience is how long an answer that has begun is kept waiting for
	// an engine that can go on with it.
	defaultPatience = 5 * time.Second
	// maxRounds is the number of times that each engine is tried for an answer
	// that has not begun.
	maxRounds = 2
)

// Job is one completion to carry.
type Job struct {
	// Request is the id of the request.
	Request string
	Route   loader.Route
	// Path is inferrer.PathChat or inferrer.PathCompletion.
	Path   string
	Prompt inferrer.Prompt
	// Fields are all fields of the caller's request.
	Fields   map[string]json.RawMessage
	Priority loader.Priority
}

// Sink takes the pieces of an answer, in order and each once. A piece without
// choices carries the usage.
type Sink interface {
	Piece(e inferrer.Piece) error
	// Flush is called when no further piece is at hand.
	Flush() error
}

// Config configures a Relayer.
type Config struct {
	// View returns the current view.
	View func() viewer.View
	// Router chooses the engines.
	Router *router.Router
	// Domain is the failure domain of this daemon.
	Domain string
	// HTTP carries the attempts.
	HTTP *http.Client
	// Fresh carries attempts over connections of their own; nil makes one.
	Fresh *http.Client
	// Tracer starts a span for each attempt.
	Tracer tracer.Tracer
	// Registry receives counters.
	Registry metrics.Registry
	// Leaving, if set, is told of an engine that refuses work because it is
	// leaving.
	Leaving func(e viewer.Endpoint)
	// Retry, if set, says whether another engine may be tried for an answer
	// that has not begun, after a failure that may stem from overload.
	Retry func() bool
	// MaxAttempts bounds the attempts of a request that bring no new token.
	MaxAttempts int
	// Patience bounds the wait of an answer that has begun for an engine.
	Patience time.Duration
	// Outcomes takes the outcome of each attempt; nil takes none.
	Outcomes Outcomes
}

// Relayer carries completions. All methods are safe for concurrent use.
type Relayer struct {
	cfg     Config
	outages outages
	// outliers are the engines that get no work for a while.
	outliers outliers
	moves    chan struct{}

	mu      sync.Mutex
	flights map[string]map[*flight]struct{}
}

// New returns a relayer.
func New(cfg Config) *Relayer {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.Patience == 0 {
		cfg.Patience = defaultPatience
	}
	if cfg.Fresh == nil {
		cfg.Fresh = inferrer.NewFreshHTTP()
	}
	return &Relayer{cfg: cfg, moves: make(chan struct{}, maxMoves), flights: make(map[string]map[*flight]struct{})}
}

// Run carries a job until its answer is whole. It returns a *refuser.Refusal if
// the answer cannot be had, and ctx's error if the caller is gone.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) error {
	p := newProgress()
	defer p.drop()
	start := time.Now()
	for n := 1; ; n++ {
		choice, err := r.choose(ctx, job, p)
		if err != nil {
			return r.refuse(ctx, job, p, errors.Join(p.last, err))
		}
		p.version = choice.Version
		p.seen = observation{started: time.Now()}
		err = r.attempt(ctx, job, p, choice, n, sink)
		choice.Release()
		r.report(ctx, job, choice, n, p.seen, err)
		r.judge(ctx, choice, p.seen, err)
		if err == nil {
			r.outages.end(choice.Version, time.Since(start))
			return nil
		}
		r.learn(job, p, choice, err)
		if r.isFinal(ctx, p, err) {
			return r.refuse(ctx, job, p, err)
		}
	}
}

// learn notes a failed attempt, so that the next one goes elsewhere.
func (r *Relayer) learn(job Job, p *progress, c router.Choice, err error) {
	p.stall(err)
	switch {
	case errors.Is(err, errMoved):
		p.exclude[c.Endpoint.Name] = true
		return
	case errors.Is(err, errSilent) && p.silences <= maxSilences:
		// The connection may be dead and the engine alive: ask again there.
	default:
		p.exclude[c.Endpoint.Name] = true
	}
	p.version = nextVersion(r.cfg.View(), job.Route, c.Version, p.begun(), err)
	p.fruitless++
	meter.Count(r.cfg.Registry, 1, "attempt_failures_total", "route", job.Route.Name, "version", c.Version, "cause", causeOf(err))
	if errors.Is(err, inferrer.ErrLeaving) && r.cfg.Leaving != nil {
		r.cfg.Leaving(c.Endpoint)
	}
}

// causeOf names the cause of a failed attempt for the counters.
func causeOf(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{inferrer.ErrLeaving, "leaving"},
		{inferrer.ErrOverloaded, "overloaded"},
		{inferrer.ErrNotLoaded, "not-loaded"},
		{inferrer.ErrNotConnected, "not-connected"},
		{inferrer.ErrCrossed, "crossed"},
		{inferrer.ErrTruncated, "truncated"},
		{errSilent, "silent"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "other"
}

// isFinal reports whether no further attempt may be made.
func (r *Relayer) isFinal(ctx context.Context, p *progress, err error) bool {
	var sinkErr *sinkError
	switch {
	case ctx.Err() != nil || errors.As(err, &sinkErr):
		return true
	case p.begun():
		return p.waited() >= r.cfg.Patience
	case rejectedStatus(err) != 0 || p.fruitless >= r.cfg.MaxAttempts:
		return true
	case errors.Is(err, errMoved):
		return false
	}
	return r.cfg.Retry != nil && addsLoad(err) && !r.cfg.Retry()
}

// addsLoad reports whether trying again after an error can add to an overload.
func addsLoad(err error) bool {
	var e *inferrer.StatusError
	failed := errors.As(err, &e) && e.Status >= http.StatusInternalServerError && !errors.Is(err, inferrer.ErrLeaving)
	return failed || errors.Is(err, inferrer.ErrOverloaded) || errors.Is(err, errSilent)
}

// rejectedStatus returns the status with which an engine refused a request that
// every engine would refuse, or 0.
func rejectedStatus(err error) int {
	var e *inferrer.StatusError
	if !errors.As(err, &e) || e.Status < http.StatusBadRequest || e.Status >= http.StatusInternalServerError {
		return 0
	}
	switch e.Status {
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusPreconditionFailed, http.StatusTooManyRequests:
		return 0
	}
	return e.Status
}

// choose picks an engine. When all have failed, they are tried again: an answer
// that has not begun once, one that has begun until the patience is over.
func (r *Relayer) choose(ctx context.Context, job Job, p *progress) (router.Choice, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "route")
	defer span.End()
	if c, ok := p.take(); ok {
		return c, nil
	}
	for {
		c, err := r.route(job, p.version, p.exclude)
		if err == nil || !errors.Is(err, router.ErrNoEndpoint) {
			return c, err
		}
		// This daemon may not know yet that a new version is loaded.
		if next := nextVersion(r.cfg.View(), job.Route, p.version, p.begun(), err); next != p.version {
			p.version = next
			continue
		}
		p.round++
		if p.begun() && p.waited() >= r.cfg.Patience || !p.begun() && (len(p.exclude) == 0 || p.round >= maxRounds) {
			return c, err
		}
		clear(p.exclude)
		if err := pause(ctx, backoff(p.round)); err != nil {
			return c, err
		}
	}
}

// route chooses an engine, an ejected one only if there is no other.
func (r *Relayer) route(job Job, version string, exclude map[string]bool) (router.Choice, error) {
	view := r.cfg.View()
	q := router.Query{
		Request: job.Request, Route: job.Route, Version: version,
		Prompt: job.Prompt.Text(), Domain: r.cfg.Domain,
	}
	if q.Version == "" {
		v, err := router.PickVersion(view.Split(job.Route), job.Request)
		if err != nil {
			return router.Choice{}, fmt.Errorf("route %q: %w", job.Route.Name, err)
		}
		q.Version = v
	}
	q.Exclude = r.outliers.excluded(time.Now(), q.Version, exclude)
	c, err := r.cfg.Router.Choose(view, q)
	if errors.Is(err, router.ErrNoEndpoint) && len(q.Exclude) > len(exclude) {
		q.Exclude = exclude
		c, err = r.cfg.Router.Choose(view, q)
	}
	if err == nil {
		r.outliers.begin(time.Now(), engineKey{c.Version, c.Endpoint.Name})
	}
	return c, err
}

// judge notes the outcome of an attempt for its engine. One that the caller
// ended says nothing.
func (r *Relayer) judge(ctx context.Context, c router.Choice, o observation, err error) {
	if ctx.Err() != nil {
		return
	}
	var gap time.Duration
	if o.tokens > 1 {
		gap = o.last.Sub(o.first) / time.Duration(o.tokens-1)
	}
	ejected, returned := r.outliers.end(time.Now(), engineKey{c.Version, c.Endpoint.Name}, gap, err)
	for name, happened := range map[string]bool{"ejected": ejected, "returned": returned} {
		if happened {
			meter.Count(r.cfg.Registry, 1, "endpoint_ejections_total", "endpoint", c.Endpoint.Name, "change", name)
		}
	}
}

// routeTo chooses an engine that is known by name.
func (r *Relayer) routeTo(job Job, version, endpoint string) (router.Choice, error) {
	exclude := make(map[string]bool)
	for _, e := range r.cfg.View().Endpoints {
		exclude[e.Name] = e.Name != endpoint
	}
	return r.route(job, version, exclude)
}

// refuse returns the error that ends a job.
func (r *Relayer) refuse(ctx context.Context, job Job, p *progress, err error) error {
	var sinkErr *sinkError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &refuser.Refusal{
			Status: http.StatusGatewayTimeout, Title: "deadline", Run: p.run, Err: err,
			Detail: "the answer was not whole by the deadline",
		}
	case ctx.Err() != nil || errors.As(err, &sinkErr):
		return fmt.Errorf("caller is gone: %w", err)
	}
	if status := rejectedStatus(err); status != 0 && !p.begun() {
		return &refuser.Refusal{
			Status: status, Title: "rejected", Run: p.run, Err: err,
			Detail: fmt.Sprintf("the endpoint refused the request: %v", err),
		}
	}
	refusal := &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: p.run, Err: err,
		RetryAfter: r.outages.rest(p.version),
		Detail:     fmt.Sprintf("no endpoint could answer for route %q", job.Route.Name),
	}
	if errors.Is(err, inferrer.ErrOverloaded) {
		refusal.Title = "overloaded"
		refusal.RetryAfter = r.outages.queue(r.cfg.View(), p.version)
		refusal.Detail = fmt.Sprintf("all endpoints of route %q are at their limit", job.Route.Name)
	}
	meter.Count(r.cfg.Registry, 1, "completions_refused_total", "route", job.Route.Name, "title", refusal.Title)
	return refusal
}
