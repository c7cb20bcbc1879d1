// Package router chooses the version and the endpoint of each attempt: the version by the
// shares of a rollout, the endpoint by a load-balancing policy that considers load and prefix
// caches.
package router

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/throttler"
)

// Errors that Choose returns.
var (
	ErrNoEndpoint = errors.New("no endpoint serves the version")
	ErrNoVersion  = errors.New("route has no version with a share")
)

// LimitedError is the error of Choose if all endpoints that serve the version are at the request limits that
// they name.
type LimitedError struct {
	// Wait is the time until one of them takes another request.
	Wait time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("all endpoints are at their limits for %s", e.Wait)
}

// Unwrap returns ErrNoEndpoint, since no endpoint can be chosen now.
func (e *LimitedError) Unwrap() error { return ErrNoEndpoint }

// EvacuatedError is the error of Choose if all endpoints that serve the version are in evacuated failure
// domains.
type EvacuatedError struct {
	// Domains are the names of the domains.
	Domains []string
}

// Error implements error.
func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("all endpoints are in evacuated failure domains (%s)", strings.Join(e.Domains, ", "))
}

// Unwrap returns ErrNoEndpoint, since no endpoint can be chosen now.
func (e *EvacuatedError) Unwrap() error { return ErrNoEndpoint }

// LimitKey returns the id by which the request limit of an endpoint is known. A host that replaces another one
// of the same name has another address.
func LimitKey(e viewer.Endpoint) string { return e.Name + "@" + e.Address }

// Query describes the attempt that needs an endpoint.
type Query struct {
	// Request is the id of the request; its hash picks the version.
	Request string
	// Route is the route that the request names.
	Route loader.Route
	// Version is the required version, for resuming an answer; if empty, the shares decide.
	Version string
	// Prompt is the text that the model continues.
	Prompt string
	// Domain is the failure domain of this daemon.
	Domain string
	// Exclude holds the names of endpoints that the request must not use, since they failed it.
	Exclude map[string]bool
	// IncludeSuspected includes endpoints that are suspected and may yet run.
	IncludeSuspected bool

	// blockHashes are the hashes of the full cache blocks of the prompt.
	blockHashes []uint64
	// promptTokens is the length of the prompt.
	promptTokens int
	// knownCachedBlocks is the length of the longest prefix that the index knows at any
	// endpoint.
	knownCachedBlocks int
	// sharedPrefixBlocks is the number of leading blocks that many prompts share.
	sharedPrefixBlocks int
}

// Candidate is an endpoint that serves the version, with its estimated load and cached prefix.
type Candidate struct {
	viewer.Endpoint
	// OwnRequests is the number of this daemon's requests in flight at the endpoint.
	OwnRequests int
	// RequestsInFlight is the estimated number of requests in flight from all daemons.
	RequestsInFlight int
	// UncomputedTokens is the estimated number of prompt tokens that wait to be computed.
	UncomputedTokens int
	// CachedBlocks is the number of the prompt's leading blocks in the endpoint's cache.
	CachedBlocks int
	// SecondsPerToken is the time that one token of predicted work takes.
	SecondsPerToken float64
}

// Policy is a load-balancing policy: it picks one of several candidates for a query.
type Policy[Q, C any] interface {
	// Pick returns the index of the chosen candidate. candidates is not empty.
	Pick(q Q, candidates []C) int
}

// Choice is the endpoint chosen for an attempt. The caller must call Release once the attempt
// has ended, and FirstToken if and when the first token arrives.
type Choice struct {
	Endpoint viewer.Endpoint
	Version  string
	// UncomputedTokens is the estimated number of prompt tokens that the endpoint has to compute
	// before the first token: those that it has not cached, and those that wait there.
	UncomputedTokens int
	FirstToken       func()
	Release          func()
}

// Config configures a Router.
type Config struct {
	// Policy picks endpoints; nil is Predicted.
	Policy Policy[Query, Candidate]
	// Now returns the time; nil is time.Now.
	Now func() time.Time
	// Limits keeps requests to endpoints back that name a request limit; nil keeps none back.
	Limits throttler.Gate
	// CountCachedBlocks, if set, returns the number of leading blocks that an endpoint really
	// caches. It replaces the index in measurements, as an upper bound for policies.
	CountCachedBlocks func(endpoint string, hashes []uint64) int
}

// Router chooses endpoints and tracks their load and caches. All methods are safe for
// concurrent use.
type Router struct {
	cfg         Config
	mu          sync.Mutex
	ownLoads    map[string]endpointLoad
	peerLoads   peerLoadTable
	prefixIndex *prefixIndex
	tokenRates  tokenRates
	// candidateBuffer is reused by every choice.
	candidateBuffer []Candidate
}

