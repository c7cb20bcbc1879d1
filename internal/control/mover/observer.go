package mover

import (
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/relayer"
)

const (
	// falseAlarm bounds the probability that a move to a version within its
	// limits is ever taken back.
	falseAlarm = 1e-3
	// doubtLevel is the level of the test that holds the share where it is.
	doubtLevel = 0.05
	// maxDomains and maxSteps share falseAlarm among failure domains and the
	// steps of a move.
	maxDomains = 8
	maxSteps   = 8
	// windowTime is the length of a window, so that a fault that starts late
	// does not drown in what went before.
	windowTime = 5 * time.Second
	// shortPart is the part of the allowed tokens below which an answer counts
	// as short.
	shortPart = 0.6
	// breakTime is how long further broken connections to one endpoint count
	// as the same event, such as the death of its host.
	breakTime = time.Second

	defaultErrorLimit = 0.01
	defaultSlowLimit  = 0.05
	defaultShortLimit = 0.2
)

// tally is what one daemon counted for one move.
type tally struct {
	Run    uint64 `cbor:"1,keyasint"`
	Step   uint64 `cbor:"2,keyasint"`
	Window uint64 `cbor:"3,keyasint"`
	Domain string `cbor:"4,keyasint"`
	// Total counts the run, Stage the present step, Windows the present window
	// and the one before.
	Total   Pair    `cbor:"5,keyasint"`
	Stage   Pair    `cbor:"6,keyasint"`
	Windows [2]Pair `cbor:"7,keyasint"`
}

// at returns the tally with what no longer counts at a record's step and time
// set to zero.
func (t tally) at(r Record, now time.Time) tally {
	if t.Run != r.Run {
		t = tally{Run: r.Run}
	}
	if t.Step != r.Step {
		t.Step, t.Window, t.Stage, t.Windows = r.Step, 0, Pair{}, [2]Pair{}
	}
	window := uint64(max(0, now.Sub(r.Entered)/windowTime))
	switch {
	case window == t.Window+1:
		t.Window, t.Windows = window, [2]Pair{{}, t.Windows[0]}
	case window > t.Window:
		t.Window, t.Windows = window, [2]Pair{}
	}
	return t
}

// with returns the tally with the counts of one pair added.
func (t tally) with(p Pair) tally {
	t.Total, t.Stage, t.Windows[0] = t.Total.Plus(p), t.Stage.Plus(p), t.Windows[0].Plus(p)
	return t
}

// recent returns the counts of window and the one before.
func (t tally) recent(window uint64) Pair {
	switch t.Window {
	case window:
		return t.Windows[0].Plus(t.Windows[1])
	case window + 1:
		return t.Windows[1]
	case window - 1:
		return t.Windows[0]
	}
	return Pair{}
}

// Observe implements relayer.Outcomes: it counts the outcome of the first
// attempt of a request, as further ones say nothing new of the version, and
// takes the move back if it is one too many.
func (f *Follower) Observe(o relayer.Outcome) {
	if o.Attempt > 1 {
		return
	}
	set := f.cfg.Set()
	for _, c := range set.Moves {
		if c.Route == o.Route && (o.Version == c.From || o.Version == c.To) {
			f.observe(set, c, o)
		}
	}
}

func (f *Follower) observe(set loader.Set, c loader.Move, o relayer.Outcome) {
	now := f.cfg.Now()
	route, _ := set.Route(c.Route)
	f.mu.Lock()
	m, ok := f.moves[c.Name]
	if !ok || !m.record.belongsTo(c) || !m.record.Moving() || m.latched() || m.sameBreak(o, now) {
		f.mu.Unlock()
		return
	}
	counts := classify(o, route.Target)
	pair := Pair{Old: counts}
	if o.Version == c.To {
		pair = Pair{New: counts}
	}
	m.own = m.own.at(m.record, now).with(pair)
	run, reason := m.record.Run, ""
	if pair.New != (Counts{Requests: 1}) && o.Version == c.To {
		reason = f.judge(m)
	}
	f.mu.Unlock()
	meter.Count(f.cfg.Registry, 1, "move_outcomes_total", "move", c.Name, "version", o.Version)
	if reason != "" {
		f.Latch(c.Name, Latch{Run: run, Reason: reason})
	}
}

