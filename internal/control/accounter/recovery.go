package accounter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// countsKey is the key under which the holder of the duty saves the counts of windows
	// that are not reported yet.
	countsKey = Prefix + "counts"
	// savePeriod is the time between two saves of up to incarnationsPerSavePeriod
	// incarnations; with more of them the time grows in proportion.
	savePeriod                = 200 * time.Millisecond
	incarnationsPerSavePeriod = 16
	// savePause is the time between a failed save and the next one.
	savePause = time.Second
)

// lastSave describes the counts that the store holds under countsKey.
type lastSave struct {
	revision uint64
	savedAt  time.Time
	// requests is the sum of the saved counts.
	requests int
}

// beginTerm records a new term of the duty and merges the counts known to the other daemons:
// this daemon itself has received only what daemons reported since its own start.
func (a *Accounter) beginTerm(ctx context.Context, f dutykeeper.Fence) {
	if f == a.fence {
		return
	}
	a.fence, a.countsRestored, a.era = f, false, nil
	if a.cfg.PeerCounts == nil {
		return
	}
	for _, counts := range a.cfg.PeerCounts(ctx) {
		a.cfg.Counter.Merge(counts)
	}
}

// restoreCounts merges the counts that were saved before this term, once the store answers.
func (a *Accounter) restoreCounts(ctx context.Context) {
	if a.countsRestored {
		return
	}
	e, err := a.cfg.Store.Get(ctx, countsKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		a.log("msg", "read saved counts failed", "fence", a.fence.Token, "error", err)
		return
	}
	a.countsRestored = true
	n, err := a.mergeSaved(e)
	a.log("msg", "saved counts restored", "fence", a.fence.Token, "revision", e.Revision, "daemons", n, "error", err)
}

// mergeSaved merges the counts that the store holds, and returns the number of incarnations of
// daemons that they cover.
func (a *Accounter) mergeSaved(e storer.Entry) (int, error) {
	a.lastSave.revision = e.Revision
	if len(e.Value) == 0 {
		return 0, nil
	}
	var counts []sharer.Report
	if err := cbor.Unmarshal(e.Value, &counts); err != nil {
		return 0, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	a.cfg.Counter.Merge(counts)
	return len(counts), nil
}

// saveCounts writes the counts of windows that are not reported yet to the store, so that they
// survive the loss of all daemons.
func (a *Accounter) saveCounts(ctx context.Context, now time.Time) {
	counts := a.cfg.Counter.Export(a.lastDone)
	requests := countRequests(counts)
	period := savePeriod * time.Duration(1+len(counts)/incarnationsPerSavePeriod)
	if !a.countsRestored || requests == a.lastSave.requests || now.Sub(a.lastSave.savedAt) < period {
		return
	}
	b, err := cbor.Marshal(counts)
	if err != nil {
		a.log("msg", "encode of counts failed", "error", err)
		return
	}
	e, err := a.cfg.Store.Swap(ctx, storer.Write{Key: countsKey, Value: b, Expect: a.lastSave.revision})
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another holder saved counts in the meantime.
		_, err = a.mergeSaved(conflict.Current)
		a.isCurrentEra(conflict.Current.Revision)
	case err == nil:
		a.lastSave = lastSave{e.Revision, now, requests}
		a.isCurrentEra(e.Revision)
		return
	}
	a.lastSave.savedAt = now.Add(savePause - period)
	meter.AddToCounter(a.cfg.Registry, 1, "usage_save_failures_total")
	a.log("msg", "save of counts failed", "revision", a.lastSave.revision, "error", err)
}

func countRequests(counts []sharer.Report) int {
	n := 0
	for _, r := range counts {
		for _, w := range r.Windows {
			for _, v := range w.Counts {
				n += v
			}
		}
	}
	return n
}
