// Package limiter holds organisations to their allowances and services to their
// budget of retries, over all daemons together.
//
// Each daemon keeps a bucket of the whole allowance and takes from it what it
// and every daemon that it hears let through. A daemon that it does not hear is
// taken to use up an equal part; as that one reckons likewise, daemons that are
// cut off from one another do not exceed the whole.
package limiter

import (
	"sync"
	"time"

	"pomelotiller/internal/config/registrar"
)

// Allowances is the state of all organisations at one daemon.
type Allowances struct {
	mu      sync.Mutex
	full    bool
	buckets map[string]*bucket
	// members counts all daemons, silent those that are not heard.
	members, silent int
}

// bucket is what is left of one organisation's allowance.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	// total is what this daemon let through since its start.
	total float64
}

// NewAllowances returns the state at the start of a daemon. Buckets start full
// where the whole fleet starts for the first time, and empty elsewhere, since
// what was saved up may have been spent before the start.
func NewAllowances(full bool) *Allowances {
	return &Allowances{full: full, buckets: make(map[string]*bucket), members: 1}
}

// Configure brings the limits of a configuration into force.
func (a *Allowances) Configure(orgs []registrar.Organisation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range orgs {
		b := a.buckets[o.Name]
		if b == nil {
			b = &bucket{at: now}
			a.buckets[o.Name] = b
			if a.full {
				b.level = o.Burst
			}
		}
		b.refill(now, a.silentShare())
		b.rate, b.burst = o.Rate, max(o.Burst, o.Rate/burstFraction)
		b.level = min(b.level, b.room(a.silentShare()))
	}
}

// largeShare is the part of what may be saved up that must be there for a request
// that is larger.
const largeShare = 0.5

// burstFraction of a second's allowance may be saved up where the organisation
// has no burst, so that a single request can pass at all.
const burstFraction = 10

// SetMembers says how many daemons there are and how many are not heard.
func (a *Allowances) SetMembers(members, silent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members, a.silent = max(members, 1), silent
	for _, b := range a.buckets {
		b.level = min(b.level, b.room(a.silentShare()))
	}
}

// Take lets a request of that cost pass, or says how long until it would.
func (a *Allowances) Take(org string, cost float64, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[org]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.refill(now, a.silentShare())
	// What a large request takes beyond that is made up for by those after it;
	// waiting for all of it would starve the largest behind the small.
	need := min(cost, largeShare*b.room(a.silentShare()))
	if b.level >= need {
		b.level -= cost
		b.total += cost
		return 0, true
	}
	net := b.rate * (1 - a.silentShare())
	return time.Duration((need - b.level) / net * float64(time.Second)), false
}

// Refund gives back what a request took that was then not sent.
func (a *Allowances) Refund(org string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[org]; b != nil && b.rate > 0 {
		b.level = min(b.level+cost, b.burst)
		b.total -= cost
	}
}

// silentShare is the part of each allowance that silent daemons may use.
func (a *Allowances) silentShare() float64 {
	return float64(min(a.silent, a.members-1)) / float64(a.members)
}

// Spend notes that another daemon let through more of an allowance. What was
// already taken for it while it was silent, for as long as quiet says, is not
// taken again.
func (a *Allowances) Spend(org string, cost float64, quiet time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[org]
	if b == nil || b.rate <= 0 {
		return
	}
	b.refill(now, a.silentShare())
	if quiet > 0 {
		cost = max(cost-b.rate/float64(a.members)*quiet.Seconds(), 0)
	}
	b.level = min(b.level-cost, b.room(a.silentShare()))
}

// Totals returns what this daemon let through since its start.
func (a *Allowances) Totals() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.buckets))
	for org, b := range a.buckets {
		if b.total != 0 {
			out[org] = b.total
		}
	}
	return out
}

// Level returns what is left of an organisation's allowance.
func (a *Allowances) Level(org string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[org]; b != nil {
		return b.level
	}
	return 0
}

// refill adds what accrued since the last look, less the part of silent
// daemons.
func (b *bucket) refill(now time.Time, silentShare float64) {
	if now.After(b.at) {
		b.level = min(b.level+b.rate*(1-silentShare)*now.Sub(b.at).Seconds(), b.room(silentShare))
		b.at = now
	}
}

// room is what may be saved up. The part of silent daemons is left to them, so
// that each side of a cut does not spend the whole of it.
func (b *bucket) room(silentShare float64) float64 { return b.burst * (1 - silentShare) }
