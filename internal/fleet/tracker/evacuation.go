package tracker

import (
	"maps"
	"time"
)

// EvacuationChange is the operator's request to evacuate a failure domain, or its withdrawal.
type EvacuationChange struct {
	Domain    string
	Revision  uint64
	Withdrawn bool
}

// Evacuation is a request to send nothing to a failure domain that is in force.
type Evacuation struct {
	Revision uint64
	// Since is when this daemon learned of the request.
	Since time.Time
}

// IsEvacuated reports whether nothing may be sent to a failure domain.
func (s *Snapshot) IsEvacuated(domain string) bool {
	_, ok := s.Evacuated[domain]
	return ok
}

// ApplyEvacuations applies requests to evacuate failure domains and their withdrawals. It must not
// be called concurrently.
func (t *Tracker) ApplyEvacuations(changes []EvacuationChange) {
	before := t.Load()
	for _, c := range changes {
		if c.Withdrawn && before.IsEvacuated(c.Domain) {
			// The endpoints must be cold before they accept requests again. BeginWarmup may lock
			// t.mu.
			t.BeginWarmup(c.Domain)
		}
	}
	t.mu.Lock()
	for _, c := range changes {
		t.applyEvacuation(c)
	}
	t.publish()
	t.mu.Unlock()
	if t.cfg.OnChange != nil {
		t.cfg.OnChange()
	}
}

func (t *Tracker) applyEvacuation(c EvacuationChange) {
	old, known := t.evacuated[c.Domain]
	switch {
	case c.Withdrawn && known:
		delete(t.evacuated, c.Domain)
		t.log("msg", "evacuation withdrawn", "domain", c.Domain, "revision", c.Revision, "after", t.cfg.Now().Sub(old.Since), "endpoints", t.countInDomain(c.Domain))
	case c.Withdrawn:
	case known:
		t.evacuated[c.Domain] = Evacuation{c.Revision, old.Since}
	default:
		t.evacuated[c.Domain] = Evacuation{c.Revision, t.cfg.Now()}
		t.log("msg", "evacuation asked", "domain", c.Domain, "revision", c.Revision, "endpoints", t.countInDomain(c.Domain))
	}
}

// countInDomain counts the known endpoints of a failure domain. The caller holds t.mu.
func (t *Tracker) countInDomain(domain string) int {
	n := 0
	for _, e := range t.endpoints {
		if e.Domain == domain {
			n++
		}
	}
	return n
}

// cloneEvacuated returns a copy of the evacuated domains; nil if there are none.
func (t *Tracker) cloneEvacuated() map[string]Evacuation {
	if len(t.evacuated) == 0 {
		return nil
	}
	return maps.Clone(t.evacuated)
}
