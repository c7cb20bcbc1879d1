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

// policyFactories holds the constructors of the policies that settings can name.
var policyFactories = map[string]func() Policy[Query, Candidate]{
	"predicted":       func() Policy[Query, Candidate] { return Predicted{} },
	"round-robin":     func() Policy[Query, Candidate] { return &RoundRobin{} },
	"least-in-flight": func() Policy[Query, Candidate] { return LeastInFlight{} },
	"prefix-hash":     func() Policy[Query, Candidate] { return PrefixHash{} },
}

// NewPolicy returns the policy of the given name; an empty name means "predicted".
func NewPolicy(name string) (Policy[Query, Candidate], error) {
	if name == "" {
		name = "predicted"
	}
	if f, ok := policyFactories[name]; ok {
		return f(), nil
	}
	return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(slices.Sorted(maps.Keys(policyFactories)), ", "))
}

// RoundRobin picks the candidates in rotation.
type RoundRobin struct{ n atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ Query, candidates []Candidate) int {
	return int((p.n.Add(1) - 1) % uint64(len(candidates)))
}

// LeastInFlight picks the candidate with the fewest requests in flight from this daemon; among
// equals it prefers this daemon's failure domain.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(q Query, candidates []Candidate) int {
	key := xxhash.Sum64String(q.Request)
	// Each request counts 2, so that a remote failure domain, which counts 1, weighs less than
	// one request. A hash of the request id breaks ties, so that daemons do not all choose the
	// same endpoint.
	return leastCostIndex(candidates, func(c Candidate) float64 {
		n := 2 * float64(c.OwnRequests)
		if c.Domain != q.Domain {
			n++
		}
		return n + float64(rendezvousWeight(key, c.Name))/math.MaxUint64/2
	})
}

// prefixHashBlocks is the length of the hashed prefix if the length of the shared prefix is
// unknown.
const prefixHashBlocks = 24

// PrefixHash picks by rendezvous hashing of the prompt's prefix among the candidates whose load
// is within the bound.
type PrefixHash struct{}

// Pick implements Policy.
func (PrefixHash) Pick(q Query, candidates []Candidate) int {
	key := prefixKey(q, prefixHashBlocks)
	bound := loadBound(candidates)
	return leastCostIndex(candidates, func(c Candidate) float64 {
		if c.RequestsInFlight > bound {
			return float64(c.RequestsInFlight)
		}
		return -float64(rendezvousWeight(key, c.Name))
	})
}

// Costs used by the Predicted policy, in prompt tokens.
const (
	// requestOverheadTokens is the fixed cost of a request.
	requestOverheadTokens = 256
	// inFlightRequestTokens is the cost of each request in flight at the endpoint.
	inFlightRequestTokens = 24
	// remoteDomainTokens is the cost of choosing an endpoint of another failure domain.
	remoteDomainTokens = 64
	// recomputeWeight is the cost of a prompt token that the endpoint has to compute. It is far
	// above that of a token in the backlog, since computing it also takes time and cache space
	// from later requests.
	recomputeWeight = 12
	// expectedHitFraction is the fraction of the prompt beyond the known cached prefix that the
	// endpoint chosen by rendezvous hashing is expected to have cached.
	expectedHitFraction = 0.6
	// blocksPastSharedPrefix is the number of blocks after the shared prefix that the
	// rendezvous hash includes.
	blocksPastSharedPrefix = 12
)

// Predicted picks the candidate with the least predicted time to the first token, from its
// backlog and the prompt tokens that it would have to compute. Rendezvous hashing sends equal
// prompts to the same endpoint even before the daemons have learned which endpoint caches them.
type Predicted struct{}

// Pick implements Policy.
func (Predicted) Pick(q Query, candidates []Candidate) int {
	bound := loadBound(candidates)
	expected := expectedHolder(q, candidates, bound)
	return leastCostIndex(candidates, func(c Candidate) float64 {
		fresh := q.promptTokens - c.CachedBlocks*inferrer.BlockTokens
		tokens := predictedTokens(q, c) + (recomputeWeight-1)*float64(fresh)
		if c.Domain != q.Domain {
			tokens += remoteDomainTokens
		}
		if c.Name == expected {
			tokens -= expectedHitFraction * recomputeWeight * float64(q.promptTokens-q.knownCachedBlocks*inferrer.BlockTokens)
		}
		cost := max(tokens, 1) * c.SecondsPerToken
		if c.RequestsInFlight > bound {
			// Candidates over the bound come last, in the same order among themselves.
			cost += overBoundPenalty
		}
		return cost
	})
}

// overBoundPenalty is larger than any predicted time in seconds.
const overBoundPenalty = 1e9

// predictedTokens returns the predicted work up to the first token, in prompt tokens.
func predictedTokens(q Query, c Candidate) float64 {
	fresh := max(0, q.promptTokens-c.CachedBlocks*inferrer.BlockTokens)
	return float64(requestOverheadTokens + fresh + c.UncomputedTokens + inFlightRequestTokens*c.RequestsInFlight)
}

// expectedHolder returns the endpoint that most likely caches more of the prompt than the index
// knows: the one that rendezvous hashing of the shared prefix and the blocks after it assigns,
// among those whose load is within the bound. All daemons agree on it without exchanging data.
func expectedHolder(q Query, candidates []Candidate, bound int) string {
	depth := prefixHashBlocks
	if q.sharedPrefixBlocks > 0 {
		depth = q.sharedPrefixBlocks + blocksPastSharedPrefix
	}
	key := prefixKey(q, depth)
	best, weight := "", uint64(0)
	for _, c := range candidates {
		if w := rendezvousWeight(key, c.Name); w >= weight && c.RequestsInFlight <= bound {
			best, weight = c.Name, w
		}
	}
	return best
}

const (
	// A candidate's requests in flight are bounded by loadBoundFactor times the mean plus
	// loadBoundSlack requests.
	loadBoundFactor = 2.5
	loadBoundSlack  = 8
)

// loadBound returns the number of requests in flight up to which an endpoint may be chosen for
// its cache.
func loadBound(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.RequestsInFlight
	}
	return int(loadBoundFactor*float64(sum)/float64(len(candidates))) + loadBoundSlack
}

// prefixKey returns a hash of the first n blocks of the prompt, or of the whole prompt if it is
// shorter.
func prefixKey(q Query, n int) uint64 {
	if len(q.blockHashes) == 0 {
		return xxhash.Sum64String(q.Prompt)
	}
	return q.blockHashes[min(n, len(q.blockHashes))-1]
}

// goldenRatioMultiplier is the odd constant 2^64 divided by the golden ratio (Fibonacci
// hashing).
const goldenRatioMultiplier = 0x9e3779b97f4a7c15

// rendezvousWeight returns the rendezvous hashing weight of a name for a key.
func rendezvousWeight(key uint64, name string) uint64 {
	h := (xxhash.Sum64String(name) ^ key) * goldenRatioMultiplier
	return (h ^ h>>32) * goldenRatioMultiplier
}

// leastCostIndex returns the index of the candidate with the least cost, the first one among
// equals.
func leastCostIndex(candidates []Candidate, cost func(Candidate) float64) int {
	best, bestCost := 0, cost(candidates[0])
	for i := 1; i < len(candidates); i++ {
		if c := cost(candidates[i]); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
