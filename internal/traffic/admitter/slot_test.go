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

// newFullLimiter returns a limiter whose n slots are all held, for a second each, by the
// organisation "filler".
func newFullLimiter(n int) *ConcurrencyLimiter {
	g := NewConcurrencyLimiter(loader.Target{First: loader.Duration(20 * time.Second)})
	g.totalLimit.value, g.borrowLimit.value, g.meanHoldTime = float64(n), float64(n), time.Second
	for range n {
		g.Acquire(time.Unix(0, 0), &SlotRequest{Organisation: "filler", Weight: 1, OnStart: func() {}})
	}
	return g
}

// TestSlotOrder frees slots one by one and checks which organisation gets each.
func TestSlotOrder(t *testing.T) {
	type request struct {
		organisation string
		weight       int
		priority     loader.Priority
	}
	for _, tc := range []struct {
		name       string
		requests   []request
		peerUsages Usage
		want       []string
	}{
		{
			"weights",
			[]request{{"a", 1, ""}, {"a", 1, ""}, {"a", 1, ""}, {"b", 2, ""}, {"b", 2, ""}, {"b", 2, ""}},
			Usage{},
			[]string{"a", "b", "b", "a", "b", "a"},
		},
		{
			"priority class among organisations within their shares",
			[]request{{"a", 1, loader.PriorityLow}, {"b", 1, ""}, {"c", 1, loader.PriorityHigh}},
			Usage{},
			[]string{"c", "b", "a"},
		},
		{
			"no priority class takes another's share",
			[]request{{"a", 1, loader.PriorityHigh}, {"a", 1, loader.PriorityHigh}, {"a", 1, loader.PriorityHigh}, {"b", 1, loader.PriorityLow}},
			Usage{},
			[]string{"a", "a", "b", "a"},
		},
		{
			"requests in flight at peers are counted",
			[]request{{"a", 1, ""}, {"b", 1, ""}},
			Usage{InFlight: map[string]int{"a": 3}},
			[]string{"b", "a"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newFullLimiter(6)
			g.SetPeerUsage("peer", tc.peerUsages)
			var got []string
			for _, r := range tc.requests {
				g.Acquire(time.Unix(0, 0), &SlotRequest{
					Organisation: r.organisation, Weight: r.weight, Priority: r.priority,
					OnStart:  func() { got = append(got, r.organisation) },
					OnRefuse: func(time.Duration) { got = append(got, r.organisation+" refused") },
				})
			}
			for range tc.requests {
				g.Release(time.Unix(1, 0), "filler", time.Second)
			}
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestImmediateRefusal queues requests of one organisation at a limiter whose two slots are
// held for a second each, so that a slot is freed every half second. The target allows ten
// seconds in the queue.
func TestImmediateRefusal(t *testing.T) {
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
			g := newFullLimiter(2)
			now := time.Unix(0, 0)
			e := &SlotRequest{Organisation: "filler", Weight: 1, OnStart: func() {}, OnRefuse: func(time.Duration) {}}
			g.stateOf(e).queue = make([]*SlotRequest, tc.queued)
			if tc.deadline > 0 {
				e.Deadline = now.Add(tc.deadline)
			}
			got := time.Duration(0)
			e.OnRefuse = func(d time.Duration) { got = d }
			g.Acquire(now, e)
			if got != tc.want {
				t.Errorf("got refusal with a retry after %s, want %s", got, tc.want)
			}
		})
	}
}

// TestAcquireSlot checks the results of requests that wait for a slot: cancelled, refused and
// started.
func TestAcquireSlot(t *testing.T) {
	a := New()
	route := loader.Route{Name: "chat", Target: loader.Target{First: loader.Duration(100 * time.Millisecond)}}
	org := loader.Organisation{Name: "granite", Weight: 1}
	g := a.concurrencyLimiter(route)
	g.totalLimit.value, g.borrowLimit.value = 1, 1
	first, err := a.AcquireSlot(t.Context(), route, org)
	if err != nil {
		t.Fatal(err)
	}
	gone, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := a.AcquireSlot(gone, route, org); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v for a caller that disconnected, want context.Canceled", err)
	}
	var r *refuser.Refusal
	if _, err := a.AcquireSlot(t.Context(), route, org); !errors.As(err, &r) || r.Run != refuser.NotRun || r.RetryAfter <= 0 {
		t.Errorf("got error %v without a free slot, want a refusal of a request that was not run", err)
	}
	if n := len(g.organisations["granite"].queue); n != 0 {
		t.Errorf("got %d requests in the queue, want 0", n)
	}
	time.AfterFunc(10*time.Millisecond, first.Release)
	second, err := a.AcquireSlot(t.Context(), route, org)
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
	if got := a.Usages()["chat"].InFlight; len(got) != 0 {
		t.Errorf("got %v in flight, want none", got)
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	for range maxSavedRetries {
		if !b.TryWithdraw() {
			t.Fatal("got no retry from a full budget")
		}
	}
	if b.TryWithdraw() {
		t.Error("got a retry over the budget")
	}
	for range 11 {
		b.Deposit()
	}
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Error("got no retry, or two, after eleven requests; want one")
	}
}

// TestLimitGrowth checks that the limits grow for one organisation alone that offers four times
// the initial limit to endpoints that easily meet the target.
func TestLimitGrowth(t *testing.T) {
	g := NewConcurrencyLimiter(loader.Target{})
	refused := 0
	for round := range 5 {
		refused = 0
		now := time.Unix(int64(2*round), 0)
		for range 4 * initialLimit {
			g.Acquire(now, &SlotRequest{Organisation: "a", Weight: 1, OnStart: func() {}, OnRefuse: func(time.Duration) { refused++ }})
		}
		for g.organisations["a"].inFlight > 0 {
			g.ObserveLatencyRatio(0.1)
			g.Release(now.Add(time.Second), "a", time.Second)
		}
	}
	if refused > 0 {
		t.Errorf("got %d refused in the last round, want 0", refused)
	}
}
