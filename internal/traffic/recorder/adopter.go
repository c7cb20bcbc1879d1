package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	ownerCheckPeriod = 500 * time.Millisecond
	// goneGracePeriod is how long a daemon must be gone before its orders are taken over. A daemon
	// that wakes up from a pause briefly sees all others as gone.
	goneGracePeriod = 1500 * time.Millisecond
	// unknownOwnerGracePeriod is the grace period for an owner that is not in the member list,
	// which may be incomplete just after this daemon has started.
	unknownOwnerGracePeriod = 10 * time.Second
	// journalScanPeriod is the time between two listings of all journals. Only one daemon of the
	// fleet lists them.
	journalScanPeriod   = 5 * time.Second
	adoptionRetryPeriod = time.Second
	journalScanDuty     = "order scan"
)

// adoption is the takeover of another owner's journal by this daemon.
type adoption struct {
	// released reports that the owner has given up the orders that it has not sent.
	released atomic.Bool
}

// Run takes over the orders of daemons that are gone, until ctx ends or this daemon drains.
func (r *Runner) Run(ctx context.Context) error {
	tick := time.NewTicker(ownerCheckPeriod)
	defer tick.Stop()
	scanned := r.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.drainStarted:
			return nil
		case <-tick.C:
		}
		r.pruneRecentOrders()
		r.adoptGoneOwners(ctx)
		if r.now().Sub(scanned) >= journalScanPeriod {
			scanned = r.now()
			r.scanJournals(ctx)
		}
	}
}

// pruneRecentOrders removes ids older than recentOrderRetention and updates the gauge of open orders.
func (r *Runner) pruneRecentOrders() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	metrics.GetOrRegisterGauge("orders_open", r.cfg.Registry).Update(int64(len(r.jobs)))
	for id, t := range r.recentOrders {
		if now.Sub(t) > recentOrderRetention {
			delete(r.recentOrders, id)
		}
	}
}

// adoptGoneOwners takes over the journals of members that are gone, as far as rendezvous hashing
// assigns them to this daemon.
func (r *Runner) adoptGoneOwners(ctx context.Context) {
	for _, m := range r.cfg.View().Members {
		owner := OwnerName(m.Name, m.Boot)
		if m.State != viewer.StateGone {
			r.markPresent(owner)
			continue
		}
		if r.isOwnerGone(owner) && !r.isAdopted(owner) && r.responsibleDaemon(owner) == r.cfg.Name {
			r.adoptJournal(ctx, owner, false)
		}
	}
}

// scanJournals runs on the one daemon responsible for the scan. It lists all journals, including
// those of owners that are no longer in the member list, and assigns each one whose owner is gone
// to the daemon chosen by rendezvous hashing.
func (r *Runner) scanJournals(ctx context.Context) {
	if r.responsibleDaemon(journalScanDuty) != r.cfg.Name {
		return
	}
	p, err := r.cfg.Recorder.cfg.Store.List(ctx, JournalPrefix)
	if err != nil {
		return
	}
	for _, e := range p.Entries {
		if owner := strings.TrimPrefix(e.Key, JournalPrefix); r.isOwnerGone(owner) {
			r.delegateJournal(ctx, owner)
		}
	}
}

// responsibleDaemon returns the name of the live daemon that rendezvous hashing assigns to a duty.
// All daemons get the same result without communication.
func (r *Runner) responsibleDaemon(duty string) string {
	return ranker.HighestRanked(duty, r.adoptionCandidates())
}

// rankDaemons returns the live daemons in the order in which rendezvous hashing prefers them for a
// duty.
func (r *Runner) rankDaemons(duty string) []viewer.Member {
	return ranker.Rank(duty, r.adoptionCandidates())
}

// adoptionCandidates returns the members that can take over orders. It excludes this daemon while
// it is draining.
func (r *Runner) adoptionCandidates() []viewer.Member {
	members := r.cfg.View().Members
	if !r.isDraining() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m viewer.Member) bool { return m.Name == r.cfg.Name })
}

