package recorder

import (
	"context"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

// kindSeenQuery is the kind of a call that asks a daemon whether it is processing an order or did
// so within recentOrderRetention. The answer is empty if not.
const kindSeenQuery = "orders.seen"

const (
	seenQueryTimeout = 150 * time.Millisecond
	// maxSeenQueries is the maximum number of daemons asked about an order. In a larger fleet, the
	// order may be known only to a daemon that is not asked.
	maxSeenQueries = 32
)

// rememberOrder records that this daemon sends an order now or may send it later.
func (r *Runner) rememberOrder(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentOrders[id] = r.now()
}

func (r *Runner) isRecentOrder(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.recentOrders[id]
	return ok
}

func (r *Runner) handleSeenQuery(_ context.Context, body []byte) ([]byte, error) {
	r.mu.Lock()
	open := r.jobs[string(body)] != nil
	r.mu.Unlock()
	if open || r.isRecentOrder(string(body)) {
		return []byte{1}, nil
	}
	return nil, nil
}

// mayHaveRun reports whether any daemon may have sent the order recently. It is used while the
// store is unavailable. A live daemon that does not answer is counted as having sent it.
func (r *Runner) mayHaveRun(ctx context.Context, id string) bool {
	if r.isRecentOrder(id) {
		return true
	}
	if r.cfg.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seenQueryTimeout)
	defer cancel()
	others := r.seenQueryTargets()
	seen := make(chan bool, len(others))
	for _, m := range others {
		go func() { seen <- r.hasSeenOrder(ctx, m, id) }()
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

// seenQueryTargets returns up to maxSeenQueries other daemons that are not gone.
func (r *Runner) seenQueryTargets() []viewer.Member {
	var others []viewer.Member
	for _, m := range r.cfg.View().Members {
		if m.State != viewer.StateGone && m.Name != r.cfg.Name && len(others) < maxSeenQueries {
			others = append(others, m)
		}
	}
	return others
}

func (r *Runner) hasSeenOrder(ctx context.Context, m viewer.Member, id string) bool {
	b, err := r.cfg.Peers.Call(ctx, m.Peers, kindSeenQuery, []byte(id))
	return err != nil || len(b) > 0
}
