// Package gossiper spreads membership and small items between daemons. Each
// round a daemon sends what it knows to a fixed number of others, so that its
// cost does not grow with the number of calls that others make.
package gossiper

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

const (
	datagramKind   = "gossip"
	defaultPeriod  = 200 * time.Millisecond
	defaultFanout  = 3
	suspectPeriods = 8
	gonePeriods    = 25
)

// Sender is the part of a messenger that gossip needs.
type Sender interface {
	Send(ctx context.Context, addr, kind string, body []byte) error
	HandleDatagram(kind string, f func(body []byte))
}

var _ Sender = (*messenger.Messenger)(nil)

// Item is a small fact that spreads to all daemons. Of two items with the same
// topic and key the one with the higher version wins; equal versions never
// differ in value, so that their order of arrival does not matter.
type Item struct {
	Topic   string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Value   []byte `cbor:"4,keyasint,omitempty"`
}

// Config configures a Gossiper.
type Config struct {
	// Self is the daemon's own entry.
	Self viewer.Member
	// Sender carries the datagrams.
	Sender Sender
	// Seeds returns peer addresses to start from.
	Seeds func() []string
	// Changed is called after members or items have changed, without a lock.
	Changed func()
	// Period is the time between rounds.
	Period time.Duration
	// Fanout is the number of peers that each round sends to.
	Fanout int
	// Logger receives changes of members' states.
	Logger log.Logger
	// Registry receives counters.
	Registry metrics.Registry
}

// member is what a daemon knows of another.
type member struct {
	viewer.Member
	Beat uint64 `cbor:"8,keyasint"`
	seen time.Time
}

// packet is the body of one datagram.
type packet struct {
	Members []member `cbor:"1,keyasint,omitempty"`
	Items   []Item   `cbor:"2,keyasint,omitempty"`
}

type itemKey struct{ topic, key string }

// Gossiper is a daemon's part in gossip. All methods are safe for concurrent
// use.
type Gossiper struct {
	cfg     Config
	mu      sync.Mutex
	self    member
	members map[string]*member
	items   map[itemKey]Item
	subs    map[string][]func(Item)
	next    int
}

// New returns a gossiper that sends nothing before Run.
func New(cfg Config) *Gossiper {
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	cfg.Self.State = viewer.StateAlive
	return &Gossiper{
		cfg: cfg, self: member{Member: cfg.Self}, members: make(map[string]*member),
		items: make(map[itemKey]Item), subs: make(map[string][]func(Item)),
	}
}

// Run gossips until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.cfg.Sender.HandleDatagram(datagramKind, g.receive)
	tick := time.NewTicker(g.cfg.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.round(ctx)
		}
	}
}

// Subscribe calls f for each new item of a topic, without a lock held.
func (g *Gossiper) Subscribe(topic string, f func(Item)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subs[topic] = append(g.subs[topic], f)
}

// Publish spreads an item, unless a newer one is known.
func (g *Gossiper) Publish(i Item) {
	g.mu.Lock()
	subs := g.merge(i)
	g.mu.Unlock()
	for _, f := range subs {
		f(i)
	}
}

