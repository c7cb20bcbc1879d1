package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/remote/inferrer"
)

// work is what daemons have in flight on an endpoint.
type work struct {
	requests int
	// tokens counts prompt tokens of requests without a first token.
	tokens int
}

func (w work) plus(o work) work {
	return work{requests: w.requests + o.requests, tokens: w.tokens + o.tokens}
}

// peerLife is the time after which the word of a silent peer no longer counts.
const peerLife = 3 * time.Second

// peerWork sums up what the other daemons have in flight.
type peerWork struct {
	sums map[string]work
	said map[string]saidWork
}

type saidWork struct {
	work map[string]work
	at   time.Time
}

func newPeerWork() peerWork {
	return peerWork{sums: make(map[string]work), said: make(map[string]saidWork)}
}

func (p peerWork) set(peer string, w map[string]work, now time.Time) {
	p.remove(peer)
	for name, one := range w {
		p.sums[name] = p.sums[name].plus(one)
	}
	p.said[peer] = saidWork{work: w, at: now}
	for other, s := range p.said {
		if now.Sub(s.at) > peerLife {
			p.remove(other)
		}
	}
}

func (p peerWork) remove(peer string) {
	for name, one := range p.said[peer].work {
		left := p.sums[name].plus(work{requests: -one.requests, tokens: -one.tokens})
		if left == (work{}) {
			delete(p.sums, name)
			continue
		}
		p.sums[name] = left
	}
	delete(p.said, peer)
}

// share is one endpoint's part of a daemon's word to its peers.
type share struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Requests int
	Tokens   int
}

// maxShares bounds the endpoints that a daemon tells of, so that its word fits a
// gossip item.
const maxShares = 20

// OwnWork encodes what this daemon has in flight, for its peers: the endpoints on
// which it has most.
func (r *Router) OwnWork() ([]byte, error) {
	r.mu.Lock()
	shares := make([]share, 0, len(r.own))
	for name, w := range r.own {
		shares = append(shares, share{Endpoint: name, Requests: w.requests, Tokens: w.tokens})
	}
	r.mu.Unlock()
	slices.SortFunc(shares, func(a, b share) int {
		return cmp.Or(b.Requests-a.Requests, strings.Compare(a.Endpoint, b.Endpoint))
	})
	return cbor.Marshal(shares[:min(len(shares), maxShares)])
}

// SetPeerWork takes in what a peer has in flight, as OwnWork encoded it.
func (r *Router) SetPeerWork(peer string, encoded []byte) error {
	var shares []share
	if err := cbor.Unmarshal(encoded, &shares); err != nil {
		return err
	}
	sums := make(map[string]work, len(shares))
	for _, s := range shares {
		sums[s.Endpoint] = work{requests: s.Requests, tokens: s.Tokens}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.set(peer, sums, r.cfg.Now())
	return nil
}

// Learn takes in cache events of an endpoint.
func (r *Router) Learn(endpoint string, events []inferrer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, e := range events {
		r.index.apply(endpoint, e, now)
	}
}

// SetCacheSize says how many blocks an endpoint has room for.
func (r *Router) SetCacheSize(endpoint string, blocks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.shelf(endpoint).size = blocks
}

// Forget drops all that is known of an endpoint's cache and speed, because it
// is gone or has started anew.
func (r *Router) Forget(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.forget(endpoint)
	delete(r.rates.known, endpoint)
}

const (
	// rateWeight is the weight of one observation in an endpoint's rate.
	rateWeight = 0.2
	// slowFactor is the multiple of the mean rate from which an endpoint counts
	// as slow; below it differences come from the mix of requests.
	slowFactor = 2
	// rateLife is the time in which an observed rate falls back to the mean,
	// so that an endpoint that was slow is tried again.
	rateLife = 15 * time.Second
	// defaultRate is the rate before any observation, in seconds a token.
	defaultRate = 100e-6
)

// rates learns how long predicted work takes at each endpoint.
type rates struct{ known map[string]observedRate }

type observedRate struct {
	value float64
	at    time.Time
}

func newRates() rates { return rates{known: make(map[string]observedRate)} }

func (r rates) mean() float64 {
	if len(r.known) == 0 {
		return defaultRate
	}
	var sum float64
	for _, o := range r.known {
		sum += o.value
	}
	return sum / float64(len(r.known))
}

func (r rates) of(endpoint string, mean float64, now time.Time) float64 {
	o, ok := r.known[endpoint]
	if !ok || o.value < slowFactor*mean {
		return mean
	}
	age := min(1, float64(now.Sub(o.at))/float64(rateLife))
	return o.value + (mean-o.value)*age
}

func (r rates) observe(endpoint string, value float64, now time.Time) {
	old, ok := r.known[endpoint]
	if !ok {
		old.value = value
	}
	r.known[endpoint] = observedRate{value: old.value + rateWeight*(value-old.value), at: now}
}
