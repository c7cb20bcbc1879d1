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
	// minQuiet is the least time without a new request after which a draining
	// daemon stops listening.
	minQuiet = time.Second
	// maxQuietFactor bounds the wait for that time, in multiples of it, for a
	// balancer that never learns.
	maxQuietFactor = 30
	quietPoll      = 20 * time.Millisecond
)

// Serve serves callers on ln until ctx ends. It then is not ready any more, goes
// on listening until no new request has come for the time of quiet, and returns
// when the last request is answered and the last order it took has ended.
func (l *Listener) Serve(ctx context.Context, ln net.Listener, quiet time.Duration) error {
	srv := &http.Server{Handler: l.Handler(), ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	ctx = context.WithoutCancel(ctx)
	l.Drain()
	l.awaitQuiet(max(minQuiet, quiet))
	var g errgroup.Group
	if l.cfg.Stopping != nil {
		g.Go(func() error { l.cfg.Stopping(ctx); return nil })
	}
	g.Go(func() error { return srv.Shutdown(ctx) })
	if err := g.Wait(); err != nil {
		return fmt.Errorf("stop serving callers: %w", err)
	}
	for l.Active() > 0 {
		time.Sleep(quietPoll)
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// awaitQuiet returns once no request has come for some time.
func (l *Listener) awaitQuiet(quiet time.Duration) {
	start := time.Now()
	for time.Since(start) < maxQuietFactor*quiet {
		last := max(l.latest.Load(), start.UnixNano())
		rest := quiet - time.Since(time.Unix(0, last))
		if rest <= 0 {
			return
		}
		time.Sleep(min(rest, quietPoll))
	}
}

// Drain makes the daemon report that it is not ready; requests that still come
// are served.
func (l *Listener) Drain() { l.draining.Store(true) }

// Draining reports whether a planned stop is under way.
func (l *Listener) Draining() bool { return l.draining.Load() }

// begin counts a request. While the daemon drains, its connection is not kept:
// the caller's next request opens a new one, elsewhere.
func (l *Listener) begin(w http.ResponseWriter) {
	l.active.Add(1)
	l.latest.Store(time.Now().UnixNano())
	if l.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Active returns the number of requests being served.
func (l *Listener) Active() int { return int(l.active.Load()) }
