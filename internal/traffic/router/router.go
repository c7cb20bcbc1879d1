// Package router chooses the version and the endpoint of each attempt.
package router

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
)

// Errors of a choice.
var (
	ErrNoEndpoint = errors.New("no endpoint serves the version")
	ErrNoVersion  = errors.New("route has no version with a share")
)

// Query describes the attempt to choose an endpoint for.
type Query struct {
	// Request is the id of the request; its hash picks the version.
	Request string
	// Route is the route that the request names.
	Route loader.Route
	// Version fixes the version, for a resumed answer; empty leaves it open.
	Version string
	// Prompt is the text that the model continues.
	Prompt string
	// Domain is the failure domain of this daemon.
	Domain string
	// Exclude holds the names of endpoints that failed the request before.
	Exclude map[string]bool

	// hashes name the full cache blocks of the prompt.
	hashes []uint64
	// tokens is the length of the prompt.
	tokens int
	// known is the longest prefix, in blocks, that any endpoint is known to
	// hold.
	known int
	// preface is the number of leading blocks that many prompts share.
	preface int
}

// Candidate is an endpoint with what is known of its load and its cache.
type Candidate struct {
	viewer.Endpoint
	// Own counts this daemon's requests in flight.
	Own int
	// InFlight counts requests of all daemons, as far as known.
	InFlight int
	// Backlog is the number of prompt tokens that wait to be computed.
	Backlog int
	// Cached is the number of the query's leading blocks in the cache.
	Cached int
	// Rate is the time that one token of predicted work takes, in seconds.
	Rate float64
}

// Policy picks one of several candidates for a query.
type Policy[Q, C any] interface {
	// Pick returns the index of the chosen candidate; there is at least one.
	Pick(q Q, candidates []C) int
}

// Choice is an endpoint chosen for an attempt. Release must be called once when
// the attempt has ended; FirstToken when the first token has arrived, if it
// does.
type Choice struct {
	Endpoint   viewer.Endpoint
	Version    string
	FirstToken func()
	Release    func()
}

// Config configures a Router.
type Config struct {
	// Policy picks endpoints; nil is Predicted.
	Policy Policy[Query, Candidate]
	// Now returns the time; nil is time.Now.
	Now func() time.Time
	// Held, if set, replaces what the router knows of caches by the truth, as
	// a bound to compare with.
	Held func(endpoint string, hashes []uint64) int
}

// Router chooses endpoints. All methods are safe for concurrent use.
type Router struct {
	cfg   Config
	mu    sync.Mutex
	own   map[string]work
	peers peerWork
	index *index
	rates rates
	// candidates is reused from choice to choice.
	candidates []Candidate
}

// New returns a router.
func New(cfg Config) *Router {
	if cfg.Policy == nil {
		cfg.Policy = Predicted{}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Router{
		cfg: cfg, own: make(map[string]work), peers: newPeerWork(), index: newIndex(maxHoldings), rates: newRates(),
	}
}

// Choose picks a version by the shares in force and an endpoint that serves it.
func (r *Router) Choose(v viewer.View, q Query) (Choice, error) {
	if q.Version == "" {
		version, err := PickVersion(v.Split(q.Route), q.Request)
		if err != nil {
			return Choice{}, fmt.Errorf("route %q: %w", q.Route.Name, err)
		}
		q.Version = version
	}
	q.hashes = inferrer.BlockHashes(q.Version, q.Prompt)
	q.tokens = inferrer.Tokens(q.Prompt)
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.collect(v, &q, now)
	if len(candidates) == 0 {
		return Choice{}, fmt.Errorf("route %q, version %q: %w", q.Route.Name, q.Version, ErrNoEndpoint)
	}
	return r.take(q, candidates[r.cfg.Policy.Pick(q, candidates)], now), nil
}

// collect returns the endpoints that serve the version. The caller holds the
// lock until it has used them.
func (r *Router) collect(v viewer.View, q *Query, now time.Time) []Candidate {
	held, preface := r.index.held(q.hashes)
	q.preface = preface
	mean := r.rates.mean()
	r.candidates = r.candidates[:0]
	for _, e := range v.Endpoints {
		if !e.Serves(q.Version) || q.Exclude[e.Name] {
			continue
		}
		own := r.own[e.Name]
		known := own.plus(r.peers.sums[e.Name])
		c := Candidate{Endpoint: e, Own: own.requests, Cached: held[e.Name], Rate: r.rates.of(e.Name, mean, now)}
		fresh := freshness(now.Sub(e.Reported))
		c.InFlight = blend(known.requests, e.Running+e.Waiting, fresh)
		c.Backlog = blend(known.tokens, e.WaitingTokens, fresh)
		if r.cfg.Held != nil {
			c.Cached = r.cfg.Held(e.Name, q.hashes)
		}
		q.known = max(q.known, c.Cached)
		r.candidates = append(r.candidates, c)
	}
	return r.candidates
}

// reportLife is the time in which a load report loses most of its weight.
const reportLife = time.Second

// freshness is the weight of a load report by its age.
func freshness(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(reportLife))
}

// blend adds what an endpoint reported beyond what the daemons know of,
// weighted by the freshness of the report.
func blend(known, reported int, fresh float64) int {
	return known + int(fresh*float64(max(0, reported-known)))
}

// take records that an attempt goes to a candidate.
func (r *Router) take(q Query, c Candidate, now time.Time) Choice {
	name := c.Name
	pending := work{requests: 1, tokens: q.tokens - min(c.Cached*inferrer.BlockTokens, q.tokens)}
	units := predictedTokens(q, c)
	r.own[name] = r.own[name].plus(pending)
	r.index.add(name, q.hashes, now)
	settle := func() {
		r.own[name] = r.own[name].plus(work{tokens: -pending.tokens})
		pending.tokens = 0
	}
	first := sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		settle()
		at := r.cfg.Now()
		r.rates.observe(name, at.Sub(now).Seconds()/units, at)
	})
	release := sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		settle()
		r.own[name] = r.own[name].plus(work{requests: -1})
		if r.own[name] == (work{}) {
			delete(r.own, name)
		}
	})
	return Choice{Endpoint: c.Endpoint, Version: q.Version, FirstToken: first, Release: release}
}

// shareSteps is the resolution of shares: a hundredth of a percent.
const shareSteps = 10000

// PickVersion picks a version by shares. The same request always gets the same
// version while the shares stay the same.
func PickVersion(shares []loader.Share, request string) (string, error) {
	at := float64(xxhash.Sum64String(request)%shareSteps) * 100 / shareSteps
	last := ""
	for _, s := range shares {
		if s.Share <= 0 {
			continue
		}
		last = s.Version
		if at < s.Share {
			return s.Version, nil
		}
		at -= s.Share
	}
	if last == "" {
		return "", ErrNoVersion
	}
	return last, nil
}
