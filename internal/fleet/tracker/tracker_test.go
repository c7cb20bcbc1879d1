package tracker

import (
	"testing"
	"time"

	"github.com/go-kit/log"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTracker() (*Tracker, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(Config{Logger: log.NewNopLogger(), Now: c.now}), c
}

func newAnnouncement(id string, born int64, leaving bool) Change {
	return Change{ID: id, Revision: 1, Valid: true, Endpoint: Endpoint{ID: id, Born: born, Service: "s", Address: "a:1", Leaving: leaving}}
}

func (t *Tracker) acceptingCount() int { return len(t.Load().Services["s"]) }

func TestLeavingIsNeverReverted(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{newAnnouncement("a", 1, true)}, time.Time{})
	tr.Apply([]Change{newAnnouncement("a", 1, false)}, time.Time{})
	if got := tr.acceptingCount(); got != 0 {
		t.Errorf("got %d endpoints that accept requests, want none", got)
	}
	tr.Apply([]Change{newAnnouncement("a", 2, false)}, time.Time{})
	if got := tr.acceptingCount(); got != 1 {
		t.Errorf("got %d endpoints after a restart, want 1", got)
	}
}

func TestUndecodableEntryRemovesEndpoint(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{newAnnouncement("a", 1, false), newAnnouncement("b", 1, false)}, time.Time{})
	tr.Apply([]Change{{ID: "a", Revision: 2}}, time.Time{})
	if got := tr.acceptingCount(); got != 1 {
		t.Errorf("got %d endpoints, want 1, the other one", got)
	}
}

func TestLapsedEntries(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost is how long before the entry expired the store was last unreachable.
		lost time.Duration
		// kept is how long after the expiry the endpoint must still accept requests.
		kept time.Duration
	}{
		{"without a store outage", time.Hour, 0},
		{"long after a store outage", 3400 * time.Millisecond, 0},
		{"at the end of a store outage", 0, reannounceTimeout},
		{"soon after a store outage", 500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr, c := newTracker()
			tr.Apply([]Change{newAnnouncement("a", 1, false)}, time.Time{})
			tr.Apply([]Change{{ID: "a", Revision: 2, Gone: true}}, c.at.Add(-tc.lost))
			start := c.at
			for _, age := range []time.Duration{0, tc.kept - 1, tc.kept, tc.kept + time.Millisecond} {
				if age < 0 {
					continue
				}
				c.at = start.Add(age)
				tr.RemoveLapsed()
				want := 0
				if age < tc.kept {
					want = 1
				}
				if got := tr.acceptingCount(); got != want {
					t.Errorf("after %s: got %d endpoints, want %d", age, got, want)
				}
			}
		})
	}
}

func TestReannouncedEntryKeepsEndpoint(t *testing.T) {
	tr, c := newTracker()
	tr.Apply([]Change{newAnnouncement("a", 1, false)}, time.Time{})
	tr.Apply([]Change{{ID: "a", Revision: 2, Gone: true}}, c.at)
	tr.Apply([]Change{newAnnouncement("a", 1, false)}, c.at)
	c.at = c.at.Add(time.Hour)
	tr.RemoveLapsed()
	if got := tr.acceptingCount(); got != 1 {
		t.Errorf("got %d endpoints, want 1", got)
	}
}

func TestLeaveMatchesIncarnation(t *testing.T) {
	tr, _ := newTracker()
	tr.Apply([]Change{newAnnouncement("a", 1, false)}, time.Time{})
	tr.MarkLeaving("a", 2, "another incarnation")
	if got := tr.acceptingCount(); got != 1 {
		t.Errorf("got %d endpoints, want 1, since another incarnation leaves", got)
	}
	tr.MarkLeaving("a", 1, "its answer")
	if got := tr.acceptingCount(); got != 0 {
		t.Errorf("got %d endpoints, want none", got)
	}
}
