package gossiper

import (
	"cmp"
	"context"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
)

const (
	// minSends is the number of rounds in which a change is sent at least; more
	// are added with the logarithm of the fleet's size.
	minSends = 2
	// envelopeBytes are left free in a datagram for its envelope.
	envelopeBytes = 64
	// fullRounds is the number of rounds of which one carries the whole record,
	// for neighbours that missed it; each does in the time of introduction.
	fullRounds   = 8
	introduction = 10 * time.Second
	// frequentFanout is the number of neighbours that a round sends frequent
	// items to; what they miss is soon replaced, or comes by an exchange.
	frequentFanout = 3
	// frequentPeriod tells frequent items from rare ones.
	frequentPeriod = 10 * time.Second
	// burstSeconds is how much of the unused budget can be spent at once.
	burstSeconds = 8
)

// flags of a packet.
const (
	// flagOnce says that the sender's heartbeats do not come here regularly.
	flagOnce = 1 << iota
	// flagReply marks an answer, which gets none itself.
	flagReply
	// flagAsk wants an answer, whether the receiver's heartbeats come regularly
	// or not.
	flagAsk
)

// packet is the body of one datagram: the sender's own record and changes, each
// encoded for itself.
type packet struct {
	From    record            `cbor:"1,keyasint"`
	Flags   int               `cbor:"2,keyasint,omitempty"`
	Members []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Items   []cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// rumorKey names a member or an item.
type rumorKey struct {
	member string
	item   itemKey
}

// rumors are the changes that are still being spread.
type rumors struct {
	pending map[rumorKey]*rumor
	seq     uint64
}

type rumor struct {
	key  rumorKey
	sent int
	seq  uint64
	// faint marks a change that is sent in one round only: a refresh, or an
	// item that changes frequently.
	faint bool
	// frequent marks an item that yields to all that changes rarely.
	frequent bool
}

func newRumors() rumors { return rumors{pending: make(map[rumorKey]*rumor)} }

func (r *rumors) add(k rumorKey) {
	r.seq++
	r.pending[k] = &rumor{key: k, seq: r.seq}
}

// addFrequent spreads a new version of an item that changes all the time. It
// takes the place in the queue of a version that was not sent yet.
func (r *rumors) addFrequent(k rumorKey) {
	old := r.pending[k]
	r.add(k)
	one := r.pending[k]
	one.faint, one.frequent = true, true
	if old != nil && old.sent == 0 {
		one.seq = old.seq
	}
}

// addFaint spreads a refresh, unless a change of the same member is under way.
func (r *rumors) addFaint(k rumorKey) {
	if r.pending[k] == nil {
		r.add(k)
		r.pending[k].faint = true
	}
}

// heardAgain counts a change that came from another daemon while it is under
// way here: the more already know it, the sooner it is no longer sent.
func (r *rumors) heardAgain(k rumorKey) {
	if one := r.pending[k]; one != nil && one.sent > 0 {
		one.sent++
	}
}

func (r *rumors) drop(k rumorKey) { delete(r.pending, k) }

// ordered returns the changes in the order in which they are sent: what changes
// rarely first, of that the least often sent and then the newest; then the
// frequent items, the longest waiting first. So a flood of frequent items
// neither delays a rare one nor starves some of its own.
func (r *rumors) ordered() []*rumor {
	out := slices.Collect(maps.Values(r.pending))
	slices.SortFunc(out, func(a, b *rumor) int {
		switch {
		case a.frequent && b.frequent:
			return cmp.Compare(a.seq, b.seq)
		case a.frequent:
			return 1
		case b.frequent:
			return -1
		}
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.seq, a.seq))
	})
	return out
}

// packHeader returns a packet without changes. The caller holds the lock.
func (g *Gossiper) packHeader(flags int) []byte { return encode(packet{From: g.self, Flags: flags}) }

// heartbeat returns this daemon's own record, mostly without the addresses that
// its neighbours know. The caller holds the lock.
func (g *Gossiper) heartbeat(now time.Time) record {
	g.rounds++
	if g.rounds%fullRounds == 0 || now.Sub(g.started) < introduction {
		return g.self
	}
	return g.self.short()
}

