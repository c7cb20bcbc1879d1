// Package limiter enforces a rate limit per organisation and a retry budget per service, both
// shared by all daemons of the fleet.
//
// Each daemon keeps a replica of an organisation's token bucket and charges it with what it
// admits itself and with what the other daemons report. It reserves an equal share of the rate
// for each daemon that is unreachable. Daemons on every side of a network partition do the same,
// so all sides together stay within the limit.
package limiter

import (
	"math"
	"sync"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
)

// Allowances is one daemon's rate limiter for all organisations, with a token bucket for each.
type Allowances struct {
	mu        sync.Mutex
	cfg       Config
	buckets   map[string]*bucket
	fleetView fleetView
}

// fleetView is what this daemon knows of the other daemons.
type fleetView struct {
	// members counts all daemons, unreachable those whose messages stopped arriving.
	members, unreachable int
	// reportDelay is how long reports of admissions take to arrive.
	reportDelay time.Duration
	// lastReport is when the last report of admissions arrived.
	lastReport time.Time
}

// isMissingReports reports whether reports of other daemons are overdue.
func (v fleetView) isMissingReports(now time.Time) bool {
	return v.members > 1 && !v.lastReport.IsZero() && now.Sub(v.lastReport) > v.reportDelay/2
}

// reachable counts the reachable daemons, including this one.
func (v fleetView) reachable() int { return v.members - v.unreachable }

// reachableFraction is the fraction of each allowance that the reachable daemons may use.
func (v fleetView) reachableFraction() float64 { return float64(v.reachable()) / float64(v.members) }

// Config configures Allowances.
type Config struct {
	// StartFull makes buckets start full. It is set when the whole fleet starts for the first time,
	// since nothing was spent before.
	StartFull bool
	// Tolerance bounds what may be admitted beyond the allowances.
	Tolerance Tolerance
	// Policies switch the cold start grant on or off.
	Policies switcher.Policies
}

// Tolerance is what may be admitted for an organisation in a window beyond its rate and burst.
type Tolerance struct {
	Window time.Duration
	// OverrunFraction is a fraction of what rate and burst allow in a window.
	OverrunFraction float64
	// Extra is an absolute amount, in the unit of the allowance.
	Extra float64
}

// slack is the tolerance for an organisation in the unit of its allowance.
func (t Tolerance) slack(o registrar.Organisation) float64 {
	return (o.Rate*t.Window.Seconds()+o.Burst)*t.OverrunFraction + t.Extra
}

// NewAllowances returns the rate limiter of a daemon that starts. Unless cfg.StartFull is set,
// buckets start empty, since savings may have been spent before the start. They gain a part of the
// tolerance as other daemons become reachable, until a level is adopted from one of these.
func NewAllowances(cfg Config) *Allowances {
	return &Allowances{cfg: cfg, buckets: make(map[string]*bucket), fleetView: fleetView{members: 1}}
}

// Configure applies the limits of a configuration.
func (a *Allowances) Configure(orgs []registrar.Organisation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range orgs {
		b := a.buckets[o.Name]
		if b == nil {
			b = &bucket{refilledAt: now, createdAt: now}
			a.buckets[o.Name] = b
			if a.cfg.StartFull {
				b.level, b.levelKnown = math.Inf(1), true
			}
		}
		b.refill(now, a.fleetView)
		b.configure(o, a.cfg.Tolerance, a.fleetView)
		b.clampLevel(a.fleetView)
	}
}

// SetTolerance replaces the tolerance of all buckets.
func (a *Allowances) SetTolerance(t Tolerance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Tolerance = t
	for _, b := range a.buckets {
		b.configure(b.org, t, a.fleetView)
		b.clampLevel(a.fleetView)
	}
}

