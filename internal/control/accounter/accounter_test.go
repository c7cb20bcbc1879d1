package accounter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

const windowWidth = 5 * time.Second

// fakeDuty is a dutykeeper.FenceProvider that holds its duty until YieldDuty is called.
type fakeDuty struct {
	fence   dutykeeper.Fence
	held    bool
	yielded int
}

func (d *fakeDuty) Fence(string) (dutykeeper.Fence, bool) { return d.fence, d.held }
func (d *fakeDuty) YieldDuty(context.Context, string)     { d.held, d.yielded = false, d.yielded+1 }

// fakePlatform records the reports sent to it, or refuses them with err.
type fakePlatform struct {
	reports []Report
	err     error
}

func (p *fakePlatform) Report(_ context.Context, _ dutykeeper.Fence, r Report) error {
	if p.err != nil {
		return p.err
	}
	p.reports = append(p.reports, r)
	return nil
}

// counts returns the counts of the first report of a window, or nil.
func (p *fakePlatform) counts(window int64) map[string]int {
	for _, r := range p.reports {
		if r.Window == window {
			return r.Counts
		}
	}
	return nil
}

// testHolder is a daemon that holds the duty, with its log lines.
type testHolder struct {
	*Accounter
	counter  *Counter
	fakeDuty *fakeDuty
	lines    *bytes.Buffer
}

func newHolder(store storer.Store, p *fakePlatform, number uint64) testHolder {
	d := &fakeDuty{fence: dutykeeper.Fence{Holder: "a", Token: number}, held: true}
	c, lines := NewCounter("a", int64(number), windowWidth), &bytes.Buffer{}
	return testHolder{New(Config{
		DutyName: "platform", ReportDeadline: 10 * time.Second, Keeper: d, Counter: c, Store: store, Reporter: p, Now: time.Now,
		Logger: log.NewLogfmtLogger(lines), Registry: metrics.NewRegistry(),
	}), c, d, lines}
}

// countRequestsNow counts n requests of an organisation in the current window.
func countRequestsNow(c *Counter, org string, n int) {
	for range n {
		c.RecordStart(org, time.Now())
	}
}

// A second holder with other counts sends the report that the first one made final.
func TestReportIsFixedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{err: errors.New("no answer")}
		first, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		countRequestsNow(first.counter, "a", 3)
		countRequestsNow(second.counter, "a", 4)
		countRequestsNow(second.counter, "b", 1)
		time.Sleep(windowWidth + 2*time.Second)
		first.Tick(t.Context())
		p.err = nil
		second.Tick(t.Context())
		want := map[string]int{"a": 3}
		if len(p.reports) == 0 || !maps.Equal(p.reports[len(p.reports)-1].Counts, want) {
			t.Errorf("got reports %v, want counts %v", p.reports, want)
		}
	})
}

func TestReportsEachWindowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		for range 100 {
			h.Tick(t.Context())
			countRequestsNow(h.counter, "a", 1)
			time.Sleep(200 * time.Millisecond)
		}
		seen := make(map[int64]bool)
		for _, r := range p.reports {
			if seen[r.Window] {
				t.Errorf("window %d was reported twice", r.Window)
			}
			seen[r.Window] = true
		}
		if len(seen) < 3 {
			t.Errorf("got %d windows, want those of 20 s", len(seen))
		}
	})
}

// A new holder logs an old window as missed exactly if no earlier holder reported it, whether or
// not it knows the counts.
func TestMissedWindowsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		first, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		reported := first.counter.Window(time.Now())
		for range 2 {
			countRequestsNow(second.counter, "a", 1)
			time.Sleep(windowWidth)
		}
		time.Sleep(2*time.Second - windowWidth)
		first.Tick(t.Context())
		time.Sleep(15 * time.Second)
		restarted := newHolder(store, p, 3)
		for _, h := range []testHolder{second, restarted} {
			h.Tick(t.Context())
			for w, want := range map[int64]bool{reported: false, reported + 1: true} {
				line := fmt.Sprintf("msg=\"usage window missed\" window=%d ", w)
				if got := strings.Contains(h.lines.String(), line); got != want {
					t.Errorf("window %d: got logged as missed %t, want %t; lines %q", w, got, want, h.lines.String())
				}
			}
		}
	})
}

func TestFencedHolderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{err: dutykeeper.ErrFenced}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		countRequestsNow(h.counter, "a", 1)
		time.Sleep(2 * windowWidth)
		h.Tick(t.Context())
		h.Tick(t.Context())
		if h.fakeDuty.yielded != 1 {
			t.Errorf("got %d yields, want 1", h.fakeDuty.yielded)
		}
	})
}

func TestCountsOfRestartedDaemonAddUp(t *testing.T) {
	c := NewCounter("a", 1, windowWidth)
	c.RecordPeerCounts("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 2}}})
	c.RecordPeerCounts("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 5}}})
	c.RecordPeerCounts("b", 2, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 1}}})
	if got := c.Counts(7)["a"]; got != 6 {
		t.Errorf("got %d requests, want 6", got)
	}
}

