package relayer

import (
	"errors"

	"pomelotiller/internal/fleet/viewer"
)

// errEvacuated ends the transfer of a cache to an engine whose failure domain has been evacuated since
// the engine was chosen.
var errEvacuated = errors.New("failure domain is evacuated")

// isEvacuated reports whether the failure domain of an engine has been evacuated since the engine was
// chosen.
func (r *Relayer) isEvacuated(e viewer.Endpoint) bool { return r.cfg.View().IsEvacuated(e.Domain) }
