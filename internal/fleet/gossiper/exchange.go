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
	// minExchangePeriod and exchangePeriodPerMember set the time between exchanges.
	minExchangePeriod       = 5 * time.Second
	exchangePeriodPerMember = 25 * time.Millisecond
	// digestBuckets is the number of hash buckets of members and items that two daemons compare, so
	// that they send only the buckets that differ.
	digestBuckets = 128
	// maxExchangeBytes bounds one answer; the rest is left to a later exchange.
	maxExchangeBytes = 256 << 10
)

// bucketDigests holds one hash for each bucket of members and items.
type bucketDigests [digestBuckets]uint32

// exchangeBody is the body of the request, the answer and the offer of an anti-entropy exchange.
type exchangeBody struct {
	From    record            `cbor:"1,keyasint"`
	Digests []uint32          `cbor:"2,keyasint,omitempty"`
	Members []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Items   []cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// DifferingBuckets lists the buckets of which the answer holds the contents.
	DifferingBuckets []int `cbor:"5,keyasint,omitempty"`
}

func bucketOf(s string) int { return int(xxhash.Sum64String(s) % digestBuckets) }

func (k itemKey) String() string { return k.topic + "\x00" + k.key }

func (r record) fingerprint() string {
	return fmt.Sprintf("%s\x00%d\x00%d\x00%d", r.Name, r.Incarnation, r.State, r.Revision)
}

func (i Item) fingerprint() string {
	return i.Topic + "\x00" + i.Key + "\x00" + strconv.FormatUint(i.Version, 10) + "\x00" + string(i.Value)
}

// bucketDigests hashes the members and items that this daemon sends to others, bucket by bucket.
// The caller holds g.mu.
func (g *Gossiper) bucketDigests(now time.Time) bucketDigests {
	var d bucketDigests
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

// addContents adds the members and items of the wanted buckets to k, except those for which skip
// returns true. The caller holds g.mu.
func (g *Gossiper) addContents(k *exchangeBody, wanted []int, skip func(key, fingerprint string) bool) {
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

// chooseExchangePartner returns the address of the neighbour to exchange with in this round, or ""
// if none is due. A daemon without neighbours exchanges with one of its contacts at once. The caller
// holds g.mu.
func (g *Gossiper) chooseExchangePartner(now time.Time, contacts []string) string {
	from := g.neighbours.addresses
	period := max(minExchangePeriod, time.Duration(len(g.members))*exchangePeriodPerMember)
	if len(from) == 0 {
		from, period = contacts, 0
	}
	if len(from) == 0 || now.Sub(g.lastExchange) < period || !g.tryStartExchange(now) {
		return ""
	}
	return from[g.rand.IntN(len(from))]
}

// tryStartExchange marks an exchange as running and reports whether it may start: only one runs at
// a time. The caller holds g.mu.
func (g *Gossiper) tryStartExchange(now time.Time) bool {
	if g.exchangeRunning || g.cfg.Caller == nil {
		return false
	}
	g.exchangeRunning, g.lastExchange = true, now
	return true
}

// exchangeWith runs an anti-entropy exchange with the daemon at addr: the two compare digests, and
// each receives the records and items that are newer at the other.
func (g *Gossiper) exchangeWith(ctx context.Context, addr string) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.exchangeRunning = false
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	d := g.bucketDigests(time.Now())
	request := exchangeBody{From: g.self, Digests: d[:]}
	g.mu.Unlock()
	answer, err := g.request(ctx, addr, exchangeKind, request)
	if err != nil {
		g.addToCounter("gossip_exchange_failures_total", 1)
		return
	}
	g.addToCounter("gossip_exchanges_total", 1)
	offer := g.mergeAnswer(answer)
	if len(offer.Members)+len(offer.Items) == 0 {
		return
	}
	if _, err := g.request(ctx, addr, offerKind, offer); err != nil {
		g.addToCounter("gossip_exchange_failures_total", 1)
	}
}

// request sends k to the daemon at addr and decodes its answer.
func (g *Gossiper) request(ctx context.Context, addr, kind string, k exchangeBody) (exchangeBody, error) {
	var answer exchangeBody
	b, err := g.cfg.Caller.Call(ctx, addr, kind, encode(k))
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(b, &answer)
}

// mergeAnswer merges an answer and returns an offer of the members and items that the other daemon
// lacks.
func (g *Gossiper) mergeAnswer(answer exchangeBody) exchangeBody {
	peerHas := make(map[string]bool)
	for _, b := range answer.Members {
		var r record
		if err := cbor.Unmarshal(b, &r); err == nil {
			peerHas[r.fingerprint()] = true
		}
	}
	for _, b := range answer.Items {
		var i Item
		if err := cbor.Unmarshal(b, &i); err == nil {
			peerHas[i.fingerprint()] = true
		}
	}
	g.mergeExchange(answer)
	g.mu.Lock()
	defer g.mu.Unlock()
	offer := exchangeBody{From: g.self}
	g.addContents(&offer, answer.DifferingBuckets, func(_, fingerprint string) bool { return peerHas[fingerprint] })
	return offer
}

func (g *Gossiper) mergeExchange(k exchangeBody) {
	g.mu.Lock()
	now := time.Now()
	g.mergeRecord(k.From, now)
	deliveries := g.mergeEncoded(k.Members, k.Items, now)
	g.mu.Unlock()
	deliverItems(deliveries)
}

func (g *Gossiper) answerExchange(_ context.Context, body []byte) ([]byte, error) {
	var k exchangeBody
	if err := cbor.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("decode exchange: %w", err)
	}
	if len(k.Digests) != digestBuckets {
		return nil, fmt.Errorf("exchange has %d digests, want %d", len(k.Digests), digestBuckets)
	}
	g.mergeExchange(exchangeBody{From: k.From})
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := exchangeBody{From: g.self}
	for i, h := range g.bucketDigests(time.Now()) {
		if h != k.Digests[i] {
			answer.DifferingBuckets = append(answer.DifferingBuckets, i)
		}
	}
	g.addContents(&answer, answer.DifferingBuckets, func(string, string) bool { return false })
	return encode(answer), nil
}

func (g *Gossiper) answerOffer(_ context.Context, body []byte) ([]byte, error) {
	var k exchangeBody
	if err := cbor.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("decode offer: %w", err)
	}
	g.mergeExchange(k)
	return encode(exchangeBody{}), nil
}
