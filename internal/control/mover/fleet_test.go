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
	gossipDelay   = 300 * time.Millisecond
	datagramLoss  = 0.05
	latencyTarget = 100 * time.Millisecond
)

var errStatus = &inferrer.StatusError{Status: 500}

// versionBehaviour holds the probabilities of each fault in the answers of a version.
type versionBehaviour struct {
	errors, slowFirst, slowToken, shortAnswer float64
}

func (b versionBehaviour) randomOutcome(r *rand.Rand) relayer.Outcome {
	o := relayer.Outcome{Attempt: 1, FirstTokenTime: latencyTarget / 2, TokenInterval: latencyTarget / 2, Tokens: 10, MaxTokens: 10}
	if r.Float64() < b.errors {
		o.Err = errStatus
	}
	if r.Float64() < b.slowFirst {
		o.FirstTokenTime = 2 * latencyTarget
	}
	if r.Float64() < b.slowToken {
		o.TokenInterval = 2 * latencyTarget
	}
	if r.Float64() < b.shortAnswer {
		o.Tokens = 3
	}
	return o
}

// node is one simulated daemon of a fleet.
type node struct {
	name, domain string
	set          loader.Set
	generation   uint64
	follower     *Follower
	mover        *Mover
	keeper       *dutykeeper.Keeper
	items        map[string]gossiper.Item
	subscribers  map[string]func(gossiper.Item)
	datagram     func([]byte)
	fleet        *fleet
	// A paused node does not run. Nodes with different values of partition cannot reach each other.
	paused, partition bool
	dead              bool
	// servedRequests counts requests by version.
	servedRequests map[string]int
}

// delivery is a gossip item or datagram in transit.
type delivery struct {
	at       time.Time
	from, to *node
	item     gossiper.Item
	// body is the body of a datagram; nil for a gossip item.
	body []byte
}

// fleet simulates daemons that share one store and one clock.
type fleet struct {
	t                 *testing.T
	now               time.Time
	rand              *rand.Rand
	store             *memorizer.Memorizer
	nodes             []*node
	pendingDeliveries []delivery
	// requestsPerSecond is the request rate of the whole fleet.
	requestsPerSecond int
	// behaviourOf returns how a version answers requests of a node at the current time.
	behaviourOf func(n *node, version string) versionBehaviour
	// answer, if set, returns the outcome of a request in place of behaviourOf.
	answer func(n *node, version string) relayer.Outcome
	// isLoaded reports whether the engines have loaded a version other than v1.
	isLoaded func(version string) bool
	// lastNewVersionRequest is when the new version last got a request.
	lastNewVersionRequest time.Time
}

func testMove(by time.Duration) loader.Move {
	return loader.Move{Name: "m", Route: "chat", From: "v1", To: "v2", By: startTime.Add(by)}
}

var startTime = time.Unix(100_000, 0)

func testSet(moves ...loader.Move) loader.Set {
	t := loader.Target{First: loader.Duration(latencyTarget), Token: loader.Duration(latencyTarget)}
	return loader.Set{
		Pools:    []loader.Pool{{Name: "p"}},
		Versions: []loader.Version{{Name: "v1", Pools: []string{"p"}}, {Name: "v2", Pools: []string{"p"}}, {Name: "v3", Pools: []string{"p"}}},
		Routes:   []loader.Route{{Name: "chat", Target: t, Versions: []loader.Share{{Version: "v1", Share: 100}}}},
		Moves:    moves,
	}
}

func newFleet(t *testing.T, seed uint64, n int, set loader.Set) *fleet {
	f := &fleet{t: t, now: startTime, rand: rand.New(rand.NewPCG(seed, 1)), requestsPerSecond: 200}
	f.store = memorizer.New(memorizer.Config{Now: f.clock})
	f.behaviourOf = func(*node, string) versionBehaviour { return versionBehaviour{} }
	f.isLoaded = func(string) bool { return f.now.After(startTime.Add(time.Second)) }
	for i := range n {
		f.addNode(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3), set)
	}
	return f
}

