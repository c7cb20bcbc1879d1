package composer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/bounder"
)

const (
	// headerTimeout bounds the time to read the header of a request if the configuration names none.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request if the configuration names no bound.
	maxHeaderBytes = 64 << 10
	// headerMarginBytes and headerMargin are what a header may exceed the limits of the configuration by.
	headerMarginBytes = 4 << 10
	headerMargin      = time.Second
	// serverHeaderBytes is the limit of the HTTP server, which counts what it reads ahead of a body too. It is above
	// that of the bounder, which follows the configuration.
	serverHeaderBytes = 1 << 20
	// shortestLineBytes is the length of the shortest header line, a name of one byte.
	shortestLineBytes = 3
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	http    *http.Server
	bounder *bounder.Bounder
}

func newCallerServer(d *Daemon) *callerServer {
	e := d.cfg.Settings.Edge
	s := &callerServer{bounder: bounder.New(bounder.Config{
		Memory: e.CallerMemory(), Connections: e.CallerConnections(bounder.DescriptorLimit()), Limits: d.callerLimits, Server: "callers", Logger: d.logger, Registry: d.registry,
	})}
	s.http = &http.Server{
		Handler: d.carrier, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: serverHeaderBytes, ErrorLog: stdlog.New(log.NewStdlibAdapter(d.logger), "", 0),
	}
	s.bounder.Configure(s.http)
	return s
}

// callerLimits returns the limits on requests by the configuration and the settings in force. A caller within the
// limits of the configuration reaches none of the defaults.
func (d *Daemon) callerLimits() bounder.Limits {
	l := bounder.Limits{HeaderBytes: maxHeaderBytes, HeaderTime: headerTimeout}
	if cat := d.catalog.Load(); cat != nil {
		l.IdleTime = cat.Limits.IdleTime
		if cat.Limits.HeaderBytes > 0 {
			l.HeaderBytes = cat.Limits.HeaderBytes + headerMarginBytes
		}
		if cat.Limits.HeaderTime > 0 {
			l.HeaderTime = cat.Limits.HeaderTime + headerMargin
		}
	}
	c := d.currentSettings().Edge.Callers
	l.HeaderLines = cmp.Or(c.HeaderLines, l.HeaderBytes/shortestLineBytes)
	l.HeaderMemory = cmp.Or(c.HeaderMemory, bounder.HeaderMemory(l.HeaderBytes, l.HeaderLines))
	return l
}

// disableKeepAlives closes the idle connections, once the daemon refuses requests. Until then each
// connection gets one more answer, which announces its close, so that few callers send a request on
// a connection that is being closed.
func (s *callerServer) disableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// shutdown closes the listener and the idle connections, and waits for at most the timeout for answers
// that are still being sent.
func (s *callerServer) shutdown(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Requests that are in flight at the end are cut off, so the error is ignored.
	_ = s.http.Shutdown(ctx)
}

// serveCallers serves callers until ctx ends.
func (d *Daemon) serveCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Cuts off the requests that outlasted the planned stop.
		_ = d.callerServer.http.Close()
	})
	defer stop()
	if err := d.callerServer.http.Serve(d.callerServer.bounder.Listen(d.callerListener)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	// Serve returns as soon as a planned stop calls Shutdown, before the last answers are sent.
	<-ctx.Done()
	return nil
}

// serveOperators serves metrics, members and endpoints to operators.
func (d *Daemon) serveOperators(ctx context.Context) error {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", meter.Handler(d.registry))
	r.Get("/members", func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.sharer.Members()) })
	r.Get("/endpoints", func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.tracker.Load()) })
	r.Get("/evacuations", func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.listEvacuations()) })
	return d.serveOthers(ctx, "operators", d.operatorListener, r)
}

// writeJSON writes a value as a JSON answer to an operator.
func (d *Daemon) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		d.log("msg", "cannot write answer to operator", "error", err)
	}
}

// serveMetrics serves metrics at their own address, if the settings have one.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.metricsListener == nil {
		return nil
	}
	return d.serveOthers(ctx, "metrics", d.metricsListener, meter.Handler(d.registry))
}
