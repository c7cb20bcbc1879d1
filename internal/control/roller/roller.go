// Package roller moves a service from one release to another within the time
// that the operator allows, or takes it back. Every daemon judges the new
// release from the answers that all daemons count, so that a bad release loses
// its traffic even where the store is away.
package roller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// State is how far a move is.
type State int

// States of a move, in the order in which they can follow.
const (
	StateActive State = iota
	StateDone
	StateReverted
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case StateDone:
		return "done"
	case StateReverted:
		return "reverted"
	default:
		return "active"
	}
}

// Order is an operator's order to move a service to a release.
type Order struct {
	Service string
	Release string
	// Within is the time that the move may take.
	Within time.Duration
	// Revision is that of the order in the store; a later order replaces an
	// earlier one.
	Revision uint64
	Deleted  bool
}

// sameAs reports whether two orders ask for the same.
func (o Order) sameAs(p Order) bool {
	return o.Service == p.Service && o.Release == p.Release && o.Within == p.Within
}

// Endpoints tells which releases of a service have endpoints that take work.
type Endpoints func(service string) (releases []string)

// Publisher writes the state of a move to where the operator reads it.
type Publisher interface {
	Publish(ctx context.Context, o Order, s State) error
	// Published reads the state that was written last for an order; false if
	// there is none.
	Published(ctx context.Context, o Order) (State, bool, error)
}

// Config configures a Roller.
type Config struct {
	// Exposure is the part of the requests that an unproved release may get.
	Exposure  float64
	Endpoints Endpoints
	Publisher Publisher
	// Held reports whether this daemon has the duty to publish.
	Held     func() bool
	Logger   log.Logger
	Registry metrics.Registry
}

// Roller holds this daemon's view of all moves.
type Roller struct {
	cfg Config

	mu     sync.Mutex
	moves  map[string]*move
	own    map[subject]*tally
	others map[string]map[subject]tally
}

// subject is one release of a service.
type subject struct{ service, release string }

// New returns a roller without moves.
func New(cfg Config) *Roller {
	return &Roller{cfg: cfg, moves: make(map[string]*move), own: make(map[subject]*tally), others: make(map[string]map[subject]tally)}
}

// Apply takes in an operator's order.
func (r *Roller) Apply(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.moves[o.Service]
	if old != nil && old.Revision >= o.Revision {
		return
	}
	if o.Deleted {
		delete(r.moves, o.Service)
		return
	}
	if old != nil && old.sameAs(o) && storer.EraOf(o.Revision) > storer.EraOf(old.Revision) {
		// The store was restored, and the order is the one that is carried out.
		old.Revision = o.Revision
		return
	}
	now := time.Now()
	r.moves[o.Service] = &move{Order: o, began: now, seen: now}
	for s := range r.own {
		if s.service == o.Service {
			delete(r.own, s)
		}
	}
	r.log("msg", "move ordered", "service", o.Service, "release", o.Release, "within", o.Within, "revision", o.Revision)
}

// Rewrite has the states of all moves published again, since the store may have lost
// them.
func (r *Roller) Rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.moves {
		m.written = false
	}
}

// AllowedReleases implements carrier.Trials.
func (r *Roller) AllowedReleases(service, id string) func(release string) bool {
	r.mu.Lock()
	m := r.moves[service]
	if m == nil {
		r.mu.Unlock()
		return nil
	}
	target := m.Release
	fresh := chosen(id, m.share(time.Now(), r.cfg.Exposure))
	r.mu.Unlock()
	only := func(release string) bool { return (release == target) == fresh }
	if slices.ContainsFunc(r.cfg.Endpoints(service), only) {
		return only
	}
	if !fresh {
		// Requests never spill over to a release that is not proved.
		return only
	}
	return func(release string) bool { return release != target }
}

// RecordSent implements carrier.Trials.
func (r *Roller) RecordSent(service, release string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tally(service, release); t != nil {
		t.sent++
	}
}

// RecordAnswer implements carrier.Trials.
func (r *Roller) RecordAnswer(service, release string, good, slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally(service, release)
	switch {
	case t == nil:
	case !good:
		t.bad++
	default:
		t.good++
		if slow {
			t.slow++
		}
	}
}

// tally returns the counts of a release while its service moves.
func (r *Roller) tally(service, release string) *tally {
	if r.moves[service] == nil {
		return nil
	}
	s := subject{service, release}
	if r.own[s] == nil {
		r.own[s] = &tally{}
	}
	return r.own[s]
}

