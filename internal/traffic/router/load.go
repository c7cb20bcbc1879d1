package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/remote/inferrer"
)

// endpointLoad is the load that one or several daemons have in flight at an endpoint.
type endpointLoad struct {
	requests int
	// pendingTokens counts the uncached prompt tokens of requests without a first token.
	pendingTokens int
}

func (w endpointLoad) add(o endpointLoad) endpointLoad {
	return endpointLoad{requests: w.requests + o.requests, pendingTokens: w.pendingTokens + o.pendingTokens}
}

// peerLoadExpiry is the age at which the load report of an unreachable peer is discarded.
const peerLoadExpiry = 3 * time.Second

// peerLoadTable holds the load reports of the other daemons and their totals by endpoint.
type peerLoadTable struct {
	totals  map[string]endpointLoad
	reports map[string]loadReport
}

type loadReport struct {
	loads      map[string]endpointLoad
	receivedAt time.Time
}

func newPeerLoadTable() peerLoadTable {
	return peerLoadTable{totals: make(map[string]endpointLoad), reports: make(map[string]loadReport)}
}

func (p peerLoadTable) setReport(peer string, w map[string]endpointLoad, now time.Time) {
	p.removeReport(peer)
	for name, one := range w {
		p.totals[name] = p.totals[name].add(one)
	}
	p.reports[peer] = loadReport{loads: w, receivedAt: now}
	for other, s := range p.reports {
		if now.Sub(s.receivedAt) > peerLoadExpiry {
			p.removeReport(other)
		}
	}
}

func (p peerLoadTable) removeReport(peer string) {
	for name, one := range p.reports[peer].loads {
		left := p.totals[name].add(endpointLoad{requests: -one.requests, pendingTokens: -one.pendingTokens})
		if left == (endpointLoad{}) {
			delete(p.totals, name)
			continue
		}
		p.totals[name] = left
	}
	delete(p.reports, peer)
}

// reportedLoad is the load at one endpoint in a daemon's report to its peers.
type reportedLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Requests int
	Tokens   int
}

// maxReportedEndpoints bounds the endpoints in a load report, so that it fits a gossip item.
const maxReportedEndpoints = 20

// EncodeOwnLoad encodes this daemon's load report for its peers: the endpoints at which it has the
// most requests in flight.
func (r *Router) EncodeOwnLoad() ([]byte, error) {
	r.mu.Lock()
	reported := make([]reportedLoad, 0, len(r.ownLoads))
	for name, w := range r.ownLoads {
		reported = append(reported, reportedLoad{Endpoint: name, Requests: w.requests, Tokens: w.pendingTokens})
	}
	r.mu.Unlock()
	slices.SortFunc(reported, func(a, b reportedLoad) int {
		return cmp.Or(b.Requests-a.Requests, strings.Compare(a.Endpoint, b.Endpoint))
	})
	return cbor.Marshal(reported[:min(len(reported), maxReportedEndpoints)])
}

// SetPeerLoad stores the load report of a peer, as encoded by EncodeOwnLoad.
func (r *Router) SetPeerLoad(peer string, encoded []byte) error {
	var reported []reportedLoad
	if err := cbor.Unmarshal(encoded, &reported); err != nil {
		return err
	}
	loads := make(map[string]endpointLoad, len(reported))
	for _, s := range reported {
		loads[s.Endpoint] = endpointLoad{requests: s.Requests, pendingTokens: s.Tokens}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerLoads.setReport(peer, loads, r.cfg.Now())
	return nil
}

// ApplyCacheEvents applies the cache events of an endpoint to the prefix index.
func (r *Router) ApplyCacheEvents(endpoint string, events []inferrer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, e := range events {
		r.prefixIndex.applyEvent(endpoint, e, now)
	}
}

// SetCacheSize sets the number of blocks that an endpoint can cache.
func (r *Router) SetCacheSize(endpoint string, blocks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixIndex.cacheOf(endpoint).capacityBlocks = blocks
}

// ForgetEndpoint removes an endpoint's known cache and rate, because it has left or has restarted.
func (r *Router) ForgetEndpoint(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixIndex.removeEndpoint(endpoint)
	delete(r.tokenRates.observed, endpoint)
}

const (
	// rateSmoothing is the weight of one observation in the moving average of an endpoint's
	// rate.
	rateSmoothing = 0.2
	// slowRateFactor is the multiple of the mean rate from which an endpoint counts as slow;
	// smaller differences come from the mix of requests.
	slowRateFactor = 2
	// slowRateDecayTime is the time in which the rate of a slow endpoint decays to the mean, so
	// that the router tries the endpoint again.
	slowRateDecayTime = 15 * time.Second
	// defaultSecondsPerToken is the rate before any observation.
	defaultSecondsPerToken = 100e-6
)

// tokenRates keeps a moving average of the time that one token of predicted work takes at each
// endpoint.
type tokenRates struct{ observed map[string]observedRate }

type observedRate struct {
	secondsPerToken float64
	observedAt      time.Time
}

func newTokenRates() tokenRates { return tokenRates{observed: make(map[string]observedRate)} }

func (r tokenRates) mean() float64 {
	if len(r.observed) == 0 {
		return defaultSecondsPerToken
	}
	var sum float64
	for _, o := range r.observed {
		sum += o.secondsPerToken
	}
	return sum / float64(len(r.observed))
}

func (r tokenRates) estimate(endpoint string, mean float64, now time.Time) float64 {
	o, ok := r.observed[endpoint]
	if !ok || o.secondsPerToken < slowRateFactor*mean {
		return mean
	}
	age := min(1, float64(now.Sub(o.observedAt))/float64(slowRateDecayTime))
	return o.secondsPerToken + (mean-o.secondsPerToken)*age
}

func (r tokenRates) observe(endpoint string, secondsPerToken float64, now time.Time) {
	old, ok := r.observed[endpoint]
	if !ok {
		old.secondsPerToken = secondsPerToken
	}
	r.observed[endpoint] = observedRate{
		secondsPerToken: old.secondsPerToken + rateSmoothing*(secondsPerToken-old.secondsPerToken), observedAt: now,
	}
}
