// Package roller performs canary rollouts: it moves a service from one release to another within
// the time that the operator allows, or reverts the move. Daemons exchange counts of answers, and
// each one compares the releases itself, so that a bad release loses its traffic even while the
// store is unreachable.
package roller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/control/assessor"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/carrier"
)

// State is the progress of a move.
type State int

// States of a move. StateDone and StateReverted are final.
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
	// Within is the time limit of the move.
	Within time.Duration
	// Revision is the store revision of the order. An order replaces those of lower revisions.
	Revision uint64
	Deleted  bool
}

// hasSameTarget reports whether two orders have the same service, release and time limit.
func (o Order) hasSameTarget(p Order) bool {
	return o.Service == p.Service && o.Release == p.Release && o.Within == p.Within
}

// AvailableReleases returns the releases of a service that have endpoints accepting requests.
type AvailableReleases func(service string) (releases []string)

// Exposure limits the requests of a service that a release may get before it is proved: Share is a
// fraction of them, and Extra a number beside.
type Exposure struct {
	Share, Extra float64
}

// Config configures a Roller.
type Config struct {
	Exposure          Exposure
	AvailableReleases AvailableReleases
	OldestStarts      OldestStarts
	Publisher         Publisher
	// Members returns the number of daemons in the fleet.
	Members func() int
	// Announce is called when a move ends, to tell the other daemons at once.
	Announce func()
	// HoldsPublishDuty reports whether this daemon holds the duty to publish the states of moves.
	HoldsPublishDuty func() bool
	Logger           log.Logger
	Registry         metrics.Registry
}

// Roller tracks the moves of all services at one daemon and chooses the release of each request.
type Roller struct {
	cfg Config
	// created is when this daemon started.
	created time.Time

	mu         sync.Mutex
	moves      map[string]*move
	ownCounts  tally
	peerCounts map[string]*peerTally
	breaks     assessor.Breaks
}

// New returns a Roller without moves.
func New(cfg Config) *Roller {
	return &Roller{
		cfg: cfg, created: time.Now(), moves: make(map[string]*move), ownCounts: make(tally), peerCounts: make(map[string]*peerTally), breaks: make(assessor.Breaks),
	}
}

// Apply starts, replaces or deletes a move by an operator's order. It ignores an order whose
// revision is not newer than the known one.
func (r *Roller) Apply(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.moves[o.Service]
	if old != nil && old.Revision >= o.Revision {
		return
	}
	if o.Deleted {
		r.withdrawMove(old, o)
		return
	}
	if old != nil && !old.withdrawn && old.hasSameTarget(o) && storer.EraOf(o.Revision) > storer.EraOf(old.Revision) {
		// The store was restored and numbers its entries anew; the order equals that of the
		// current move, which goes on.
		old.Revision, old.history.Revision = o.Revision, o.Revision
		return
	}
	now := time.Now()
	m := &move{Order: o, startTime: now, seenTime: now, spanStart: now, isFromStart: now.Sub(r.created) < startupTime}
	r.setHistory(m, old)
	r.moves[o.Service] = m
	r.ownCounts.dropService(o.Service)
	for name, p := range r.peerCounts {
		p.current.dropService(o.Service)
		p.earlier.dropService(o.Service)
		if len(p.current)+len(p.earlier) == 0 {
			// The daemon may be gone; its next report adds it again.
			delete(r.peerCounts, name)
		}
	}
	clear(r.breaks)
	r.log("msg", "move ordered", "service", o.Service, "release", o.Release, "within", o.Within, "revision", o.Revision,
		"in_force", strings.Join(m.history.InForce, " "), "unproved", strings.Join(m.history.Unproved, " "))
}

// withdrawMove ends the move of a service whose order was deleted. A release that was not proved by then
// still gets no requests while another one has endpoints.
func (r *Roller) withdrawMove(m *move, o Order) {
	if m == nil {
		return
	}
	if m.state == StateDone {
		delete(r.moves, o.Service)
		return
	}
	r.endMove(m, StateReverted, "order deleted")
	m.Revision, m.withdrawn = o.Revision, true
}

// AllowedReleases implements carrier.Trials. It returns a filter of releases for one request, or nil if
// the service has no move.
func (r *Roller) AllowedReleases(service, id string) func(release string) bool {
	r.mu.Lock()
	m := r.moves[service]
	if m == nil {
		r.mu.Unlock()
		return nil
	}
	if !m.hasHistory {
		r.inferHistory(m)
	}
	useTarget := isSampled(id, m.targetFraction(time.Now(), r.cfg.Exposure))
	isTarget := func(release string) bool { return release == m.Release }
	isProved, withdrawn := m.provedReleases(), m.withdrawn
	r.mu.Unlock()
	available := r.cfg.AvailableReleases(service)
	if useTarget && slices.ContainsFunc(available, isTarget) {
		return isTarget
	}
	if withdrawn && !slices.ContainsFunc(available, isProved) {
		return nil
	}
	// Requests never spill over from the releases in force to an unproved one, which would exceed its
	// exposure.
	return isProved
}