// isOwnerGone reports whether an owner has been gone for its grace period. A daemon that restarts
// under the same name is another owner.
func (r *Runner) isOwnerGone(owner string) bool {
	if owner == r.cfg.Recorder.cfg.Owner {
		return false
	}
	grace := unknownOwnerGracePeriod
	daemon, _, _ := strings.Cut(owner, "/")
	for _, m := range r.cfg.View().Members {
		switch {
		case m.Name != daemon:
		case OwnerName(m.Name, m.Boot) != owner:
			grace = 0 // The daemon has restarted.
		case m.State == viewer.StateGone:
			grace = goneGracePeriod
		default:
			r.markPresent(owner)
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.absentSince[owner]
	if !ok {
		since = r.now()
		r.absentSince[owner] = since
	}
	return r.now().Sub(since) >= grace
}

// markPresent records that an owner is reachable (again), so that a later absence starts a new
// grace period.
func (r *Runner) markPresent(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.absentSince, owner)
	delete(r.adoptedOwners, owner)
}

func (r *Runner) isAdopted(owner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adoptedOwners[owner]
}

// adoptJournal takes over the orders of a journal in the background and retries until all of them
// have ended.
func (r *Runner) adoptJournal(ctx context.Context, owner string, released bool) {
	r.mu.Lock()
	a := r.adoptions[owner]
	known := a != nil || r.adoptedOwners[owner] && !released
	if a == nil {
		a = &adoption{}
	}
	if released {
		a.released.Store(true)
	}
	if !known {
		r.adoptions[owner] = a
	}
	r.mu.Unlock()
	if known {
		return
	}
	go func() {
		finished := false
		for !finished && ctx.Err() == nil && !r.isDraining() && (a.released.Load() || r.isOwnerGone(owner)) {
			if finished = r.adoptListedOrders(ctx, owner, a); !finished {
				r.pauseUnlessDraining(ctx, adoptionRetryPeriod)
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.adoptions, owner)
		r.adoptedOwners[owner] = finished && !a.released.Load()
	}()
}

// adoptListedOrders completes the orders that a journal lists at present, and then deletes the
// journal. It reports whether nothing is left to do.
func (r *Runner) adoptListedOrders(ctx context.Context, owner string, a *adoption) bool {
	store := r.cfg.Recorder.cfg.Store
	e, err := store.Get(ctx, JournalPrefix+owner)
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	var list journalRecord
	if err != nil || json.Unmarshal(e.Value, &list) != nil {
		return false
	}
	var wg sync.WaitGroup
	var left atomic.Int64
	for _, id := range list.Open {
		wg.Go(func() {
			if !r.adoptOrder(ctx, id, owner, a) {
				left.Add(1)
			}
		})
	}
	wg.Wait()
	if left.Load() > 0 {
		return false
	}
	_, err = store.Swap(ctx, storer.Write{Key: e.Key, Expect: e.Revision, Delete: true, ID: uuid.NewString()})
	return err == nil
}

// adoptOrder completes one order and reports whether it has ended.
func (r *Runner) adoptOrder(ctx context.Context, id, owner string, a *adoption) bool {
	o, err := r.cfg.Recorder.Get(ctx, id)
	if errors.Is(err, storer.ErrNotFound) {
		return r.refuseUnrecorded(ctx, id, owner, a)
	}
	if err != nil {
		return false
	}
	free := a.released.Load() && o.Owner == owner && o.State == StateAccepted
	if !o.HasEnded() && (free || r.isOwnerGone(o.Owner) || o.Owner == r.cfg.Recorder.cfg.Owner) {
		meter.AddToCounter(r.cfg.Registry, 1, "orders_adopted_total", "state", string(o.State))
		select {
		case <-r.resumeOrder(o).finishedCh:
		case <-ctx.Done():
		}
		o, err = r.cfg.Recorder.Get(ctx, id)
	}
	return err == nil && o.HasEnded()
}

// refuseUnrecorded records as refused an order that its owner has listed but not recorded.
// Otherwise a write that is still in progress could create the order after the journal is deleted,
// and no daemon would process it.
func (r *Runner) refuseUnrecorded(ctx context.Context, id, owner string, a *adoption) bool {
	if a.released.Load() && !r.isOwnerGone(owner) {
		return false
	}
	now := r.now()
	s, err := r.cfg.Recorder.newStep(Order{
		ID: id, State: StateAccepted, Owner: r.cfg.Recorder.cfg.Owner, Accepted: now,
	}, triggerRefuse, func(n *Order) { n.Reason = "the daemon that took the order was lost before it was recorded" })
	if err != nil {
		return false
	}
	_, err = r.applyStep(ctx, s)
	return err == nil
}

// resumeOrder continues an order that another daemon has left open.
func (r *Runner) resumeOrder(o Order) *job {
	j, fresh := r.joinJob(o.ID, o.Digest)
	if fresh {
		r.startJob(r.ctx, j, func(ctx context.Context) {
			if o.State == StateDispatched {
				r.resolveOutcome(ctx, j, o, errOwnerLost)
				return
			}
			j.setRecorded(o)
			r.processQueued(ctx, j, o)
		})
	}
	return j
}

var errOwnerLost = errors.New("the daemon that sent the order was lost")
