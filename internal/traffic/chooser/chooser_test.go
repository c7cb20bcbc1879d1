package chooser

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newChooser() (*Chooser, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(Config{Domain: "z0", Now: c.now}), c
}

func endpoints(n int) []tracker.Endpoint {
	var out []tracker.Endpoint
	for i := range n {
		out = append(out, tracker.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Domain: fmt.Sprint("z", i%3), Slots: 128, Version: "v1"})
	}
	return out
}

// newPromptQuery returns a request whose first prompt block is shared with all of the same name.
func newPromptQuery(shared string, n int) Query {
	return Query{Service: "s", PromptTokens: 6300 + 2900, MaxOutputTokens: 50, PromptBlocks: []PromptBlock{{shared, 6300}, {fmt.Sprint("own", n), 2900}}}
}

// Requests with the same shared prefix are sent to the same endpoint by all daemons.
func TestSharedPrefixesUseOneEndpoint(t *testing.T) {
	a, _ := newChooser()
	b, _ := newChooser()
	list := endpoints(9)
	first, ok := a.Pick(newPromptQuery("site", 1), list)
	if !ok {
		t.Fatal("got no endpoint, want one")
	}
	second, _ := b.Pick(newPromptQuery("site", 2), list)
	if first.Endpoint.ID != second.Endpoint.ID {
		t.Errorf("two daemons choose %s and %s, want the same", first.Endpoint.ID, second.Endpoint.ID)
	}
}

// One prompt gets much of the traffic. It must spread to other endpoints once the wait at its home
// endpoint exceeds the time to prefill it elsewhere.
func TestHotPromptSpreads(t *testing.T) {
	c, _ := newChooser()
	list := endpoints(9)
	counts := make(map[string]int)
	for i := range 60 {
		q := newPromptQuery("hot", i)
		ch, ok := c.Pick(q, list)
		if !ok {
			t.Fatal("got no endpoint, want one")
		}
		counts[ch.Endpoint.ID]++
		c.Start(q, ch)
	}
	for id, n := range counts {
		if n > 30 {
			t.Errorf("got %d of 60 requests at %s, want them spread", n, id)
		}
	}
}

func TestLoadOfOtherDaemonsIsAvoided(t *testing.T) {
	c, _ := newChooser()
	list := endpoints(3)
	q := Query{Service: "s", PromptTokens: 1000}
	ch, _ := c.Pick(q, list)
	c.SetPeerLoads("other", []sharer.Load{{Endpoint: ch.Endpoint.ID, Running: 20, PromptTokens: 60_000}})
	next, _ := c.Pick(q, list)
	if next.Endpoint.ID == ch.Endpoint.ID {
		t.Errorf("got %s again, though another daemon has 60,000 tokens queued there", next.Endpoint.ID)
	}
	c.SetPeerLoads("other", nil)
	if next, _ = c.Pick(q, list); next.Endpoint.ID != ch.Endpoint.ID {
		t.Errorf("got %s after the other daemon became unreachable, want %s", next.Endpoint.ID, ch.Endpoint.ID)
	}
}

func TestWaitGrowsWithQueuedTokens(t *testing.T) {
	c, _ := newChooser()
	list := endpoints(1)
	q := Query{Service: "s", PromptTokens: 20_000}
	idle, _ := c.Pick(q, list)
	a := c.Start(q, idle)
	busy, _ := c.Pick(q, list)
	if busy.Wait < idle.Wait+200*time.Millisecond {
		t.Errorf("got a wait of %s behind 20,000 tokens and %s without, want much more", busy.Wait, idle.Wait)
	}
	a.RecordFirstByte()
	a.RecordResult(ResultGood)
	if again, _ := c.Pick(q, list); again.Wait > idle.Wait+time.Millisecond {
		t.Errorf("got a wait of %s after the end, want %s", again.Wait, idle.Wait)
	}
}

// Endpoints fail requests while they announce themselves as healthy.
func TestFailingEndpointIsAvoided(t *testing.T) {
	for _, r := range []Result{ResultFailed, ResultBroken, ResultUnreachable} {
		c, clk := newChooser()
		list := endpoints(3)
		q := Query{Service: "s"}
		bad, _ := c.Pick(q, list)
		for range 3 {
			c.Start(q, bad).RecordResult(r)
		}
		if ch, _ := c.Pick(q, list); ch.Endpoint.ID == bad.Endpoint.ID {
			t.Errorf("result %d: got the failing endpoint again, want another", r)
		}
		clk.at = clk.at.Add(time.Minute)
		if ch, _ := c.Pick(q, list); ch.Endpoint.ID != bad.Endpoint.ID {
			t.Errorf("result %d: got %s after a minute, want the former endpoint to be tried again", r, ch.Endpoint.ID)
		}
	}
}

