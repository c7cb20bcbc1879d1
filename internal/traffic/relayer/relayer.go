// Package relayer carries a completion from an engine to its caller. An answer
// that breaks off is resumed on another engine from the last token passed on; a
// stream is never ended as if it were complete.
package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/platform/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	defaultMaxAttempts = 6
	retryDelay         = 20 * time.Millisecond
	noEndpointRetry    = 2 * time.Second
	// progressFactor bounds the silence of a stream in multiples of the
	// latency target.
	progressFactor     = 20
	minProgressTimeout = 500 * time.Millisecond
	cancelTimeout      = time.Second
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

// Sink takes the chunks of an answer, in order and each once.
type Sink interface {
	Chunk(c inferrer.Chunk) error
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
	// Tracer starts a span for each attempt.
	Tracer tracer.Tracer
	// Registry receives counters.
	Registry metrics.Registry
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Outcomes takes the outcome of each attempt; nil takes none.
	Outcomes Outcomes
}

// Relayer carries completions.
type Relayer struct {
	cfg Config
}

// New returns a relayer.
func New(cfg Config) *Relayer {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	return &Relayer{cfg: cfg}
}

// progress is how far the answer to one job has come.
type progress struct {
	version string
	// next is the number of the next token to pass on.
	next     int
	finished bool
	run      refuser.RunState
	exclude  map[string]bool
}

// Run carries a job until its answer is whole. It returns a *refuser.Refusal if
// the answer cannot be had, and ctx's error if the caller is gone.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) error {
	p := &progress{exclude: make(map[string]bool)}
	var last error
	for n := 1; n <= r.cfg.MaxAttempts; n++ {
		choice, err := r.choose(job, p)
		if err != nil {
			last = errors.Join(last, err)
			break
		}
		p.version = choice.Version
		seen := &observation{started: time.Now()}
		err = r.attempt(ctx, job, p, choice, n, sink, seen)
		choice.Release()
		r.report(ctx, job, choice, n, seen, err)
		if err == nil {
			return nil
		}
		var sinkErr *sinkError
		if ctx.Err() != nil || errors.As(err, &sinkErr) {
			return fmt.Errorf("caller is gone: %w", err)
		}
		last = err
		p.version = nextVersion(r.cfg.View().Split(job.Route), choice.Version, p.next > 0, err)
		p.exclude[choice.Endpoint.Name] = true
		meter.Count(r.cfg.Registry, 1, "attempt_failures_total", "route", job.Route.Name, "version", choice.Version)
		time.Sleep(retryDelay)
	}
	return r.refuse(job, p, last)
}

// choose picks an engine; when all have failed once, they may be tried again.
func (r *Relayer) choose(job Job, p *progress) (router.Choice, error) {
	q := router.Query{
		Request: job.Request, Route: job.Route, Version: p.version,
		Prompt: job.Prompt.Text(), Domain: r.cfg.Domain, Exclude: p.exclude,
	}
	c, err := r.cfg.Router.Choose(r.cfg.View(), q)
	if errors.Is(err, router.ErrNoEndpoint) && len(p.exclude) > 0 {
		clear(p.exclude)
		return r.cfg.Router.Choose(r.cfg.View(), q)
	}
	return c, err
}

func (r *Relayer) refuse(job Job, p *progress, err error) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "unavailable", Run: p.run, RetryAfter: noEndpointRetry, Err: err,
		Detail: fmt.Sprintf("no endpoint could answer for route %q", job.Route.Name),
	}
}

func (r *Relayer) attempt(ctx context.Context, job Job, p *progress, c router.Choice, n int, sink Sink, seen *observation) error {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", c.Endpoint.Name), attribute.String("version", c.Version), attribute.Int("attempt", n)))
	defer span.End()
	body, err := encodeBody(job, c.Version)
	if err != nil {
		return err
	}
	header := make(propagation.MapCarrier)
	r.cfg.Tracer.Propagation.Inject(ctx, header)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := startWatchdog(job.Route.Target.First.Std(), cancel)
	defer watch.stop()
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, HTTP: r.cfg.HTTP})
	before := p.run
	p.run = refuser.Unknown
	s, err := engine.Start(ctx, inferrer.Attempt{
		Request: job.Request, Number: n, Path: job.Path, Body: body, From: p.next,
		Priority: string(job.Priority), Header: header,
	})
	if errors.Is(err, inferrer.ErrNotConnected) {
		p.run = before
	}
	if err != nil {
		span.RecordError(err)
		return err
	}
	defer s.Close()
	err = pass(s, p, sink, func() {
		seen.token()
		watch.reset(job.Route.Target.Token.Std())
	})
	if err != nil {
		span.RecordError(err)
		cancelAttempt(engine, job.Request)
	}
	return err
}

// cancelAttempt tells an engine that nobody waits for its answer any more.
func cancelAttempt(engine inferrer.Engine, request string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An engine that cannot be reached notices the closed connection.
		_ = engine.Cancel(ctx, request)
	}()
}

// sinkError marks a failure to pass a chunk on to the caller.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// pass hands chunks from the stream to the sink until the end mark. Tokens that
// were passed on before are skipped; a gap ends the attempt.
func pass(s inferrer.Stream, p *progress, sink Sink, alive func()) error {
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) && p.finished {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: end mark without a finish reason", inferrer.ErrTruncated)
		}
		if err != nil {
			return err
		}
		alive()
		if c.Token < p.next {
			continue
		}
		if c.Token > p.next || p.finished || len(c.Choices) != 1 {
			return fmt.Errorf("%w: got token %d, want %d", inferrer.ErrTruncated, c.Token, p.next)
		}
		if err := sink.Chunk(c); err != nil {
			return &sinkError{err}
		}
		p.next++
		p.finished = c.Choices[0].FinishReason != nil
		p.run = refuser.Ran
	}
}

// encodeBody returns the caller's request with the version as its model and
// streaming switched on.
func encodeBody(job Job, version string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(job.Fields)+1)
	for k, v := range job.Fields {
		fields[k] = v
	}
	model, err := json.Marshal(version)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return b, nil
}
