package sharer

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// own returns the daemon's own status, or nothing where it cannot be encoded.
func (s *Sharer) own(now time.Time) cbor.RawMessage {
	st := s.status(now)
	s.cfg.Fill(&st)
	s.mu.Lock()
	if s.overlay.large {
		s.trim(&st)
	}
	s.mu.Unlock()
	b, err := cbor.Marshal(st)
	if err != nil {
		s.log("msg", "status not sent", "error", err)
		return nil
	}
	return b
}

func (s *Sharer) status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.sent = now
	st := Status{
		Name: s.cfg.Name, Domain: s.cfg.Domain, Address: s.cfg.Address, Boot: s.cfg.Boot, Number: s.number, Size: s.cfg.Size,
		Clock: now.UnixMilli(), Revisions: maps.Clone(s.revisions), Ages: make(map[string]int64, len(s.answered)), Stopping: s.stopping, Away: s.away,
	}
	for part, at := range s.answered {
		st.Ages[part] = now.Sub(at).Milliseconds()
	}
	if s.overlay.large {
		// The statuses of peers that hubs pass on name their addresses.
		return st
	}
	for _, p := range s.peers {
		if !p.Silent {
			st.Peers = append(st.Peers, p.Address)
		}
	}
	return st
}

// spentAt is a sum as it was sent, with the number of the status in which it
// first stood.
type spentAt struct {
	total float64
	since uint64
}

// spentRepeats is in how many statuses a changed sum is sent, so that losses do
// not hide it; afterwards it is sent once in spentEvery statuses.
const (
	spentRepeats = 3
	spentEvery   = 8
)

// trim leaves out of a status what the others know already.
func (s *Sharer) trim(st *Status) {
	if st.Number%windowsEvery != 0 {
		st.Windows = nil
	}
	if n := len(st.Windows); n > latestWindows {
		st.Windows = st.Windows[n-latestWindows:]
	}
	st.Spent = slices.DeleteFunc(st.Spent, func(sum Spent) bool {
		last, ok := s.spent[sum.Organisation]
		if !ok || last.total != sum.Total {
			last = spentAt{sum.Total, st.Number}
			s.spent[sum.Organisation] = last
		}
		return st.Number-last.since >= spentRepeats && st.Number%spentEvery != 0
	})
}
