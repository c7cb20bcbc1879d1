package chooser

import (
	"testing"
	"time"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
)

// Each policy decides between two endpoints while it is on, and has no effect while it is off.
func TestPoliciesCanBeSwitchedOff(t *testing.T) {
	plain, engine := Query{Service: "s"}, Query{Service: "s", PromptTokens: 1000}
	fails := func(r Result) func(c *Chooser) {
		return func(c *Chooser) {
			for range 3 {
				c.Start(plain, Choice{Endpoint: tracker.Endpoint{ID: "a"}}).RecordResult(r)
			}
		}
	}
	for _, tc := range []struct {
		policy  switcher.Policy
		query   Query
		prepare func(c *Chooser)
	}{
		{switcher.Failures, plain, fails(ResultFailed)},
		{switcher.Near, engine, func(*Chooser) {}},
		{switcher.Others, engine, func(c *Chooser) {
			c.SetPeerLoads("d", []sharer.Load{{Endpoint: "a", Running: 9, PromptTokens: 50_000}})
		}},
		{switcher.Crowd, engine, func(c *Chooser) { c.SetPeerLoads("d", []sharer.Load{{Endpoint: "a", Running: 60}}) }},
	} {
		for _, on := range []bool{true, false} {
			var p switcher.Policies
			if !on {
				p = p.Without(tc.policy)
			}
			c := New(Config{Domain: "y", Now: func() time.Time { return time.Unix(1000, 0) }, Policies: p})
			tc.prepare(c)
			// Without the policy both cost the same, and a is chosen as the least recently used.
			list := []tracker.Endpoint{{ID: "a", Domain: "x", Slots: 64}, {ID: "b", Domain: "x", Slots: 64}}
			if tc.policy == switcher.Near {
				list[1].Domain = "y"
			}
			c.endpointState("a", 0).lastUsed, c.endpointState("b", 0).lastUsed = time.Time{}, time.Time{}.Add(1)
			want := "a"
			if on {
				want = "b"
			}
			if ch, _ := c.Pick(tc.query, list); ch.Endpoint.ID != want {
				t.Errorf("policy %s on=%t: got endpoint %s, want %s", tc.policy, on, ch.Endpoint.ID, want)
			}
		}
	}
}

// An endpoint that cannot be reached is ejected while that policy is on.
func TestEjectionCanBeSwitchedOff(t *testing.T) {
	for _, on := range []bool{true, false} {
		var p switcher.Policies
		if !on {
			p = p.Without(switcher.Eject)
		}
		c := New(Config{Now: func() time.Time { return time.Unix(1000, 0) }, Policies: p})
		list := []tracker.Endpoint{{ID: "a"}}
		c.Start(Query{}, Choice{Endpoint: list[0]}).RecordResult(ResultUnreachable)
		if _, got := c.Pick(Query{}, list); got == on {
			t.Errorf("policy on=%t: got the endpoint chosen=%t, want %t", on, got, !on)
		}
	}
}

// Prompts with a shared prefix have a home endpoint while that policy is on.
func TestHomeEndpointCanBeSwitchedOff(t *testing.T) {
	for _, on := range []bool{true, false} {
		var p switcher.Policies
		if !on {
			p = p.Without(switcher.Home)
		}
		c := New(Config{Policies: p})
		if got := c.homeEndpoint(newPromptQuery("site", 1), endpoints(9)) != ""; got != on {
			t.Errorf("policy on=%t: got a home endpoint=%t, want %t", on, got, on)
		}
	}
}
