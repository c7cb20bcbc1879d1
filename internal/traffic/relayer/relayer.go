// Package relayer streams completions from engines to callers, with retries and
// failover. It resumes an answer that breaks off at another engine after the last token
// that the caller received, and never makes an incomplete stream look complete.
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
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

const (
	defaultMaxAttempts = 6
	// defaultResumeTimeout is how long an answer that has begun waits for an engine
	// that can resume it.
	defaultResumeTimeout = 5 * time.Second
	// maxRounds is how often all engines are tried for an answer that has not begun.
	maxRounds = 2
)

// Job is one completion request.
type Job struct {
	// Request is the id of the request.
	Request string
	Route   loader.Route
	// Path is inferrer.PathChat or inferrer.PathCompletion.
	Path   string
	Prompt inferrer.Prompt
	// Fields holds all JSON fields of the caller's request.
	Fields   map[string]json.RawMessage
	Priority loader.Priority
}

// Sink receives the pieces of an answer in order, each exactly once. A piece without
// choices carries the token usage.
type Sink interface {
	// Piece takes a piece. An error of inferrer.Piece.Chunk fails the attempt, any other
	// means that the caller has left.
	Piece(e inferrer.Piece) error
	// Flush is called when no further piece has arrived yet.
	Flush() error
}

// Config configures a Relayer.
type Config struct {
	// View returns the current view of endpoints and version shares.
	View func() viewer.View
	// Router chooses the engines.
	Router *router.Router
	// Domain is the failure domain of this daemon.
	Domain string
	// HTTP is the client for attempts; it reuses connections.
	HTTP *http.Client
	// FreshHTTP is a client that opens a new connection for each call; nil creates one.
	FreshHTTP *http.Client
	// Tracer starts a span for each attempt.
	Tracer tracer.Tracer
	// Registry receives counters.
	Registry metrics.Registry
	// OnLeaving, if set, is called when an engine says after a failed attempt that it is leaving.
	OnLeaving func(e viewer.Endpoint)
	// AllowRetry, if set, takes one retry from the retry budget and reports whether it was
	// allowed. It is called before an answer that has not begun is retried after a
	// failure that may be due to overload.
	AllowRetry func() bool
	// MaxAttempts limits the attempts of a request that yield no new token.
	MaxAttempts int
	// ResumeTimeout limits how long an answer that has begun waits for an engine that
	// can resume it.
	ResumeTimeout time.Duration
	// Outcomes receives the outcomes of attempts; nil disables reporting.
	Outcomes Outcomes
	// Memory is the memory for the answers of engines; nil sets no limit.
	Memory *rationer.Ration
	// Limits learns the request limits that engines name; nil learns none.
	Limits throttler.Observer
	// Quarantine refuses the prompts under which engines crash; nil refuses none.
	Quarantine quarantiner.Guard
}

// Relayer streams completions from engines to callers. Its methods are safe for
// concurrent use.
type Relayer struct {
	cfg           Config
	outageTracker outageTracker
	// outlierDetector finds the engines that get no attempts for a while.
	outlierDetector outlierDetector
	// transferSlots is a semaphore that limits concurrent cache transfers.
	transferSlots chan struct{}

	mu sync.Mutex
	// inFlight holds the attempts in flight by the name of their endpoint.
	inFlight map[string]map[*inFlightAttempt]struct{}
}

// New returns a relayer.
func New(cfg Config) *Relayer {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.ResumeTimeout == 0 {
		cfg.ResumeTimeout = defaultResumeTimeout
	}
	if cfg.FreshHTTP == nil {
		cfg.FreshHTTP = inferrer.NewUnpooledHTTP()
	}
	if cfg.Limits == nil {
		cfg.Limits = throttler.NoLimits{}
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantiner.NoGuard{}
	}
	return &Relayer{cfg: cfg, transferSlots: make(chan struct{}, maxTransfers), inFlight: make(map[string]map[*inFlightAttempt]struct{})}
}

// Run relays the answer to a job until it is complete, retrying as needed. It returns a
// *refuser.Refusal if no engine can complete the answer, and an error that wraps the
// cause if the caller has left.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) error {
	p := newJobProgress()
	p.blocks = promptBlocks(job.Prompt)
	defer p.releaseReserved()
	if err := r.checkQuarantine(job, p); err != nil {
		return err
	}
	start := time.Now()
	for n := 1; ; n++ {
		choice, err := r.chooseEngine(ctx, job, p)
		if err != nil {
			return r.finalError(ctx, job, p, errors.Join(p.lastErr, err))
		}
		p.version = choice.Version
		p.timing = attemptTiming{started: time.Now()}
		err = r.runAttempt(ctx, job, p, choice, n, sink)
		choice.Release()
		r.reportOutcome(ctx, job, choice, n, p.timing, err)
		r.recordHealth(ctx, choice, p.timing, err)
		if err == nil {
			r.outageTracker.recordAnswer(choice.Version, time.Since(start))
			r.cfg.Quarantine.RecordAnswer(p.blocks)
			return nil
		}
		r.recordCrash(ctx, p, choice, err)
		r.recordFailedAttempt(job, p, choice, err)
		if r.isFinalFailure(ctx, p, err) {
			return r.finalError(ctx, job, p, err)
		}
	}
}