func (f *fleet) addNode(name, domain string, set loader.Set) *node {
	n := &node{
		name: name, domain: domain, set: set, generation: 1, fleet: f, servedRequests: make(map[string]int),
		items: make(map[string]gossiper.Item), subscribers: make(map[string]func(gossiper.Item)),
	}
	n.follower = NewFollower(FollowerConfig{
		Self: name, Domain: domain, Gossip: n, Store: f.store, Now: f.clock,
		Set: func() loader.Set { return n.set }, Members: func() []viewer.Member { return n.members() },
		Sender: n,
	})
	n.keeper = dutykeeper.New(dutykeeper.Config{
		Self: name, Store: f.store, Now: f.clock, Members: func() []viewer.Member { return n.members() },
		Duties: func() []string {
			var duties []string
			for _, m := range n.follower.MoveNames(n.set) {
				duties = append(duties, MoveDutyPrefix+m)
			}
			return duties
		},
	})
	n.mover = New(Config{Store: f.store, Follower: n.follower, Now: f.clock, View: n.view, HoldsDuty: func(duty string) (uint64, bool) {
		g, ok := n.keeper.HeldGrant(duty)
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
		if o.dead || o.paused || o.partition != n.partition {
			s = viewer.StateGone
		}
		out = append(out, viewer.Member{Name: o.name, Domain: o.domain, Peers: o.name, State: s})
	}
	return out
}

func (n *node) view() viewer.View {
	var versions []string
	for _, v := range n.set.Versions {
		if v.Name == "v1" || n.fleet.isLoaded(v.Name) {
			versions = append(versions, v.Name)
		}
	}
	return viewer.View{Generation: n.generation, Set: n.set, Endpoints: []viewer.Endpoint{{
		Name: "engine", Pool: "p", State: viewer.StateAlive, Versions: versions,
	}}}
}

// Publish implements Gossip. An item arrives at the other nodes after gossipDelay.
func (n *node) Publish(i gossiper.Item) {
	if !n.merge(i) {
		return
	}
	for _, o := range n.fleet.nodes {
		if o != n {
			n.fleet.pendingDeliveries = append(n.fleet.pendingDeliveries, delivery{at: n.fleet.now.Add(gossipDelay), from: n, to: o, item: i})
		}
	}
}

func (n *node) merge(i gossiper.Item) bool {
	k := i.Topic + " " + i.Key
	if old, ok := n.items[k]; ok && old.Version >= i.Version {
		return false
	}
	n.items[k] = i
	n.subscribers[i.Topic](i)
	return true
}

// Send implements Sender. A datagram arrives at the next step, or is lost with the probability
// datagramLoss.
func (n *node) Send(addr, _ string, body []byte) {
	for _, o := range n.fleet.nodes {
		if o.name == addr && o.partition == n.partition && !o.paused && n.fleet.rand.Float64() >= datagramLoss {
			n.fleet.pendingDeliveries = append(n.fleet.pendingDeliveries, delivery{at: n.fleet.now, from: n, to: o, body: body})
		}
	}
}

// HandleDatagram implements Sender.
func (n *node) HandleDatagram(_ string, f func([]byte)) { n.datagram = f }

// Subscribe implements Gossip.
func (n *node) Subscribe(topic string, f func(gossiper.Item)) { n.subscribers[topic] = f }

// Items implements Gossip.
func (n *node) Items(string) []gossiper.Item { return nil }

// deliver delivers the items and datagrams that are due. Those between partitioned or paused nodes
// arrive later, as gossip repeats its items.
func (f *fleet) deliver() {
	var later []delivery
	for _, d := range f.pendingDeliveries {
		switch {
		case f.now.Before(d.at) || d.from.partition != d.to.partition || d.to.paused || d.from.paused:
			later = append(later, d)
		case !d.to.dead && d.body != nil:
			d.to.datagram(d.body)
		case !d.to.dead:
			d.to.merge(d.item)
		}
	}
	f.pendingDeliveries = later
}

const tickStep = 50 * time.Millisecond

// run simulates the time d with traffic.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickStep) {
		f.deliver()
		for range int(float64(f.requestsPerSecond)*tickStep.Seconds() + f.rand.Float64()) {
			f.sendRequest(f.nodes[f.rand.IntN(len(f.nodes))])
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

// runUntil simulates time until a condition holds, and fails the test if it does not within limit.
func (f *fleet) runUntil(what string, limit time.Duration, holds func() bool) {
	f.t.Helper()
	for end := f.now.Add(limit); f.now.Before(end); f.run(tickStep) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("not within %s: %s; %+v", limit, what, f.moveRow(f.nodes[0]))
}

func (f *fleet) sendRequest(n *node) {
	if n.dead || n.paused {
		return
	}
	shares := n.set.Routes[0].Versions
	if s, ok := n.follower.MoveShares(n.set)["chat"]; ok {
		shares = s
	}
	at := f.rand.Float64() * fullShare
	version := shares[0].Version
	for _, s := range shares {
		if at -= s.Share; at < 0 {
			version = s.Version
			break
		}
	}
	n.servedRequests[version]++
	if version == "v2" {
		f.lastNewVersionRequest = f.now
	}
	var o relayer.Outcome
	if f.answer != nil {
		o = f.answer(n, version)
	} else {
		o = f.behaviourOf(n, version).randomOutcome(f.rand)
		o.Endpoint = "engine"
	}
	o.Route, o.Version = "chat", version
	n.follower.Observe(o)
}

func (f *fleet) moveRow(n *node) MoveStatus {
	rows := n.follower.MoveStatuses(n.set)
	if len(rows) == 0 {
		return MoveStatus{}
	}
	return rows[0]
}

func (f *fleet) hasState(s State) func() bool {
	return func() bool { return f.reachableNode().knownRecord().State == s }
}

func (n *node) knownRecord() Record {
	r, _ := n.follower.RecordAndLatch("m")
	return r
}

// reachableNode returns the first node that runs and is not in a partition.
func (f *fleet) reachableNode() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.dead && !n.paused && !n.partition })
	return f.nodes[i]
}

func (f *fleet) holder() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool {
		_, ok := n.keeper.HeldGrant(MoveDutyPrefix + "m")
		return ok && !n.dead && !n.paused
	})
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

func (f *fleet) servedRequests(version string) int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.servedRequests[version]
	}
	return sum
}

// publishSet puts a configuration into force at all nodes.
func (f *fleet) publishSet(set loader.Set) {
	for _, n := range f.nodes {
		n.set, n.generation = set, n.generation+1
	}
}

// versionShare returns the percentage of the traffic that a node sends to a version.
func (n *node) versionShare(version string) float64 {
	shares := n.set.Routes[0].Versions
	if s, ok := n.follower.MoveShares(n.set)["chat"]; ok {
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
