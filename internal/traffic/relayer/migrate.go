package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/router"
)

const (
	// maxMoves bounds the caches that a daemon transfers at a time.
	maxMoves = 16
	// moveTimeout bounds the transfer of one cache; a reclaim comes seconds
	// after its notice.
	moveTimeout = 5 * time.Second
)

// errMoved ends an attempt whose request goes on at another engine.
var errMoved = errors.New("request was moved to another endpoint")

// flight is an attempt that is under way.
type flight struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	job    Job
	choice router.Choice
	// moving is set once a transfer has begun; next is its outcome. ended is
	// set when the attempt is over. All three are guarded by Relayer.mu.
	moving bool
	ended  bool
	next   *router.Choice
}

func (r *Relayer) register(ctx context.Context, cancel context.CancelCauseFunc, job Job, c router.Choice) *flight {
	f := &flight{ctx: ctx, cancel: cancel, job: job, choice: c}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.flights[c.Endpoint.Name]
	if all == nil {
		all = make(map[*flight]struct{})
		r.flights[c.Endpoint.Name] = all
	}
	all[f] = struct{}{}
	return f
}

// settle ends a flight; an engine that its cache went to is tried next.
func (r *Relayer) settle(f *flight, p *progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.ended = true
	p.held = f.next
	all := r.flights[f.choice.Endpoint.Name]
	delete(all, f)
	if len(all) == 0 {
		delete(r.flights, f.choice.Endpoint.Name)
	}
}

// Leave moves the requests under way at an endpoint that is leaving to others,
// with their caches. A request whose cache cannot be had stays until its answer
// is whole or breaks off.
func (r *Relayer) Leave(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights[endpoint] {
		if f.moving {
			continue
		}
		f.moving = true
		go r.move(f)
	}
}

func (r *Relayer) move(f *flight) {
	select {
	case r.moves <- struct{}{}:
	case <-f.ctx.Done():
		return
	}
	defer func() { <-r.moves }()
	ctx, cancel := context.WithTimeout(f.ctx, moveTimeout)
	defer cancel()
	c, err := r.route(f.job, f.choice.Version, map[string]bool{f.choice.Endpoint.Name: true})
	if err == nil {
		if err = r.transfer(ctx, f.job.Request, f.choice.Endpoint, c.Endpoint); err != nil {
			c.Release()
		}
	}
	if err != nil {
		meter.Count(r.cfg.Registry, 1, "cache_transfers_total", "outcome", "failed")
		return
	}
	meter.Count(r.cfg.Registry, 1, "cache_transfers_total", "outcome", "done")
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.ended {
		c.Release()
		return
	}
	f.next = &c
	f.cancel(errMoved)
}

// transfer passes the cache of a request from one engine to another, without
// holding it in memory.
func (r *Relayer) transfer(ctx context.Context, request string, from, to viewer.Endpoint) error {
	cache, err := r.engine(from).Export(ctx, request)
	if err != nil {
		return fmt.Errorf("export cache of %q from %s: %w", request, from.Name, err)
	}
	defer cache.Close()
	if err := r.engine(to).Import(ctx, request, cache); err != nil {
		return fmt.Errorf("import cache of %q at %s: %w", request, to.Name, err)
	}
	return nil
}

func (r *Relayer) engine(e viewer.Endpoint) inferrer.Engine {
	return inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, HTTP: r.cfg.HTTP})
}
