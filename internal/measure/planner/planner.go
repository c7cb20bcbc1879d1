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

// Request is one planned request.
type Request struct {
	// Number counts the requests of the plan from 0.
	Number int
	// At is the intended start, counted from that of the load.
	At           time.Duration
	Organisation Organisation
	Kind         Kind
	texts        *texts
	site, round  int
	turn         int
}

// siteSkew is the exponent of the popularity of sites.
const siteSkew = 1.1

// Plan returns the requests of a scenario, in the order of their starts.
func Plan(s Scenario) []Request {
	p := &plan{
		scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 1)),
		texts: &texts{seed: s.Seed, known: make(map[string]string)}, uses: make(map[siteKey]int),
	}
	var out []Request
	peak := s.peak()
	for at := p.gap(peak); at < s.Duration.Std(); at += p.gap(peak) {
		// Arrivals at the peak rate are thinned to the rate of the instant.
		rates := s.rates(at)
		if p.rand.Float64()*peak >= sum(rates) {
			continue
		}
		out = append(out, p.request(len(out), at, rates))
	}
	return out
}

type siteKey struct {
	organisation, kind string
	site               int
}

type plan struct {
	scenario Scenario
	rand     *rand.Rand
	texts    *texts
	uses     map[siteKey]int
}

func (p *plan) gap(rate float64) time.Duration {
	return time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
}

func (p *plan) request(n int, at time.Duration, rates []float64) Request {
	r := Request{Number: n, At: at, texts: p.texts}
	r.Organisation = p.scenario.Organisations[pick(p.rand, rates)]
	shares := make([]float64, len(p.scenario.Kinds))
	for i, k := range p.scenario.Kinds {
		shares[i] = k.Share
	}
	r.Kind = p.scenario.Kinds[pick(p.rand, shares)]
	if r.Kind.Sites > 0 {
		r.site = p.popular(r.Kind.Sites)
		key := siteKey{r.Organisation.Name, r.Kind.Name, r.site}
		if turns := r.Kind.Turns; turns > 0 {
			r.round, r.turn = p.uses[key]/turns, p.uses[key]%turns
		}
		p.uses[key]++
	}
	return r
}

// popular picks one of n sites; the first are asked for most.
func (p *plan) popular(n int) int {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -siteSkew)
	}
	return pick(p.rand, weights)
}

func pick(r *rand.Rand, weights []float64) int {
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

// rates returns the rate of each organisation at an instant.
func (s Scenario) rates(at time.Duration) []float64 {
	var weights float64
	for _, o := range s.Organisations {
		weights += o.Weight
	}
	out := make([]float64, len(s.Organisations))
	for i, o := range s.Organisations {
		out[i] = s.Rate * o.Weight / weights
		for _, b := range s.Bursts {
			in := at >= b.At.Std() && at < b.At.Std()+b.Length.Std()
			if in && (b.Organisation == "" || b.Organisation == o.Name) {
				out[i] *= b.Factor
			}
		}
	}
	return out
}

// peak returns a rate that no instant exceeds. The rate changes only where a
// burst starts or ends.
func (s Scenario) peak() float64 {
	peak := sum(s.rates(0))
	for _, b := range s.Bursts {
		for _, at := range []time.Duration{b.At.Std(), b.At.Std() + b.Length.Std()} {
			peak = max(peak, sum(s.rates(at)))
		}
	}
	return peak
}

// Prompt returns the text of the request.
func (r Request) Prompt() string {
	k := r.Kind
	preface := r.texts.get("preface/"+k.Name, k.Preface)
	site := fmt.Sprintf("site/%s/%s/%d/%d", r.Organisation.Name, k.Name, r.site, r.round)
	history := r.texts.get(site, k.History+k.Growth*max(0, k.Turns-1))
	length := (k.History + k.Growth*r.turn) * inferrer.TokenBytes
	return preface + history[:length] + words(xxhash.Sum64String(fmt.Sprint(r.texts.seed, "/own/", r.Number)), k.Prompt)
}

// Key returns the idempotency key of an order.
func (r Request) Key() string { return fmt.Sprintf("load-%d-%d", r.texts.seed, r.Number) }

// texts remembers the texts that requests share. It is not safe for concurrent
// use.
type texts struct {
	seed  uint64
	known map[string]string
}

func (t *texts) get(name string, tokens int) string {
	if s, ok := t.known[name]; ok {
		return s
	}
	s := words(xxhash.Sum64String(fmt.Sprint(t.seed, "/", name)), tokens)
	t.known[name] = s
	return s
}

// vocabulary holds words that make one token each with the space after them.
var vocabulary = strings.Fields("van sun row dew fog map bay cab den elm fir gap hut ice jar key log mud net oak pad rig sea tin urn vat wax yam zip arc box cog")

func words(seed uint64, tokens int) string {
	r := rand.New(rand.NewPCG(seed, 2))
	var b strings.Builder
	b.Grow(tokens * inferrer.TokenBytes)
	for range tokens {
		b.WriteString(vocabulary[r.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
