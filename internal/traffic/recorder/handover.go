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
	// kindAdoptJournal carries the name of an owner whose unsent orders the receiver takes over.
	kindAdoptJournal = "orders.take"
	// kindResolveStep carries a step that the sending daemon cannot write before it stops.
	kindResolveStep = "orders.settle"
)

const (
	peerCallTimeout = time.Second
	drainPollPeriod = 20 * time.Millisecond
)

// Peers sends calls to other daemons and registers handlers for their calls.
type Peers interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

var errDraining = errors.New("the daemon is draining")

// StartDrain starts a planned stop: orders that are still queued are handed over to other daemons
// immediately.
func (r *Runner) StartDrain() { r.startDrain() }

// Drain calls StartDrain and waits until this daemon processes no more orders, or until ctx ends.
func (r *Runner) Drain(ctx context.Context) error {
	r.StartDrain()
	tick := time.NewTicker(drainPollPeriod)
	defer tick.Stop()
	for !r.isIdle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("drain orders: %w", ctx.Err())
		}
	}
	return r.journal.close()
}

func (r *Runner) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0 && r.stepsInProgress.Load() == 0
}

// handOverQueued asks another daemon to take over the orders that this daemon has not sent, if it
// is draining. If no daemon accepts, the orders are taken over once this daemon is gone.
func (r *Runner) handOverQueued(ctx context.Context) {
	if r.isDraining() {
		r.delegateJournal(ctx, r.cfg.Recorder.cfg.Owner)
	}
}

// delegateJournal has the journal of an owner taken over by the first daemon that accepts, in the
// order of rendezvous hashing; this may be the local daemon.
func (r *Runner) delegateJournal(ctx context.Context, owner string) {
	for _, m := range r.rankDaemons(owner) {
		if m.Name == r.cfg.Name {
			r.adoptJournal(ctx, owner, false)
			return
		}
		if r.callPeer(ctx, m.Peers, kindAdoptJournal, []byte(owner)) == nil {
			return
		}
	}
}

// handOverStep sends a step to another daemon, which writes it. It reports whether a daemon
// accepted the step.
func (r *Runner) handOverStep(ctx context.Context, s Step) bool {
	b, err := json.Marshal(s)
	if err != nil {
		return false
	}
	for _, m := range r.rankDaemons(s.NextOrder.ID) {
		if r.callPeer(ctx, m.Peers, kindResolveStep, b) == nil {
			return true
		}
	}
	return false
}

func (r *Runner) callPeer(ctx context.Context, addr, kind string, body []byte) error {
	if r.cfg.Peers == nil {
		return errDraining
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := r.cfg.Peers.Call(ctx, addr, kind, body)
	return err
}

// handleAdoptJournal takes over the orders of a journal that its owner has released, or that
// another daemon has found without an owner.
func (r *Runner) handleAdoptJournal(_ context.Context, body []byte) ([]byte, error) {
	if r.isDraining() {
		return nil, errDraining
	}
	owner := string(body)
	r.adoptJournal(r.ctx, owner, true)
	return nil, nil
}

func (r *Runner) handleResolveStep(_ context.Context, body []byte) ([]byte, error) {
	if r.isDraining() {
		return nil, errDraining
	}
	var s Step
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("decode step: %w", err)
	}
	r.stepsInProgress.Add(1)
	go func() {
		defer r.stepsInProgress.Add(-1)
		r.resolveStep(r.ctx, s)
	}()
	return nil, nil
}
