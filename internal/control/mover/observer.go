package mover

import (
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/assessor"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/relayer"
)

const (
	// falseRevertProbability bounds the probability that a move to a version within its limits
	// is ever reverted for its faults.
	falseRevertProbability = 1e-3
	// doubtSignificance is the significance level of the test that stops the share from growing.
	doubtSignificance = 0.05
	// maxDomains and maxSteps divide falseRevertProbability among the tests of each failure
	// domain and of each step of a move (Bonferroni correction).
	maxDomains = 8
	maxSteps   = 8
	// windowLength is the length of the time windows that are tested separately, so that earlier
	// good outcomes do not hide a fault that starts late.
	windowLength = 5 * time.Second
	// shortAnswerFraction is the fraction of the allowed tokens below which an answer counts as
	// short.
	shortAnswerFraction = 0.6

	defaultErrorLimit = 0.01
	defaultSlowLimit  = 0.05
	defaultShortLimit = 0.2
)

// tally holds the outcomes that one daemon counted for one move.
type tally struct {
	Run    uint64 `cbor:"1,keyasint"`
	Step   uint64 `cbor:"2,keyasint"`
	Window uint64 `cbor:"3,keyasint"`
	Domain string `cbor:"4,keyasint"`
	// Total covers the run, Stage the current step, and Windows the current and the previous
	// time window.
	Total   VersionCounts    `cbor:"5,keyasint"`
	Stage   VersionCounts    `cbor:"6,keyasint"`
	Windows [2]VersionCounts `cbor:"7,keyasint"`
}

// resetExpired returns the tally with the counts of earlier runs, steps and windows set to zero.
func (t tally) resetExpired(r Record, now time.Time) tally {
	if t.Run != r.Run {
		t = tally{Run: r.Run}
	}
	if t.Step != r.Step {
		t.Step, t.Window, t.Stage, t.Windows = r.Step, 0, VersionCounts{}, [2]VersionCounts{}
	}
	window := uint64(max(0, now.Sub(r.EnteredAt)/windowLength))
	switch {
	case window == t.Window+1:
		t.Window, t.Windows = window, [2]VersionCounts{{}, t.Windows[0]}
	case window > t.Window:
		t.Window, t.Windows = window, [2]VersionCounts{}
	}
	return t
}

// withCounts returns the tally with counts added to the run, the step and the current window.
func (t tally) withCounts(p VersionCounts) tally {
	t.Total, t.Stage, t.Windows[0] = t.Total.Plus(p), t.Stage.Plus(p), t.Windows[0].Plus(p)
	return t
}

// recentCounts returns the counts of a window and the one before it, as far as the tally, whose
// current window may be one earlier or later, has them.
func (t tally) recentCounts(window uint64) VersionCounts {
	switch t.Window {
	case window:
		return t.Windows[0].Plus(t.Windows[1])
	case window + 1:
		return t.Windows[1]
	case window - 1:
		return t.Windows[0]
	}
	return VersionCounts{}
}

// Observe implements relayer.Outcomes. It counts the outcome of the first attempt of a request,
// since retries give no further information about the version, and reverts the move if the new
// version has proved faulty.
func (f *Follower) Observe(o relayer.Outcome) {
	if o.Attempt > 1 {
		return
	}
	set := f.cfg.Set()
	for _, c := range set.Moves {
		if c.Route == o.Route && (o.Version == c.From || o.Version == c.To) {
			f.recordOutcome(set, c, o)
		}
	}
}

func (f *Follower) recordOutcome(set loader.Set, c loader.Move, o relayer.Outcome) {
	now := f.cfg.Now()
	route, _ := set.Route(c.Route)
	f.mu.Lock()
	m, ok := f.moves[c.Name]
	if !ok || !m.record.belongsTo(c) || !m.record.IsRevertible() || m.isLatched() || m.isRepeatedBreak(o, now) {
		f.mu.Unlock()
		return
	}
	counts := m.classifyOutcome(o, route.Target)
	pair := VersionCounts{Old: counts}
	if o.Version == c.To {
		pair = VersionCounts{New: counts}
	}
	m.ownTally = m.ownTally.resetExpired(m.record, now).withCounts(pair)
	run, reason := m.record.Run, ""
	if countFaults(pair.New) > 0 {
		reason = f.faultReason(m)
	}
	f.mu.Unlock()
	meter.AddToCounter(f.cfg.Registry, 1, "move_outcomes_total", "move", c.Name, "version", o.Version)
	if reason != "" {
		f.Latch(c.Name, Latch{Run: run, Reason: reason})
	}
}

// isRepeatedBreak reports whether an outcome is a broken connection that counts as the same event as
// an earlier one.
func (f *followedMove) isRepeatedBreak(o relayer.Outcome, now time.Time) bool {
	a := assessor.Attempt{Endpoint: o.Endpoint, ConnectedAt: o.ConnectedAt, SentAt: o.SentAt, HasHead: o.HasHead, IsSilent: o.IsSilent}
	var status *inferrer.StatusError
	if o.Err == nil || errors.As(o.Err, &status) || errors.Is(o.Err, inferrer.ErrForeignAnswer) {
		f.breaks.RecordAnswer(a, now)
		return false
	}
	return f.breaks.IsRepeated(a, now)
}

