package composer

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// applyEvacuations applies the changed entries that ask for the evacuation of failure domains.
func (d *Daemon) applyEvacuations(changed []storer.Entry) {
	var changes []tracker.EvacuationChange
	for _, e := range changed {
		c, ok, err := d.cfg.Adapter.DecodeEvacuation(e)
		if err != nil {
			d.log("msg", "cannot decode evacuation", "key", e.Key, "revision", e.Revision, "error", err)
			continue
		}
		if ok {
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		return
	}
	d.tracker.ApplyEvacuations(changes)
	meter.AddToCounter(d.registry, int64(len(changes)), "evacuation_changes_total")
	metrics.GetOrRegisterGauge(meter.Name("evacuated_domains"), d.registry).Update(int64(len(d.tracker.Load().Evacuated)))
}

// evacuationStatus is an evacuation as it is shown to operators.
type evacuationStatus struct {
	Domain   string    `json:"domain"`
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"`
	// Endpoints is the number of known endpoints of the domain, and Running the number of requests
	// that all daemons, as far as known, still have in flight there.
	Endpoints int `json:"endpoints"`
	Running   int `json:"running"`
}

// listEvacuations returns the evacuations in force, sorted by failure domain.
func (d *Daemon) listEvacuations() []evacuationStatus {
	snap := d.tracker.Load()
	out := make([]evacuationStatus, 0, len(snap.Evacuated))
	for domain, e := range snap.Evacuated {
		var there []tracker.Endpoint
		for _, endpoint := range snap.All {
			if endpoint.Domain == domain {
				there = append(there, endpoint)
			}
		}
		out = append(out, evacuationStatus{Domain: domain, Revision: e.Revision, Since: e.Since, Endpoints: len(there), Running: d.chooser.CountRunning(there)})
	}
	slices.SortFunc(out, func(a, b evacuationStatus) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
