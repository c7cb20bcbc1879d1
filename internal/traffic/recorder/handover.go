package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/fleet/messenger"
)

// Kinds of calls between daemons.
const (
	// kindTake carries the name of an owner that lets go of the orders that it
	// has not sent.
	kindTake = "orders.take"
	// kindSettle carries a step that its daemon cannot write before it stops.
	kindSettle = "orders.settle"
)

const (
	peerTimeout = time.Second
	drainPoll   = 20 * time.Millisecond
)

// Peers carries calls between daemons.
type Peers interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

var errDraining = errors.New("the daemon is draining")

// Release begins a planned stop: orders that are still queued go to other
// daemons at once.
func (r *Runner) Release() { r.drain() }

// Drain returns once no order needs this daemon any more, or when ctx ends.
func (r *Runner) Drain(ctx context.Context) error {
	r.Release()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !r.idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("drain orders: %w", ctx.Err())
		}
	}
	return r.journal.close()
}

func (r *Runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0 && r.settling.Load() == 0
}

// handOver asks another daemon to take the orders that this one has not sent.
// If none can, they are taken over once this daemon is gone.
func (r *Runner) handOver(ctx context.Context) {
	if r.draining() {
		r.passOn(ctx, r.cfg.Recorder.cfg.Owner)
	}
}

// passOn has an owner's journal taken over by the daemon chosen for it.
func (r *Runner) passOn(ctx context.Context, owner string) {
	for _, m := range r.ranked(owner) {
		if m.Name == r.cfg.Name {
			r.adopt(ctx, owner, false)
			return
		}
		if r.call(ctx, m.Peers, kindTake, []byte(owner)) == nil {
			return
		}
	}
}

// handOverStep gives a step to another daemon to write.
func (r *Runner) handOverStep(ctx context.Context, s Step) bool {
	b, err := json.Marshal(s)
	if err != nil {
		return false
	}
	for _, m := range r.ranked(s.Next.ID) {
		if r.call(ctx, m.Peers, kindSettle, b) == nil {
			return true
		}
	}
	return false
}

func (r *Runner) call(ctx context.Context, addr, kind string, body []byte) error {
	if r.cfg.Peers == nil {
		return errDraining
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := r.cfg.Peers.Call(ctx, addr, kind, body)
	return err
}

// handleTake takes a journal that its owner lets go of, or that the scanning
// daemon found without an owner.
func (r *Runner) handleTake(_ context.Context, body []byte) ([]byte, error) {
	if r.draining() {
		return nil, errDraining
	}
	owner := string(body)
	r.adopt(r.ctx, owner, true)
	return nil, nil
}

func (r *Runner) handleSettle(_ context.Context, body []byte) ([]byte, error) {
	if r.draining() {
		return nil, errDraining
	}
	var s Step
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("decode step: %w", err)
	}
	r.settling.Add(1)
	go func() {
		defer r.settling.Add(-1)
		r.settle(r.ctx, s)
	}()
	return nil, nil
}
