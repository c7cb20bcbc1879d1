package admitter

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/refuser"
)

// fullGate returns a gate of n places, all held for a second each by an
// organisation of its own.
func fullGate(n int) *Gate {
	g := NewGate(loader.Target{First: loader.Duration(20 * time.Second)})
	g.own.value, g.lent.value, g.mean = float64(n), float64(n), time.Second
	for range n {
		g.Enter(time.Unix(0, 0), &Entry{Organisation: "filler", Weight: 1, Start: func() {}})
	}
	return g
}

// TestOrderOfPlaces gives back places one by one.
func TestOrderOfPlaces(t *testing.T) {
	type request struct {
		organisation string
		weight       int
		priority     loader.Priority
	}
	for _, tc := range []struct {
		name     string
		requests []request
		peers    Usage
		want     []string
	}{
		{
			"weights",
			[]request{{"a", 1, ""}, {"a", 1, ""}, {"a", 1, ""}, {"b", 2, ""}, {"b", 2, ""}, {"b", 2, ""}},
			Usage{},
			[]string{"a", "b", "b", "a", "b", "a"},
		},
		{
			"class among those within their shares",
			[]request{{"a", 1, loader.PriorityLow}, {"b", 1, ""}, {"c", 1, loader.PriorityHigh}},
			Usage{},
			[]string{"c", "b", "a"},
		},
		{
			"no class buys another's share",
			[]request{{"a", 1, loader.PriorityHigh}, {"a", 1, loader.PriorityHigh}, {"a", 1, loader.PriorityHigh}, {"b", 1, loader.PriorityLow}},
			Usage{},
			[]string{"a", "a", "b", "a"},
		},
		{
			"what peers have in flight counts",
			[]request{{"a", 1, ""}, {"b", 1, ""}},
			Usage{Organisations: map[string]int{"a": 3}},
			[]string{"b", "a"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := fullGate(6)
			g.SetPeer("peer", tc.peers)
			var got []string
			for _, r := range tc.requests {
				g.Enter(time.Unix(0, 0), &Entry{
					Organisation: r.organisation, Weight: r.weight, Priority: r.priority,
					Start:  func() { got = append(got, r.organisation) },
					Refuse: func(time.Duration) { got = append(got, r.organisation+" refused") },
				})
			}
			for range tc.requests {
				g.End(time.Unix(1, 0), "filler", time.Second)
			}
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRefusedAtOnce fills the queue of one organisation of a gate whose two
// places are held for a second each: half a second a request. The target allows
// ten seconds of waiting.
func TestRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		queued   int
		deadline time.Duration
		want     time.Duration
	}{
		{queued: 19, want: 0},
		{queued: 21, want: time.Second},
		{queued: 23, want: 2 * time.Second},
		{queued: 1, deadline: 3 * time.Second, want: 0},
		{queued: 9, deadline: 3 * time.Second, want: 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d queued, deadline %s", tc.queued, tc.deadline), func(t *testing.T) {
			g := fullGate(2)
			now := time.Unix(0, 0)
			e := &Entry{Organisation: "filler", Weight: 1, Start: func() {}, Refuse: func(time.Duration) {}}
			g.tenant(e).queue = make([]*Entry, tc.queued)
			if tc.deadline > 0 {
				e.Deadline = now.Add(tc.deadline)
			}
			got := time.Duration(0)
			e.Refuse = func(d time.Duration) { got = d }
			g.Enter(now, e)
			if got != tc.want {
				t.Errorf("got refusal with a retry after %s, want %s", got, tc.want)
			}
		})
	}
}

// TestEnter checks what becomes of requests that wait for a place.
func TestEnter(t *testing.T) {
	a := New()
	route := loader.Route{Name: "chat", Target: loader.Target{First: loader.Duration(100 * time.Millisecond)}}
	org := loader.Organisation{Name: "granite", Weight: 1}
	g := a.gate(route)
	g.own.value, g.lent.value = 1, 1
	first, err := a.Enter(t.Context(), route, org)
	if err != nil {
		t.Fatal(err)
	}
	gone, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := a.Enter(gone, route, org); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v for a caller that went away, want context.Canceled", err)
	}
	var r *refuser.Refusal
	if _, err := a.Enter(t.Context(), route, org); !errors.As(err, &r) || r.Run != refuser.NotRun || r.RetryAfter <= 0 {
		t.Errorf("got error %v without a place, want a refusal of a request that was not run", err)
	}
	if n := len(g.orgs["granite"].queue); n != 0 {
		t.Errorf("got %d requests in the queue, want 0", n)
	}
	time.AfterFunc(10*time.Millisecond, first.End)
	second, err := a.Enter(t.Context(), route, org)
	if err != nil {
		t.Fatal(err)
	}
	second.End()
	if got := a.Usages()["chat"].Organisations; len(got) != 0 {
		t.Errorf("got %v in flight, want none", got)
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget()
	for range retryBurst {
		if !b.Take() {
			t.Fatal("got no retry of the burst")
		}
	}
	if b.Take() {
		t.Error("got a retry over the budget")
	}
	for range 11 {
		b.Earn()
	}
	if !b.Take() || b.Take() {
		t.Error("got no retry, or two, after eleven requests; want one")
	}
}

// TestGateOpens has one organisation alone ask for four times the first limit of
// endpoints that meet the target easily.
func TestGateOpens(t *testing.T) {
	g := NewGate(loader.Target{})
	refused := 0
	for round := range 5 {
		refused = 0
		now := time.Unix(int64(2*round), 0)
		for range 4 * initialLimit {
			g.Enter(now, &Entry{Organisation: "a", Weight: 1, Start: func() {}, Refuse: func(time.Duration) { refused++ }})
		}
		for g.orgs["a"].inFlight > 0 {
			g.Observe(0.1)
			g.End(now.Add(time.Second), "a", time.Second)
		}
	}
	if refused > 0 {
		t.Errorf("got %d refused in the last round, want 0", refused)
	}
}
