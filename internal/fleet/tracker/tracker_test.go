package tracker

import (
	"testing"
	"time"

	"github.com/go-kit/log"
)

// clock is a time that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTracker() (*Tracker, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(Config{Logger: log.NewNopLogger(), Now: c.now}), c
}

func announced(id string, born int64, leaving bool) Change {
	return Change{ID: id, Revision: 1, Valid: true, Endpoint: Endpoint{ID: id, Born: born, Service: "s", Address: "a:1", Leaving: leaving}}
}

func (t *Tracker) taken() int { return len(t.Load().Services["s"]) }

func TestLeavingIsNeverTakenBack(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{announced("a", 1, true)}, time.Time{})
	tr.Apply([]Change{announced("a", 1, false)}, time.Time{})
	if got := tr.taken(); got != 0 {
		t.Errorf("got %d endpoints that take work, want none", got)
	}
	tr.Apply([]Change{announced("a", 2, false)}, time.Time{})
	if got := tr.taken(); got != 1 {
		t.Errorf("got %d endpoints after a new start, want 1", got)
	}
}

func TestUnreadableEntryNamesNothing(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{announced("a", 1, false), announced("b", 1, false)}, time.Time{})
	tr.Apply([]Change{{ID: "a", Revision: 2}}, time.Time{})
	if got := tr.taken(); got != 1 {
		t.Errorf("got %d endpoints, want the other one", got)
	}
}

func TestEntriesThatLapse(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost is how long before its entry vanished the store was lost.
		lost time.Duration
		// kept is how long after that the endpoint must still take work.
		kept time.Duration
	}{
		{"while the store was calm", time.Hour, 0},
		{"long after the store's return", 3400 * time.Millisecond, 0},
		{"just at the store's return", 0, returnTime},
		{"soon after the store's return", 500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr, c := newTracker()
			tr.Apply([]Change{announced("a", 1, false)}, time.Time{})
			tr.Apply([]Change{{ID: "a", Revision: 2, Gone: true}}, c.at.Add(-tc.lost))
			start := c.at
			for _, age := range []time.Duration{0, tc.kept - 1, tc.kept, tc.kept + time.Millisecond} {
				if age < 0 {
					continue
				}
				c.at = start.Add(age)
				tr.Tick()
				want := 0
				if age < tc.kept {
					want = 1
				}
				if got := tr.taken(); got != want {
					t.Errorf("after %s: got %d endpoints, want %d", age, got, want)
				}
			}
		})
	}
}

func TestLapsedEntryThatComesBackStays(t *testing.T) {
	tr, c := newTracker()
	tr.Apply([]Change{announced("a", 1, false)}, time.Time{})
	tr.Apply([]Change{{ID: "a", Revision: 2, Gone: true}}, c.at)
	tr.Apply([]Change{announced("a", 1, false)}, c.at)
	c.at = c.at.Add(time.Hour)
	tr.Tick()
	if got := tr.taken(); got != 1 {
		t.Errorf("got %d endpoints, want 1", got)
	}
}

func TestAnswerThatSaysLeaving(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{announced("a", 1, false)}, time.Time{})
	tr.MarkLeaving("a", 2, "another start")
	if got := tr.taken(); got != 1 {
		t.Errorf("got %d endpoints, want 1, since another start leaves", got)
	}
	tr.MarkLeaving("a", 1, "its answer")
	if got := tr.taken(); got != 0 {
		t.Errorf("got %d endpoints, want none", got)
	}
}
