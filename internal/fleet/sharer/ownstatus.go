package sharer

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxReportWindows is how many usage windows a report of a large fleet holds.
const maxReportWindows = 2

// maxStoreAnswerAge is how old the store's last answer may be for a daemon of a large fleet to
// report it, together with the revisions it knows.
const maxStoreAnswerAge = 10 * time.Second

// sendPlan is what the daemon sends in the current round.
type sendPlan struct {
	// large reports whether statuses go through hubs.
	large bool
	// status reports whether the daemon's own status is due, and totals whether its load report
	// or totals are.
	status, totals bool
}

// ownMessages is what the daemon sends about itself in the current round.
type ownMessages struct {
	// status is the encoded status, or nil if it is not due.
	status cbor.RawMessage
	// report is the encoded usage report of a large fleet, or nil if it is not due.
	report cbor.RawMessage
	// totals reports whether the load report or the totals are due; the aggregator then holds the
	// current load.
	totals bool
}

// encodeOwnMessages returns what the daemon sends about itself.
func (s *Sharer) encodeOwnMessages(now time.Time, p sendPlan) ownMessages {
	if !p.status && !p.totals {
		return ownMessages{}
	}
	var st Status
	s.cfg.FillStatus(&st)
	out := ownMessages{totals: p.totals}
	if p.large {
		out.report = s.splitReport(&st, p)
	}
	if p.status {
		out.status = s.encodeCBOR(s.completeStatus(now, st))
	}
	return out
}

// splitReport moves out of a status what other daemons receive as totals or only the duty's
// candidates need, and returns the encoded report if it is due.
func (s *Sharer) splitReport(st *Status, p sendPlan) cbor.RawMessage {
	s.mu.Lock()
	s.aggregator.setOwnLoad(DaemonLoad{Loads: st.Loads, Admissions: st.Admissions})
	s.observations.own.add(st.Observations)
	s.mu.Unlock()
	if n := len(st.Windows); n > maxReportWindows {
		st.Windows = st.Windows[n-maxReportWindows:]
	}
	r := Report{Name: s.cfg.Name, Boot: s.cfg.Boot, Windows: st.Windows, Demands: st.Demands}
	st.Loads, st.Admissions, st.Windows, st.Demands, st.RemainingAllowance, st.Observations = nil, nil, nil, nil, nil, nil
	st.LoadThroughHub = true
	if !p.status {
		return nil
	}
	return s.encodeCBOR(r)
}

// completeStatus sets the fields of the daemon's own status that the Sharer knows.
func (s *Sharer) completeStatus(now time.Time, st Status) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusNumber++
	s.statusSent = now
	st.Name, st.Domain, st.Address, st.Boot, st.Number, st.Size = s.cfg.Name, s.cfg.Domain, s.cfg.Address, s.cfg.Boot, s.statusNumber, s.cfg.Size
	st.Clock, st.Stopping, st.StoreUnreachable, st.Hub = now.UnixMilli(), s.stopping, s.storeUnreachable, s.overlay.isHub
	st.StoreAnswerAges = make(map[string]int64, len(s.storeAnswered))
	for part, at := range s.storeAnswered {
		if !s.overlay.large || now.Sub(at) < maxStoreAnswerAge {
			st.StoreAnswerAges[part] = now.Sub(at).Milliseconds()
		}
	}
	if !s.overlay.large || s.overlay.isHub || len(st.StoreAnswerAges) > 0 {
		st.Revisions = maps.Clone(s.revisions)
	}
	if s.overlay.large {
		// Statuses of peers, which hubs forward, contain their addresses.
		return st
	}
	for _, p := range s.peers {
		if !p.Unreachable {
			st.Peers = append(st.Peers, p.Address)
		}
	}
	return st
}

// encodeCBOR returns v as CBOR, or nil if it cannot be encoded.
func (s *Sharer) encodeCBOR(v any) cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		s.log("msg", "encode message for peers", "error", err)
		return nil
	}
	return b
}
