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
	tickPeriod = 500 * time.Millisecond
	// goneTime is how long a daemon has to be gone before its orders are taken
	// over: one that wakes up from a pause sees all others gone for a moment.
	goneTime = 1500 * time.Millisecond
	// strangerTime is the same for a daemon that gossip does not know: this
	// daemon may only just have started.
	strangerTime = 10 * time.Second
	// scanPeriod is the time between two listings of all journals, which one
	// daemon of the fleet makes.
	scanPeriod  = 5 * time.Second
	adoptPeriod = time.Second
	scanDuty    = "order scan"
)

// adoption is a journal that this daemon takes over.
type adoption struct {
	// released says that the owner lets go of the orders that it has not sent.
	released atomic.Bool
}

// Run takes over the orders of daemons that are gone, until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	scanned := r.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.drained:
			return nil
		case <-tick.C:
		}
		r.forget()
		r.adoptGone(ctx)
		if r.now().Sub(scanned) >= scanPeriod {
			scanned = r.now()
			r.scan(ctx)
		}
	}
}

// forget drops the keys that were taken long ago, and counts the open orders.
func (r *Runner) forget() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	metrics.GetOrRegisterGauge("orders_open", r.cfg.Registry).Update(int64(len(r.jobs)))
	for id, t := range r.recent {
		if now.Sub(t) > recentTime {
			delete(r.recent, id)
		}
	}
}

// adoptGone takes over the journals of known daemons that are gone and that
// this daemon is chosen for.
func (r *Runner) adoptGone(ctx context.Context) {
	for _, m := range r.cfg.View().Members {
		owner := OwnerName(m.Name, m.Boot)
		if m.State != viewer.StateGone {
			r.present(owner)
			continue
		}
		if r.dead(owner) && !r.wasAdopted(owner) && r.chosen(owner) == r.cfg.Name {
			r.adopt(ctx, owner, false)
		}
	}
}

// scan finds the journals of daemons that nobody remembers, and passes each to
// the daemon that is chosen for it.
func (r *Runner) scan(ctx context.Context) {
	if r.chosen(scanDuty) != r.cfg.Name {
		return
	}
	p, err := r.cfg.Recorder.cfg.Store.List(ctx, JournalPrefix)
	if err != nil {
		return
	}
	for _, e := range p.Entries {
		if owner := strings.TrimPrefix(e.Key, JournalPrefix); r.dead(owner) {
			r.passOn(ctx, owner)
		}
	}
}

// chosen returns the daemon that rendezvous hashing picks for a duty among
// those alive, so that all agree without a call.
func (r *Runner) chosen(duty string) string { return ranker.First(duty, r.takers()) }

// ranked returns the daemons alive in the order in which they are chosen for a
// duty.
func (r *Runner) ranked(duty string) []viewer.Member { return ranker.Rank(duty, r.takers()) }

// takers returns the members that can take over orders: all but this one if it
// is draining.
func (r *Runner) takers() []viewer.Member {
	members := r.cfg.View().Members
	if !r.draining() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m viewer.Member) bool { return m.Name == r.cfg.Name })
}

// dead reports whether an owner has been gone for long enough. A daemon that
// runs again under the same name is another owner.
func (r *Runner) dead(owner string) bool {
	if owner == r.cfg.Recorder.cfg.Owner {
		return false
	}
	grace := strangerTime
	daemon, _, _ := strings.Cut(owner, "/")
	for _, m := range r.cfg.View().Members {
		switch {
		case m.Name != daemon:
		case OwnerName(m.Name, m.Boot) != owner:
			grace = 0 // The daemon was started anew.
		case m.State == viewer.StateGone:
			grace = goneTime
		default:
			r.present(owner)
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.absent[owner]
	if !ok {
		since = r.now()
		r.absent[owner] = since
	}
	return r.now().Sub(since) >= grace
}

// present notes that an owner is there, maybe again.
func (r *Runner) present(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.absent, owner)
	delete(r.adopted, owner)
}

func (r *Runner) wasAdopted(owner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adopted[owner]
}

// adopt takes a journal's orders to their end, in the background.
func (r *Runner) adopt(ctx context.Context, owner string, released bool) {
	r.mu.Lock()
	a := r.adopting[owner]
	known := a != nil || r.adopted[owner] && !released
	if a == nil {
		a = &adoption{}
	}
	if released {
		a.released.Store(true)
	}
	if !known {
		r.adopting[owner] = a
	}
	r.mu.Unlock()
	if known {
		return
	}
	go func() {
		finished := false
		for !finished && ctx.Err() == nil && !r.draining() && (a.released.Load() || r.dead(owner)) {
			if finished = r.adoptOnce(ctx, owner, a); !finished {
				r.pause(ctx, adoptPeriod)
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.adopting, owner)
		r.adopted[owner] = finished && !a.released.Load()
	}()
}

// adoptOnce takes the orders that a journal lists at present to their end, and
// then deletes it. It reports whether nothing is left.
func (r *Runner) adoptOnce(ctx context.Context, owner string, a *adoption) bool {
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

// adoptOrder takes one order to its end and reports whether it has come there.
func (r *Runner) adoptOrder(ctx context.Context, id, owner string, a *adoption) bool {
	o, err := r.cfg.Recorder.Get(ctx, id)
	if errors.Is(err, storer.ErrNotFound) {
		return r.bar(ctx, id, owner, a)
	}
	if err != nil {
		return false
	}
	free := a.released.Load() && o.Owner == owner && o.State == StateAccepted
	if !o.Ended() && (free || r.dead(o.Owner) || o.Owner == r.cfg.Recorder.cfg.Owner) {
		meter.Count(r.cfg.Registry, 1, "orders_adopted_total", "state", string(o.State))
		select {
		case <-r.resume(o).over:
		case <-ctx.Done():
		}
		o, err = r.cfg.Recorder.Get(ctx, id)
	}
	return err == nil && o.Ended()
}

// bar records an order that its daemon has listed but not recorded, so that a
// write still under way cannot bring it to life unlisted.
func (r *Runner) bar(ctx context.Context, id, owner string, a *adoption) bool {
	if a.released.Load() && !r.dead(owner) {
		return false
	}
	now := r.now()
	s, err := r.cfg.Recorder.step(Order{
		ID: id, State: StateAccepted, Owner: r.cfg.Recorder.cfg.Owner, Accepted: now,
	}, triggerRefuse, func(n *Order) { n.Reason = "the daemon that took the order was lost before it was recorded" })
	if err != nil {
		return false
	}
	_, err = r.apply(ctx, s)
	return err == nil
}

// resume takes an order to its end that another daemon has left.
func (r *Runner) resume(o Order) *job {
	j, fresh := r.join(o.ID, o.Digest)
	if fresh {
		r.start(r.ctx, j, func(ctx context.Context) {
			if o.State == StateDispatched {
				r.learn(ctx, j, o, errOwnerLost)
				return
			}
			j.recorded(o)
			r.queue(ctx, j, o)
		})
	}
	return j
}

var errOwnerLost = errors.New("the daemon that sent the order was lost")
