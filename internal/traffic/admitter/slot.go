package admitter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/refuser"
)

// Slot is the concurrency slot of one request. Only the request's goroutine uses it, and it
// must call Release once.
type Slot struct {
	limiter                   *ConcurrencyLimiter
	organisation              string
	startedAt                 time.Time
	firstTokenAt, lastTokenAt time.Time
	tokens                    int
}

// ObserveToken records the arrival time of a token.
func (t *Slot) ObserveToken() {
	t.lastTokenAt = time.Now()
	if t.tokens++; t.tokens == 1 {
		t.firstTokenAt = t.lastTokenAt
	}
}

// Release frees the slot and records the latencies of the answer.
func (t *Slot) Release() {
	if t.tokens > 0 {
		gap := t.lastTokenAt.Sub(t.firstTokenAt) / time.Duration(max(1, t.tokens-1))
		t.limiter.ObserveLatencyRatio(LatencyRatio(t.limiter.target, t.firstTokenAt.Sub(t.startedAt), gap))
	}
	now := time.Now()
	t.limiter.Release(now, t.organisation, now.Sub(t.startedAt))
}

// AcquireSlot waits for a concurrency slot for a request of the organisation, for at most twice
// the route's maxQueueWait. It returns a *refuser.Refusal at once if the expected wait is too
// long, and ctx's error if the caller disconnects.
func (a *Admitter) AcquireSlot(ctx context.Context, r loader.Route, o loader.Organisation) (*Slot, error) {
	g := a.concurrencyLimiter(r)
	started, refused := make(chan struct{}), make(chan time.Duration, 1)
	e := &SlotRequest{
		Organisation: o.Name, Weight: o.Weight, Priority: o.Priority,
		OnStart: func() { close(started) }, OnRefuse: func(d time.Duration) { refused <- d },
	}
	e.Deadline, _ = ctx.Deadline()
	g.Acquire(time.Now(), e)
	waitTimer := time.NewTimer(2 * g.maxQueueWait())
	defer waitTimer.Stop()
	select {
	case <-started:
		a.RetryBudget.Deposit()
		return &Slot{limiter: g, organisation: o.Name, startedAt: time.Now()}, nil
	case d := <-refused:
		return nil, newOverloadRefusal(r, d)
	case <-waitTimer.C:
	case <-ctx.Done():
	}
	if g.CancelQueued(e) {
		return nil, a.cancellationError(ctx, r)
	}
	// OnStart or OnRefuse has been called between the select and CancelQueued.
	select {
	case <-started:
		a.RetryBudget.Deposit()
		return &Slot{limiter: g, organisation: o.Name, startedAt: time.Now()}, nil
	case d := <-refused:
		return nil, newOverloadRefusal(r, d)
	}
}

func (a *Admitter) cancellationError(ctx context.Context, r loader.Route) error {
	if err := ctx.Err(); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("wait for a concurrency slot: caller disconnected: %w", err)
	}
	return newOverloadRefusal(r, refuser.ClampRetryAfter(0))
}

func newOverloadRefusal(r loader.Route, retryAfter time.Duration) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "overloaded", Run: refuser.NotRun, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("route %q has no place for the organisation that would come in time", r.Name),
	}
}

// concurrencyLimiter returns the ConcurrencyLimiter of a route. It is replaced by a new one
// when the route's target changes.
func (a *Admitter) concurrencyLimiter(r loader.Route) *ConcurrencyLimiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.concurrencyLimiters[r.Name]
	if g == nil || g.target != r.Target {
		g = NewConcurrencyLimiter(r.Target)
		for daemon, routes := range a.peerUsages {
			if u, ok := routes[r.Name]; ok {
				g.SetPeerUsage(daemon, u)
			}
		}
		a.concurrencyLimiters[r.Name] = g
	}
	return g
}

// Usages returns this daemon's limits and requests in flight, by route.
func (a *Admitter) Usages() map[string]Usage {
	a.mu.Lock()
	concurrencyLimiters := maps.Clone(a.concurrencyLimiters)
	a.mu.Unlock()
	usages := make(map[string]Usage, len(concurrencyLimiters))
	for route, g := range concurrencyLimiters {
		usages[route] = g.Usage()
	}
	return usages
}

// SetPeerUsages stores the usages by route that another daemon reported.
func (a *Admitter) SetPeerUsages(daemon string, usages map[string]Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerUsages[daemon] = usages
	for route, g := range a.concurrencyLimiters {
		g.SetPeerUsage(daemon, usages[route])
	}
}

// RetainPeers discards the usages of all daemons that are not in alive.
func (a *Admitter) RetainPeers(alive map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for daemon := range a.peerUsages {
		if alive[daemon] {
			continue
		}
		delete(a.peerUsages, daemon)
		for _, g := range a.concurrencyLimiters {
			g.RemovePeer(daemon)
		}
	}
}
