package composer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/carrier"
)

const (
	headerTimeout = 10 * time.Second
	closeTimeout  = 300 * time.Millisecond
	// headerBytes bounds what the server reads of a header; the limit of the
	// configuration is checked above it.
	headerBytes = 64 << 10
	// idleMargin is how much longer than the stated time an idle connection is
	// kept, so that a caller who keeps to it never meets a close.
	idleMargin = time.Second
)

// server serves callers and closes their connections when these were idle for
// longer than the configuration in force says.
type server struct {
	http    *http.Server
	catalog func() *registrar.Catalog

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newServer(c *carrier.Carrier, catalog func() *registrar.Catalog, l log.Logger) *server {
	s := &server{catalog: catalog, idle: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, ConnState: s.track,
		ErrorLog: stdlog.New(log.NewStdlibAdapter(l), "", 0),
	}
	return s
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// tick closes connections that were idle for too long.
func (s *server) tick() {
	cat := s.catalog()
	if cat == nil || cat.Limits.IdleTime <= 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > cat.Limits.IdleTime+idleMargin {
			delete(s.idle, c)
			// The caller is not using it.
			_ = c.Close()
		}
	}
}

// closeIdle ends the connections that carry no request, once requests are
// refused. Until then each gets one more answer, which says that it is the last,
// so that few callers send a request while their connection is being closed.
func (s *server) closeIdle() { s.http.SetKeepAlivesEnabled(false) }

// close ends the listener and the idle connections, and waits a little for
// answers on their way.
func (s *server) close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	// What is still in flight then is past its time.
	_ = s.http.Shutdown(ctx)
}

func (d *Daemon) serveCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Ends what the planned stop left.
		_ = d.server.http.Close()
	})
	defer stop()
	if err := d.server.http.Serve(d.callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	// Serve returns as soon as the planned stop begins to close.
	<-ctx.Done()
	return nil
}

// serveOperators serves what operators ask of one daemon.
func (d *Daemon) serveOperators(ctx context.Context) error {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", meter.Handler(d.registry))
	r.Get("/members", func(w http.ResponseWriter, _ *http.Request) { d.answer(w, d.sharer.Members()) })
	r.Get("/endpoints", func(w http.ResponseWriter, _ *http.Request) { d.answer(w, d.tracker.Load()) })
	return serveHTTP(ctx, d.operators, r)
}

// answer writes a value as JSON.
func (d *Daemon) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		d.log("msg", "operator not answered", "error", err)
	}
}

// serveMetrics serves metrics at an address of their own, if there is one.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.metrics == nil {
		return nil
	}
	return serveHTTP(ctx, d.metrics, meter.Handler(d.registry))
}