// New returns a Router.
func New(cfg Config) *Router {
	if cfg.Policy == nil {
		cfg.Policy = Predicted{}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Limits == nil {
		cfg.Limits = throttler.NoLimits{}
	}
	return &Router{
		cfg: cfg, ownLoads: make(map[string]endpointLoad), peerLoads: newPeerLoadTable(),
		prefixIndex: newPrefixIndex(maxIndexEntries), tokenRates: newTokenRates(),
	}
}

// Choose picks a version by the shares of the route and an endpoint that serves it.
func (r *Router) Choose(v viewer.View, q Query) (Choice, error) {
	if q.Version == "" {
		version, err := PickVersion(v.VersionShares(q.Route), q.Request)
		if err != nil {
			return Choice{}, fmt.Errorf("route %q: %w", q.Route.Name, err)
		}
		q.Version = version
	}
	q.blockHashes = inferrer.BlockHashes(q.Version, q.Prompt)
	q.promptTokens = inferrer.Tokens(q.Prompt)
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates, wait := r.collectCandidates(v, &q, now)
	if len(candidates) == 0 && wait > 0 {
		return Choice{}, fmt.Errorf("route %q, version %q: %w", q.Route.Name, q.Version, &LimitedError{Wait: wait})
	}
	if len(candidates) == 0 {
		return Choice{}, fmt.Errorf("route %q, version %q: %w", q.Route.Name, q.Version, noEndpointError(v, q, now))
	}
	c := candidates[r.cfg.Policy.Pick(q, candidates)]
	r.cfg.Limits.Take(LimitKey(c.Endpoint), 0)
	return r.recordChoice(q, c, now), nil
}

// canServe reports whether the endpoint serves the version of a query, whether or not the query excludes
// it.
func (q Query) canServe(e viewer.Endpoint, now time.Time) bool {
	return e.CanServe(q.Version) || q.IncludeSuspected && e.MayServe(q.Version, now)
}

// noEndpointError returns an EvacuatedError if the only endpoints that could serve the query are in
// evacuated failure domains, and ErrNoEndpoint otherwise.
func noEndpointError(v viewer.View, q Query, now time.Time) error {
	var domains []string
	for _, e := range v.Endpoints {
		if q.canServe(e, now) {
			return ErrNoEndpoint
		}
		isEvacuated := e.Evacuated
		e.Evacuated = false
		if isEvacuated && q.canServe(e, now) && !slices.Contains(domains, e.Domain) {
			domains = append(domains, e.Domain)
		}
	}
	if len(domains) == 0 {
		return ErrNoEndpoint
	}
	slices.Sort(domains)
	return &EvacuatedError{Domains: domains}
}

// collectCandidates returns the endpoints that serve the version, without those at their request limit, and
// the shortest wait for one of these; 0 if there is none. It sets the prefix lengths of q. The result is
// valid while the caller holds the lock.
func (r *Router) collectCandidates(v viewer.View, q *Query, now time.Time) ([]Candidate, time.Duration) {
	var shortest time.Duration
	cachedPrefixes, sharedPrefixBlocks := r.prefixIndex.cachedPrefixes(q.blockHashes)
	q.sharedPrefixBlocks = sharedPrefixBlocks
	mean := r.tokenRates.mean()
	r.candidateBuffer = r.candidateBuffer[:0]
	for _, e := range v.Endpoints {
		if !q.canServe(e, now) || q.Exclude[e.Name] {
			continue
		}
		if wait := r.cfg.Limits.Wait(LimitKey(e), 0); wait > 0 {
			if shortest == 0 || wait < shortest {
				shortest = wait
			}
			continue
		}
		own := r.ownLoads[e.Name]
		known := own.add(r.peerLoads.totals[e.Name])
		c := Candidate{
			Endpoint: e, OwnRequests: own.requests, CachedBlocks: cachedPrefixes[e.Name],
			SecondsPerToken: r.tokenRates.estimate(e.Name, mean, now),
		}
		fresh := reportWeight(now.Sub(e.Reported))
		c.RequestsInFlight = mergeReport(known.requests, e.Running+e.Waiting, fresh)
		c.UncomputedTokens = mergeReport(known.pendingTokens, e.WaitingTokens, fresh)
		if r.cfg.CountCachedBlocks != nil {
			c.CachedBlocks = r.cfg.CountCachedBlocks(e.Name, q.blockHashes)
		}
		q.knownCachedBlocks = max(q.knownCachedBlocks, c.CachedBlocks)
		r.candidateBuffer = append(r.candidateBuffer, c)
	}
	return r.candidateBuffer, shortest
}

// reportDecayTime is the time in which the weight of a load report falls to 1/e.
const reportDecayTime = time.Second

// reportWeight returns the weight of a load report, which decays exponentially with its age.
func reportWeight(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(reportDecayTime))
}

// mergeReport returns the known load plus the weighted excess of the load that the endpoint
// reported.
func mergeReport(known, reported int, fresh float64) int {
	return known + int(fresh*float64(max(0, reported-known)))
}

// recordChoice adds an attempt to the load and the cache index of its endpoint.
func (r *Router) recordChoice(q Query, c Candidate, now time.Time) Choice {
	name := c.Name
	pending := endpointLoad{requests: 1, pendingTokens: q.promptTokens - min(c.CachedBlocks*inferrer.BlockTokens, q.promptTokens)}
	uncomputed := pending.pendingTokens + c.UncomputedTokens
	units := predictedTokens(q, c)
	r.ownLoads[name] = r.ownLoads[name].add(pending)
	r.prefixIndex.addBlocks(name, q.blockHashes, now)
	clearPendingTokens := func() {
		r.ownLoads[name] = r.ownLoads[name].add(endpointLoad{pendingTokens: -pending.pendingTokens})
		pending.pendingTokens = 0
	}
	first := sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		clearPendingTokens()
		at := r.cfg.Now()
		r.tokenRates.observe(name, at.Sub(now).Seconds()/units, at)
	})
	release := sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		clearPendingTokens()
		r.ownLoads[name] = r.ownLoads[name].add(endpointLoad{requests: -1})
		if r.ownLoads[name] == (endpointLoad{}) {
			delete(r.ownLoads, name)
		}
	})
	return Choice{
		Endpoint: c.Endpoint, Version: q.Version, UncomputedTokens: uncomputed, FirstToken: first, Release: release,
	}
}

// shareResolution is the number of steps of a share: one step is a hundredth of a percent.
const shareResolution = 10000

// PickVersion picks a version by shares and a hash of the request id. The same request always
// gets the same version while the shares stay the same.
func PickVersion(shares []loader.Share, request string) (string, error) {
	at := float64(xxhash.Sum64String(request)%shareResolution) * 100 / shareResolution
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
