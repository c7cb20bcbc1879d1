package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/router"
)

const (
	// maxTransfers limits the caches that a daemon transfers at the same time.
	maxTransfers = 16
	// transferTimeout limits the transfer of one cache: a reclaimed engine stops
	// seconds after the notice.
	transferTimeout = 5 * time.Second
)

// errMigrated ends an attempt whose request continues at another engine.
var errMigrated = errors.New("request was moved to another endpoint")

// inFlightAttempt is an attempt that has not ended, which migrate can move to another
// engine.
type inFlightAttempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	job    Job
	choice router.Choice
	// migrating is set once a migration has begun, and target is the engine that has
	// received the cache. ended is set when the attempt is over. Relayer.mu guards all
	// three.
	migrating bool
	ended     bool
	target    *router.Choice
}

// registerAttempt adds an attempt to those in flight at its engine.
func (r *Relayer) registerAttempt(ctx context.Context, cancel context.CancelCauseFunc, job Job, c router.Choice) *inFlightAttempt {
	f := &inFlightAttempt{ctx: ctx, cancel: cancel, job: job, choice: c}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.inFlight[c.Endpoint.Name]
	if all == nil {
		all = make(map[*inFlightAttempt]struct{})
		r.inFlight[c.Endpoint.Name] = all
	}
	all[f] = struct{}{}
	return f
}

// unregisterAttempt removes an attempt that has ended. If its cache was migrated, the
// next attempt goes to the engine that received it.
func (r *Relayer) unregisterAttempt(f *inFlightAttempt, p *jobProgress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.ended = true
	p.reserved = f.target
	all := r.inFlight[f.choice.Endpoint.Name]
	delete(all, f)
	if len(all) == 0 {
		delete(r.inFlight, f.choice.Endpoint.Name)
	}
}

// MigrateRequests migrates the requests in flight at an endpoint that is leaving to other
// endpoints, with their caches. A request whose cache cannot be transferred stays until
// its answer is complete or breaks off.
func (r *Relayer) MigrateRequests(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.inFlight[endpoint] {
		if f.migrating {
			continue
		}
		f.migrating = true
		go r.migrate(f)
	}
}

// migrate transfers the cache of an attempt to another engine, and then cancels the
// attempt so that the next one continues there.
func (r *Relayer) migrate(f *inFlightAttempt) {
	select {
	case r.transferSlots <- struct{}{}:
	case <-f.ctx.Done():
		return
	}
	defer func() { <-r.transferSlots }()
	ctx, cancel := context.WithTimeout(f.ctx, transferTimeout)
	defer cancel()
	c, err := r.pickEngine(f.job, f.choice.Version, map[string]bool{f.choice.Endpoint.Name: true})
	if err == nil {
		if err = r.transferCache(ctx, f.job.Request, f.choice.Endpoint, c.Endpoint); err != nil {
			c.Release()
		}
	}
	if err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "cache_transfers_total", "outcome", "failed")
		return
	}
	meter.AddToCounter(r.cfg.Registry, 1, "cache_transfers_total", "outcome", "done")
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.ended {
		c.Release()
		return
	}
	f.target = &c
	f.cancel(errMigrated)
}

// transferCache streams the cache of a request from one engine to another, without
// buffering the whole cache in memory. It exports over a new connection: on a pooled one, a
// late answer to an earlier call may come in place of the cache, which does not name its
// request.
func (r *Relayer) transferCache(ctx context.Context, request string, from, to viewer.Endpoint) error {
	cache, err := newEngineClient(from, r.cfg.FreshHTTP).Export(ctx, request)
	if err != nil {
		return fmt.Errorf("export cache of %q from %s: %w", request, from.Name, err)
	}
	defer cache.Close()
	if r.isEvacuated(to) {
		return fmt.Errorf("import cache of %q at %s: %w", request, to.Name, errEvacuated)
	}
	if err := newEngineClient(to, r.cfg.HTTP).Import(ctx, request, cache); err != nil {
		return fmt.Errorf("import cache of %q at %s: %w", request, to.Name, err)
	}
	// The stream stays where it is if it may not continue at the target.
	if r.isEvacuated(to) {
		return fmt.Errorf("move %q to %s: %w", request, to.Name, errEvacuated)
	}
	return nil
}

func newEngineClient(e viewer.Endpoint, client *http.Client) inferrer.Engine {
	return inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, HTTP: client})
}
