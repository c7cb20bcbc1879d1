package accounter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

// wantOneReportEach checks that no window was reported with two different counts.
func (p *fakePlatform) wantOneReportEach(t *testing.T) {
	t.Helper()
	first := make(map[int64]map[string]int)
	for _, r := range p.reports {
		if old, ok := first[r.Window]; ok && !maps.Equal(old, r.Counts) {
			t.Errorf("window %d: got reports of %v and %v, want one", r.Window, old, r.Counts)
		} else if !ok {
			first[r.Window] = r.Counts
		}
	}
}

// awaitNextWindow waits until the next window begins.
func awaitNextWindow() {
	time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
}

// tickFor counts a request and ticks, each 200 ms, for a time.
func (h testHolder) tickFor(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		countRequestsNow(h.counter, "o", 1)
		h.Tick(ctx)
	}
}

// All daemons die just after a report, and the store returns from a copy that lacks its final entry and the
// last counts. Daemons that remember nothing must not report that window again, and must report the next.
func TestReportBeforeTheLossOfAllAndARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		first := newHolder(store, p, 1)
		awaitNextWindow()
		reported := first.counter.Window(time.Now())
		first.tickFor(t.Context(), windowWidth-500*time.Millisecond)
		lost := store.Backup()
		first.tickFor(t.Context(), 2500*time.Millisecond)
		if len(p.counts(reported)) == 0 {
			t.Fatal("the window was not reported")
		}
		store.Restore(lost)
		second := newHolder(store, p, 2)
		second.tickFor(t.Context(), 2*windowWidth)
		p.wantOneReportEach(t)
		if got := p.counts(reported + 1)["o"]; got == 0 {
			t.Errorf("got no report of the window after the restore, want one; reports %v", p.reports)
		}
	})
}

// All daemons restart, and the store was not restored. A window that ended meanwhile is still reported.
func TestWindowThatEndedWhileAllRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		store.Restore(store.Backup())
		awaitNextWindow()
		first := newHolder(store, p, 1)
		window := first.counter.Window(time.Now()) + 1
		first.tickFor(t.Context(), 2*windowWidth-time.Second)
		time.Sleep(3 * time.Second)
		newHolder(store, p, 2).tickFor(t.Context(), time.Second)
		if got, least := p.counts(window)["o"], 18; got < least {
			t.Errorf("got a report of %d requests, want %d or more; reports %v", got, least, p.reports)
		}
	})
}

// The store is restored while the write of a final report is on its way. The write takes effect in the new
// era, in which a report that another holder sent before is forgotten.
func TestRestoreWhileAReportBecomesFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		first, second := newHolder(store, p, 1), newHolder(store, p, 2)
		awaitNextWindow()
		window := first.counter.Window(time.Now())
		countRequestsNow(first.counter, "o", 3)
		countRequestsNow(second.counter, "o", 1)
		time.Sleep(windowWidth + time.Second)
		second.Tick(t.Context())
		lost := store.Backup()
		time.Sleep(time.Second)
		first.Tick(t.Context())
		store.BeforeSwap(func(w storer.Write) {
			if w.Key == reportKey(window) {
				store.BeforeSwap(nil)
				store.Restore(lost)
			}
		})
		second.tickFor(t.Context(), 2*windowWidth)
		p.wantOneReportEach(t)
		if got, want := p.counts(window)["o"], 4; got != want {
			t.Errorf("got a report of %d requests, want %d", got, want)
		}
		if got := p.counts(window + 1)["o"]; got == 0 {
			t.Errorf("got no report of the next window, want one; reports %v", p.reports)
		}
	})
}

// A record of an era that names a former one counts as none, as after two restores from one copy.
func TestTwoRestoresFromOneCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		awaitNextWindow()
		lost := store.Backup()
		for n := range uint64(3) {
			newHolder(store, p, n+1).tickFor(t.Context(), 2*windowWidth+2*time.Second)
			store.Restore(lost)
		}
		newHolder(store, p, 9).tickFor(t.Context(), 2*windowWidth+2*time.Second)
		p.wantOneReportEach(t)
		e, err := store.Get(t.Context(), eraKey)
		if err != nil {
			t.Fatal(err)
		}
		var got eraRecord
		if err := json.Unmarshal(e.Value, &got); err != nil || got.Era != 3 {
			t.Errorf("got record %+v with error %v, want era 3", got, err)
		}
	})
}

// flakyPlatform loses some calls, and the answers of some that it carries out.
type flakyPlatform struct {
	fakePlatform
	r *rand.Rand
}

func (p *flakyPlatform) Report(ctx context.Context, f dutykeeper.Fence, r Report) error {
	lost := errors.New("no answer")
	switch p.r.IntN(4) {
	case 0:
		return lost
	case 1:
		return errors.Join(lost, p.fakePlatform.Report(ctx, f, r))
	}
	return p.fakePlatform.Report(ctx, f, r)
}

// Daemons are replaced, take the duty from one another, and act beside one another, while the store is
// restored from copies of up to 3 s ago. They hear nothing of one another. No window may get two reports.
func TestNoTwoReportsAcrossRestores(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRestores(t, rand.New(rand.NewPCG(seed, 41))) })
		})
	}
}

func playRestores(t *testing.T, r *rand.Rand) {
	store, p := memorizer.New(memorizer.Config{Now: time.Now}), &flakyPlatform{r: r}
	holders, number := make([]testHolder, 3), uint64(0)
	replace := func(n int) {
		number++
		h := newHolder(store, &p.fakePlatform, number)
		h.Accounter.cfg.Reporter = p
		h.fakeDuty.held = r.IntN(2) == 0
		holders[n] = h
	}
	for n := range holders {
		replace(n)
	}
	copied := store.Backup()
	for range 400 {
		for _, h := range holders {
			countRequestsNow(h.counter, "o", r.IntN(3))
			h.Tick(t.Context())
		}
		n := r.IntN(len(holders))
		switch r.IntN(30) {
		case 0:
			replace(n)
		case 1, 2:
			number++
			holders[n].fakeDuty.held = !holders[n].fakeDuty.held
			holders[n].fakeDuty.fence.Token = number
		case 3:
			store.Restore(copied)
		case 4, 5:
			copied = store.Backup()
		case 6:
			store.LoseAnswers(1 + r.IntN(2))
		case 7:
			store.BeforeSwap(func(storer.Write) { store.BeforeSwap(nil); store.Restore(copied) })
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
	p.wantOneReportEach(t)
	store.BeforeSwap(nil)
	last := newHolder(store, &p.fakePlatform, number+1)
	last.tickFor(t.Context(), 3*windowWidth)
	p.wantOneReportEach(t)
	// The report of the window before may not be due yet.
	if got := p.counts(last.counter.Window(time.Now()) - 2); len(got) == 0 {
		t.Errorf("got no report of a window after the last restore, want one")
	}
}
