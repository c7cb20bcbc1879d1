package informer

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/control/evacuator"
	"pomelotiller/internal/fleet/viewer"
)

// EvacuationStatus is the set of evacuations in force at this daemon, and which daemons follow it, as
// far as this daemon knows by gossip.
type EvacuationStatus struct {
	// Generation is the number of the set; 0 if no evacuation was ever requested.
	Generation uint64 `json:"generation"`
	// Domains are the evacuations, sorted by domain.
	Domains []viewer.Evacuation `json:"domains"`
	// Holders are the names of the daemons that follow this set or a newer one.
	Holders []string `json:"holders"`
	// Lagging are the names of the daemons that do not yet, except those that are gone.
	Lagging []string `json:"lagging"`
}

// evacuationStatus computes the status of a set from the generations that members announce.
func evacuationStatus(set evacuator.Set, members []viewer.Member) EvacuationStatus {
	s := EvacuationStatus{Generation: set.Generation, Domains: []viewer.Evacuation{}, Holders: []string{}, Lagging: []string{}}
	s.Domains = append(s.Domains, set.Domains...)
	for _, m := range members {
		switch {
		case m.State == viewer.StateGone:
		case m.Evacuations >= set.Generation:
			s.Holders = append(s.Holders, m.Name)
		default:
			s.Lagging = append(s.Lagging, m.Name)
		}
	}
	return s
}

// serveEvacuations answers with the evacuations in force at this daemon.
func (i *Informer) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, evacuationStatus(i.cfg.Evacuator.Current(), i.cfg.View().Members))
}

// serveChange returns a handler that changes the request to evacuate the failure domain in the path, and
// answers with the set that the store then holds.
func (i *Informer) serveChange(change func(context.Context, string) (evacuator.Set, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		domain, err := url.PathUnescape(chi.URLParam(r, "domain"))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
			return
		}
		set, err := change(r.Context(), domain)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, evacuationStatus(set, i.cfg.View().Members))
	}
}
