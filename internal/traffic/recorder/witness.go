package recorder

import (
	"context"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

// kindSeen asks a daemon whether it has an order of some id in hand or had it
// lately. Its answer is empty if not.
const kindSeen = "orders.seen"

const (
	witnessTimeout = 150 * time.Millisecond
	// maxWitnesses bounds the daemons asked; in a larger fleet, those not asked
	// may have had the order.
	maxWitnesses = 32
)

// mark remembers that this daemon sends an order, or may do so later.
func (r *Runner) mark(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent[id] = r.now()
}

func (r *Runner) marked(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.recent[id]
	return ok
}

func (r *Runner) handleSeen(_ context.Context, body []byte) ([]byte, error) {
	r.mu.Lock()
	open := r.jobs[string(body)] != nil
	r.mu.Unlock()
	if open || r.marked(string(body)) {
		return []byte{1}, nil
	}
	return nil, nil
}

// mayHaveRun reports whether this daemon or another one may have sent an order
// lately. It is asked while the store cannot tell; a daemon alive that does not
// answer may have.
func (r *Runner) mayHaveRun(ctx context.Context, id string) bool {
	if r.marked(id) {
		return true
	}
	if r.cfg.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	others := r.witnesses()
	seen := make(chan bool, len(others))
	for _, m := range others {
		go func() { seen <- r.askSeen(ctx, m, id) }()
	}
	for range others {
		select {
		case yes := <-seen:
			if yes {
				return true
			}
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// witnesses returns the other daemons that may have had an order.
func (r *Runner) witnesses() []viewer.Member {
	var others []viewer.Member
	for _, m := range r.cfg.View().Members {
		if m.State != viewer.StateGone && m.Name != r.cfg.Name && len(others) < maxWitnesses {
			others = append(others, m)
		}
	}
	return others
}

func (r *Runner) askSeen(ctx context.Context, m viewer.Member, id string) bool {
	b, err := r.cfg.Peers.Call(ctx, m.Peers, kindSeen, []byte(id))
	return err != nil || len(b) > 0
}
