package roller

import (
	"context"
	"slices"
	"time"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// maxUnproved is the number of unproved releases that a History names; the oldest are dropped.
	maxUnproved = 16
	// startupTime is how long after its start a daemon takes an order for one of before its start.
	startupTime = 5 * time.Second
	// historyRetryDelay is the time between two attempts to read a history.
	historyRetryDelay = time.Second
)

// History says how the releases of a service stood when an order was given. An order alone does not
// tell: its release may be a new one, the one in force, or one that an earlier order tried.
type History struct {
	// Revision and Release are those of the order.
	Revision uint64 `json:"revision"`
	Release  string `json:"release"`
	// After is the revision of the order before, on whose history this one is based; 0 if it is based on
	// the endpoints. Of two histories of one order that with the higher one prevails, since a daemon may
	// have missed an order.
	After uint64 `json:"after,omitempty"`
	// InForce lists the releases that served the service when the order was given, without those on
	// trial. It is empty while none is known.
	InForce []string `json:"inforce,omitempty"`
	// Unproved lists the releases to which a move was ordered but not completed, oldest first. The
	// order's own release is among them unless it was in force.
	Unproved []string `json:"unproved,omitempty"`
}

// OldestStarts returns, for each release of a service, when the oldest of its known endpoints started,
// in milliseconds since 1970. It returns nil while the list of endpoints is not known.
type OldestStarts func(service string) map[string]int64

// isUnproved reports whether a release may get no more than a canary's requests.
func (h History) isUnproved(release string) bool { return slices.Contains(h.Unproved, release) }

// isReturn reports whether the order names a release that was in force, so that there is nothing to
// prove.
func (h History) isReturn() bool { return !h.isUnproved(h.Release) }

// next returns the history of an order that replaces the one of h. completed reports whether the move
// of h was completed.
func (h History) next(o Order, completed bool) History {
	inForce, unproved := h.InForce, h.Unproved
	if completed {
		inForce, unproved = []string{h.Release}, without(unproved, h.Release)
	}
	n := newHistory(o, inForce, unproved)
	n.After = h.Revision
	return n
}

// newHistory returns the history of an order, given what was in force and unproved before it.
func newHistory(o Order, inForce, unproved []string) History {
	unproved = without(unproved, o.Release)
	if !slices.Contains(inForce, o.Release) {
		unproved = append(unproved, o.Release)
	}
	unproved = unproved[max(len(unproved)-maxUnproved, 0):]
	return History{Revision: o.Revision, Release: o.Release, InForce: inForce, Unproved: unproved}
}

// historyOfEndpoints returns the history of an order by the endpoints alone, for a daemon that knows no
// earlier order. The endpoints of a new release start after the order, hence after those of the release
// in force.
func historyOfEndpoints(o Order, oldest map[string]int64, unproved []string) History {
	var others []string
	start, isOldest := oldest[o.Release]
	for release, otherStart := range oldest {
		if release != o.Release {
			others = append(others, release)
			isOldest = isOldest && start < otherStart
		}
	}
	slices.Sort(others)
	if isOldest {
		return newHistory(o, []string{o.Release}, append(slices.Clone(unproved), others...))
	}
	return newHistory(o, slices.DeleteFunc(others, func(r string) bool { return slices.Contains(unproved, r) }), unproved)
}

// without returns a copy of a list without a release.
func without(releases []string, release string) []string {
	return slices.DeleteFunc(slices.Clone(releases), func(r string) bool { return r == release })
}

// isOf reports whether h is the history of an order. A store that was restored numbers the same order
// anew.
func (h History) isOf(o Order) bool {
	return h.Revision == o.Revision || h.Release == o.Release && storer.EraOf(h.Revision) < storer.EraOf(o.Revision)
}

// Prevails reports whether h is kept when another history of the service is to be stored.
func (h History) Prevails(other History) bool {
	return h.Revision > other.Revision || h.Revision == other.Revision && h.After >= other.After
}