// sameBreak reports whether an outcome is one more connection that broke with
// an endpoint's death.
func (f *follow) sameBreak(o relayer.Outcome, now time.Time) bool {
	var status *inferrer.StatusError
	if o.Err == nil || errors.As(o.Err, &status) || errors.Is(o.Err, inferrer.ErrCrossed) {
		return false
	}
	last, ok := f.broken[o.Endpoint]
	if ok && now.Sub(last) < breakTime {
		return true
	}
	f.broken[o.Endpoint] = now
	return false
}

func classify(o relayer.Outcome, target loader.Target) Counts {
	c := Counts{Requests: 1}
	if o.Err != nil {
		c.Errors = 1
		return c
	}
	if target.First > 0 && o.FirstTokenTime > target.First.Std() {
		c.First = 1
	}
	if target.Token > 0 && o.TokenInterval > target.Token.Std() {
		c.Token = 1
	}
	if float64(o.Tokens) < shortPart*float64(o.MaxTokens) {
		c.Short = 1
	}
	return c
}

func limits(b loader.Bounds) Limits {
	l := Limits{Errors: b.Errors, Slow: b.Slow, Short: defaultShortLimit}
	if l.Errors == 0 {
		l.Errors = defaultErrorLimit
	}
	if l.Slow == 0 {
		l.Slow = defaultSlowLimit
	}
	return l
}

// judge returns why a move must be taken back, or nothing. The caller holds the
// lock.
func (f *Follower) judge(m *follow) string {
	move, ok := f.cfg.Set().Move(m.record.Name)
	if !ok || !m.record.belongsTo(move) {
		return ""
	}
	own := m.own
	own.Domain = f.cfg.Domain
	tallies := []tally{own}
	domains := map[string]bool{own.Domain: true}
	for _, p := range m.peers {
		t := p.Tally
		if t.Run == own.Run {
			tallies = append(tallies, t)
			domains[t.Domain] = true
		}
	}
	if reason := judgeScope(m.record, tallies, own.Window, limits(move.Bounds), falseAlarm/2); reason != "" {
		return reason
	}
	for d := range domains {
		var some []tally
		for _, t := range tallies {
			if t.Domain == d {
				some = append(some, t)
			}
		}
		if reason := judgeScope(m.record, some, own.Window, limits(move.Bounds), falseAlarm/2/maxDomains); reason != "" {
			return fmt.Sprintf("%s in failure domain %q", reason, d)
		}
	}
	return ""
}

// judgeScope tests the counts of the present step, and those of its last two
// windows. Once all traffic has moved, the old version's counts of the whole
// run stand in for those that it no longer gets.
func judgeScope(r Record, tallies []tally, window uint64, l Limits, alpha float64) string {
	var total, stage, recent Pair
	for _, t := range tallies {
		total = total.Plus(t.Total)
		if t.Step == r.Step {
			stage = stage.Plus(t.Stage)
			recent = recent.Plus(t.recent(window))
		}
	}
	if r.State == Done {
		stage.Old, recent.Old = total.Old, total.Old
	}
	alpha /= 2 * maxSteps
	if c, ok := worse(stage, l, alpha); ok {
		return describe(r, c, stage)
	}
	j := float64(window + 1)
	if c, ok := worse(recent, l, alpha/(j*(j+1))); ok {
		return describe(r, c, recent)
	}
	return ""
}

func describe(r Record, c class, p Pair) string {
	return fmt.Sprintf("version %q had %s in %d of %d requests at %g%%, version %q in %d of %d",
		r.To, c.name, c.of(p.New), p.New.Requests, r.Share, r.From, c.of(p.Old), p.Old.Requests)
}

// Doubt says what speaks against a move's new version at a level at which the
// share should not grow, though it need not be taken back.
func (f *Follower) Doubt(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	move, ok := f.cfg.Set().Move(name)
	if m == nil || !ok {
		return ""
	}
	total, stage := m.own.Total, m.own.Stage
	for _, p := range m.peers {
		t := p.Tally
		if t.Run == m.record.Run {
			total = total.Plus(t.Total)
		}
		if t.Run == m.record.Run && t.Step == m.record.Step {
			stage = stage.Plus(t.Stage)
		}
	}
	for _, p := range []Pair{stage, total} {
		if c, ok := worse(p, limits(move.Bounds), doubtLevel); ok {
			return describe(m.record, c, p)
		}
	}
	return ""
}

// Outcomes returns what all daemons have counted in the present run of a move.
func (f *Follower) Outcomes(name string) Pair {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	if m == nil {
		return Pair{}
	}
	sum := m.own.Total
	for _, p := range m.peers {
		t := p.Tally
		if t.Run == m.record.Run {
			sum = sum.Plus(t.Total)
		}
	}
	return sum
}
