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
	// minSendRounds is the least number of rounds in which a change is sent; the number grows with
	// the logarithm of the fleet's size.
	minSendRounds = 2
	// envelopeBytes is the space in a datagram that is reserved for its envelope.
	envelopeBytes = 64
	// Every fullRecordRounds rounds the heartbeat carries the complete record, for neighbours that
	// missed the addresses. In the introductionPeriod after the start each heartbeat does.
	fullRecordRounds   = 8
	introductionPeriod = 10 * time.Second
	// frequentItemFanout is the number of neighbours to which a round sends frequently changing
	// items. What the others miss is soon replaced, or arrives by an exchange.
	frequentItemFanout = 3
	// frequentItemPeriod is the time between two versions below which an item is frequent.
	frequentItemPeriod = 10 * time.Second
	// budgetBurstSeconds is the burst of the send budget, in seconds of Config.MaxBytesPerSecond.
	budgetBurstSeconds = 8
)

// Flags of a packet.
const (
	// flagNotNeighbour marks a packet to a daemon that is not a neighbour of the sender, so that
	// no regular heartbeats follow.
	flagNotNeighbour = 1 << iota
	// flagReply marks an answer, which is not answered itself.
	flagReply
	// flagPing requests an answer, also from a daemon that sends its heartbeats to others.
	flagPing
)

// packet is the body of one datagram: the sender's own record and the changes, each of them encoded
// separately.
type packet struct {
	From    record            `cbor:"1,keyasint"`
	Flags   int               `cbor:"2,keyasint,omitempty"`
	Members []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Items   []cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// rumorKey identifies the member or the item that a rumor is about.
type rumorKey struct {
	member string
	item   itemKey
}

// rumors is the queue of the changes that this daemon still sends to its neighbours (rumor
// mongering).
type rumors struct {
	pending map[rumorKey]*rumor
	seq     uint64
}

// rumor is one queued change of a member or an item.
type rumor struct {
	key        rumorKey
	sentRounds int
	seq        uint64
	// singleRound marks a change that is sent in one round only: a refresh, or a frequent item.
	singleRound bool
	// frequent marks an item that changes frequently. It is sent after all rare changes.
	frequent bool
}

func newRumors() rumors { return rumors{pending: make(map[rumorKey]*rumor)} }

func (r *rumors) add(k rumorKey) {
	r.seq++
	r.pending[k] = &rumor{key: k, seq: r.seq}
}

// addFrequent queues a new version of an item that changes frequently. It takes over the place in
// the queue of an older version that was not sent yet.
func (r *rumors) addFrequent(k rumorKey) {
	old := r.pending[k]
	r.add(k)
	queued := r.pending[k]
	queued.singleRound, queued.frequent = true, true
	if old != nil && old.sentRounds == 0 {
		queued.seq = old.seq
	}
}

// addRefresh queues a refresh of a member's record unless a change of that member is queued.
func (r *rumors) addRefresh(k rumorKey) {
	if r.pending[k] == nil {
		r.add(k)
		r.pending[k].singleRound = true
	}
}

// countDuplicate counts a queued change as sent once more when another daemon sends the same
// change: the more daemons know it already, the sooner this one stops sending it.
func (r *rumors) countDuplicate(k rumorKey) {
	if queued := r.pending[k]; queued != nil && queued.sentRounds > 0 {
		queued.sentRounds++
	}
}

func (r *rumors) drop(k rumorKey) { delete(r.pending, k) }

// sendOrder returns the changes in the order in which they are sent: rare changes first, the least
// often sent and then the newest of them ahead; then the frequent items, the longest queued ahead.
// So a flood of frequent items neither delays rare changes nor starves some of the frequent items.
func (r *rumors) sendOrder() []*rumor {
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
		return cmp.Or(cmp.Compare(a.sentRounds, b.sentRounds), cmp.Compare(b.seq, a.seq))
	})
	return out
}

// packHeader returns an encoded packet without changes. The caller holds g.mu.
func (g *Gossiper) packHeader(flags int) []byte { return encode(packet{From: g.self, Flags: flags}) }

// heartbeatRecord returns this daemon's own record for a heartbeat. In most rounds it leaves out
// the addresses, which the neighbours know. The caller holds g.mu.
func (g *Gossiper) heartbeatRecord(now time.Time) record {
	g.roundCount++
	if g.roundCount%fullRecordRounds == 0 || now.Sub(g.startedAt) < introductionPeriod {
		return g.self
	}
	return g.self.withoutAddresses()
}

