package gossiper

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	exchangeKind    = "gossip-exchange"
	offerKind       = "gossip-offer"
	exchangeTimeout = time.Second
	// minExchange and exchangePerMember set the time between exchanges.
	minExchange       = 5 * time.Second
	exchangePerMember = 25 * time.Millisecond
	// buckets is the number of parts in which two daemons compare what they
	// know, so that only parts that differ are sent.
	buckets = 128
	// maxExchangeBytes bounds one answer; the rest waits for a later exchange.
	maxExchangeBytes = 256 << 10
)

// digests holds one hash a bucket.
type digests [buckets]uint32

// knowledge is the body of an exchange and of its answer.
type knowledge struct {
	From    record            `cbor:"1,keyasint"`
	Digests []uint32          `cbor:"2,keyasint,omitempty"`
	Members []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Items   []cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// Differ lists the buckets of which the answer holds the contents.
	Differ []int `cbor:"5,keyasint,omitempty"`
}

func bucketOf(s string) int { return int(xxhash.Sum64String(s) % buckets) }

func (k itemKey) String() string { return k.topic + "\x00" + k.key }

func (r record) fingerprint() string {
	return fmt.Sprintf("%s\x00%d\x00%d\x00%d", r.Name, r.Incarnation, r.State, r.Beat)
}

func (i Item) fingerprint() string {
	return i.Topic + "\x00" + i.Key + "\x00" + strconv.FormatUint(i.Version, 10) + "\x00" + string(i.Value)
}

// digests hashes what is known and passed on. The caller holds the lock.
func (g *Gossiper) digests(now time.Time) digests {
	var d digests
	add := func(key, fingerprint string) { d[bucketOf(key)] ^= uint32(xxhash.Sum64String(fingerprint)) }
	add(g.self.Name, g.self.fingerprint())
	for _, m := range g.members {
		if m.State != rankGone {
			add(m.Name, m.fingerprint())
		}
	}
	for k, i := range g.items {
		if g.originKnown(i.Item, now) {
			add(k.String(), i.fingerprint())
		}
	}
	return d
}

// contents adds to k what is known in some buckets, without what skip names.
// The caller holds the lock.
func (g *Gossiper) contents(k *knowledge, wanted []int, skip func(key, fingerprint string) bool) {
	now := time.Now()
	size := 0
	add := func(out *[]cbor.RawMessage, key, fingerprint string, v any) {
		if !slices.Contains(wanted, bucketOf(key)) || skip(key, fingerprint) || size > maxExchangeBytes {
			return
		}
		b := encode(v)
		size += len(b)
		*out = append(*out, b)
	}
	add(&k.Members, g.self.Name, g.self.fingerprint(), g.self)
	for _, m := range g.members {
		add(&k.Members, m.Name, m.fingerprint(), m.record)
	}
	for key, i := range g.items {
		if g.originKnown(i.Item, now) {
			add(&k.Items, key.String(), i.fingerprint(), i.Item)
		}
	}
}

// choosePartner returns the neighbour to exchange with in this round, if it is
// time. A daemon that knows nobody asks one of its contacts at once. The caller
// holds the lock.
func (g *Gossiper) choosePartner(now time.Time, contacts []string) string {
	from := g.neighbours.addresses
	period := max(minExchange, time.Duration(len(g.members))*exchangePerMember)
	if len(from) == 0 {
		from, period = contacts, 0
	}
	if len(from) == 0 || now.Sub(g.exchanged) < period || !g.startExchange(now) {
		return ""
	}
	return from[g.rand.IntN(len(from))]
}

// startExchange reports whether an exchange may start now; one runs at a time.
func (g *Gossiper) startExchange(now time.Time) bool {
	if g.exchanging || g.cfg.Caller == nil {
		return false
	}
	g.exchanging, g.exchanged = true, now
	return true
}

// exchange compares what is known with another daemon, takes in what is newer
// there and offers what is newer here.
func (g *Gossiper) exchange(ctx context.Context, addr string) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.exchanging = false
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	d := g.digests(time.Now())
	ask := knowledge{From: g.self, Digests: d[:]}
	g.mu.Unlock()
	answer, err := g.ask(ctx, addr, exchangeKind, ask)
	if err != nil {
		g.count("gossip_exchange_failures_total", 1)
		return
	}
	g.count("gossip_exchanges_total", 1)
	offer := g.takeAnswer(answer)
	if len(offer.Members)+len(offer.Items) == 0 {
		return
	}
	if _, err := g.ask(ctx, addr, offerKind, offer); err != nil {
		g.count("gossip_exchange_failures_total", 1)
	}
}

func (g *Gossiper) ask(ctx context.Context, addr, kind string, k knowledge) (knowledge, error) {
	var answer knowledge
	b, err := g.cfg.Caller.Call(ctx, addr, kind, encode(k))
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(b, &answer)
}

// takeAnswer merges an answer and returns what the other daemon lacks.
func (g *Gossiper) takeAnswer(answer knowledge) knowledge {
	theirs := make(map[string]bool)
	for _, b := range answer.Members {
		var r record
		if err := cbor.Unmarshal(b, &r); err == nil {
			theirs[r.fingerprint()] = true
		}
	}
	for _, b := range answer.Items {
		var i Item
		if err := cbor.Unmarshal(b, &i); err == nil {
			theirs[i.fingerprint()] = true
		}
	}
	g.mergeKnowledge(answer)
	g.mu.Lock()
	defer g.mu.Unlock()
	offer := knowledge{From: g.self}
	g.contents(&offer, answer.Differ, func(_, fingerprint string) bool { return theirs[fingerprint] })
	return offer
}

func (g *Gossiper) mergeKnowledge(k knowledge) {
	g.mu.Lock()
	now := time.Now()
	g.mergeRecord(k.From, now)
	deliveries := g.mergeAll(k.Members, k.Items, now)
	g.mu.Unlock()
	deliver(deliveries)
}

func (g *Gossiper) answerExchange(_ context.Context, body []byte) ([]byte, error) {
	var k knowledge
	if err := cbor.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("decode exchange: %w", err)
	}
	if len(k.Digests) != buckets {
		return nil, fmt.Errorf("exchange has %d digests, want %d", len(k.Digests), buckets)
	}
	g.mergeKnowledge(knowledge{From: k.From})
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := knowledge{From: g.self}
	for i, h := range g.digests(time.Now()) {
		if h != k.Digests[i] {
			answer.Differ = append(answer.Differ, i)
		}
	}
	g.contents(&answer, answer.Differ, func(string, string) bool { return false })
	return encode(answer), nil
}

func (g *Gossiper) answerOffer(_ context.Context, body []byte) ([]byte, error) {
	var k knowledge
	if err := cbor.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("decode offer: %w", err)
	}
	g.mergeKnowledge(k)
	return encode(knowledge{}), nil
}