// classifyOutcome returns the counts of one outcome, and adds one of the old version to the baseline
// of latencies. The caller holds the lock.
func (f *followedMove) classifyOutcome(o relayer.Outcome, target loader.Target) OutcomeCounts {
	c := OutcomeCounts{Requests: 1}
	if o.Err != nil {
		c.Errors = 1
		return c
	}
	if target.First > 0 && o.FirstTokenTime > target.First.Std() {
		c.SlowFirst = 1
	}
	if target.Token > 0 && o.TokenInterval > target.Token.Std() {
		c.SlowToken = 1
	}
	if float64(o.Tokens) < shortAnswerFraction*float64(o.MaxTokens) {
		c.Short = 1
	}
	if f.baseline.run != f.record.Run {
		f.baseline = latencyBaseline{run: f.record.Run}
	}
	c.FirstLatency, c.TokenLatency = f.baseline.compare(o)
	if o.Version == f.record.From {
		f.baseline.record(o)
	}
	return c
}

func faultLimits(b loader.Bounds) FaultLimits {
	l := FaultLimits{Errors: b.Errors, Slow: b.Slow, Short: defaultShortLimit}
	if l.Errors == 0 {
		l.Errors = defaultErrorLimit
	}
	if l.Slow == 0 {
		l.Slow = defaultSlowLimit
	}
	return l
}

// faultReason returns why a move must be reverted, or "" if its new version has no significant
// excess of faults over all daemons or in one failure domain. The caller holds the lock.
func (f *Follower) faultReason(m *followedMove) string {
	move, ok := f.cfg.Set().Move(m.record.Name)
	if !ok || !m.record.belongsTo(move) {
		return ""
	}
	ownTally := m.ownTally
	ownTally.Domain = f.cfg.Domain
	tallies := []tally{ownTally}
	domains := map[string]bool{ownTally.Domain: true}
	for _, p := range m.peerReports {
		t := p.Tally
		if t.Run == ownTally.Run {
			tallies = append(tallies, t)
			domains[t.Domain] = true
		}
	}
	if reason := scopeFaultReason(m.record, tallies, ownTally.Window, faultLimits(move.Bounds), falseRevertProbability/2); reason != "" {
		return reason
	}
	for d := range domains {
		var some []tally
		for _, t := range tallies {
			if t.Domain == d {
				some = append(some, t)
			}
		}
		if reason := scopeFaultReason(m.record, some, ownTally.Window, faultLimits(move.Bounds), falseRevertProbability/2/maxDomains); reason != "" {
			return fmt.Sprintf("%s in failure domain %q", reason, d)
		}
	}
	return ""
}

// scopeFaultReason compares the versions by the given tallies, both for the current step and for
// its last two windows, and returns a description of the excess faults or "". Once the move is done
// the old version gets no traffic, so its counts of the whole run are used.
func scopeFaultReason(r Record, tallies []tally, window uint64, l FaultLimits, alpha float64) string {
	var total, stage, recentCounts VersionCounts
	for _, t := range tallies {
		total = total.Plus(t.Total)
		if t.Step == r.Step {
			stage = stage.Plus(t.Stage)
			recentCounts = recentCounts.Plus(t.recentCounts(window))
		}
	}
	if r.State == Done {
		stage.Old, recentCounts.Old = total.Old, total.Old
		// Caches that are filled under full load delay first tokens, and no old version has the
		// same load to compare with.
		stage.New.FirstLatency, recentCounts.New.FirstLatency = LatencyCounts{}, LatencyCounts{}
	}
	alpha /= 2 * maxSteps
	if c, ok := findWorseClass(stage, l, alpha); ok {
		return describeFault(r, c, stage)
	}
	j := float64(window + 1)
	if c, ok := findWorseClass(recentCounts, l, alpha/(j*(j+1))); ok {
		return describeFault(r, c, recentCounts)
	}
	return ""
}

func describeFault(r Record, c faultClass, p VersionCounts) string {
	candidate, baseline := c.rate(p.New), c.rate(p.Old)
	return fmt.Sprintf("version %q had %s in %d of %d requests at %g%%, version %q in %d of %d",
		r.To, c.name, candidate.Faults, candidate.Requests, r.Share, r.From, baseline.Faults, baseline.Requests)
}

// DoubtReason describes the excess faults of a move's new version at the level doubtSignificance,
// at which its share must not grow, or returns "".
func (f *Follower) DoubtReason(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	move, ok := f.cfg.Set().Move(name)
	if m == nil || !ok {
		return ""
	}
	total, stage := m.ownTally.Total, m.ownTally.Stage
	for _, p := range m.peerReports {
		t := p.Tally
		if t.Run == m.record.Run {
			total = total.Plus(t.Total)
		}
		if t.Run == m.record.Run && t.Step == m.record.Step {
			stage = stage.Plus(t.Stage)
		}
	}
	for _, p := range []VersionCounts{stage, total} {
		if c, ok := findWorseClass(p, faultLimits(move.Bounds), doubtSignificance); ok {
			return describeFault(m.record, c, p)
		}
	}
	return ""
}

// OutcomeTotals returns the counts of all daemons in the current run of a move.
func (f *Follower) OutcomeTotals(name string) VersionCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	if m == nil {
		return VersionCounts{}
	}
	sum := m.ownTally.Total
	for _, p := range m.peerReports {
		t := p.Tally
		if t.Run == m.record.Run {
			sum = sum.Plus(t.Total)
		}
	}
	return sum
}
