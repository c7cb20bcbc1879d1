package informer

import (
	"net/http"

	"pomelotiller/internal/fleet/viewer"
)

// ConfigStatus is the rollout status of the newest configuration, as this daemon knows it by gossip.
type ConfigStatus struct {
	// Generation is the highest generation in force at any daemon.
	Generation uint64 `json:"generation"`
	// Holders are the names of the daemons at which that generation is in force.
	Holders []string `json:"holders"`
	// Lagging are the daemons at which it is not yet in force, except those that are gone.
	Lagging []viewer.Member `json:"lagging"`
}

// configStatus computes the rollout status from the generations and digests that members announce.
func configStatus(members []viewer.Member) ConfigStatus {
	s := ConfigStatus{Holders: []string{}, Lagging: []viewer.Member{}}
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

// serveStatus answers with the rollout status of the newest configuration.
func (i *Informer) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, configStatus(i.cfg.View().Members))
}