// Items returns the known items of a topic, sorted by key.
func (g *Gossiper) Items(topic string) []Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	var items []Item
	for k, i := range g.items {
		if k.topic == topic {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// SetGeneration announces the configuration in force at this daemon.
func (g *Gossiper) SetGeneration(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Generation = n
}

// SetState announces that this daemon is leaving.
func (g *Gossiper) SetState(s viewer.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.State = s
}

// Members returns all known members, this daemon among them, sorted by name.
func (g *Gossiper) Members() []viewer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []viewer.Member{g.self.Member}
	for _, m := range g.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b viewer.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (g *Gossiper) round(ctx context.Context) {
	g.mu.Lock()
	g.self.Beat++
	changed := g.age(time.Now())
	targets := g.targets()
	packets := g.packets()
	g.mu.Unlock()
	if changed && g.cfg.Changed != nil {
		g.cfg.Changed()
	}
	for _, addr := range targets {
		go g.send(ctx, addr, packets)
	}
}

func (g *Gossiper) send(ctx context.Context, addr string, packets [][]byte) {
	for _, b := range packets {
		if err := g.cfg.Sender.Send(ctx, addr, datagramKind, b); err != nil {
			metrics.GetOrRegisterCounter("gossip_send_failures_total", g.cfg.Registry).Inc(1)
			return
		}
		metrics.GetOrRegisterCounter("gossip_sent_bytes_total", g.cfg.Registry).Inc(int64(len(b)))
	}
}

// age moves members that have not been heard of to suspected and gone.
func (g *Gossiper) age(now time.Time) bool {
	changed := false
	for _, m := range g.members {
		silent := now.Sub(m.seen)
		next := m.State
		switch {
		case silent > gonePeriods*g.cfg.Period:
			next = viewer.StateGone
		case silent > suspectPeriods*g.cfg.Period && m.State == viewer.StateAlive:
			next = viewer.StateSuspected
		}
		if next != m.State {
			g.logState(m, next)
			m.State = next
			changed = true
		}
	}
	return changed
}

func (g *Gossiper) logState(m *member, next viewer.State) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(g.cfg.Logger).Log("msg", "member changed", "member", m.Name, "from", m.State, "to", next)
}

func (g *Gossiper) targets() []string {
	var addrs []string
	for _, m := range g.members {
		if m.State != viewer.StateGone {
			addrs = append(addrs, m.Peers)
		}
	}
	if g.cfg.Seeds != nil {
		for _, s := range g.cfg.Seeds() {
			if s != g.self.Peers && !slices.Contains(addrs, s) {
				addrs = append(addrs, s)
			}
		}
	}
	slices.Sort(addrs)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), g.cfg.Fanout)]
}

// packets encodes what is known into bodies that fit a datagram each.
func (g *Gossiper) packets() [][]byte {
	all := []packet{{Members: []member{g.self}}}
	for _, m := range g.members {
		if m.State != viewer.StateGone {
			all = append(all, packet{Members: []member{*m}})
		}
	}
	for _, i := range g.items {
		all = append(all, packet{Items: []Item{i}})
	}
	var out [][]byte
	var p packet
	var body []byte
	for _, one := range all {
		grown := packet{Members: append(slices.Clone(p.Members), one.Members...), Items: append(slices.Clone(p.Items), one.Items...)}
		b, err := cbor.Marshal(grown)
		if err != nil {
			continue
		}
		if len(b) > messenger.MaxDatagramBytes-64 && body != nil {
			out = append(out, body)
			grown = one
			if b, err = cbor.Marshal(one); err != nil {
				continue
			}
		}
		p, body = grown, b
	}
	return append(out, body)
}

func (g *Gossiper) receive(body []byte) {
	var p packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		metrics.GetOrRegisterCounter("gossip_malformed_total", g.cfg.Registry).Inc(1)
		return
	}
	type call struct {
		f func(Item)
		i Item
	}
	var calls []call
	g.mu.Lock()
	changed := false
	for _, m := range p.Members {
		changed = g.mergeMember(m) || changed
	}
	for _, i := range p.Items {
		for _, f := range g.merge(i) {
			calls = append(calls, call{f, i})
		}
	}
	g.mu.Unlock()
	for _, c := range calls {
		c.f(c.i)
	}
	if changed && g.cfg.Changed != nil {
		g.cfg.Changed()
	}
}

func (g *Gossiper) mergeMember(m member) bool {
	if m.Name == g.self.Name {
		return false
	}
	old := g.members[m.Name]
	if old != nil && (m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Beat <= old.Beat) {
		return false
	}
	if m.State == viewer.StateSuspected {
		m.State = viewer.StateAlive
	}
	m.seen = time.Now()
	g.members[m.Name] = &m
	if old == nil || old.State != m.State || old.Generation != m.Generation || old.Incarnation != m.Incarnation {
		if old == nil || old.State != m.State {
			from := viewer.State("unknown")
			if old != nil {
				from = old.State
			}
			g.logState(&member{Member: viewer.Member{Name: m.Name, State: from}}, m.State)
		}
		return true
	}
	return false
}

// merge takes in an item and returns the subscribers to tell.
func (g *Gossiper) merge(i Item) []func(Item) {
	k := itemKey{i.Topic, i.Key}
	old, ok := g.items[k]
	if ok && (i.Version < old.Version || i.Version == old.Version && bytes.Compare(i.Value, old.Value) <= 0) {
		return nil
	}
	g.items[k] = i
	return g.subs[i.Topic]
}