// IdleRelease returns, while a service moves and for settleTime after, a function that reports whether
// a release has endpoints that do not serve the service's load: an unproved release until the move is
// done, and every other release than the new one from then on. age is the age of the move. The function is nil without a move.
func (r *Roller) IdleRelease(service string) (isIdle func(release string) bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	if m == nil || m.state != StateActive && time.Since(m.endTime) >= settleTime {
		return nil, 0
	}
	target, isDone, isProved := m.Release, m.state == StateDone, m.provedReleases()
	return func(release string) bool { return !isProved(release) || isDone && release != target }, time.Since(m.seenTime)
}

// RecordSent implements carrier.Trials.
func (r *Roller) RecordSent(service, route, release string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeRevision(service) != 0 {
		r.ownCounts.counts(countKey{service, route, release}).sent++
	}
}

// RecordOutcome implements carrier.Trials.
func (r *Roller) RecordOutcome(o carrier.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeRevision(o.Service) == 0 || r.isRepeatedBreak(o, time.Now()) {
		return
	}
	r.ownCounts.counts(countKey{o.Service, o.Route, o.Release}).record(o)
}

// isRepeatedBreak reports whether an outcome is a broken answer that counts as the same event as an
// earlier one.
func (r *Roller) isRepeatedBreak(o carrier.Outcome, now time.Time) bool {
	a := assessor.Attempt{Endpoint: o.Endpoint, ConnectedAt: o.ConnectedAt, SentAt: o.SentAt, HasHead: o.HasHead, IsSilent: o.IsSilent}
	switch o.Kind {
	case carrier.OutcomeBroken, carrier.OutcomeStreamBroken:
		return r.breaks.IsRepeated(a, now)
	case carrier.OutcomeGood, carrier.OutcomeFailed:
		r.breaks.RecordAnswer(a, now)
	case carrier.OutcomeNone:
	}
	return false
}

// activeRevision returns the revision of the order of a service's move, or 0 if it has no active one.
func (r *Roller) activeRevision(service string) uint64 {
	if m := r.moves[service]; m != nil && m.state == StateActive {
		return m.Revision
	}
	return 0
}

// LocalReport returns this daemon's counts of active moves and the states of all moves, to be sent to
// the other daemons.
func (r *Roller) LocalReport() ([]sharer.Trial, []sharer.Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var moves []sharer.Move
	for _, m := range r.moves {
		if !m.withdrawn {
			moves = append(moves, m.report())
		}
	}
	return r.ownCounts.trials(r.activeRevision), moves
}

// RecordReport stores the counts that another daemon reports in one of its incarnations, and merges
// its move states.
func (r *Roller) RecordReport(name string, boot int64, trials []sharer.Trial, moves []sharer.Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.moves) == 0 {
		delete(r.peerCounts, name)
		return
	}
	p := r.peerCounts[name]
	if p == nil {
		p = &peerTally{boot: boot, earlier: make(tally)}
		r.peerCounts[name] = p
	}
	p.update(boot, tallyOf(trials, r.activeRevision))
	for _, h := range moves {
		m := r.moves[h.Service]
		if m == nil || m.Revision != h.Revision {
			continue
		}
		if startTime := time.Now().Add(-time.Duration(h.Age) * time.Millisecond); startTime.Before(m.startTime) {
			m.startTime = startTime
		}
		m.resolved = m.resolved || h.Settled
		if h.Stored && (!m.hasStoredHistory || h.After > m.history.After) {
			m.adoptHistory(History{Revision: m.Revision, Release: m.Release, After: h.After, InForce: h.InForce, Unproved: h.Unproved}, true)
		}
		r.endMove(m, State(h.State), "reported by another daemon")
	}
}

// Tick evaluates all moves and publishes their states if this daemon holds the publishing duty.
func (r *Roller) Tick(ctx context.Context) {
	for _, m := range r.orderedMoves() {
		r.resolveHistory(ctx, m)
		r.resolveState(ctx, m)
		r.evaluateMove(m)
		r.logFraction(m)
		r.publishState(ctx, m)
	}
}

// orderedMoves returns the moves whose orders are not deleted.
func (r *Roller) orderedMoves() []*move {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*move
	for _, m := range r.moves {
		if !m.withdrawn {
			out = append(out, m)
		}
	}
	return out
}

func (r *Roller) log(fields ...any) { logger.Info(r.cfg.Logger, fields...) }
