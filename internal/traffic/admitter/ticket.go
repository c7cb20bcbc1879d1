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

// Ticket is the place of one request. It is used by the request's goroutine
// alone, and must be ended once.
type Ticket struct {
	gate         *Gate
	organisation string
	started      time.Time
	first, last  time.Time
	tokens       int
}

// Token notes that a token came.
func (t *Ticket) Token() {
	t.last = time.Now()
	if t.tokens++; t.tokens == 1 {
		t.first = t.last
	}
}

// End gives back the place.
func (t *Ticket) End() {
	if t.tokens > 0 {
		gap := t.last.Sub(t.first) / time.Duration(max(1, t.tokens-1))
		t.gate.Observe(Ratio(t.gate.target, t.first.Sub(t.started), gap))
	}
	now := time.Now()
	t.gate.End(now, t.organisation, now.Sub(t.started))
}

// Enter waits for a place for a request of the organisation, for a short time
// at most. It returns a *refuser.Refusal at once if the place would come too
// late, and ctx's error if the caller goes away.
func (a *Admitter) Enter(ctx context.Context, r loader.Route, o loader.Organisation) (*Ticket, error) {
	g := a.gate(r)
	started, refused := make(chan struct{}), make(chan time.Duration, 1)
	e := &Entry{
		Organisation: o.Name, Weight: o.Weight, Priority: o.Priority,
		Start: func() { close(started) }, Refuse: func(d time.Duration) { refused <- d },
	}
	e.Deadline, _ = ctx.Deadline()
	g.Enter(time.Now(), e)
	patience := time.NewTimer(2 * g.maxWait())
	defer patience.Stop()
	select {
	case <-started:
		a.Budget.Earn()
		return &Ticket{gate: g, organisation: o.Name, started: time.Now()}, nil
	case d := <-refused:
		return nil, overloaded(r, d)
	case <-patience.C:
	case <-ctx.Done():
	}
	if g.Leave(e) {
		return nil, a.gaveUp(ctx, r)
	}
	// The place or the refusal has come in this moment.
	select {
	case <-started:
		a.Budget.Earn()
		return &Ticket{gate: g, organisation: o.Name, started: time.Now()}, nil
	case d := <-refused:
		return nil, overloaded(r, d)
	}
}

func (a *Admitter) gaveUp(ctx context.Context, r loader.Route) error {
	if err := ctx.Err(); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("caller is gone: %w", err)
	}
	return overloaded(r, refuser.BoundRetry(0))
}

func overloaded(r loader.Route, retryAfter time.Duration) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "overloaded", Run: refuser.NotRun, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("route %q has no place for the organisation that would come in time", r.Name),
	}
}

// gate returns the gate of a route. One whose target has changed starts anew.
func (a *Admitter) gate(r loader.Route) *Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gates[r.Name]
	if g == nil || g.target != r.Target {
		g = NewGate(r.Target)
		for daemon, routes := range a.peers {
			if u, ok := routes[r.Name]; ok {
				g.SetPeer(daemon, u)
			}
		}
		a.gates[r.Name] = g
	}
	return g
}

// Usages returns what this daemon has in flight, by route.
func (a *Admitter) Usages() map[string]Usage {
	a.mu.Lock()
	gates := maps.Clone(a.gates)
	a.mu.Unlock()
	usages := make(map[string]Usage, len(gates))
	for route, g := range gates {
		usages[route] = g.Usage()
	}
	return usages
}

// SetPeer takes in what another daemon has in flight, by route.
func (a *Admitter) SetPeer(daemon string, usages map[string]Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers[daemon] = usages
	for route, g := range a.gates {
		g.SetPeer(daemon, usages[route])
	}
}

// KeepPeers forgets all other daemons than the given ones.
func (a *Admitter) KeepPeers(alive map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for daemon := range a.peers {
		if alive[daemon] {
			continue
		}
		delete(a.peers, daemon)
		for _, g := range a.gates {
			g.DropPeer(daemon)
		}
	}
}
