package mover

import (
	"fmt"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	wholeShare   = 100.0
	defaultFirst = 1.0
	// canaryShare is the largest share, in percent, before the new version has
	// answered minEvidence requests.
	canaryShare = 5.0
	minEvidence = 10
	// firstEvidence is the number of answers wanted at the first share, if the
	// hour leaves the time.
	firstEvidence = 3
	// minDwell and maxDwell bound the time at one share.
	minDwell = time.Second
	maxDwell = 30 * time.Second
	// stepTime is minDwell and the time that writing a step may take.
	stepTime = minDwell + 200*time.Millisecond
	// margin is kept between the end of the ramp and the hour.
	margin = 500 * time.Millisecond
	// reserve is kept for a change of the duty's holder, if the hour allows.
	reserve = 6 * time.Second
	// holdTime is how long the old version is held after a move is done.
	holdTime = 2 * time.Minute
	// settleTime is how long a reverting move waits for all daemons to have
	// heard of it.
	settleTime = time.Second
)

// ramp returns the shares of a move in order, without the last, 100.
func ramp(m loader.Move) []float64 {
	first := m.First
	if first <= 0 {
		first = defaultFirst
	}
	first = min(first, canaryShare)
	shares := []float64{first}
	for _, s := range []float64{canaryShare, 10, 25, 50, 75} {
		if s > first {
			shares = append(shares, s)
		}
	}
	return shares
}

// Inputs are what the next step of a move depends on.
type Inputs struct {
	Now        time.Time
	Move       loader.Move
	Generation uint64
	// Missing names an endpoint that has yet to load the new version; empty
	// if all have.
	Missing string
	// Usable reports whether each pool can serve the new version.
	Usable bool
	// Evidence counts the outcomes of the new version over all daemons.
	Evidence uint64
	// Excess reports whether the new version has more faults so far than the
	// old one and the limits allow.
	Excess bool
	// Doubt says what speaks against the new version, though not yet with
	// certainty; empty if nothing does.
	Doubt string
	// Fault is the reason of the latch; empty if it is down.
	Fault string
}

// Next returns the record's next state, and whether there is one now.
func (r Record) Next(in Inputs) (Record, bool, error) {
	if next, ok := r.renew(in); ok {
		return next, true, nil
	}
	if reason := r.revertReason(in); reason != "" {
		next, err := r.fire(triggerRevert, in.Now)
		next.Share, next.Reason = 0, reason
		return next, true, err
	}
	elapsed := in.Now.Sub(r.Entered)
	switch r.State {
	case Pending:
		next, err := r.fire(triggerStart, in.Now)
		return next, true, err
	case Loading:
		if in.Missing != "" && (!in.Usable || in.Now.Before(r.lastStart(in.Move).Add(-reserve))) {
			return r, false, nil
		}
		next, err := r.fire(triggerLoaded, in.Now)
		next.Share = ramp(in.Move)[0]
		return next, true, err
	case Canary, Ramping:
		if elapsed < r.dwell(in) || in.Doubt != "" || r.tentative(in) {
			return r, false, nil
		}
		next, err := r.advance(in)
		return next, true, err
	case Done:
		if r.Released || elapsed < holdTime {
			return r, false, nil
		}
		r.Released = true
		return r, true, nil
	case Reverting:
		if elapsed < settleTime {
			return r, false, nil
		}
		next, err := r.fire(triggerSettled, in.Now)
		return next, true, err
	default:
		return r, false, nil
	}
}

// renew starts a new run where the configuration asks for one, and takes over
// a changed hour.
func (r Record) renew(in Inputs) (Record, bool) {
	changed := !r.By.Equal(in.Move.By)
	if !r.belongsTo(in.Move) || r.Withdrawn || r.State == Reverted && changed && in.Generation > r.Generation {
		next := newRecord(in.Move, in.Generation, in.Now)
		next.Step = r.Step
		return next, true
	}
	if changed && r.State != Done && r.State != Reverting && r.State != Reverted {
		r.By = in.Move.By
		return r, true
	}
	return r, false
}

func (r Record) advance(in Inputs) (Record, error) {
	shares := ramp(in.Move)
	stage := r.Stage + 1
	t, share := triggerAdvance, wholeShare
	if stage < len(shares) {
		share = shares[stage]
	}
	if r.State == Canary && share > canaryShare || stage >= len(shares) {
		t = triggerFinish
	}
	next, err := r.fire(t, in.Now)
	next.Stage, next.Share = stage, share
	return next, err
}

// revertReason says why the move must be taken back now, if it must.
func (r Record) revertReason(in Inputs) string {
	switch r.State {
	case Reverting, Reverted:
		return ""
	case Done:
		if r.Released {
			return ""
		}
		return in.Fault
	}
	if in.Fault != "" {
		return in.Fault
	}
	if !in.Now.After(r.lastSafe(in)) {
		return ""
	}
	hour := r.By.UTC().Format(time.RFC3339)
	switch {
	case in.Missing != "" && r.State != Canary && r.State != Ramping:
		return fmt.Sprintf("cannot be done by %s: endpoint %q has not loaded version %q", hour, in.Missing, r.To)
	case in.Evidence < minEvidence && r.State == Canary:
		return fmt.Sprintf("cannot be done by %s: version %q has answered %d requests, want %d at most %g%% of traffic",
			hour, r.To, in.Evidence, minEvidence, canaryShare)
	case in.Doubt != "":
		return fmt.Sprintf("cannot be done by %s: in doubt, %s", hour, in.Doubt)
	default:
		return fmt.Sprintf("cannot be done by %s: %d of %d shares are left, each takes %s", hour,
			len(ramp(in.Move))-r.Stage, len(ramp(in.Move)), stepTime)
	}
}

// tentative reports whether the new version has answered too few requests for
// a larger share. Below canaryShare the hour goes before: a good version on a
// route with little traffic needs the larger share to show that it is good.
func (r Record) tentative(in Inputs) bool {
	if r.State != Canary || in.Evidence >= minEvidence {
		return false
	}
	if r.Share >= canaryShare {
		return true
	}
	return (in.Excess || in.Evidence < firstEvidence) && in.Now.Before(r.lastSafe(in).Add(-reserve))
}

// lastStart is the last instant at which the ramp may begin.
func (r Record) lastStart(m loader.Move) time.Time {
	return r.By.Add(-margin - time.Duration(len(ramp(m)))*stepTime)
}

// lastSafe is the last instant at which the move may still be in its stage.
func (r Record) lastSafe(in Inputs) time.Time {
	if r.State != Canary && r.State != Ramping {
		return r.lastStart(in.Move)
	}
	left := len(ramp(in.Move)) - r.Stage - 1
	return r.By.Add(-margin - time.Duration(left)*stepTime)
}

// dwell is the time to stay at the present share: what the hour leaves, within
// bounds.
func (r Record) dwell(in Inputs) time.Duration {
	left := len(ramp(in.Move)) - r.Stage
	slot := (r.By.Sub(r.Entered) - margin - reserve) / time.Duration(left)
	return min(max(slot, minDwell), maxDwell)
}