// setHistory sets the history of a new move that replaces old, which may be nil. The caller holds the
// lock.
func (r *Roller) setHistory(m, old *move) {
	if old != nil && (old.state == StateDone || len(old.history.InForce) > 0) {
		m.history, m.hasHistory = old.history.next(m.Order, old.state == StateDone), true
		return
	}
	if old != nil {
		m.history.Unproved = old.history.Unproved
	}
	r.inferHistory(m)
}

// inferHistory bases the history of a move on the known endpoints. Until there is a list of them, the
// ordered release counts as unproved. The caller holds the lock.
func (r *Roller) inferHistory(m *move) {
	oldest := r.cfg.OldestStarts(m.Service)
	m.hasHistory = oldest != nil
	m.history = historyOfEndpoints(m.Order, oldest, without(m.history.Unproved, m.Release))
}

// resolveHistory makes the history of a move the same at all daemons: the stored one. The daemon with
// the publishing duty stores it, the others get it by its report. One that gets none in time reads it, and
// so does one that starts, at once: by the order alone it cannot tell which release is on trial.
func (r *Roller) resolveHistory(ctx context.Context, m *move) {
	r.mu.Lock()
	if !m.hasHistory {
		r.inferHistory(m)
	}
	isHolder := r.cfg.HoldsPublishDuty()
	wait := m.withdrawn || m.hasStoredHistory || !m.hasHistory || !isHolder && !m.isHistoryDue()
	if !wait {
		m.historyTry = time.Now()
	}
	r.mu.Unlock()
	if wait {
		return
	}
	stored, ok, err := r.cfg.Publisher.ReadHistory(ctx, m.Service)
	if err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "move_read_failures_total")
		return
	}
	var h History
	if h, err = r.historyAfter(ctx, m, stored, ok); err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "move_read_failures_total")
		return
	}
	isStored := ok && stored.Revision == h.Revision && stored.After == h.After
	if isHolder && !isStored {
		if h, err = r.cfg.Publisher.WriteHistory(ctx, m.Service, h); err != nil {
			meter.AddToCounter(r.cfg.Registry, 1, "move_write_failures_total")
			r.log("msg", "history of releases not stored", "service", m.Service, "error", err)
			return
		}
		isStored = h.Revision == m.Revision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.hasReadHistory = true
	if h.Revision == m.Revision {
		m.adoptHistory(h, isStored)
	}
}

// isHistoryDue reports whether a daemon without the publishing duty reads the stored history now.
func (m *move) isHistoryDue() bool {
	return !m.hasReadHistory && (m.isFromStart || m.isReadDue()) && time.Since(m.historyTry) >= historyRetryDelay
}

// historyAfter returns the history of a move, given the one that the store has for the service, if any.
func (r *Roller) historyAfter(ctx context.Context, m *move, stored History, ok bool) (History, error) {
	r.mu.Lock()
	o, own := m.Order, m.history
	r.mu.Unlock()
	switch {
	case ok && stored.isOf(o) && stored.After >= own.After:
		stored.Revision = o.Revision
		return stored, nil
	case !ok, stored.isOf(o), stored.Revision <= own.After, stored.Revision > o.Revision:
		return own, nil
	}
	// This daemon does not know the order before this one, which the store does.
	s, known, err := r.cfg.Publisher.ReadState(ctx, Order{Service: o.Service, Release: stored.Release, Revision: stored.Revision})
	if err != nil {
		return History{}, err
	}
	return stored.next(o, known && s == StateDone), nil
}

// adoptHistory replaces the history of a move by one that another daemon knows, unless this daemon's is
// based on a later order. isStored reports whether the store has the other one.
func (m *move) adoptHistory(h History, isStored bool) {
	m.hasStoredHistory = isStored
	if !m.hasHistory || h.After >= m.history.After {
		m.history, m.hasHistory = h, true
	}
}
