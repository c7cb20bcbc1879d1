package composer

import (
	"maps"
	"strconv"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// fill completes the status that goes to the other daemons.
func (d *Daemon) fill(s *sharer.Status) {
	s.Loads = d.chooser.Loads()
	for org, total := range d.allowances.AdmittedTotals() {
		s.Admissions = append(s.Admissions, sharer.Admissions{Organisation: org, Total: total})
	}
	for org, level := range d.allowances.KnownLevels() {
		s.RemainingAllowance = append(s.RemainingAllowance, sharer.RemainingAllowance{Organisation: org, Level: level})
	}
	s.FinalWindow, s.DutyEpoch = d.counter.Fixed(), d.keeper.Seen()
	s.Windows = d.counter.Shared()
	s.Demands = d.gauge.Shared()
	s.Trials, s.Moves = d.roller.Shared()
}

// heard takes in a status of another daemon.
func (d *Daemon) heard(old, current *sharer.Peer) {
	if current.LoadThroughHub {
		if old != nil && !old.LoadThroughHub {
			d.chooser.SetPeerLoads(current.Name, nil)
		}
	} else {
		d.chooser.SetPeerLoads(current.Name, current.Loads)
		d.counter.Hear(current.Name, current.Boot, current.Windows)
		d.gauge.Hear(current.Name, current.Boot, current.Demands, old != nil && old.Unreachable)
		d.allowances.RecordReport(time.Now())
		d.heardSpent(old, current)
		for _, l := range current.RemainingAllowance {
			d.allowances.AdoptLevel(l.Organisation, l.Level)
		}
	}
	d.counter.SetFixed(current.FinalWindow, time.Now().Add(d.sharer.ClockOffset()))
	d.keeper.See(current.DutyEpoch)
	d.roller.Hear(current.Name, current.Trials, current.Moves)
	if old == nil || !maps.Equal(old.Revisions, current.Revisions) {
		d.operator.Wake()
		d.endpoints.Wake()
	}
}

// sumsName is the name under which the chooser keeps a part of the sums of others.
func sumsName(part int) string { return "sums " + strconv.Itoa(part) }

// summed takes in what the other daemons of a large fleet do.
func (d *Daemon) summed(sums sharer.OthersTotals) {
	d.sums.Lock()
	defer d.sums.Unlock()
	for part := sums.Fragments; part < d.parts; part++ {
		d.chooser.SetPeerLoads(sumsName(part), nil)
	}
	d.parts = sums.Fragments
	if sums.Fragments == 0 {
		return
	}
	d.chooser.SetPeerLoads(sumsName(sums.Fragment), sums.Loads)
	now := time.Now()
	if sums.HasRecentUpdates {
		d.allowances.RecordReport(now)
	}
	for _, s := range sums.Admissions {
		d.allowances.ChargePeer(s.Organisation, s.Total, 0, now)
	}
}

// reported takes in what another daemon of a large fleet tells those that may
// have the duty.
func (d *Daemon) reported(r sharer.Report) {
	d.counter.Hear(r.Name, r.Boot, r.Windows)
	d.gauge.Hear(r.Name, r.Boot, r.Demands, r.FollowsGap)
}

// lost takes a daemon that is silent out of what is counted.
func (d *Daemon) lost(name string) { d.chooser.SetPeerLoads(name, nil) }

// heardSpent takes from the allowances what another daemon let through since
// its last status. What it let through before this daemon knew it, or told in
// sums, does not count.
func (d *Daemon) heardSpent(old, current *sharer.Peer) {
	if old == nil || old.LoadThroughHub {
		return
	}
	var quiet time.Duration
	if old.Unreachable {
		quiet = current.Received.Sub(old.Received)
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
			d.allowances.ChargePeer(s.Organisation, delta, quiet, now)
		}
	}
}

// unknownMembers is the number of daemons that is assumed before the store has
// told of any.
const unknownMembers = 16

// count returns how many daemons there may be and how many are not heard.
func (d *Daemon) count() (members, silent int) {
	members, silent = d.sharer.CountMembers()
	if !d.joined.Load() {
		return max(members, unknownMembers), max(silent, unknownMembers-1)
	}
	return members, silent
}

func (d *Daemon) memberCount() int {
	members, _ := d.count()
	return members
}
