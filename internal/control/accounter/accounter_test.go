package accounter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
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

// holder is one daemon with the duty.
type holder struct {
	*Accounter
	counter *Counter
	duty    *duty
	lines   *bytes.Buffer
}

func newHolder(store storer.Store, p *platform, number uint64) holder {
	d := &duty{fence: dutykeeper.Fence{Holder: "a", Number: number}, held: true}
	c, lines := NewCounter(width), &bytes.Buffer{}
	return holder{New(Config{
		Duty: "platform", Late: 10 * time.Second, Keeper: d, Counter: c, Store: store, Reporter: p, Now: time.Now,
		Logger: log.NewLogfmtLogger(lines), Registry: metrics.NewRegistry(),
	}), c, d, lines}
}

// count counts n requests of an organisation in the window that begins now.
func count(c *Counter, org string, n int) {
	for range n {
		c.Began(org, time.Now())
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
	c := NewCounter(width)
	c.Hear("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 2}}})
	c.Hear("b", 1, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 5}}})
	c.Hear("b", 2, []sharer.Window{{Number: 7, Counts: map[string]int{"a": 1}}})
	if got := c.Counts(7)["a"]; got != 6 {
		t.Errorf("got %d requests, want 6", got)
	}
}
