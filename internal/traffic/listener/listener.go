// Package listener serves callers over HTTP: completions in the OpenAI format, calls of plain
// services, and the states of recorded orders.
package listener

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/bounder"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/relayer"
)

const (
	maxCompletionBodyBytes = 4 << 20
	maxServiceBodyBytes    = 256 << 10
	readHeaderTimeout      = 10 * time.Second
)

// Config configures a Listener.
type Config struct {
	// View returns the current view of the fleet and the configuration.
	View func() viewer.View
	// Admitter authenticates requests and limits their rate and concurrency.
	Admitter *admitter.Admitter
	// Relayer relays completions to engines.
	Relayer *relayer.Relayer
	// Recorder stores orders, and Runner runs them to completion.
	Recorder *recorder.Recorder
	Runner   *recorder.Runner
	// OnNoNewRequests, if set, is called during a drain once no new requests arrive, while those in
	// flight finish.
	OnNoNewRequests func(ctx context.Context)
	// Bounder bounds what callers hold together; nil means that nothing does.
	Bounder *bounder.Bounder
	// Tracer starts a span for each request.
	Tracer tracer.Tracer
	// Registry receives the request counters.
	Registry metrics.Registry
}

// Listener is the HTTP server for callers.
type Listener struct {
	cfg            Config
	draining       atomic.Bool
	activeRequests atomic.Int64
	// lastRequestNanos is the arrival time of the last request, in Unix nanoseconds.
	lastRequestNanos atomic.Int64
}

// New returns a Listener.
func New(cfg Config) *Listener { return &Listener{cfg: cfg} }

// Handler returns the handler of all paths that callers use.
func (l *Listener) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", l.serveReady)
	r.Group(func(r chi.Router) {
		r.Use(l.instrument)
		r.Post(inferrer.PathChat, l.serveCompletion)
		r.Post(inferrer.PathCompletion, l.serveCompletion)
		r.HandleFunc("/services/{route}", l.serveService)
		r.HandleFunc("/services/{route}/*", l.serveService)
		r.Get("/v1/orders/{id}", l.serveOrder)
	})
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-path",
			Detail: fmt.Sprintf("%s is not served; want /v1/chat/completions, /v1/completions, /services/ROUTE/PATH or /v1/orders/ID", r.URL.Path),
		})
	})
	return r
}

func (l *Listener) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case l.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case l.cfg.View().Generation == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// instrument wraps a handler so that requests are counted and traced.
func (l *Listener) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.recordRequest(w)
		defer l.activeRequests.Add(-1)
		ctx := l.cfg.Tracer.Propagation.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := l.cfg.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		// Deferred, since a stream that cannot be completed ends with a panic.
		defer func() { meter.AddToCounter(l.cfg.Registry, 1, "requests_total", "status", fmt.Sprint(sw.status)) }()
		next.ServeHTTP(sw, r.WithContext(ctx))
	})
}