func TestExcludedAndDisallowedEndpointsAreSkipped(t *testing.T) {
	c, _ := newChooser()
	list := endpoints(2)
	list[1].Version = "v2"
	if _, ok := c.Pick(Query{Service: "s", Excluded: []string{"e0"}, AllowsRelease: func(r string) bool { return r == "v1" }}, list); ok {
		t.Error("got an endpoint, want none")
	}
	ch, ok := c.Pick(Query{Service: "s", AllowsRelease: func(r string) bool { return r == "v2" }}, list)
	if !ok || ch.Endpoint.ID != "e1" {
		t.Errorf("got %s (%t), want e1", ch.Endpoint.ID, ok)
	}
}

// With few callers all endpoints are idle and cost the same. Their requests must be spread evenly.
func TestIdleEndpointsTakeTurns(t *testing.T) {
	c, clk := newChooser()
	counts := make(map[string]int)
	list := endpoints(4)
	for i := range list {
		list[i].Domain = "z0"
	}
	for range 40 {
		ch, _ := c.Pick(Query{Service: "s"}, list)
		counts[ch.Endpoint.ID]++
		c.Start(Query{Service: "s"}, ch).RecordResult(ResultGood)
		clk.at = clk.at.Add(time.Millisecond)
	}
	for id, n := range counts {
		if n != 10 {
			t.Errorf("got %d of 40 requests at %s, want 10", n, id)
		}
	}
}

// An endpoint that restarts under the same id has nothing in flight and nothing cached.
func TestRestartedEndpointHasNoState(t *testing.T) {
	c, _ := newChooser()
	list := endpoints(1)
	q := newPromptQuery("site", 1)
	ch, _ := c.Pick(q, list)
	c.Start(q, ch)
	list[0].Born = 2
	again, _ := c.Pick(q, list)
	if again.Running != 0 || again.UncomputedTokens != q.PromptTokens {
		t.Errorf("got %d running and %d unread, want none and %d", again.Running, again.UncomputedTokens, q.PromptTokens)
	}
}

func TestLargeFleetComparesOnlyASample(t *testing.T) {
	c := New(Config{Domain: "z0", IsLargeFleet: func() bool { return true }})
	list := endpoints(90)
	chosen := make(map[string]bool)
	for range 200 {
		ch, ok := c.Pick(Query{Service: "s", PromptTokens: 100}, list)
		if !ok || ch.Candidates > sampleSize+sampledHomes {
			t.Fatalf("got %d candidates (%t), want %d at most", ch.Candidates, ok, sampleSize+sampledHomes)
		}
		chosen[ch.Endpoint.ID] = true
	}
	if len(chosen) < 20 {
		t.Errorf("200 choices among idle endpoints use %d endpoints, want them spread", len(chosen))
	}
}

// A service has lost all of its endpoints but a few, or all, in a small or large fleet.
func TestFewEndpointsOrNone(t *testing.T) {
	for _, large := range []bool{false, true} {
		c := New(Config{Domain: "z0", IsLargeFleet: func() bool { return large }})
		for n := range 4 {
			ch, ok := c.Pick(Query{Service: "s", PromptTokens: 100}, endpoints(n))
			if ok != (n > 0) || ch.Candidates != n {
				t.Errorf("%d endpoints, large %t: got a choice %t of %d candidates", n, large, ok, ch.Candidates)
			}
		}
	}
}

// After a restart of the whole fleet, prompts wait for some seconds behind others that the daemons do
// not know of yet, and engines seem a fifth as fast as they are. This must not lead to an order of
// five times as many engines; a lasting change of speed must.
func TestPaceIgnoresShortOverload(t *testing.T) {
	const tokens = 6000
	c, now := newChooser()
	prefill := func(perSecond float64, n int) {
		for range n {
			a := c.Start(Query{Service: "s", PromptTokens: tokens}, Choice{Endpoint: tracker.Endpoint{ID: "e"}, UncomputedTokens: tokens})
			now.at = now.at.Add(idleFirstEventTime + time.Duration(tokens/perSecond*float64(time.Second)))
			a.RecordFirstByte()
			a.RecordResult(ResultGood)
		}
	}
	prefill(50_000, 300)
	before := c.PrefillRate("s")
	if got, want := before, 50_000.0; math.Abs(got-want) > want/10 {
		t.Errorf("got a pace of %.0f, want about %.0f", got, want)
	}
	prefill(10_000, 15)
	if got, want := c.PrefillRate("s"), 0.8*before; got < want {
		t.Errorf("got a pace of %.0f after some seconds of waits, want %.0f at least", got, want)
	}
	prefill(10_000, 600)
	if got, want := c.PrefillRate("s"), 10_000.0; math.Abs(got-want) > want/4 {
		t.Errorf("got a pace of %.0f after minutes, want about %.0f", got, want)
	}
}
