package mover

import (
	"fmt"
	"time"

	"pomelotiller/internal/config/loader"
)

const (
	// fullShare is all traffic of the two versions. All shares are in percent.
	fullShare         = 100.0
	defaultFirstShare = 1.0
	// maxCanaryShare is the largest share, in percent, of a new version that has answered fewer
	// than minCanaryRequests requests.
	maxCanaryShare    = 5.0
	minCanaryRequests = 10
	// firstShareRequests is the number of requests that the new version must have answered
	// before the first share grows, if the deadline leaves time for that.
	firstShareRequests = 3
	// minDwell and maxDwell bound the time that a move stays at one share.
	minDwell = time.Second
	maxDwell = 30 * time.Second
	// minStageTime is minDwell plus the time that writing a step may take.
	minStageTime = minDwell + 200*time.Millisecond
	// deadlineMargin is the time left between the planned end of the ramp and the deadline.
	deadlineMargin = 500 * time.Millisecond
	// failoverReserve is the time left for another daemon to acquire the move's duty, if the
	// deadline allows.
	failoverReserve = 6 * time.Second
	// oldVersionHoldTime is how long the old version stays loaded after a move is done, so that
	// the move can still be reverted.
	oldVersionHoldTime = 2 * time.Minute
	// revertSpreadTime is how long a move stays in state Reverting, so that all daemons receive
	// the revert by gossip.
	revertSpreadTime = time.Second
)

// rampShares returns the increasing shares of a move's ramp in percent, without the last one, 100.
func rampShares(m loader.Move) []float64 {
	first := m.First
	if first <= 0 {
		first = defaultFirstShare
	}
	first = min(first, maxCanaryShare)
	shares := []float64{first}
	for _, s := range []float64{maxCanaryShare, 10, 25, 50, 75} {
		if s > first {
			shares = append(shares, s)
		}
	}
	return shares
}

// StepInputs are the inputs of the state machine of a move, beside its record.
type StepInputs struct {
	Now  time.Time
	Move loader.Move
	// Route is the configured route of the move.
	Route      loader.Route
	Generation uint64
	// MissingEndpoint is an endpoint that has not loaded the new version; empty if all have.
	MissingEndpoint string
	// IsServable reports whether each pool of the new version has an endpoint that serves it.
	IsServable bool
	// NewVersionRequests counts the requests to the new version at all daemons in this run.
	NewVersionRequests uint64
	// HasExcessFaults reports whether a fault rate of the new version exceeds the old version's
	// rate plus the limit, significantly or not.
	HasExcessFaults bool
	// DoubtReason describes faults that stop the share from growing but are not significant
	// enough for a revert; empty if there are none.
	DoubtReason string
	// LatchReason is the reason of the latch on the current run; empty if there is none.
	LatchReason string
}

// NextRecord returns the record after the next step of the move, and whether a step is due.
func (r Record) NextRecord(in StepInputs) (Record, bool, error) {
	if next, ok := r.applyConfigChange(in); ok {
		return next, true, nil
	}
	if reason := r.revertReason(in); reason != "" {
		next, err := r.applyTrigger(triggerRevert, in.Now)
		next.Share, next.Reason = 0, reason
		return next, true, err
	}
	elapsed := in.Now.Sub(r.EnteredAt)
	switch r.State {
	case Pending:
		next, err := r.applyTrigger(triggerStart, in.Now)
		return next, true, err
	case Loading:
		if in.MissingEndpoint != "" && (!in.IsServable || in.Now.Before(r.latestRampStart(in.Move).Add(-failoverReserve))) {
			return r, false, nil
		}
		next, err := r.applyTrigger(triggerLoaded, in.Now)
		next.Share = rampShares(in.Move)[0]
		return next, true, err
	case Canary, Ramping:
		if elapsed < r.dwellTime(in) || in.DoubtReason != "" || r.needsMoreRequests(in) {
			return r, false, nil
		}
		next, err := r.advanceStage(in)
		return next, true, err
	case Done:
		if r.Released || elapsed < oldVersionHoldTime {
			return r, false, nil
		}
		r.Released = true
		return r, true, nil
	case Reverting:
		if elapsed < revertSpreadTime {
			return r, false, nil
		}
		next, err := r.applyTrigger(triggerReverted, in.Now)
		return next, true, err
	default:
		return r, false, nil
	}
}

