package informer

import (
	"net/http"

	"pomelotiller/internal/fleet/viewer"
)

// Status says how far the newest configuration has come, as this daemon knows
// by gossip.
type Status struct {
	// Generation is the newest one in force at any daemon.
	Generation uint64 `json:"generation"`
	// Holders are the daemons at which it is in force.
	Holders []string `json:"holders"`
	// Lagging are the daemons, not gone, at which it is not.
	Lagging []viewer.Member `json:"lagging"`
}

func statusOf(members []viewer.Member) Status {
	s := Status{Holders: []string{}, Lagging: []viewer.Member{}}
	newest := viewer.Member{}
	for _, m := range members {
		if m.State != viewer.StateGone && m.Generation > newest.Generation {
			newest = m
		}
	}
	s.Generation = newest.Generation
	for _, m := range members {
		switch {
		case m.State == viewer.StateGone:
		case m.Generation == newest.Generation && m.Digest == newest.Digest:
			s.Holders = append(s.Holders, m.Name)
		default:
			s.Lagging = append(s.Lagging, m)
		}
	}
	return s
}

func (i *Informer) serveStatus(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, statusOf(i.cfg.View().Members))
}
