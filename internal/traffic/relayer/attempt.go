package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

const (
	// cancelTimeout limits the call that cancels an attempt, statusTimeout the load
	// query after a stall.
	cancelTimeout = time.Second
	statusTimeout = 500 * time.Millisecond
)

// runAttempt sends a job to one engine and relays its answer from the next token on.
func (r *Relayer) runAttempt(ctx context.Context, job Job, p *jobProgress, c router.Choice, n int, sink Sink) error {
	ctx, span := r.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", c.Endpoint.Name), attribute.String("version", c.Version),
		attribute.Int("attempt", n), attribute.Int("from", p.nextToken)))
	defer span.End()
	if err := awaitCancel(ctx, p.cancelsDone[c.Endpoint.Name]); err != nil {
		return err
	}
	sentAt := time.Now()
	engine := inferrer.NewClient(inferrer.ClientConfig{
		Address: c.Endpoint.Address, HTTP: r.cfg.HTTP, FreshHTTP: r.cfg.FreshHTTP, Memory: r.cfg.Memory,
		OnConnected: p.timing.recordConnection,
		OnAnswer: func(res *http.Response) {
			limit := throttler.ParseLimit(res.Header[inferrer.HeaderLimit])
			throttler.Observe(r.cfg.Limits, router.LimitKey(c.Endpoint), 0, limit, res.StatusCode, sentAt)
		},
	})
	err := r.relayAnswer(ctx, engine, job, p, c, n, sink)
	if err == nil {
		return nil
	}
	span.RecordError(err)
	if mayStillRun(err) {
		p.cancelsDone[c.Endpoint.Name] = r.cancelAttempt(c, job.Request)
	}
	if errors.Is(err, errStalled) {
		return r.handleStall(ctx, job, p, c, err)
	}
	return err
}

// relayAnswer starts a job at an engine and copies the stream of tokens to the sink.
func (r *Relayer) relayAnswer(ctx context.Context, engine inferrer.Engine, job Job, p *jobProgress, c router.Choice, n int, sink Sink) error {
	body, err := encodeBody(job, c.Version)
	if err != nil {
		return err
	}
	header := make(propagation.MapCarrier)
	r.cfg.Tracer.Propagation.Inject(ctx, header)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := startWatchdog(job.Route.Target, p.stalls, cancel, r.nextAttempt(ctx, p, c))
	defer func() { p.retryTaken = watch.stop() }()
	f := r.registerAttempt(ctx, cancel, job, c)
	defer r.unregisterAttempt(f, p)
	before := p.runState
	p.runState = refuser.Unknown
	s, err := engine.Start(ctx, inferrer.Attempt{
		Request: job.Request, Number: n, Path: job.Path, Body: body, FromToken: p.nextToken,
		Priority: string(job.Priority), Header: header, NewConnection: p.stalls > 0,
	})
	p.runState = max(p.runState, before)
	if errors.Is(err, inferrer.ErrNotConnected) {
		p.runState = before
	}
	if err != nil {
		return withCause(ctx, err)
	}
	defer s.Close()
	p.timing.began = true
	return withCause(ctx, relayPieces(s, p, sink, watch, c.FirstToken))
}

// withCause wraps err with errStalled or errMigrated if the relayer cancelled the
// attempt for that reason.
func withCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errStalled) || errors.Is(cause, errMigrated)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// mayStillRun reports whether the engine may still run an attempt that failed with err.
func mayStillRun(err error) bool {
	var e *inferrer.StatusError
	return !errors.Is(err, inferrer.ErrNotConnected) && !errors.As(err, &e)
}

// handleStall handles an attempt that timed out without a token. It queries the engine
// over a new connection; if the engine answers, the next attempt goes to it again.
func (r *Relayer) handleStall(ctx context.Context, job Job, p *jobProgress, c router.Choice, cause error) error {
	p.stalls++
	// Other idle connections on the same network path are probably dead as well.
	r.cfg.HTTP.CloseIdleConnections()
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, CallTimeout: statusTimeout, HTTP: r.cfg.FreshHTTP})
	l, err := engine.Load(ctx)
	if err == nil && l.Leaving {
		err = inferrer.ErrLeaving
	}
	if err != nil {
		p.excluded[c.Endpoint.Name] = true
		return fmt.Errorf("%w: query engine load: %w", cause, err)
	}
	if p.stalls > maxStallRetries {
		return cause
	}
	if again, err := r.pickNamedEngine(job, c.Version, c.Endpoint.Name); err == nil {
		p.releaseReserved()
		p.reserved = &again
	}
	return cause
}

// cancelAttempt cancels a request at an engine, over a new connection and in the
// background. The returned channel closes when the call has ended, also if it failed.
func (r *Relayer) cancelAttempt(c router.Choice, request string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, HTTP: r.cfg.FreshHTTP})
		if err := engine.Cancel(ctx, request); err != nil {
			// The engine has already ended the request, or cannot be reached.
			meter.AddToCounter(r.cfg.Registry, 1, "cancel_failures_total")
		}
	}()
	return done
}

// awaitCancel waits until the cancel call of the previous attempt at the same engine
// has ended, since a late cancel would end the next attempt too.
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

// sinkError is a failure to write a piece of the answer to the caller.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// relayPieces copies the pieces of a stream to the sink until the end mark. It skips a
// piece that the engine sends twice in a row, and fails if any other token is not the next
// one of the answer. Once the last token relayed has a finish reason the answer is
// complete, however the connection ends. It calls firstToken for each token.
func relayPieces(s inferrer.Stream, p *jobProgress, sink Sink, watch *watchdog, firstToken func()) error {
	var last []byte
	for {
		e, err := s.Next()
		if p.finished && err != nil {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: end mark without a finish reason", inferrer.ErrTruncated)
		}
		if err != nil {
			return err
		}
		if !bytes.Equal(e.Raw, last) {
			if len(e.Choices) > 0 {
				watch.restart()
				firstToken()
			}
			if err := relayPiece(e, p, sink); err != nil {
				return err
			}
			last = append(last[:0], e.Raw...)
		}
		if s.HasBufferedChunk() && !p.finished {
			continue
		}
		if err := sink.Flush(); err != nil {
			return &sinkError{err}
		}
	}
}

// relayPiece writes a piece to the sink if it is the next one. It skips pieces without a
// token, but for the usage of a finished answer.
func relayPiece(e inferrer.Piece, p *jobProgress, sink Sink) error {
	isToken := len(e.Choices) > 0
	switch {
	case !isToken && (e.Usage == nil || !p.finished || p.hasUsage):
		return nil
	case isToken && (e.Token != p.nextToken || len(e.Choices) != 1 || e.Choices[0].Index != 0):
		return fmt.Errorf("%w: got token %d with %d choices, the first with index %d; want token %d with the choice of index 0 alone",
			inferrer.ErrTruncated, e.Token, len(e.Choices), e.Choices[0].Index, p.nextToken)
	case p.hasBegun() && e.Model != p.model:
		return fmt.Errorf("%w: got a chunk of model %q, the answer began with %q", inferrer.ErrForeignAnswer, e.Model, p.model)
	}
	p.model = e.Model
	if err := sink.Piece(e); errors.Is(err, inferrer.ErrTruncated) {
		return err
	} else if err != nil {
		return &sinkError{err}
	}
	p.hasUsage = !isToken
	if isToken {
		p.recordRelayedToken(e.Choices[0].IsLast())
	}
	return nil
}

// encodeBody returns the body of the caller's request with the version as its model,
// and with streaming and the usage report switched on.
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
