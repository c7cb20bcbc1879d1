package accounter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// Prefix starts the keys of reports in the store.
	Prefix = "usage/"
	// countArrivalDelay is how long after the end of a window other daemons may still send
	// its counts.
	countArrivalDelay = 1500 * time.Millisecond
	// reportRetryPeriod is the time between two attempts to send one report.
	reportRetryPeriod = 700 * time.Millisecond
	// recoveryMargin is how long before the deadline of a report the holder of the duty sends
	// it even if it could not read the counts that earlier holders saved.
	recoveryMargin = 3 * time.Second
	// reportRetentionWindows is the number of windows after which a report is deleted from
	// the store.
	reportRetentionWindows = 12
)

// Report holds the number of requests of each organisation in one window.
type Report struct {
	Window int64          `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Reporter sends reports to the platform.
type Reporter interface {
	// Report sends a report. It returns an error that wraps dutykeeper.ErrFenced if the
	// platform has accepted a call of a later holder of the duty.
	Report(ctx context.Context, f dutykeeper.Fence, r Report) error
}

// Config configures an Accounter.
type Config struct {
	DutyName string
	// ReportDeadline is how long after the end of a window its report may be sent.
	ReportDeadline time.Duration
	Keeper         dutykeeper.FenceProvider
	Counter        *Counter
	Store          storer.Store
	Reporter       Reporter
	// PeerCounts asks the other daemons for the counts of all daemons and returns one result for
	// each that answers; it may be nil.
	PeerCounts func(ctx context.Context) [][]sharer.Report
	// Now returns the wall clock time, corrected by the estimated clock offset.
	Now func() time.Time
	// Policies decide whether counts are saved in the store (switcher.Save).
	Policies switcher.Policies
	Logger   log.Logger
	Registry metrics.Registry
}

// Accounter reports the usage of past windows to the platform while this daemon holds the
// duty Config.DutyName.
type Accounter struct {
	cfg Config
	// lastDone is the latest window up to which every window is reported or given up.
	lastDone int64
	triedAt  map[int64]time.Time
	// fence identifies the latest term in which this daemon holds the duty. countsRestored
	// is set once the counts that were saved before that term are merged.
	fence          dutykeeper.Fence
	countsRestored bool
	// finalReports caches the final reports that this daemon wrote to or read from the store.
	finalReports map[int64]Report
	// era is the record of the store's era; nil until it was read in this term.
	era      *eraRecord
	lastSave lastSave
}

// New returns an accounter.
func New(cfg Config) *Accounter {
	return &Accounter{cfg: cfg, triedAt: make(map[int64]time.Time), finalReports: make(map[int64]Report)}
}

// Tick reports the windows that are due and saves the counts of the others.
func (a *Accounter) Tick(ctx context.Context) {
	now := a.cfg.Now()
	a.cfg.Counter.DropExpired(now)
	f, ok := a.cfg.Keeper.Fence(a.cfg.DutyName)
	if !ok {
		return
	}
	a.beginTerm(ctx, f)
	if _, err := a.checkEra(ctx); err != nil {
		a.log("msg", "check of the store's era failed", "fence", f.Token, "error", err)
	}
	a.restoreCounts(ctx)
	a.reportClosedWindows(ctx, f, now)
	if a.cfg.Policies.IsOn(switcher.Save) {
		a.saveCounts(ctx, now)
	}
}

// reportClosedWindows reports the windows that have ended. It leaves out those whose counts
// may still arrive and those that were tried a moment ago.
func (a *Accounter) reportClosedWindows(ctx context.Context, f dutykeeper.Fence, now time.Time) {
	c := a.cfg.Counter
	current := c.Window(now)
	for w := max(a.lastDone+1, current-retainedWindows); w < current; w++ {
		age := now.Sub(c.End(w))
		if age < countArrivalDelay || now.Sub(a.triedAt[w]) < reportRetryPeriod {
			continue
		}
		if !a.countsRestored && age < a.cfg.ReportDeadline-recoveryMargin {
			continue
		}
		if age > a.cfg.ReportDeadline {
			a.logMissed(ctx, w, age)
			a.markDone(w)
			continue
		}
		a.triedAt[w] = now
		err := a.reportWindow(ctx, f, w)
		if errors.Is(err, errReportLost) || errors.Is(err, errFormerEra) {
			a.log("msg", "no final usage report of the window", "window", w, "outcome", "no report sent", "error", err)
			a.markDone(w)
			continue
		}
		if err != nil {
			meter.AddToCounter(a.cfg.Registry, 1, "usage_report_failures_total")
			a.log("msg", "usage report failed", "window", w, "fence", f.Token, "error", err)
			if errors.Is(err, dutykeeper.ErrFenced) {
				a.cfg.Keeper.YieldDuty(ctx, a.cfg.DutyName)
				return
			}
			if errors.Is(err, errNotFinal) {
				// finalize treats every window up to the latest final one as final, so the
				// reports must become final in order and later ones wait.
				return
			}
			continue
		}
		a.markDone(w)
	}
}

// logMissed logs a window whose deadline has passed without a report, unless the store holds
// a final report of an earlier holder of the duty.
func (a *Accounter) logMissed(ctx context.Context, w int64, late time.Duration) {
	if _, err := a.cfg.Store.Get(ctx, reportKey(w)); err != nil {
		a.log("msg", "usage window missed", "window", w, "late", late, "organisations", len(a.cfg.Counter.Counts(w)), "error", err)
	}
}

// markDone records that a window is reported or given up. It advances lastDone if the window
// is the next one or if all between the two are too old to be reported.
func (a *Accounter) markDone(w int64) {
	delete(a.triedAt, w)
	if w == a.lastDone+1 || a.lastDone < w-retainedWindows {
		a.lastDone = w
	}
}

// reportWindow makes the report of a window final in the store and sends it.
func (a *Accounter) reportWindow(ctx context.Context, f dutykeeper.Fence, w int64) error {
	r, err := a.finalize(ctx, w)
	if err != nil {
		return err
	}
	// Another daemon may have acquired the duty during the calls to the store.
	if current, ok := a.cfg.Keeper.Fence(a.cfg.DutyName); !ok || current != f {
		return errors.New("this daemon no longer holds the duty of reporting")
	}
	if err := a.cfg.Reporter.Report(ctx, f, r); err != nil {
		return fmt.Errorf("report window %d: %w", w, err)
	}
	meter.AddToCounter(a.cfg.Registry, 1, "usage_reports_total")
	total := 0
	for _, n := range r.Counts {
		total += n
	}
	a.log("msg", "usage reported", "window", w, "fence", f.Token, "organisations", len(r.Counts), "requests", total)
	return nil
}

// errReportLost means that another daemon made a report final and may have sent it, but the
// store was restored from a copy without it. A new report might differ, so none is sent.
var errReportLost = errors.New("final report is no longer in the store")

// errNotFinal means that the final report of a window could not be read or written.
var errNotFinal = errors.New("read or write the final report")

// finalize returns the final report of a window. If no daemon has written one yet, it writes
// the counts known here as the final report. A report that this daemon does not remember counts as final
// only if the store holds it in an era in which the window can have no other one.
func (a *Accounter) finalize(ctx context.Context, w int64) (Report, error) {
	if r, ok := a.finalReports[w]; ok {
		return r, nil
	}
	r, err := a.finalizeInStore(ctx, w)
	if err != nil {
		return r, fmt.Errorf("window %d: %w", w, err)
	}
	a.finalReports[w] = r
	delete(a.finalReports, w-reportRetentionWindows)
	a.cfg.Counter.RecordFinalWindow(w, a.cfg.Now())
	return r, nil
}

// finalizeInStore reads the final report of a window from the store, or writes it there.
func (a *Accounter) finalizeInStore(ctx context.Context, w int64) (Report, error) {
	era, err := a.checkEra(ctx)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", errNotFinal, err)
	}
	if w <= era.LastEnded {
		return Report{}, errFormerEra
	}
	readOrCreate := a.createFinal
	if w <= a.cfg.Counter.FinalWindow() {
		readOrCreate = a.readFinal
	}
	e, err := readOrCreate(ctx, w)
	if err != nil {
		return Report{}, err
	}
	if !a.isCurrentEra(e.Revision) {
		return Report{}, fmt.Errorf("%w: %w", errNotFinal, errStoreRestored)
	}
	return decodeReport(e)
}

// readFinal reads the final report that another daemon wrote for a window.
func (a *Accounter) readFinal(ctx context.Context, w int64) (storer.Entry, error) {
	e, err := a.cfg.Store.Get(ctx, reportKey(w))
	if errors.Is(err, storer.ErrNotFound) {
		return e, errReportLost
	}
	if err != nil {
		return e, fmt.Errorf("%w: %w", errNotFinal, err)
	}
	return e, nil
}

// createFinal writes the final report of a window by compare-and-swap. If the store holds one
// already, it returns that one.
func (a *Accounter) createFinal(ctx context.Context, w int64) (storer.Entry, error) {
	b, err := json.Marshal(Report{Window: w, Counts: a.cfg.Counter.Counts(w)})
	if err != nil {
		return storer.Entry{}, err
	}
	e, err := a.cfg.Store.Swap(ctx, storer.Write{Key: reportKey(w), Value: b})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && len(conflict.Current.Value) > 0 {
		return conflict.Current, nil
	}
	if err != nil {
		return e, fmt.Errorf("%w: %w", errNotFinal, err)
	}
	a.deleteExpired(ctx, w)
	return e, nil
}

func decodeReport(e storer.Entry) (Report, error) {
	var r Report
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, nil
}

// deleteExpired deletes the report that is reportRetentionWindows older than window w, so that
// reports do not fill up the store.
func (a *Accounter) deleteExpired(ctx context.Context, w int64) {
	e, err := a.cfg.Store.Get(ctx, reportKey(w-reportRetentionWindows))
	if errors.Is(err, storer.ErrNotFound) {
		return
	}
	if err == nil {
		_, err = a.cfg.Store.Swap(ctx, storer.Write{Key: e.Key, Expect: e.Revision, Delete: true})
	}
	if err != nil {
		a.log("msg", "delete of an expired usage report failed", "window", w-reportRetentionWindows, "error", err)
	}
}

func reportKey(w int64) string { return Prefix + strconv.FormatInt(w, 10) }

func (a *Accounter) log(fields ...any) { logger.Info(a.cfg.Logger, fields...) }