// pack returns the packets of this round for a number of targets: the changes
// that fit a datagram and the budget, without and with the frequent items. The
// caller holds the lock.
func (g *Gossiper) pack(now time.Time, targets int) (lean, full []byte) {
	rate := float64(g.cfg.BytesRate)
	g.tokens = min(g.tokens+rate*now.Sub(g.lastRound).Seconds(), burstSeconds*rate)
	p := packet{From: g.heartbeat(now)}
	room := messenger.MaxDatagramBytes - envelopeBytes - len(g.packHeader(0))
	if targets == 0 {
		return encode(p), encode(p)
	}
	sends := minSends + bits.Len(uint(len(g.members)))/2
	for _, one := range g.rumors.ordered() {
		if one.key.member == g.self.Name {
			// The sender's own record is in each packet.
			g.sentOnce(one, sends)
			continue
		}
		if one.frequent && lean == nil {
			lean = encode(p)
		}
		b := g.encodeRumor(one, now)
		cost := float64(len(b) * targets)
		if one.frequent {
			cost = float64(len(b) * min(targets, frequentFanout))
		}
		if len(b) > room || cost > g.tokens {
			continue
		}
		room -= len(b)
		g.tokens -= cost
		p.add(one.key, b)
		g.sentOnce(one, sends)
	}
	full = encode(p)
	if lean == nil {
		lean = full
	}
	return lean, full
}

func (p *packet) add(k rumorKey, b []byte) {
	if k.member != "" {
		p.Members = append(p.Members, b)
	} else {
		p.Items = append(p.Items, b)
	}
}

func (g *Gossiper) sentOnce(one *rumor, sends int) {
	if one.sent++; one.sent >= sends || one.faint {
		g.rumors.drop(one.key)
		if m := g.members[one.key.member]; m != nil {
			m.spread = true
		}
	}
}

// encodeRumor returns a change in its encoded form, or nothing if there is
// nothing to pass on.
func (g *Gossiper) encodeRumor(one *rumor, now time.Time) []byte {
	if m := g.members[one.key.member]; m != nil {
		if m.spread {
			return encode(m.short())
		}
		return encode(m.record)
	}
	i := g.items[one.key.item]
	if i == nil || !g.originKnown(i.Item, now) {
		return nil
	}
	return encode(i.Item)
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// The types of this package always encode.
		panic(err)
	}
	return b
}

// delivery is an item with a subscriber to tell.
type delivery struct {
	f func(Item)
	i Item
}

func deliver(all []delivery) {
	for _, d := range all {
		d.f(d.i)
	}
}

// receive takes in one datagram.
func (g *Gossiper) receive(ctx context.Context, body []byte) {
	var p packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		g.count("gossip_malformed_total", 1)
		return
	}
	g.count("gossip_received_bytes_total", len(body))
	g.mu.Lock()
	now := time.Now()
	known := g.members[p.From.Name]
	stranger := known == nil || known.Boot != p.From.Boot
	g.mergeRecord(p.From, now)
	reply := g.hear(p, now)
	deliveries := g.mergeAll(p.Members, p.Items, now)
	addr := p.From.Peers
	if addr == "" && known != nil {
		addr = known.Peers
	}
	start := (stranger || reply != nil) && addr != "" && g.startExchange(now)
	if reply == nil && p.Flags&flagAsk != 0 {
		reply = g.packHeader(flagReply)
	}
	g.mu.Unlock()
	deliver(deliveries)
	if reply != nil && p.Flags&flagReply == 0 {
		g.send(ctx, addr, reply)
	}
	if start {
		go g.exchange(ctx, addr)
	}
}

// hear notes a heartbeat. It returns an answer for a sender that is held for
// dead here, so that it learns so and refutes.
func (g *Gossiper) hear(p packet, now time.Time) []byte {
	m := g.members[p.From.Name]
	if m == nil {
		return nil
	}
	m.heard, m.advanced, m.unreached = now, now, false
	switch {
	case p.Flags&flagReply != 0:
		// It lives, and sends its heartbeats to others.
		m.direct = m.direct && !m.expected
		m.expected = false
	case p.Flags&flagAsk != 0:
	case p.Flags&flagOnce != 0:
		// A former neighbour says farewell, or a newcomer says hello.
		m.direct = m.direct && g.expects(m.record, now)
		m.expected = m.direct
	default:
		m.direct, m.expected = true, false
	}
	if m.State <= p.From.State {
		return nil
	}
	return encode(packet{From: g.self, Flags: flagReply, Members: []cbor.RawMessage{encode(m.record)}})
}

// mergeAll takes in encoded members and items. The caller holds the lock.
func (g *Gossiper) mergeAll(members, items []cbor.RawMessage, now time.Time) []delivery {
	for _, b := range members {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			g.count("gossip_malformed_total", 1)
			continue
		}
		g.mergeRecord(r, now)
	}
	var out []delivery
	for _, b := range items {
		var i Item
		if err := cbor.Unmarshal(b, &i); err != nil {
			g.count("gossip_malformed_total", 1)
			continue
		}
		for _, f := range g.mergeItem(i) {
			out = append(out, delivery{f, i})
		}
	}
	return out
}
