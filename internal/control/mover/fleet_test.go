package mover

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/memorizer"
	"pomelotiller/internal/traffic/relayer"
)

const (
	gossipDelay  = 300 * time.Millisecond
	datagramLoss = 0.05
	target       = 100 * time.Millisecond
)

var errStatus = &inferrer.StatusError{Status: 500}

// behaviour is how a version answers: probabilities of each fault.
type behaviour struct {
	errors, first, token, short float64
}

func (b behaviour) observation(r *rand.Rand) relayer.Outcome {
	o := relayer.Outcome{Attempt: 1, FirstTokenTime: target / 2, TokenInterval: target / 2, Tokens: 10, MaxTokens: 10}
	if r.Float64() < b.errors {
		o.Err = errStatus
	}
	if r.Float64() < b.first {
		o.FirstTokenTime = 2 * target
	}
	if r.Float64() < b.token {
		o.TokenInterval = 2 * target
	}
	if r.Float64() < b.short {
		o.Tokens = 3
	}
	return o
}

// node is one daemon of a fleet in one process.
type node struct {
	name, domain string
	set          loader.Set
	generation   uint64
	follower     *Follower
	mover        *Mover
	keeper       *dutykeeper.Keeper
	items        map[string]gossiper.Item
	subs         map[string]func(gossiper.Item)
	datagram     func([]byte)
	fleet        *fleet
	paused, cut  bool
	dead         bool
	// served counts requests by version.
	served map[string]int
}

// delivery is an item on its way.
type delivery struct {
	at       time.Time
	from, to *node
	item     gossiper.Item
	// body is that of a datagram, in place of an item.
	body []byte
}

// fleet is a number of daemons on one store and one clock.
type fleet struct {
	t       *testing.T
	now     time.Time
	rand    *rand.Rand
	store   *memorizer.Memorizer
	nodes   []*node
	inbound []delivery
	// rate is the number of requests a second.
	rate int
	// answer returns how a version answers at present.
	answer func(n *node, version string) behaviour
	// loaded reports whether the engines have a version.
	loaded func(version string) bool
	// lastNew is when the new version last got a request.
	lastNew time.Time
}

func testMove(by time.Duration) loader.Move {
	return loader.Move{Name: "m", Route: "chat", From: "v1", To: "v2", By: start.Add(by)}
}

var start = time.Unix(100_000, 0)

func testSet(moves ...loader.Move) loader.Set {
	t := loader.Target{First: loader.Duration(target), Token: loader.Duration(target)}
	return loader.Set{
		Pools:    []loader.Pool{{Name: "p"}},
		Versions: []loader.Version{{Name: "v1", Pools: []string{"p"}}, {Name: "v2", Pools: []string{"p"}}, {Name: "v3", Pools: []string{"p"}}},
		Routes:   []loader.Route{{Name: "chat", Target: t, Versions: []loader.Share{{Version: "v1", Share: 100}}}},
		Moves:    moves,
	}
}

func newFleet(t *testing.T, seed uint64, n int, set loader.Set) *fleet {
	f := &fleet{t: t, now: start, rand: rand.New(rand.NewPCG(seed, 1)), rate: 200}
	f.store = memorizer.New(memorizer.Config{Now: f.clock})
	f.answer = func(*node, string) behaviour { return behaviour{} }
	f.loaded = func(string) bool { return f.now.After(start.Add(time.Second)) }
	for i := range n {
		f.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3), set)
	}
	return f
}

func (f *fleet) add(name, domain string, set loader.Set) *node {
	n := &node{
		name: name, domain: domain, set: set, generation: 1, fleet: f, served: make(map[string]int),
		items: make(map[string]gossiper.Item), subs: make(map[string]func(gossiper.Item)),
	}
	n.follower = NewFollower(FollowerConfig{
		Self: name, Domain: domain, Spreader: n, Store: f.store, Now: f.clock,
		Set: func() loader.Set { return n.set }, Members: func() []viewer.Member { return n.members() },
		Sender: n,
	})
	n.keeper = dutykeeper.New(dutykeeper.Config{
		Self: name, Store: f.store, Now: f.clock, Members: func() []viewer.Member { return n.members() },
		Duties: func() []string {
			var duties []string
			for _, m := range n.follower.Names(n.set) {
				duties = append(duties, DutyPrefix+m)
			}
			return duties
		},
	})
	n.mover = New(Config{Store: f.store, Follower: n.follower, Now: f.clock, View: n.view, Held: func(duty string) (uint64, bool) {
		g, ok := n.keeper.Held(duty)
		return g.Epoch, ok
	}})
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) clock() time.Time { return f.now }

func (n *node) members() []viewer.Member {
	var out []viewer.Member
	for _, o := range n.fleet.nodes {
		s := viewer.StateAlive
		if o.dead || o.paused || o.cut != n.cut {
			s = viewer.StateGone
		}
		out = append(out, viewer.Member{Name: o.name, Domain: o.domain, Peers: o.name, State: s})
	}
	return out
}

