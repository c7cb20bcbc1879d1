package sharer

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/ranker"
)

const (
	// dutyCandidates is how many daemons receive reports: the one that has the duty, and the one
	// that would have it next.
	dutyCandidates = 2
	// reportGap is the time since a daemon's previous report from which on no rate can be
	// computed from the next one.
	reportGap = 5 * time.Second
)

// addReport keeps the latest report of a daemon until it is forwarded.
func (s *Sharer) addReport(name string, r cbor.RawMessage) {
	if r != nil {
		s.reports[name] = r
	}
}

// reportsToDuty returns the reports for the candidates for the duty. If this daemon is one of
// them, it keeps the reports in pendingReports.
func (s *Sharer) reportsToDuty() []outgoingMessages {
	if len(s.reports) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(s.reports))
	var bodies [][]byte
	for len(names) > 0 {
		b, size := statusMessage{From: s.cfg.Name}, messageOverheadBytes
		for len(names) > 0 && (len(b.Reports) == 0 || size+len(s.reports[names[0]]) <= messenger.MaxDatagramBytes) {
			size += len(s.reports[names[0]]) + entryOverheadBytes
			b.Reports = append(b.Reports, s.reports[names[0]])
			names = names[1:]
		}
		bodies = append(bodies, s.encodeMessage(b)...)
	}
	var out []outgoingMessages
	ranked := ranker.Rank(s.cfg.Duty, s.membersLocked())
	for _, m := range ranked[:min(dutyCandidates, len(ranked))] {
		if m.Name == s.cfg.Name {
			s.pendingReports = append(s.pendingReports, slices.Collect(maps.Values(s.reports))...)
			continue
		}
		out = append(out, outgoingMessages{m.Peers, bodies})
	}
	clear(s.reports)
	return out
}

// deliverReports passes reports of other daemons to Config.ReportReceived.
func (s *Sharer) deliverReports(reports []cbor.RawMessage, now time.Time) {
	for _, raw := range reports {
		var r Report
		if err := cbor.Unmarshal(raw, &r); err != nil {
			s.log("msg", "decode report of peer", "error", err)
			continue
		}
		if r.Name == s.cfg.Name {
			continue
		}
		s.mu.Lock()
		r.FollowsGap = now.Sub(s.reportReceived[r.Name]) > reportGap
		s.reportReceived[r.Name] = now
		s.mu.Unlock()
		s.cfg.ReportReceived(r)
	}
}