// applyConfigChange starts a new run if the configured move has changed, was withdrawn before, or
// has another deadline in a newer generation after a revert. During a run it copies a changed
// deadline.
func (r Record) applyConfigChange(in StepInputs) (Record, bool) {
	changed := !r.By.Equal(in.Move.By)
	if !r.belongsTo(in.Move) || r.Withdrawn || r.State == Reverted && changed && in.Generation > r.Generation {
		next := newRecord(in.Move, in.Route, in.Generation, in.Now)
		next.Step = r.Step
		return next, true
	}
	if changed && r.State != Done && r.State != Reverting && r.State != Reverted {
		r.By = in.Move.By
		return r, true
	}
	return r, false
}

// advanceStage returns the record at the next share of the ramp.
func (r Record) advanceStage(in StepInputs) (Record, error) {
	shares := rampShares(in.Move)
	stage := r.Stage + 1
	t, share := triggerAdvance, fullShare
	if stage < len(shares) {
		share = shares[stage]
	}
	if r.State == Canary && share > maxCanaryShare || stage >= len(shares) {
		t = triggerFinish
	}
	next, err := r.applyTrigger(t, in.Now)
	next.Stage, next.Share = stage, share
	return next, err
}

// revertReason returns why the move must be reverted now, or "" if it need not.
func (r Record) revertReason(in StepInputs) string {
	switch r.State {
	case Reverting, Reverted:
		return ""
	case Done:
		if r.Released {
			return ""
		}
		return in.LatchReason
	}
	if in.LatchReason != "" {
		return in.LatchReason
	}
	if !in.Now.After(r.latestStageEnd(in)) {
		return ""
	}
	deadline := r.By.UTC().Format(time.RFC3339)
	switch {
	case in.MissingEndpoint != "" && r.State != Canary && r.State != Ramping:
		return fmt.Sprintf("cannot be done by %s: endpoint %q has not loaded version %q", deadline, in.MissingEndpoint, r.To)
	case in.NewVersionRequests < minCanaryRequests && r.State == Canary:
		return fmt.Sprintf("cannot be done by %s: version %q has answered %d requests, want %d at most %g%% of traffic",
			deadline, r.To, in.NewVersionRequests, minCanaryRequests, maxCanaryShare)
	case in.DoubtReason != "":
		return fmt.Sprintf("cannot be done by %s: in doubt, %s", deadline, in.DoubtReason)
	default:
		return fmt.Sprintf("cannot be done by %s: %d of %d shares are left, each takes %s", deadline,
			len(rampShares(in.Move))-r.Stage, len(rampShares(in.Move)), minStageTime)
	}
}

// needsMoreRequests reports whether the new version has answered too few requests for a larger
// share. Below maxCanaryShare the share grows nevertheless when the deadline is near: on a route
// with little traffic a good version needs the larger share to get enough requests.
func (r Record) needsMoreRequests(in StepInputs) bool {
	if r.State != Canary || in.NewVersionRequests >= minCanaryRequests {
		return false
	}
	if r.Share >= maxCanaryShare {
		return true
	}
	return (in.HasExcessFaults || in.NewVersionRequests < firstShareRequests) && in.Now.Before(r.latestStageEnd(in).Add(-failoverReserve))
}

// latestRampStart returns the latest time at which the ramp can begin and still meet the deadline.
func (r Record) latestRampStart(m loader.Move) time.Time {
	return r.By.Add(-deadlineMargin - time.Duration(len(rampShares(m)))*minStageTime)
}

// latestStageEnd returns the latest time at which the current stage can end and the move still
// meet the deadline.
func (r Record) latestStageEnd(in StepInputs) time.Time {
	if r.State != Canary && r.State != Ramping {
		return r.latestRampStart(in.Move)
	}
	left := len(rampShares(in.Move)) - r.Stage - 1
	return r.By.Add(-deadlineMargin - time.Duration(left)*minStageTime)
}

// dwellTime returns how long the move stays at the current share: an equal part of the time left
// until the deadline, between minDwell and maxDwell.
func (r Record) dwellTime(in StepInputs) time.Duration {
	left := len(rampShares(in.Move)) - r.Stage
	slot := (r.By.Sub(r.EnteredAt) - deadlineMargin - failoverReserve) / time.Duration(left)
	return min(max(slot, minDwell), maxDwell)
}
