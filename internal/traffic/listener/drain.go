package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// minQuietPeriod is the shortest time without a new request after which a draining daemon
	// stops listening.
	minQuietPeriod = time.Second
	// maxDrainQuietPeriods bounds the wait for a quiet period, in multiples of it, if a load
	// balancer never stops sending requests.
	maxDrainQuietPeriods = 30
	drainPollInterval    = 20 * time.Millisecond
)

// Serve serves callers on ln until ctx ends, then drains: it reports not ready, goes on
// listening until no new request has arrived for the quiet period, and returns once all
// requests in flight are answered and the orders that it accepted have ended.
func (l *Listener) Serve(ctx context.Context, ln net.Listener, quiet time.Duration) error {
	srv := &http.Server{Handler: l.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	if b := l.cfg.Bounder; b != nil {
		b.Configure(srv)
		ln = b.Listen(ln)
		sweeping, end := context.WithCancel(context.WithoutCancel(ctx))
		defer end()
		go b.Run(sweeping)
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	ctx = context.WithoutCancel(ctx)
	l.StartDraining()
	l.waitForNoNewRequests(max(minQuietPeriod, quiet))
	var g errgroup.Group
	if l.cfg.OnNoNewRequests != nil {
		g.Go(func() error { l.cfg.OnNoNewRequests(ctx); return nil })
	}
	g.Go(func() error { return srv.Shutdown(ctx) })
	if err := g.Wait(); err != nil {
		return fmt.Errorf("shut down the server for callers: %w", err)
	}
	for l.ActiveRequests() > 0 {
		time.Sleep(drainPollInterval)
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// waitForNoNewRequests returns once no request has arrived for the quiet period, or after
// maxDrainQuietPeriods of them.
func (l *Listener) waitForNoNewRequests(quiet time.Duration) {
	start := time.Now()
	for time.Since(start) < maxDrainQuietPeriods*quiet {
		last := max(l.lastRequestNanos.Load(), start.UnixNano())
		rest := quiet - time.Since(time.Unix(0, last))
		if rest <= 0 {
			return
		}
		time.Sleep(min(rest, drainPollInterval))
	}
}

// StartDraining makes the readiness check fail; requests that still arrive are served.
func (l *Listener) StartDraining() { l.draining.Store(true) }

// IsDraining reports whether StartDraining was called.
func (l *Listener) IsDraining() bool { return l.draining.Load() }

// recordRequest counts a request in flight and records its time. While draining it closes the
// request's connection after the answer, so that the caller's next request opens a new one, to
// another daemon.
func (l *Listener) recordRequest(w http.ResponseWriter) {
	l.activeRequests.Add(1)
	l.lastRequestNanos.Store(time.Now().UnixNano())
	if l.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// ActiveRequests returns the number of requests in flight.
func (l *Listener) ActiveRequests() int { return int(l.activeRequests.Load()) }
