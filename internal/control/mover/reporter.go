package mover

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
)

const (
	datagramKind = "move-outcomes"
	// collectorsPerDomain is the number of daemons in each failure domain that receive reports
	// of outcomes, beside the move's holder.
	collectorsPerDomain = 2
	// The period between two reports of a daemon is reportPeriodPerMember times the number of
	// daemons, at least minReportPeriod, all times the number of moves; after a new fault of the
	// new version it is faultReportPeriod.
	minReportPeriod       = 250 * time.Millisecond
	reportPeriodPerMember = 10 * time.Millisecond
	faultReportPeriod     = 100 * time.Millisecond
	// reportRepeats is how often an unchanged report is sent again, since datagrams may be lost.
	reportRepeats = 3
)

// Sender sends datagrams to other daemons. Send must not block.
type Sender interface {
	Send(addr, kind string, body []byte)
	HandleDatagram(kind string, f func(body []byte))
}

// outcomeReport is a datagram with the outcomes that one daemon counted for one move.
type outcomeReport struct {
	Move   string `cbor:"1,keyasint"`
	Daemon string `cbor:"2,keyasint"`
	// Version increases with each report of a daemon.
	Version uint64 `cbor:"3,keyasint"`
	Tally   tally  `cbor:"4,keyasint"`
}

// reportState is the time, content, version and number of repeats of the last report that this
// daemon sent for one move.
type reportState struct {
	sentAt        time.Time
	tally         tally
	version       uint64
	reportRepeats int
}

// outgoingReport is an encoded report with the addresses of its collectors.
type outgoingReport struct {
	addresses []string
	body      []byte
}

// collectorAddresses returns the addresses of the daemons that evaluate a move by the reports of
// all: its holder, and collectorsPerDomain daemons of each failure domain, so that an isolated
// failure domain still has collectors. Rendezvous hashing selects them.
func collectorAddresses(r Record, self string, members []viewer.Member) []string {
	var addresses []string
	perDomain := make(map[string]int)
	for _, m := range ranker.Rank(MoveDutyPrefix+r.Name, members) {
		perDomain[m.Domain]++
		if m.Name != self && (perDomain[m.Domain] <= collectorsPerDomain || m.Name == r.Holder) {
			addresses = append(addresses, m.Peers)
		}
	}
	return addresses
}

// outcomeReport returns this daemon's next report of a move, if it is due: after faultReportPeriod
// if the new version had a fault, else after a period that grows with the fleet and the number of
// moves, so that the load on each collector does not. The caller holds the lock.
func (f *Follower) outcomeReport(m *followedMove, members []viewer.Member, now time.Time) (outgoingReport, bool) {
	last := &m.lastReport
	same := m.ownTally.Total == last.tally.Total && m.ownTally.Run == last.tally.Run
	if m.ownTally.Total == (VersionCounts{}) || same && last.reportRepeats >= reportRepeats {
		return outgoingReport{}, false
	}
	period := time.Duration(f.countRevertible()) * max(minReportPeriod, time.Duration(len(members))*reportPeriodPerMember)
	if countFaults(m.ownTally.Total.New) != countFaults(last.tally.Total.New) {
		period = faultReportPeriod
	}
	if now.Sub(last.sentAt) < period {
		return outgoingReport{}, false
	}
	if last.reportRepeats++; !same {
		last.reportRepeats = 0
	}
	// The clock keeps versions increasing when the daemon restarts and its counter is zero again.
	last.version = max(last.version+1, uint64(now.UnixNano()))
	last.sentAt, last.tally = now, m.ownTally
	ownTally := m.ownTally
	ownTally.Domain = f.cfg.Domain
	b, err := cbor.Marshal(outcomeReport{Move: m.record.Name, Daemon: f.cfg.Self, Version: last.version, Tally: ownTally})
	if err != nil {
		return outgoingReport{}, false
	}
	return outgoingReport{collectorAddresses(m.record, f.cfg.Self, members), b}, true
}

func (f *Follower) receiveReport(body []byte) {
	var r outcomeReport
	if err := cbor.Unmarshal(body, &r); err != nil {
		meter.AddToCounter(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.followedMove(r.Move)
	if old := m.peerReports[r.Daemon]; r.Version > old.Version {
		m.peerReports[r.Daemon] = r
	}
}

// countRevertible counts the moves whose traffic can be reverted. The caller holds the lock.
func (f *Follower) countRevertible() int {
	n := 0
	for _, m := range f.moves {
		if m.record.IsRevertible() {
			n++
		}
	}
	return n
}

func countFaults(c OutcomeCounts) uint64 {
	return c.Errors + c.SlowFirst + c.SlowToken + c.Short + c.FirstLatency.Slow[0] + c.TokenLatency.Slow[0]
}
