package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/remote/inferrer"
)

// Request is one planned request of a load.
type Request struct {
	// Number is the index of the request in the plan, from 0.
	Number int
	// Start is the planned time of sending, counted from the start of the load.
	Start        time.Duration
	Organisation Organisation
	Kind         Kind
	textCache    *textCache
	// site, historyRound and historyTurn identify the history in the prompt: the site, how often the
	// site has started another history, and the number of requests on this history before.
	site, historyRound int
	historyTurn        int
}

// siteZipfExponent is the exponent of the Zipf distribution of requests over sites.
const siteZipfExponent = 1.1

// Plan generates the requests of a scenario, sorted by start. Arrivals follow a Poisson process with
// a time-dependent rate.
func Plan(s Scenario) []Request {
	p := &planBuilder{
		scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 1)),
		textCache: &textCache{seed: s.Seed, texts: make(map[string]string)}, requestsPerSite: make(map[siteKey]int),
	}
	var out []Request
	peakRate := s.peakRate()
	for at := p.randomArrivalGap(peakRate); at < s.Duration.Std(); at += p.randomArrivalGap(peakRate) {
		// Arrivals are drawn at the peak rate, then thinned to the rate at this time.
		orgRates := s.orgRates(at)
		if p.rand.Float64()*peakRate >= sum(orgRates) {
			continue
		}
		out = append(out, p.buildRequest(len(out), at, orgRates))
	}
	return out
}

// siteKey identifies a site: one of the histories that an organisation shares among its requests of
// a kind.
type siteKey struct {
	organisation, kind string
	site               int
}

// planBuilder draws the requests of a scenario from a seeded random source.
type planBuilder struct {
	scenario        Scenario
	rand            *rand.Rand
	textCache       *textCache
	requestsPerSite map[siteKey]int
}

// randomArrivalGap draws the time between two arrivals from an exponential distribution.
func (p *planBuilder) randomArrivalGap(rate float64) time.Duration {
	return time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
}

func (p *planBuilder) buildRequest(n int, at time.Duration, orgRates []float64) Request {
	r := Request{Number: n, Start: at, textCache: p.textCache}
	r.Organisation = p.scenario.Organisations[pickWeighted(p.rand, orgRates)]
	shares := make([]float64, len(p.scenario.Kinds))
	for i, k := range p.scenario.Kinds {
		shares[i] = k.Share
	}
	r.Kind = p.scenario.Kinds[pickWeighted(p.rand, shares)]
	if r.Kind.Sites > 0 {
		r.site = p.pickSite(r.Kind.Sites)
		key := siteKey{r.Organisation.Name, r.Kind.Name, r.site}
		if turns := r.Kind.TurnsPerHistory; turns > 0 {
			r.historyRound, r.historyTurn = p.requestsPerSite[key]/turns, p.requestsPerSite[key]%turns
		}
		p.requestsPerSite[key]++
	}
	return r
}

// pickSite draws one of n sites from a Zipf distribution, in which site 0 is the most frequent.
func (p *planBuilder) pickSite(n int) int {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -siteZipfExponent)
	}
	return pickWeighted(p.rand, weights)
}

// pickWeighted draws an index with a probability proportional to its weight.
func pickWeighted(r *rand.Rand, weights []float64) int {
	at := r.Float64() * sum(weights)
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}

func sum(values []float64) float64 {
	var s float64
	for _, v := range values {
		s += v
	}
	return s
}

// orgRates returns the request rate of each organisation at a time, in requests per second.
func (s Scenario) orgRates(at time.Duration) []float64 {
	var weights float64
	for _, o := range s.Organisations {
		weights += o.Weight
	}
	out := make([]float64, len(s.Organisations))
	for i, o := range s.Organisations {
		out[i] = s.Rate * o.Weight / weights
		for _, b := range s.Bursts {
			in := at >= b.Start.Std() && at < b.Start.Std()+b.Length.Std()
			if in && (b.Organisation == "" || b.Organisation == o.Name) {
				out[i] *= b.Factor
			}
		}
	}
	return out
}

// peakRate returns the highest total rate of the scenario. It evaluates the rate only at the starts
// and ends of bursts, since the rate is constant between them.
func (s Scenario) peakRate() float64 {
	peakRate := sum(s.orgRates(0))
	for _, b := range s.Bursts {
		for _, at := range []time.Duration{b.Start.Std(), b.Start.Std() + b.Length.Std()} {
			peakRate = max(peakRate, sum(s.orgRates(at)))
		}
	}
	return peakRate
}

// Prompt returns the prompt text: the shared prefix of the kind, the history of the site, and words
// of this request only.
func (r Request) Prompt() string {
	k := r.Kind
	preface := r.textCache.get("preface/"+k.Name, k.SharedPrefixTokens)
	site := fmt.Sprintf("site/%s/%s/%d/%d", r.Organisation.Name, k.Name, r.site, r.historyRound)
	history := r.textCache.get(site, k.HistoryTokens+k.GrowthTokens*max(0, k.TurnsPerHistory-1))
	length := (k.HistoryTokens + k.GrowthTokens*r.historyTurn) * inferrer.TokenBytes
	return preface + history[:length] + randomWords(xxhash.Sum64String(fmt.Sprint(r.textCache.seed, "/own/", r.Number)), k.PromptTokens)
}

// Key returns the ID of the request, which serves as the idempotency key of an order.
func (r Request) Key() string { return fmt.Sprintf("load-%d-%d", r.textCache.seed, r.Number) }

// textCache generates the texts that several requests share and keeps them by name. It is not safe
// for concurrent use.
type textCache struct {
	seed  uint64
	texts map[string]string
}

func (t *textCache) get(name string, tokens int) string {
	if s, ok := t.texts[name]; ok {
		return s
	}
	s := randomWords(xxhash.Sum64String(fmt.Sprint(t.seed, "/", name)), tokens)
	t.texts[name] = s
	return s
}

// vocabulary holds words that make one token each, together with the space that follows.
var vocabulary = strings.Fields("van sun row dew fog map bay cab den elm fir gap hut ice jar key log mud net oak pad rig sea tin urn vat wax yam zip arc box cog")

// randomWords returns a text of so many tokens, determined by the seed.
func randomWords(seed uint64, tokens int) string {
	r := rand.New(rand.NewPCG(seed, 2))
	var b strings.Builder
	b.Grow(tokens * inferrer.TokenBytes)
	for range tokens {
		b.WriteString(vocabulary[r.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
