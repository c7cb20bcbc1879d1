package composer

import (
	"maps"
	"strconv"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// fillStatus completes the status that this daemon sends to the others.
func (d *Daemon) fillStatus(s *sharer.Status) {
	s.Loads = d.chooser.Loads()
	for org, total := range d.allowances.AdmittedTotals() {
		s.Admissions = append(s.Admissions, sharer.Admissions{Organisation: org, Total: total})
	}
	for org, level := range d.allowances.KnownLevels() {
		s.RemainingAllowance = append(s.RemainingAllowance, sharer.RemainingAllowance{Organisation: org, Level: level})
	}
	s.FinalWindow, s.DutyEpoch = d.usageCounter.FinalWindow(), d.dutyKeeper.HighestEpoch()
	s.Windows = d.usageCounter.OwnWindows()
	s.Demands = d.demandMeter.OwnDemand()
	s.Trials, s.Moves = d.roller.LocalReport()
	s.Suspicions = d.quarantiner.LocalReport()
	s.RequestLimits = d.throttler.LocalReport()
	s.Observations = d.estimator.TakeReport()
}

// receiveStatus applies a status of another daemon. If the daemon's load arrives in the totals of a
// hub (LoadThroughHub), its own load is no longer counted. Changed revisions mean that the daemon
// may have a newer replica of the store.
func (d *Daemon) receiveStatus(old, current *sharer.Peer) {
	if current.LoadThroughHub {
		if old != nil && !old.LoadThroughHub {
			d.chooser.SetPeerLoads(current.Name, nil)
		}
	} else {
		d.chooser.SetPeerLoads(current.Name, current.Loads)
		d.estimator.Add(current.Observations)
		d.usageCounter.RecordPeerCounts(current.Name, current.Boot, current.Windows)
		d.demandMeter.RecordPeerDemand(current.Name, current.Boot, current.Demands, old != nil && old.Unreachable)
		d.allowances.RecordReport(time.Now())
		d.chargePeerAdmissions(old, current)
		for _, l := range current.RemainingAllowance {
			d.allowances.AdoptLevel(l.Organisation, l.Level)
		}
	}
	d.usageCounter.RecordFinalWindow(current.FinalWindow, time.Now().Add(d.sharer.ClockOffset()))
	d.dutyKeeper.RecordEpoch(current.DutyEpoch)
	d.roller.RecordReport(current.Name, current.Boot, current.Trials, current.Moves)
	d.quarantiner.RecordReport(current.Name, current.Suspicions)
	d.throttler.RecordReport(current.RequestLimits, current.Received)
	if old == nil || !maps.Equal(old.Revisions, current.Revisions) {
		d.operatorReplica.PullNow()
		d.endpointReplica.PullNow()
	}
}

// fragmentName returns the peer name under which the chooser keeps one fragment of the totals of
// the other daemons.
func fragmentName(fragment int) string { return "sums " + strconv.Itoa(fragment) }

// receiveTotals applies one fragment of the totals over the other daemons of a large fleet: their
// loads and admissions. Fragments that no longer exist are dropped.
func (d *Daemon) receiveTotals(totals sharer.OthersTotals) {
	d.totalsMu.Lock()
	defer d.totalsMu.Unlock()
	for fragment := totals.Fragments; fragment < d.fragmentCount; fragment++ {
		d.chooser.SetPeerLoads(fragmentName(fragment), nil)
	}
	d.fragmentCount = totals.Fragments
	if totals.Fragments == 0 {
		return
	}
	d.chooser.SetPeerLoads(fragmentName(totals.Fragment), totals.Loads)
	now := time.Now()
	if totals.HasRecentUpdates {
		d.allowances.RecordReport(now)
	}
	for _, s := range totals.Admissions {
		d.allowances.ChargePeer(s.Organisation, s.Total, 0, now)
	}
}

// receiveReport records a report of another daemon of a large fleet. Daemons send their usage
// counts and demand only to those that may hold the platform duty.
func (d *Daemon) receiveReport(r sharer.Report) {
	d.usageCounter.RecordPeerCounts(r.Name, r.Boot, r.Windows)
	d.demandMeter.RecordPeerDemand(r.Name, r.Boot, r.Demands, r.FollowsGap)
}

// dropPeerLoads stops counting the load of a daemon that became unreachable.
func (d *Daemon) dropPeerLoads(name string) { d.chooser.SetPeerLoads(name, nil) }

// chargePeerAdmissions charges the allowances with what another daemon admitted since its previous
// status. It charges nothing for a daemon without a previous status, nor for one whose admissions
// arrived in the totals of a hub until now.
func (d *Daemon) chargePeerAdmissions(old, current *sharer.Peer) {
	if old == nil || old.LoadThroughHub {
		return
	}
	var unreachableFor time.Duration
	if old.Unreachable {
		unreachableFor = current.Received.Sub(old.Received)
	}
	before := make(map[string]float64, len(old.Admissions))
	if old.Boot == current.Boot {
		for _, s := range old.Admissions {
			before[s.Organisation] = s.Total
		}
	}
	now := time.Now()
	for _, s := range current.Admissions {
		if delta := s.Total - before[s.Organisation]; delta != 0 {
			d.allowances.ChargePeer(s.Organisation, delta, unreachableFor, now)
		}
	}
}

// assumedMembers is the least number of daemons that is assumed before this daemon has joined the
// fleet.
const assumedMembers = 16

// countMembers returns how many daemons there may be and how many of them are unreachable.
func (d *Daemon) countMembers() (members, unreachable int) {
	members, unreachable = d.sharer.CountMembers()
	if !d.hasJoined.Load() {
		return max(members, assumedMembers), max(unreachable, assumedMembers-1)
	}
	return members, unreachable
}

// memberAddresses returns the addresses of the daemons that there may be; none before this daemon has joined
// the fleet, since it does not know the others then.
func (d *Daemon) memberAddresses() []string {
	if !d.hasJoined.Load() {
		return nil
	}
	return d.sharer.MemberAddresses()
}

func (d *Daemon) memberCount() int {
	members, _ := d.countMembers()
	return members
}
