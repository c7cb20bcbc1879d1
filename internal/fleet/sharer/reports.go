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
	// candidates is how many daemons get reports: the one that the duty falls
	// to, and the one that it would fall to next.
	candidates = 2
	// reportGap is how long after a daemon's latest report the next one tells
	// of no rate.
	reportGap = 5 * time.Second
)

// addReport keeps the latest report of a daemon until it is passed on.
func (s *Sharer) addReport(name string, r cbor.RawMessage) {
	if r != nil {
		s.reports[name] = r
	}
}

// toDuty returns the reports for the daemons that may have the duty, and takes
// them in where this daemon is one of them.
func (s *Sharer) toDuty() []outgoing {
	if len(s.reports) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(s.reports))
	var bodies [][]byte
	for len(names) > 0 {
		b, size := bundle{From: s.cfg.Name}, bundleMargin
		for len(names) > 0 && (len(b.Reports) == 0 || size+len(s.reports[names[0]]) <= messenger.MaxDatagramBytes) {
			size += len(s.reports[names[0]]) + parcelMargin
			b.Reports = append(b.Reports, s.reports[names[0]])
			names = names[1:]
		}
		bodies = append(bodies, s.encode(b)...)
	}
	var out []outgoing
	ranked := ranker.Rank(s.cfg.Duty, s.membersLocked())
	for _, m := range ranked[:min(candidates, len(ranked))] {
		if m.Name == s.cfg.Name {
			s.pending = append(s.pending, slices.Collect(maps.Values(s.reports))...)
			continue
		}
		out = append(out, outgoing{m.Peers, bodies})
	}
	clear(s.reports)
	return out
}

// takeReports hands on reports that are for this daemon.
func (s *Sharer) takeReports(reports []cbor.RawMessage, now time.Time) {
	for _, raw := range reports {
		var r Report
		if err := cbor.Unmarshal(raw, &r); err != nil {
			s.log("msg", "report not readable", "error", err)
			continue
		}
		if r.Name == s.cfg.Name {
			continue
		}
		s.mu.Lock()
		r.Gap = now.Sub(s.reported[r.Name]) > reportGap
		s.reported[r.Name] = now
		s.mu.Unlock()
		s.cfg.Reported(r)
	}
}