func (n *node) view() viewer.View {
	var versions []string
	for _, v := range n.set.Versions {
		if v.Name == "v1" || n.fleet.loaded(v.Name) {
			versions = append(versions, v.Name)
		}
	}
	return viewer.View{Generation: n.generation, Set: n.set, Endpoints: []viewer.Endpoint{{
		Name: "engine", Pool: "p", State: viewer.StateAlive, Versions: versions,
	}}}
}

// Publish implements Spreader. An item reaches the others after gossipDelay.
func (n *node) Publish(i gossiper.Item) {
	if !n.merge(i) {
		return
	}
	for _, o := range n.fleet.nodes {
		if o != n {
			n.fleet.inbound = append(n.fleet.inbound, delivery{at: n.fleet.now.Add(gossipDelay), from: n, to: o, item: i})
		}
	}
}

func (n *node) merge(i gossiper.Item) bool {
	k := i.Topic + " " + i.Key
	if old, ok := n.items[k]; ok && old.Version >= i.Version {
		return false
	}
	n.items[k] = i
	n.subs[i.Topic](i)
	return true
}

// Send implements Sender. A datagram arrives at the next step, or never.
func (n *node) Send(addr, _ string, body []byte) {
	for _, o := range n.fleet.nodes {
		if o.name == addr && o.cut == n.cut && !o.paused && n.fleet.rand.Float64() >= datagramLoss {
			n.fleet.inbound = append(n.fleet.inbound, delivery{at: n.fleet.now, from: n, to: o, body: body})
		}
	}
}

// HandleDatagram implements Sender.
func (n *node) HandleDatagram(_ string, f func([]byte)) { n.datagram = f }

// Subscribe implements Spreader.
func (n *node) Subscribe(topic string, f func(gossiper.Item)) { n.subs[topic] = f }

// Items implements Spreader.
func (n *node) Items(string) []gossiper.Item { return nil }

// deliver hands over items; what a cut or a pause holds back arrives later, as
// gossip repeats what it knows.
func (f *fleet) deliver() {
	var later []delivery
	for _, d := range f.inbound {
		switch {
		case f.now.Before(d.at) || d.from.cut != d.to.cut || d.to.paused || d.from.paused:
			later = append(later, d)
		case !d.to.dead && d.body != nil:
			d.to.datagram(d.body)
		case !d.to.dead:
			d.to.merge(d.item)
		}
	}
	f.inbound = later
}

const step = 50 * time.Millisecond

// run lets time pass, with traffic.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for range int(float64(f.rate)*step.Seconds() + f.rand.Float64()) {
			f.request(f.nodes[f.rand.IntN(len(f.nodes))])
		}
		for _, n := range f.nodes {
			if n.dead || n.paused {
				continue
			}
			n.keeper.Tick(f.t.Context())
			n.mover.Tick(f.t.Context())
			n.follower.Tick()
		}
	}
}

// until lets time pass until a condition holds, or fails.
func (f *fleet) until(what string, limit time.Duration, holds func() bool) {
	f.t.Helper()
	for end := f.now.Add(limit); f.now.Before(end); f.run(step) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("not within %s: %s; %+v", limit, what, f.row(f.nodes[0]))
}

func (f *fleet) request(n *node) {
	if n.dead || n.paused {
		return
	}
	shares := n.set.Routes[0].Versions
	if s, ok := n.follower.Splits(n.set)["chat"]; ok {
		shares = s
	}
	at := f.rand.Float64() * wholeShare
	version := shares[0].Version
	for _, s := range shares {
		if at -= s.Share; at < 0 {
			version = s.Version
			break
		}
	}
	n.served[version]++
	if version == "v2" {
		f.lastNew = f.now
	}
	o := f.answer(n, version).observation(f.rand)
	o.Route, o.Version, o.Endpoint = "chat", version, "engine"
	n.follower.Observe(o)
}

func (f *fleet) row(n *node) Row {
	rows := n.follower.Rows(n.set)
	if len(rows) == 0 {
		return Row{}
	}
	return rows[0]
}

func (f *fleet) isState(s State) func() bool {
	return func() bool { return f.alive().record().State == s }
}

func (n *node) record() Record {
	r, _ := n.follower.Known("m")
	return r
}

// alive returns a node that runs and reaches the others.
func (f *fleet) alive() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.dead && !n.paused && !n.cut })
	return f.nodes[i]
}

func (f *fleet) holder() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool {
		_, ok := n.keeper.Held(DutyPrefix + "m")
		return ok && !n.dead && !n.paused
	})
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

func (f *fleet) served(version string) int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.served[version]
	}
	return sum
}

// publish brings a set into force at all nodes.
func (f *fleet) publish(set loader.Set) {
	for _, n := range f.nodes {
		n.set, n.generation = set, n.generation+1
	}
}

// share returns the new version's part at a node, in percent.
func (n *node) share(version string) float64 {
	shares := n.set.Routes[0].Versions
	if s, ok := n.follower.Splits(n.set)["chat"]; ok {
		shares = s
	}
	for _, s := range shares {
		if s.Version == version {
			return s.Share
		}
	}
	return 0
}

func percentile(all []float64, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b float64) int { return cmp.Compare(a, b) })
	return all[min(len(all)-1, int(p*float64(len(all))))]
}