// chooseEngine picks the engine of the next attempt. When all engines have failed, it
// tries them again after a backoff: once for an answer that has not begun, until
// ResumeTimeout for one that has.
func (r *Relayer) chooseEngine(ctx context.Context, job Job, p *jobProgress) (router.Choice, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "route")
	defer span.End()
	if c, ok := p.takeReserved(); ok {
		if !r.isEvacuated(c.Endpoint) {
			return c, nil
		}
		c.Release()
	}
	for {
		c, err := r.pickEngine(job, p.version, p.excluded)
		if err == nil || !errors.Is(err, router.ErrNoEndpoint) {
			return c, err
		}
		// The view of this daemon may not show yet that a new version is loaded.
		if next := nextVersion(r.cfg.View(), job.Route, p.version, p.hasBegun(), err); next != p.version {
			p.version = next
			continue
		}
		// All engines can be suspected at once because their reports are late, so a refusal is worse
		// than a try.
		c, err = r.pickSuspectedEngine(job, p.version, p.excluded)
		if err == nil {
			return c, nil
		}
		// No further round can find an engine, so the caller is refused at once.
		var evacuated *router.EvacuatedError
		if errors.As(err, &evacuated) && !p.hasBegun() {
			return c, err
		}
		p.rounds++
		if p.hasBegun() && p.timeSinceFailure() >= r.cfg.ResumeTimeout || !p.hasBegun() && (len(p.excluded) == 0 || p.rounds >= maxRounds) {
			return c, err
		}
		clear(p.excluded)
		if err := sleepContext(ctx, roundBackoff(p.rounds)); err != nil {
			return c, err
		}
	}
}

// pickEngine picks an engine that is not in exclude. It picks an ejected engine only if
// there is no other.
func (r *Relayer) pickEngine(job Job, version string, exclude map[string]bool) (router.Choice, error) {
	return r.pick(router.Query{Version: version, Exclude: exclude}, job)
}

// pickSuspectedEngine is like pickEngine, and includes engines that are suspected and may
// yet run.
func (r *Relayer) pickSuspectedEngine(job Job, version string, exclude map[string]bool) (router.Choice, error) {
	return r.pick(router.Query{Version: version, Exclude: exclude, IncludeSuspected: true}, job)
}

func (r *Relayer) pick(q router.Query, job Job) (router.Choice, error) {
	view := r.cfg.View()
	q.Request, q.Route, q.Prompt, q.Domain = job.Request, job.Route, job.Prompt.Text(), r.cfg.Domain
	if q.Version == "" {
		v, err := router.PickVersion(view.VersionShares(job.Route), job.Request)
		if err != nil {
			return router.Choice{}, fmt.Errorf("route %q: %w", job.Route.Name, err)
		}
		q.Version = v
	}
	exclude := q.Exclude
	q.Exclude = r.outlierDetector.withEjected(time.Now(), q.Version, exclude)
	c, err := r.cfg.Router.Choose(view, q)
	if errors.Is(err, router.ErrNoEndpoint) && len(q.Exclude) > len(exclude) {
		q.Exclude = exclude
		c, err = r.cfg.Router.Choose(view, q)
	}
	if err == nil {
		r.outlierDetector.beginAttempt(time.Now(), engineKey{c.Version, c.Endpoint.Name})
	}
	return c, err
}

// recordHealth reports the outcome of an attempt to the outlier detection. It ignores
// attempts that the caller ended.
func (r *Relayer) recordHealth(ctx context.Context, c router.Choice, o attemptTiming, err error) {
	if ctx.Err() != nil {
		return
	}
	var gap time.Duration
	if o.tokens > 1 {
		gap = o.last.Sub(o.first) / time.Duration(o.tokens-1)
	}
	ejected, returned := r.outlierDetector.endAttempt(time.Now(), engineKey{c.Version, c.Endpoint.Name}, gap, err)
	for name, happened := range map[string]bool{"ejected": ejected, "returned": returned} {
		if happened {
			meter.AddToCounter(r.cfg.Registry, 1, "endpoint_ejections_total", "endpoint", c.Endpoint.Name, "change", name)
		}
	}
}

// pickNamedEngine picks the engine with the given name, unless it cannot serve the job.
func (r *Relayer) pickNamedEngine(job Job, version, endpoint string) (router.Choice, error) {
	exclude := make(map[string]bool)
	for _, e := range r.cfg.View().Endpoints {
		exclude[e.Name] = e.Name != endpoint
	}
	return r.pickEngine(job, version, exclude)
}
