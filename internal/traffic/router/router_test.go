package router

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
)

var testRoute = loader.Route{Name: "chat", Versions: []loader.Share{{Version: "v", Share: 100}}}

func newView(n int) viewer.View {
	var v viewer.View
	for i := range n {
		v.Endpoints = append(v.Endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Domain: []string{"portland", "worcester"}[i%2],
			State: viewer.StateAlive, Versions: []string{"v"},
		})
	}
	return v
}

func newQuery(prompt string) Query {
	return Query{Request: prompt, Route: testRoute, Prompt: prompt, Domain: "portland"}
}

// promptOfBlocks returns a prompt of a number of cache blocks.
func promptOfBlocks(letter string, blocks int) string {
	return strings.Repeat(letter, blocks*inferrer.BlockTokens*inferrer.TokenBytes)
}

func choose(t testing.TB, r *Router, v viewer.View, q Query) Choice {
	t.Helper()
	c, err := r.Choose(v, q)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestPredictedPolicy checks that the predicted policy uses cache events and load reports.
func TestPredictedPolicy(t *testing.T) {
	now := time.Unix(0, 0)
	prompt := promptOfBlocks("a", 60)
	hashes := inferrer.BlockHashes("v", prompt)
	stored := inferrer.Event{Number: 1, Kind: inferrer.EventStored, Blocks: hashes}
	evicted := inferrer.Event{Number: 2, Kind: inferrer.EventEvicted, Blocks: hashes}
	for name, c := range map[string]struct {
		learn func(r *Router, v *viewer.View)
		want  bool
	}{
		"cached by an event":   {func(r *Router, _ *viewer.View) { r.ApplyCacheEvents("engine-3", []inferrer.Event{stored}) }, true},
		"stored, then evicted": {func(r *Router, _ *viewer.View) { r.ApplyCacheEvents("engine-3", []inferrer.Event{stored, evicted}) }, false},
		"stored after lost events": {func(r *Router, _ *viewer.View) {
			r.ApplyCacheEvents("engine-3", []inferrer.Event{{Number: 9, Kind: inferrer.EventStored, Blocks: hashes}})
		}, true},
		"evicted but never stored": {func(r *Router, _ *viewer.View) { r.ApplyCacheEvents("engine-3", []inferrer.Event{evicted}) }, false},
		"engine restarted": {func(r *Router, _ *viewer.View) {
			r.ApplyCacheEvents("engine-3", []inferrer.Event{stored})
			r.ForgetEndpoint("engine-3")
		}, false},
		"cache too small": {func(r *Router, _ *viewer.View) {
			r.SetCacheSize("engine-3", 1)
			r.ApplyCacheEvents("engine-3", []inferrer.Event{stored})
		}, false},
		"cached but overloaded": {func(r *Router, v *viewer.View) {
			r.ApplyCacheEvents("engine-3", []inferrer.Event{stored})
			v.Endpoints[3].Running, v.Endpoints[3].Reported = 100, now
		}, false},
		"overloaded a minute ago": {func(r *Router, v *viewer.View) {
			r.ApplyCacheEvents("engine-3", []inferrer.Event{stored})
			v.Endpoints[3].Running, v.Endpoints[3].Reported = 100, now.Add(-time.Minute)
		}, true},
		"cached but leaving": {func(r *Router, v *viewer.View) {
			r.ApplyCacheEvents("engine-3", []inferrer.Event{stored})
			v.Endpoints[3].State = viewer.StateLeaving
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Now: func() time.Time { return now }})
			v := newView(8)
			c.learn(r, &v)
			got := choose(t, r, v, newQuery(prompt)).Endpoint.Name
			if (got == "engine-3") != c.want {
				t.Errorf("got %s, want engine-3: %t", got, c.want)
			}
		})
	}
}

