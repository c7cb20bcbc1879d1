package roller

import (
	"context"

	"pomelotiller/internal/observe/meter"
)

// Publisher stores the states of moves for the operator, and the histories of releases for daemons that
// start later.
type Publisher interface {
	WriteState(ctx context.Context, o Order, s State) error
	// ReadState returns the last stored state of an order, or false if there is none.
	ReadState(ctx context.Context, o Order) (State, bool, error)
	// WriteHistory stores the history of a service's newest order, and returns what the store has then:
	// another one if that is of this order or of a newer one already.
	WriteHistory(ctx context.Context, service string, h History) (History, error)
	// ReadHistory returns the stored history of a service, or false if there is none.
	ReadHistory(ctx context.Context, service string) (History, bool, error)
}

// RepublishStates makes Tick publish the states and histories of all moves again, after the store may
// have lost them.
func (r *Roller) RepublishStates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.moves {
		// Only the daemon with the publishing duty has to act.
		m.hasPublished, m.hasStoredHistory, m.hasReadHistory = false, false, true
	}
}

// resolveState reads the stored state of a move once, since the move may have ended before this
// daemon started. A daemon without the publishing duty first waits for a peer's report.
func (r *Roller) resolveState(ctx context.Context, m *move) {
	r.mu.Lock()
	wait := m.resolved || !r.cfg.HoldsPublishDuty() && !m.isReadDue()
	r.mu.Unlock()
	if wait {
		return
	}
	s, ok, err := r.cfg.Publisher.ReadState(ctx, m.Order)
	if err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "move_read_failures_total")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.resolved = true
	if ok {
		r.endMove(m, s, "read from the store")
	}
}

// publishState publishes a move's state if it is resolved and differs from the last published
// one, and this daemon holds the publishing duty. The history is stored before: it says what the
// state that is replaced was about.
func (r *Roller) publishState(ctx context.Context, m *move) {
	r.mu.Lock()
	s := m.state
	due := m.resolved && m.hasStoredHistory && (!m.hasPublished || m.publishedState != s)
	r.mu.Unlock()
	if !due || !r.cfg.HoldsPublishDuty() {
		return
	}
	if err := r.cfg.Publisher.WriteState(ctx, m.Order, s); err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "move_write_failures_total")
		r.log("msg", "move not published", "service", m.Service, "state", s, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.hasPublished, m.publishedState = true, s
	r.log("msg", "move published", "service", m.Service, "release", m.Release, "state", s)
}
