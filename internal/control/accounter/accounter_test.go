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

const width = 5 * time.Second

// duty is held until it is yielded.
type duty struct {
	fence   dutykeeper.Fence
	held    bool
	yielded int
}

func (d *duty) Fence(string) (dutykeeper.Fence, bool) { return d.fence, d.held }
func (d *duty) Yield(context.Context, string)         { d.held, d.yielded = false, d.yielded+1 }

// platform records the reports that it takes.
type platform struct {
	reports []Report
	err     error
}

func (p *platform) Report(_ context.Context, _ dutykeeper.Fence, r Report) error {
	if p.err != nil {
		return p.err
	}
	p.reports = append(p.reports, r)
	return nil
}

// counts returns what was reported of a window.
func (p *platform) counts(window int64) map[string]int {
	for _, r := range p.reports {
		if r.Window == window {
			return r.Counts
		}
	}
	return nil
}

// holder is one daemon with the duty.
type holder struct {
	*Accounter
	counter *Counter
	duty    *duty
	lines   *bytes.Buffer
}

func newHolder(store storer.Store, p *platform, number uint64) holder {
	d := &duty{fence: dutykeeper.Fence{Holder: "a", Number: number}, held: true}
	c, lines := NewCounter("a", int64(number), width), &bytes.Buffer{}
	return holder{New(Config{
		Duty: "platform", Late: 10 * time.Second, Keeper: d, Counter: c, Store: store, Reporter: p, Now: time.Now,
		Logger: log.NewLogfmtLogger(lines), Registry: metrics.NewRegistry(),
	}), c, d, lines}
}

// count counts n requests of an organisation in the window that begins now.
func count(c *Counter, org string, n int) {
	for range n {
		c.RecordStart(org, time.Now())
	}
}

// A second holder that knows other organisations reports what the first fixed.
func TestReportIsFixedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &platform{err: errors.New("no answer")}
		first, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		count(first.counter, "a", 3)
		count(second.counter, "a", 4)
		count(second.counter, "b", 1)
		time.Sleep(width + 2*time.Second)
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
		p := &platform{}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		for range 100 {
			h.Tick(t.Context())
			count(h.counter, "a", 1)
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

// A new holder says of old windows that they were missed where no holder before
// it reported them, whether it knows their counts or not, and of no others.
func TestMissedWindowsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &platform{}
		first, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		reported := first.counter.Window(time.Now())
		for range 2 {
			count(second.counter, "a", 1)
			time.Sleep(width)
		}
		time.Sleep(2*time.Second - width)
		first.Tick(t.Context())
		time.Sleep(15 * time.Second)
		restarted := newHolder(store, p, 3)
		for _, h := range []holder{second, restarted} {
			h.Tick(t.Context())
			for w, want := range map[int64]bool{reported: false, reported + 1: true} {
				line := fmt.Sprintf("msg=\"usage window missed\" window=%d ", w)
				if got := strings.Contains(h.lines.String(), line); got != want {
					t.Errorf("window %d: got it logged as missed: %t, want %t; lines %q", w, got, want, h.lines.String())
				}
			}
		}
	})
}

func TestFencedHolderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{err: dutykeeper.ErrFenced}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		count(h.counter, "a", 1)
		time.Sleep(2 * width)
		h.Tick(t.Context())
		h.Tick(t.Context())
		if h.duty.yielded != 1 {
			t.Errorf("got %d yields, want 1", h.duty.yielded)
		}
	})
}

func TestCountsOfRestartedDaemonAddUp(t *testing.T) {
	c := NewCounter("a", 1, width)
	c.Hear("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 2}}})
	c.Hear("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 5}}})
	c.Hear("b", 2, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 1}}})
	if got := c.Counts(7)["a"]; got != 6 {
		t.Errorf("got %d requests, want 6", got)
	}
}

