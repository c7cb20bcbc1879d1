package router

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/remote/inferrer"
)

// policies are the policies that settings can name.
var policies = map[string]func() Policy[Query, Candidate]{
	"predicted":       func() Policy[Query, Candidate] { return Predicted{} },
	"round-robin":     func() Policy[Query, Candidate] { return &RoundRobin{} },
	"least-in-flight": func() Policy[Query, Candidate] { return LeastInFlight{} },
	"prefix-hash":     func() Policy[Query, Candidate] { return PrefixHash{} },
}

// NewPolicy returns the policy of a name; empty is "predicted".
func NewPolicy(name string) (Policy[Query, Candidate], error) {
	if name == "" {
		name = "predicted"
	}
	if f, ok := policies[name]; ok {
		return f(), nil
	}
	return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(slices.Sorted(maps.Keys(policies)), ", "))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ n atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ Query, candidates []Candidate) int {
	return int((p.n.Add(1) - 1) % uint64(len(candidates)))
}

// LeastInFlight picks the candidate with the fewest requests of this daemon in
// flight, those of its own failure domain first among equals.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(q Query, candidates []Candidate) int {
	key := xxhash.Sum64String(q.Request)
	// Requests count double so that a remote failure domain can count for less
	// than one request. Equals are told apart by the request, so that daemons
	// do not all choose the same endpoint.
	return least(candidates, func(c Candidate) float64 {
		n := 2 * float64(c.Own)
		if c.Domain != q.Domain {
			n++
		}
		return n + float64(rendezvous(key, c.Name))/math.MaxUint64/2
	})
}

// prefixHashBlocks is the length of the prefix that is hashed where nothing
// tells how much of it many prompts share.
const prefixHashBlocks = 24

// PrefixHash picks by rendezvous hashing of the beginning of the prompt, among
// candidates whose load is within the bound.
type PrefixHash struct{}

// Pick implements Policy.
func (PrefixHash) Pick(q Query, candidates []Candidate) int {
	key := prefixKey(q, prefixHashBlocks)
	bound := loadBound(candidates)
	return least(candidates, func(c Candidate) float64 {
		if c.InFlight > bound {
			return float64(c.InFlight)
		}
		return -float64(rendezvous(key, c.Name))
	})
}

// Weights of the predicted policy, in prompt tokens.
const (
	// baseTokens stands for the work that even an empty request is.
	baseTokens = 256
	// sequenceTokens is the work that a request in flight adds.
	sequenceTokens = 24
	// remoteTokens is the cost of another failure domain.
	remoteTokens = 64
	// recomputeWeight is the weight of a token to be computed. It is far above
	// that of a token which waits, because the work and the room that it takes
	// are taken from later requests too.
	recomputeWeight = 12
	// expectedPart is the part of the unknown prefix that the endpoint chosen
	// by rendezvous hashing is expected to hold already.
	expectedPart = 0.6
	// expectedBlocks is how far behind the shared preface the rendezvous hash
	// looks.
	expectedBlocks = 12
)

// Predicted picks the candidate with the least predicted time to the first
// token: work that waits there and prompt tokens that it would have to compute.
// Where no prefix is known, rendezvous hashing brings equal prompts together
// although daemons have not told each other of them.
type Predicted struct{}

// Pick implements Policy.
func (Predicted) Pick(q Query, candidates []Candidate) int {
	bound := loadBound(candidates)
	expected := expectedHolder(q, candidates, bound)
	return least(candidates, func(c Candidate) float64 {
		fresh := q.tokens - c.Cached*inferrer.BlockTokens
		tokens := predictedTokens(q, c) + (recomputeWeight-1)*float64(fresh)
		if c.Domain != q.Domain {
			tokens += remoteTokens
		}
		if c.Name == expected {
			tokens -= expectedPart * recomputeWeight * float64(q.tokens-q.known*inferrer.BlockTokens)
		}
		cost := max(tokens, 1) * c.Rate
		if c.InFlight > bound {
			// Candidates over the bound come last, in the same order.
			cost += overBound
		}
		return cost
	})
}

// overBound is more than any predicted time in seconds.
const overBound = 1e9

// predictedTokens is the work up to the first token, in prompt tokens.
func predictedTokens(q Query, c Candidate) float64 {
	fresh := max(0, q.tokens-c.Cached*inferrer.BlockTokens)
	return float64(baseTokens + fresh + c.Backlog + sequenceTokens*c.InFlight)
}

// expectedHolder returns the endpoint that most likely holds more of the prompt
// than is known: the one to which rendezvous hashing of what follows the shared
// preface brings all daemons, among those whose load is within the bound.
func expectedHolder(q Query, candidates []Candidate, bound int) string {
	depth := prefixHashBlocks
	if q.preface > 0 {
		depth = q.preface + expectedBlocks
	}
	key := prefixKey(q, depth)
	best, weight := "", uint64(0)
	for _, c := range candidates {
		if w := rendezvous(key, c.Name); w >= weight && c.InFlight <= bound {
			best, weight = c.Name, w
		}
	}
	return best
}

const (
	// boundFactor and boundSlack bound an endpoint's load by the mean.
	boundFactor = 2.5
	boundSlack  = 8
)

// loadBound returns the number of requests in flight up to which an endpoint
// may be chosen for its cache.
func loadBound(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.InFlight
	}
	return int(boundFactor*float64(sum)/float64(len(candidates))) + boundSlack
}

// prefixKey identifies the first n blocks of the prompt, or all of a shorter
// one.
func prefixKey(q Query, n int) uint64 {
	if len(q.hashes) == 0 {
		return xxhash.Sum64String(q.Prompt)
	}
	return q.hashes[min(n, len(q.hashes))-1]
}

// mixer is an odd constant that spreads the bits of a product.
const mixer = 0x9e3779b97f4a7c15

// rendezvous returns the weight of a name for a key.
func rendezvous(key uint64, name string) uint64 {
	h := (xxhash.Sum64String(name) ^ key) * mixer
	return (h ^ h>>32) * mixer
}

// least returns the index of the candidate with the least cost, the first of
// equals.
func least(candidates []Candidate, cost func(Candidate) float64) int {
	best, bestCost := 0, cost(candidates[0])
	for i := 1; i < len(candidates); i++ {
		if c := cost(candidates[i]); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