// SetMembers sets how many daemons there are, how many of them are unreachable, and how long
// their reports of admissions take to arrive.
func (a *Allowances) SetMembers(members, unreachable int, reportDelay time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delayChanged := reportDelay != a.fleetView.reportDelay
	a.fleetView = fleetView{members: max(members, 1), unreachable: min(unreachable, max(members, 1)-1), reportDelay: reportDelay, lastReport: a.fleetView.lastReport}
	for _, b := range a.buckets {
		if delayChanged {
			b.configure(b.org, a.cfg.Tolerance, a.fleetView)
		}
		if a.cfg.Policies.IsOn(switcher.Grant) {
			b.grantColdStart(a.cfg.Tolerance, a.fleetView, now)
		}
		b.clampLevel(a.fleetView)
	}
}

// RecordReport records that a report of admissions arrived from other daemons, even if it reports
// none.
func (a *Allowances) RecordReport(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fleetView.isMissingReports(now) {
		for _, b := range a.buckets {
			b.refill(now, a.fleetView)
		}
	}
	a.fleetView.lastReport = now
}

// Decision is the result of an admission check, with the state it was based on.
type Decision struct {
	Admitted bool
	// Wait is the time until a refused request could be admitted.
	Wait time.Duration
	// Level is what was left in the bucket before the check, and Capacity that of a full one.
	Level, Capacity float64
	// ShareLevel is what was left of this daemon's own share. It limits requests only while
	// ShareLimited is set.
	ShareLevel   float64
	ShareLimited bool
	// Members counts the daemons, Unreachable those that cannot be reached.
	Members, Unreachable int
}

// Admit admits and charges a request of that cost, or returns how long it has to wait. A request
// of an organisation without a limit is admitted.
func (a *Allowances) Admit(org string, cost float64, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[org]
	if b == nil || b.rate <= 0 {
		return Decision{Admitted: true}
	}
	b.refill(now, a.fleetView)
	d := Decision{
		Level: b.level, Capacity: b.capacity(a.fleetView), ShareLevel: b.shareLevel, ShareLimited: b.isShareLimited(a.fleetView),
		Members: a.fleetView.members, Unreachable: a.fleetView.unreachable,
	}
	waitSeconds := b.waitSeconds(cost, a.fleetView)
	if d.Admitted = waitSeconds <= 0; d.Admitted {
		b.charge(cost)
		return d
	}
	d.Wait = time.Duration(waitSeconds * float64(time.Second))
	return d
}

// Refund returns the cost of an admitted request that was not sent.
func (a *Allowances) Refund(org string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[org]; b != nil && b.rate > 0 {
		b.charge(-cost)
		b.clampLevel(a.fleetView)
	}
}

// ChargePeer charges what another daemon reports to have admitted. Of that, the share that was
// reserved for the daemon while it was unreachable, for the time quiet, is not charged again.
func (a *Allowances) ChargePeer(org string, cost float64, quiet time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[org]
	if b == nil || b.rate <= 0 {
		return
	}
	b.refill(now, a.fleetView)
	b.chargeOthers(cost, b.rate/float64(a.fleetView.members)*quiet.Seconds(), a.fleetView)
}

// AdmittedTotals returns what this daemon admitted of each allowance since its start.
func (a *Allowances) AdmittedTotals() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.buckets))
	for org, b := range a.buckets {
		if b.admittedTotal != 0 {
			out[org] = b.admittedTotal
		}
	}
	return out
}

// KnownLevels returns the bucket level of each organisation whose level is known.
func (a *Allowances) KnownLevels() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.buckets))
	for org, b := range a.buckets {
		if b.levelKnown && b.rate > 0 {
			out[org] = b.level
		}
	}
	return out
}

// AdoptLevel takes over another daemon's bucket level, if this daemon does not know its own yet after
// a start.
func (a *Allowances) AdoptLevel(org string, level float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[org]; b != nil && b.rate > 0 {
		b.adoptLevel(level, a.fleetView)
	}
}

// Level returns the bucket level of an organisation.
func (a *Allowances) Level(org string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[org]; b != nil {
		return b.level
	}
	return 0
}