// packChanges returns two encoded packets for this round with the changes that fit into a datagram
// and the send budget: lean without the frequent items and full with them. The caller holds g.mu.
func (g *Gossiper) packChanges(now time.Time, targets int) (lean, full []byte) {
	rate := float64(g.cfg.MaxBytesPerSecond)
	g.sendBudget = min(g.sendBudget+rate*now.Sub(g.lastRound).Seconds(), budgetBurstSeconds*rate)
	p := packet{From: g.heartbeatRecord(now)}
	room := messenger.MaxDatagramBytes - envelopeBytes - len(g.packHeader(0))
	if targets == 0 {
		return encode(p), encode(p)
	}
	sends := minSendRounds + bits.Len(uint(len(g.members)))/2
	for _, queued := range g.rumors.sendOrder() {
		if queued.key.member == g.self.Name {
			// Each packet contains the sender's own record.
			g.recordSent(queued, sends)
			continue
		}
		if queued.frequent && lean == nil {
			lean = encode(p)
		}
		b := g.encodeRumor(queued, now)
		cost := float64(len(b) * targets)
		if queued.frequent {
			cost = float64(len(b) * min(targets, frequentItemFanout))
		}
		if len(b) > room || cost > g.sendBudget {
			continue
		}
		room -= len(b)
		g.sendBudget -= cost
		p.add(queued.key, b)
		g.recordSent(queued, sends)
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

// recordSent counts a round in which a change was sent and removes the change after the last one.
func (g *Gossiper) recordSent(queued *rumor, sends int) {
	if queued.sentRounds++; queued.sentRounds >= sends || queued.singleRound {
		g.rumors.drop(queued.key)
		if m := g.members[queued.key.member]; m != nil {
			m.addressesSpread = true
		}
	}
}

// encodeRumor returns a change in its encoded form, or nil if the item is unknown or its origin is.
func (g *Gossiper) encodeRumor(queued *rumor, now time.Time) []byte {
	if m := g.members[queued.key.member]; m != nil {
		if m.addressesSpread {
			return encode(m.withoutAddresses())
		}
		return encode(m.record)
	}
	i := g.items[queued.key.item]
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

// delivery is an item and a subscriber to call with it.
type delivery struct {
	f func(Item)
	i Item
}

func deliverItems(all []delivery) {
	for _, d := range all {
		d.f(d.i)
	}
}

// receiveDatagram processes one datagram.
func (g *Gossiper) receiveDatagram(ctx context.Context, body []byte) {
	var p packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		g.addToCounter("gossip_malformed_total", 1)
		return
	}
	g.addToCounter("gossip_received_bytes_total", len(body))
	g.mu.Lock()
	now := time.Now()
	known := g.members[p.From.Name]
	newProcess := known == nil || known.Boot != p.From.Boot
	g.mergeRecord(p.From, now)
	reply := g.receiveHeartbeat(p, now)
	deliveries := g.mergeEncoded(p.Members, p.Items, now)
	addr := p.From.Peers
	if addr == "" && known != nil {
		addr = known.Peers
	}
	start := (newProcess || reply != nil) && addr != "" && g.tryStartExchange(now)
	if reply == nil && p.Flags&flagPing != 0 {
		reply = g.packHeader(flagReply)
	}
	g.mu.Unlock()
	deliverItems(deliveries)
	if reply != nil && p.Flags&flagReply == 0 {
		g.send(ctx, addr, reply)
	}
	if start {
		go g.exchangeWith(ctx, addr)
	}
}

// receiveHeartbeat records that the sender of a packet is alive. If the state of the sender here is
// worse than in the packet (suspected, leaving or gone), it returns an answer with the record, so
// that the sender refutes it. The caller holds g.mu.
func (g *Gossiper) receiveHeartbeat(p packet, now time.Time) []byte {
	m := g.members[p.From.Name]
	if m == nil {
		return nil
	}
	m.lastHeartbeat, m.lastAlive, m.connectFailed = now, now, false
	switch {
	case p.Flags&flagReply != 0:
		// The sender is alive, but its heartbeats go to other daemons.
		m.sendsHeartbeats = m.sendsHeartbeats && !m.heartbeatsAssumed
		m.heartbeatsAssumed = false
	case p.Flags&flagPing != 0:
	case p.Flags&flagNotNeighbour != 0:
		// The sender no longer chooses this daemon as a neighbour, or has just joined.
		m.sendsHeartbeats = m.sendsHeartbeats && g.expectsHeartbeats(m.record, now)
		m.heartbeatsAssumed = m.sendsHeartbeats
	default:
		m.sendsHeartbeats, m.heartbeatsAssumed = true, false
	}
	if m.State <= p.From.State {
		return nil
	}
	return encode(packet{From: g.self, Flags: flagReply, Members: []cbor.RawMessage{encode(m.record)}})
}

// mergeEncoded decodes and merges members and items, and returns the deliveries to subscribers. The
// caller holds g.mu.
func (g *Gossiper) mergeEncoded(members, items []cbor.RawMessage, now time.Time) []delivery {
	for _, b := range members {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			g.addToCounter("gossip_malformed_total", 1)
			continue
		}
		g.mergeRecord(r, now)
	}
	var out []delivery
	for _, b := range items {
		var i Item
		if err := cbor.Unmarshal(b, &i); err != nil {
			g.addToCounter("gossip_malformed_total", 1)
			continue
		}
		for _, f := range g.mergeItem(i) {
			out = append(out, delivery{f, i})
		}
	}
	return out
}