// Shared returns this daemon's counts and moves for the others.
func (r *Roller) Shared() ([]sharer.Trial, []sharer.Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var trials []sharer.Trial
	for s, t := range r.own {
		trials = append(trials, sharer.Trial{Service: s.service, Release: s.release, Sent: t.sent, Good: t.good, Bad: t.bad, Slow: t.slow})
	}
	var moves []sharer.Move
	for _, m := range r.moves {
		moves = append(moves, sharer.Move{
			Service: m.Service, Revision: m.Revision, State: int(m.state), Age: time.Since(m.began).Milliseconds(), Settled: m.settled,
		})
	}
	return trials, moves
}

// Hear takes in the counts and moves of another daemon.
func (r *Roller) Hear(name string, trials []sharer.Trial, moves []sharer.Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(trials) == 0 && len(moves) == 0 {
		delete(r.others, name)
		return
	}
	counts := make(map[subject]tally, len(trials))
	for _, t := range trials {
		counts[subject{t.Service, t.Release}] = tally{t.Sent, t.Good, t.Bad, t.Slow}
	}
	r.others[name] = counts
	for _, h := range moves {
		m := r.moves[h.Service]
		if m == nil || m.Revision != h.Revision {
			continue
		}
		if began := time.Now().Add(-time.Duration(h.Age) * time.Millisecond); began.Before(m.began) {
			m.began = began
		}
		m.settled = m.settled || h.Settled
		r.advance(m, State(h.State), "another daemon says so")
	}
}

// advance takes a move to a later state; a final state never changes.
func (r *Roller) advance(m *move, s State, why string) {
	if m.state != StateActive || s == StateActive {
		return
	}
	m.state = s
	r.log("msg", "move ended", "service", m.Service, "release", m.Release, "state", s, "why", why, "age", time.Since(m.began))
}

// Tick judges the moves and, where this daemon has the duty, publishes them.
func (r *Roller) Tick(ctx context.Context) {
	for _, m := range r.active() {
		r.settle(ctx, m)
		r.judge(m)
		r.publish(ctx, m)
	}
}

func (r *Roller) active() []*move {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*move
	for _, m := range r.moves {
		out = append(out, m)
	}
	return out
}

// settle reads the state of an order that may be older than this daemon.
func (r *Roller) settle(ctx context.Context, m *move) {
	r.mu.Lock()
	wait := m.settled || !r.cfg.Held() && time.Since(m.seen) < settleDelay
	r.mu.Unlock()
	if wait {
		return
	}
	s, ok, err := r.cfg.Publisher.Published(ctx, m.Order)
	if err != nil {
		meter.Count(r.cfg.Registry, 1, "move_read_failures_total")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.settled = true
	if ok {
		r.advance(m, s, "the store says so")
	}
}

// judge ends a move whose release proved faulty, or whose time is over.
func (r *Roller) judge(m *move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.state != StateActive {
		return
	}
	fresh, old := r.sums(m)
	if faulty(fresh, old) {
		r.log("msg", "release judged", "service", m.Service, "release", m.Release, "outcome", "faulty", "sent", fresh.sent, "good", fresh.good,
			"bad", fresh.bad, "slow", fresh.slow, "old_good", old.good, "old_bad", old.bad, "old_slow", old.slow)
		r.advance(m, StateReverted, "its answers are worse")
		return
	}
	if time.Since(m.began) >= time.Duration(doneShare*float64(m.Within)) && fresh.good > 0 {
		r.advance(m, StateDone, "its time is over")
	}
}

// sums returns the counts of the new release and of all others.
func (r *Roller) sums(m *move) (fresh, old tally) {
	add := func(s subject, t tally) {
		switch {
		case s.service != m.Service:
		case s.release == m.Release:
			fresh.add(t)
		default:
			old.add(t)
		}
	}
	for s, t := range r.own {
		add(s, *t)
	}
	for _, counts := range r.others {
		for s, t := range counts {
			add(s, t)
		}
	}
	return fresh, old
}

// publish writes the state of a move for the operator.
func (r *Roller) publish(ctx context.Context, m *move) {
	r.mu.Lock()
	s := m.state
	due := m.settled && (!m.written || m.published != s)
	r.mu.Unlock()
	if !due || !r.cfg.Held() {
		return
	}
	if err := r.cfg.Publisher.Publish(ctx, m.Order, s); err != nil {
		meter.Count(r.cfg.Registry, 1, "move_write_failures_total")
		r.log("msg", "move not published", "service", m.Service, "state", s, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.written, m.published = true, s
	r.log("msg", "move published", "service", m.Service, "release", m.Release, "state", s)
}

func (r *Roller) log(fields ...any) { logger.Info(r.cfg.Logger, fields...) }
