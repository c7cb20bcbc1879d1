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
	// collectorsADomain is the number of daemons of each failure domain that
	// outcomes go to, beside the move's holder.
	collectorsADomain = 2
	// reportPeriod and reportPerMember set the time between two reports of a
	// move's outcomes, newsPeriod that after a fault of the new version.
	reportPeriod    = 250 * time.Millisecond
	reportPerMember = 10 * time.Millisecond
	newsPeriod      = 100 * time.Millisecond
	// repeats is how often an unchanged report is sent again, since a datagram
	// may be lost.
	repeats = 3
)

// Sender sends datagrams to other daemons. Send must not block.
type Sender interface {
	Send(addr, kind string, body []byte)
	HandleDatagram(kind string, f func(body []byte))
}

// report is the body of one datagram.
type report struct {
	Move   string `cbor:"1,keyasint"`
	Daemon string `cbor:"2,keyasint"`
	// Version grows with each report of a daemon.
	Version uint64 `cbor:"3,keyasint"`
	Tally   tally  `cbor:"4,keyasint"`
}

// reporting is the state of a daemon's reports of one move.
type reporting struct {
	at      time.Time
	tally   tally
	version uint64
	repeats int
}

// outbound is a report on its way to its collectors.
type outbound struct {
	addresses []string
	body      []byte
}

// collectors returns the addresses of the daemons that judge a move for all:
// its holder, and some of each failure domain, so that a failure domain which
// is cut off still has its own. Which ones is settled by rendezvous hashing.
func collectors(r Record, self string, members []viewer.Member) []string {
	var addresses []string
	perDomain := make(map[string]int)
	for _, m := range ranker.Rank(DutyPrefix+r.Name, members) {
		perDomain[m.Domain]++
		if m.Name != self && (perDomain[m.Domain] <= collectorsADomain || m.Name == r.Holder) {
			addresses = append(addresses, m.Peers)
		}
	}
	return addresses
}

// report returns the daemon's own outcomes of a move for its collectors, if it
// is time: soon after a fault of the new version, else at a period that grows
// with the fleet and the number of moves, so that what a collector takes in does
// not. The caller holds the lock.
func (f *Follower) report(m *follow, members []viewer.Member, now time.Time) (outbound, bool) {
	last := &m.reported
	same := m.own.Total == last.tally.Total && m.own.Run == last.tally.Run
	if m.own.Total == (Pair{}) || same && last.repeats >= repeats {
		return outbound{}, false
	}
	period := time.Duration(f.moving()) * max(reportPeriod, time.Duration(len(members))*reportPerMember)
	if faults(m.own.Total.New) != faults(last.tally.Total.New) {
		period = newsPeriod
	}
	if now.Sub(last.at) < period {
		return outbound{}, false
	}
	if last.repeats++; !same {
		last.repeats = 0
	}
	// A daemon that starts anew counts from zero, but on a later clock.
	last.version = max(last.version+1, uint64(now.UnixNano()))
	last.at, last.tally = now, m.own
	own := m.own
	own.Domain = f.cfg.Domain
	b, err := cbor.Marshal(report{Move: m.record.Name, Daemon: f.cfg.Self, Version: last.version, Tally: own})
	if err != nil {
		return outbound{}, false
	}
	return outbound{collectors(m.record, f.cfg.Self, members), b}, true
}

func (f *Follower) takeReport(body []byte) {
	var r report
	if err := cbor.Unmarshal(body, &r); err != nil {
		meter.Count(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.follow(r.Move)
	if old := m.peers[r.Daemon]; r.Version > old.Version {
		m.peers[r.Daemon] = r
	}
}

// moving counts the moves that are on their way. The caller holds the lock.
func (f *Follower) moving() int {
	n := 0
	for _, m := range f.moves {
		if m.record.Moving() {
			n++
		}
	}
	return n
}

func faults(c Counts) uint64 { return c.Errors + c.First + c.Token + c.Short }