// All daemons fail at once in the middle of a window. The holder that starts afterwards must
// also report the requests counted before.
func TestCountsOutlastAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		first := newHolder(store, p, 1)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		window := first.counter.Window(time.Now())
		sent := 0
		for range 20 {
			first.counter.RecordPeerCounts("b", 7, []sharer.Window{{Number: window, Counts: map[string]int{"o": sent + 2}}})
			countRequestsNow(first.counter, "o", 2)
			sent += 2
			first.Tick(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		second := newHolder(store, p, 2)
		for range 30 {
			second.Tick(t.Context())
			countRequestsNow(second.counter, "o", 1)
			time.Sleep(200 * time.Millisecond)
		}
		// Requests counted after the last save are lost: at most a tenth.
		truth := 2*sent + 15
		if got := p.counts(window)["o"]; got > truth || got < truth-truth/10 {
			t.Errorf("got %d requests, want about %d; reports %v", got, truth, p.reports)
		}
	})
}

// A holder restarts while the store is unreachable, so that only other daemons know the counts
// of daemons that have ended. It must ask them.
func TestHolderAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}
		other, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		window := other.counter.Window(time.Now())
		other.counter.RecordPeerCounts("b", 7, []sharer.Window{{Number: window, Counts: map[string]int{"o": 5}}})
		second.Accounter.cfg.PeerCounts = func(context.Context) [][]sharer.Report {
			return [][]sharer.Report{other.counter.Export(0)}
		}
		countRequestsNow(second.counter, "o", 1)
		time.Sleep(windowWidth + 2*time.Second)
		second.Tick(t.Context())
		if got, want := p.counts(window)["o"], 6; got != want {
			t.Errorf("got %d requests, want %d; reports %v", got, want, p.reports)
		}
	})
}

// The store is restored from a copy without a report that was already sent. No holder of the
// duty may send a different report of that window.
func TestReportThatTheStoreForgot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		first, second := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1), newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 2)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		window := first.counter.Window(time.Now())
		countRequestsNow(first.counter, "o", 3)
		countRequestsNow(second.counter, "o", 1)
		time.Sleep(windowWidth + 2*time.Second)
		first.Tick(t.Context())
		second.counter.RecordFinalWindow(first.counter.FinalWindow(), time.Now())
		second.Tick(t.Context())
		first.cfg.Store = second.cfg.Store
		first.lastDone = window - 1
		first.Tick(t.Context())
		if got, want := p.counts(window)["o"], 3; got != want {
			t.Errorf("got a report of %d requests, want %d", got, want)
		}
		for _, r := range p.reports {
			if r.Window == window && r.Counts["o"] != 3 {
				t.Errorf("got report %v, want none but that of 3 requests", r)
			}
		}
	})
}

// unreadableStore fails all reads of the given keys.
type unreadableStore struct {
	storer.Store
	keys []string
}

func (u *unreadableStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if slices.Contains(u.keys, key) {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return u.Store.Get(ctx, key)
}

// A holder that knows a report to be final but cannot read it from the store sends no report of
// its own.
func TestReportThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		time.Sleep(windowWidth - time.Duration(time.Now().UnixNano()%int64(windowWidth)))
		window := h.counter.Window(time.Now())
		countRequestsNow(h.counter, "o", 1)
		time.Sleep(windowWidth + 2*time.Second)
		h.counter.RecordFinalWindow(window, time.Now())
		h.cfg.Store = &unreadableStore{h.cfg.Store, []string{reportKey(window)}}
		for range 40 {
			h.Tick(t.Context())
			time.Sleep(200 * time.Millisecond)
		}
		if got := p.counts(window); len(got) > 0 {
			t.Errorf("got a report of %v, want none", got)
		}
	})
}

// A holder whose store does not answer asks the other daemons for counts only once in a term.
func TestOthersAreAskedOnceATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), &fakePlatform{}, 1)
		got := 0
		h.cfg.PeerCounts = func(context.Context) [][]sharer.Report { got++; return nil }
		h.cfg.Store = &unreadableStore{h.cfg.Store, []string{countsKey}}
		for range 5 {
			h.Tick(t.Context())
			time.Sleep(200 * time.Millisecond)
		}
		if want := 1; got != want {
			t.Errorf("got %d queries of the other daemons, want %d", got, want)
		}
	})
}

// RecordFinalWindow ignores windows that have not ended, which only an invalid message can name.
func TestFixedWindowsAreOver(t *testing.T) {
	c, now := NewCounter("a", 1, windowWidth), time.Unix(1000, 0)
	over := c.Window(now) - 1
	c.RecordFinalWindow(over, now)
	c.RecordFinalWindow(c.Window(now), now)
	c.RecordFinalWindow(1<<60, now)
	if got, want := c.FinalWindow(), over; got != want {
		t.Errorf("got window %d, want %d", got, want)
	}
}
