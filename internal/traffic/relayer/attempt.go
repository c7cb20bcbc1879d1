package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	cancelTimeout = time.Second
	statusTimeout = 500 * time.Millisecond
)

// attempt tries a job at one engine, from the next token on.
func (r *Relayer) attempt(ctx context.Context, job Job, p *progress, c router.Choice, n int, sink Sink) error {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", c.Endpoint.Name), attribute.String("version", c.Version),
		attribute.Int("attempt", n), attribute.Int("from", p.next)))
	defer span.End()
	if err := awaitCancel(ctx, p.cancels[c.Endpoint.Name]); err != nil {
		return err
	}
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, HTTP: r.cfg.HTTP, Fresh: r.cfg.Fresh})
	err := r.relay(ctx, engine, job, p, c, n, sink)
	if err == nil {
		return nil
	}
	span.RecordError(err)
	if mayRun(err) {
		p.cancels[c.Endpoint.Name] = r.cancelAttempt(c, job.Request)
	}
	if errors.Is(err, errSilent) {
		return r.silence(ctx, job, p, c, err)
	}
	return err
}

// relay passes on what one engine answers.
func (r *Relayer) relay(ctx context.Context, engine inferrer.Engine, job Job, p *progress, c router.Choice, n int, sink Sink) error {
	body, err := encodeBody(job, c.Version)
	if err != nil {
		return err
	}
	header := make(propagation.MapCarrier)
	r.cfg.Tracer.Propagation.Inject(ctx, header)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := startWatchdog(job.Route.Target, p.silences, cancel)
	defer watch.stop()
	f := r.register(ctx, cancel, job, c)
	defer r.settle(f, p)
	before := p.run
	p.run = refuser.Unknown
	s, err := engine.Start(ctx, inferrer.Attempt{
		Request: job.Request, Number: n, Path: job.Path, Body: body, From: p.next,
		Priority: string(job.Priority), Header: header, Fresh: p.fresh,
	})
	p.run = max(p.run, before)
	if errors.Is(err, inferrer.ErrNotConnected) {
		p.run = before
	}
	if err != nil {
		return causeOr(ctx, err)
	}
	defer s.Close()
	return causeOr(ctx, pass(s, p, sink, watch, c.FirstToken))
}

// causeOr returns err together with the reason for which the relayer itself
// ended the attempt, if it did.
func causeOr(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errSilent) || errors.Is(cause, errMoved)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// mayRun reports whether the engine may still be at work on a failed attempt.
func mayRun(err error) bool {
	var e *inferrer.StatusError
	return !errors.Is(err, inferrer.ErrNotConnected) && !errors.As(err, &e)
}

// silence handles an attempt whose connection has gone silent. The engine is
// asked over a fresh connection; if it answers, it keeps the job.
func (r *Relayer) silence(ctx context.Context, job Job, p *progress, c router.Choice, cause error) error {
	p.silences++
	p.fresh = true
	// Other idle connections on the same path are likely dead as well.
	r.cfg.HTTP.CloseIdleConnections()
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, CallTimeout: statusTimeout, HTTP: r.cfg.Fresh})
	l, err := engine.Load(ctx)
	if err != nil || l.Leaving {
		p.exclude[c.Endpoint.Name] = true
		return fmt.Errorf("%w: status look-up: leaving %t: %w", cause, l.Leaving, err)
	}
	if p.silences > maxSilences {
		return cause
	}
	if again, err := r.routeTo(job, c.Version, c.Endpoint.Name); err == nil {
		p.drop()
		p.held = &again
	}
	return cause
}

// cancelAttempt tells an engine, over a connection of its own, that nobody
// waits for its answer. The channel closes when the engine was told or cannot
// be reached.
func (r *Relayer) cancelAttempt(c router.Choice, request string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, HTTP: r.cfg.Fresh})
		if err := engine.Cancel(ctx, request); err != nil {
			// The engine has ended the request itself, or cannot be reached.
			meter.Count(r.cfg.Registry, 1, "cancel_failures_total")
		}
	}()
	return done
}

// awaitCancel keeps a late cancel from ending the attempt that follows at the
// same engine.
func awaitCancel(ctx context.Context, done <-chan struct{}) error {
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sinkError marks a failure to pass a chunk on to the caller.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// pass hands pieces from the stream to the sink until the end mark. Tokens that
// were passed on before are skipped; a gap ends the attempt. Once the finish
// reason was passed on the answer is whole, however the connection ends. Each
// piece calls firstToken.
func pass(s inferrer.Stream, p *progress, sink Sink, watch *watchdog, firstToken func()) error {
	for {
		e, err := s.Next()
		if p.finished && (err != nil || len(e.Choices) > 0) {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: end mark without a finish reason", inferrer.ErrTruncated)
		}
		if err != nil {
			return err
		}
		watch.reset()
		firstToken()
		if err := passPiece(e, p, sink); err != nil {
			return err
		}
		if s.Ready() && !p.finished {
			continue
		}
		if err := sink.Flush(); err != nil {
			return &sinkError{err}
		}
	}
}

// passPiece hands one piece to the sink if it is the next one.
func passPiece(e inferrer.Piece, p *progress, sink Sink) error {
	isUsage := len(e.Choices) == 0 && e.Usage != nil
	switch {
	case isUsage && !p.finished:
		return nil
	case !isUsage && e.Token < p.next:
		return nil
	case !isUsage && (e.Token > p.next || len(e.Choices) != 1):
		return fmt.Errorf("%w: got token %d with %d choices, want token %d with one",
			inferrer.ErrTruncated, e.Token, len(e.Choices), p.next)
	}
	if err := sink.Piece(e); err != nil {
		return &sinkError{err}
	}
	if !isUsage {
		p.advance(e.Choices[0].FinishReason != nil)
	}
	return nil
}

// encodeBody returns the caller's request with the version as its model,
// streaming switched on and the usage asked for.
func encodeBody(job Job, version string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(job.Fields)+3)
	for k, v := range job.Fields {
		fields[k] = v
	}
	model, err := json.Marshal(version)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return b, nil
}
