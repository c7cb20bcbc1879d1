package sharer

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// windowsEvery is how many statuses pass from one with windows of usage to
	// the next in a large fleet, and latestWindows how many it then holds, so
	// that most statuses fit a datagram.
	windowsEvery  = 2
	latestWindows = 2
)

// own returns the daemon's own status, or nothing where it cannot be encoded.
func (s *Sharer) own(now time.Time, large bool) cbor.RawMessage {
	st := s.status(now)
	s.cfg.Fill(&st)
	if large {
		trim(&st)
	}
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

// trim leaves windows of usage out of a status that the others know already. Sums
// stay: one that came later than others would look as if it had just been spent.
func trim(st *Status) {
	if st.Number%windowsEvery != 0 {
		st.Windows = nil
	}
	if n := len(st.Windows); n > latestWindows {
		st.Windows = st.Windows[n-latestWindows:]
	}
}