// The pattern is the loss of all daemons at once in the middle of a window: the holder
// that starts afterwards reports what was counted before too.
func TestCountsOutlastAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &platform{}
		first := newHolder(store, p, 1)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		window := first.counter.Window(time.Now())
		sent := 0
		for range 20 {
			first.counter.Hear("b", 7, []sharer.Window{{Number: window, Counts: map[string]int{"o": sent + 2}}})
			count(first.counter, "o", 2)
			sent += 2
			first.Tick(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		second := newHolder(store, p, 2)
		for range 30 {
			second.Tick(t.Context())
			count(second.counter, "o", 1)
			time.Sleep(200 * time.Millisecond)
		}
		// Of the last save and what was counted after it at most a tenth is missing.
		truth := 2*sent + 15
		if got := p.counts(window)["o"]; got > truth || got < truth-truth/10 {
			t.Errorf("got %d requests, want about %d; reports %v", got, truth, p.reports)
		}
	})
}

// The pattern is a holder that starts again while the store was away, so that what it
// knew of daemons that ended is known by the others only.
func TestHolderAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, p := memorizer.New(memorizer.Config{Now: time.Now}), &platform{}
		other, second := newHolder(store, p, 1), newHolder(store, p, 2)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		window := other.counter.Window(time.Now())
		other.counter.Hear("b", 7, []sharer.Window{{Number: window, Counts: map[string]int{"o": 5}}})
		second.Accounter.cfg.Others = func(context.Context) [][]sharer.Report {
			return [][]sharer.Report{other.counter.Export(0)}
		}
		count(second.counter, "o", 1)
		time.Sleep(width + 2*time.Second)
		second.Tick(t.Context())
		if got, want := p.counts(window)["o"], 6; got != want {
			t.Errorf("got %d requests, want %d; reports %v", got, want, p.reports)
		}
	})
}

// The pattern is a store that is restored from a copy without a report that was sent: no
// other report of the window is sent, whoever has the duty by then.
func TestReportThatTheStoreForgot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{}
		first, second := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1), newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 2)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		window := first.counter.Window(time.Now())
		count(first.counter, "o", 3)
		count(second.counter, "o", 1)
		time.Sleep(width + 2*time.Second)
		first.Tick(t.Context())
		second.counter.SetFixed(first.counter.Fixed(), time.Now())
		second.Tick(t.Context())
		first.cfg.Store = second.cfg.Store
		first.sent = window - 1
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

// unread is a store that does not answer reads of some keys.
type unread struct {
	storer.Store
	keys []string
}

func (u *unread) Get(ctx context.Context, key string) (storer.Entry, error) {
	if slices.Contains(u.keys, key) {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return u.Store.Get(ctx, key)
}

// A holder that cannot read whether a report which was fixed is still there sends none of
// its own.
func TestReportThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{}
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), p, 1)
		time.Sleep(width - time.Duration(time.Now().UnixNano()%int64(width)))
		window := h.counter.Window(time.Now())
		count(h.counter, "o", 1)
		time.Sleep(width + 2*time.Second)
		h.counter.SetFixed(window, time.Now())
		h.cfg.Store = &unread{h.cfg.Store, []string{key(window)}}
		for range 40 {
			h.Tick(t.Context())
			time.Sleep(200 * time.Millisecond)
		}
		if got := p.counts(window); len(got) > 0 {
			t.Errorf("got a report of %v, want none", got)
		}
	})
}

// A holder whose store does not answer asks the others once a term.
func TestOthersAreAskedOnceATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder(memorizer.New(memorizer.Config{Now: time.Now}), &platform{}, 1)
		got := 0
		h.cfg.Others = func(context.Context) [][]sharer.Report { got++; return nil }
		h.cfg.Store = &unread{h.cfg.Store, []string{countsKey}}
		for range 5 {
			h.Tick(t.Context())
			time.Sleep(200 * time.Millisecond)
		}
		if want := 1; got != want {
			t.Errorf("got the others asked %d times, want %d", got, want)
		}
	})
}

// A window that is not over cannot be fixed, whatever a message says.
func TestFixedWindowsAreOver(t *testing.T) {
	c, now := NewCounter("a", 1, width), time.Unix(1000, 0)
	over := c.Window(now) - 1
	c.SetFixed(over, now)
	c.SetFixed(c.Window(now), now)
	c.SetFixed(1<<60, now)
	if got, want := c.Fixed(), over; got != want {
		t.Errorf("got window %d, want %d", got, want)
	}
}