// TestDaemonsAgreeWithoutReports checks that daemons of different failure domains choose the same
// endpoint for a prompt before they have exchanged any cache events.
func TestDaemonsAgreeWithoutReports(t *testing.T) {
	for i := range 20 {
		prompt := promptOfBlocks(string(rune('a'+i)), 60)
		first := choose(t, New(Config{}), newView(20), newQuery(prompt))
		q := newQuery(prompt)
		q.Domain = "worcester"
		if got, want := choose(t, New(Config{}), newView(20), q).Endpoint.Name, first.Endpoint.Name; got != want {
			t.Errorf("prompt %d: got %s, want %s as at the other daemon", i, got, want)
		}
	}
}

// TestPeerLoadExpires checks that a router counts a peer's reported load until peerLoadExpiry.
func TestPeerLoadExpires(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	a, b := New(Config{Now: clock}), New(Config{Now: clock})
	v := newView(2)
	c := choose(t, a, v, newQuery(promptOfBlocks("a", 100)))
	report, err := a.EncodeOwnLoad()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.SetPeerLoad("a", report); err != nil {
		t.Fatal(err)
	}
	if got, want := b.peerLoads.totals[c.Endpoint.Name], (endpointLoad{requests: 1, pendingTokens: 1600}); got != want {
		t.Errorf("got %+v of the peer, want %+v", got, want)
	}
	c.FirstToken()
	c.Release()
	c.Release()
	if len(a.ownLoads) != 0 {
		t.Errorf("got %v in flight after the release, want nothing", a.ownLoads)
	}
	now = now.Add(peerLoadExpiry + time.Second)
	if err := b.SetPeerLoad("c", []byte{0x80}); err != nil {
		t.Fatal(err)
	}
	if len(b.peerLoads.totals) != 0 {
		t.Errorf("got %v of an unreachable peer, want nothing", b.peerLoads.totals)
	}
	if err := b.SetPeerLoad("a", []byte("x")); err == nil {
		t.Error("got no error for a malformed report")
	}
}

// TestChoiceCountsUncomputedTokens checks that a choice counts the prompt tokens that are not cached
// and those that wait at the endpoint.
func TestChoiceCountsUncomputedTokens(t *testing.T) {
	r, v := New(Config{}), newView(1)
	a := choose(t, r, v, newQuery(promptOfBlocks("a", 100)))
	again := choose(t, r, v, newQuery(promptOfBlocks("a", 100)+promptOfBlocks("b", 2)))
	a.FirstToken()
	again.FirstToken()
	warm := choose(t, r, v, newQuery(promptOfBlocks("a", 100)))
	got := []int{a.UncomputedTokens, again.UncomputedTokens, warm.UncomputedTokens}
	want := []int{100 * inferrer.BlockTokens, 102 * inferrer.BlockTokens, 0}
	if !slices.Equal(got, want) {
		t.Errorf("got %v uncomputed tokens, want %v", got, want)
	}
}

func TestPolicyNames(t *testing.T) {
	for name, ok := range map[string]bool{"": true, "predicted": true, "round-robin": true, "prefix-hash": true, "best": false} {
		if _, err := NewPolicy(name); (err == nil) != ok {
			t.Errorf("policy %q: got error %v, want none: %t", name, err, ok)
		}
	}
}

func TestNoEndpoint(t *testing.T) {
	if _, err := New(Config{}).Choose(viewer.View{}, newQuery("a")); !errors.Is(err, ErrNoEndpoint) {
		t.Errorf("got error %v, want %v", err, ErrNoEndpoint)
	}
}

// BenchmarkChoose measures a choice among 720 endpoints for prompts of 150 blocks that share
// prefixes.
func BenchmarkChoose(b *testing.B) {
	for name := range policyFactories {
		b.Run(name, func(b *testing.B) {
			p, err := NewPolicy(name)
			if err != nil {
				b.Fatal(err)
			}
			r := New(Config{Policy: p})
			v := newView(720)
			preface := promptOfBlocks("p", 16)
			for i := 0; b.Loop(); i++ {
				c := choose(b, r, v, newQuery(preface+promptOfBlocks(string(rune('a'+i%20)), 134)))
				c.FirstToken()
				c.Release()
			}
		})
	}
}
