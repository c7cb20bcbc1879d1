package steward

import (
	"fmt"
	"time"
)

// OrderMove writes the operator's order to move a service to a version within a time.
func (s *Steward) OrderMove(service, version string, within time.Duration) uint64 {
	order := fmt.Sprintf(`{"service": %q, "target": %q, "duration_s": %g}`, service, version, within.Seconds())
	return s.Put("op/rollout/"+service, []byte(order))
}
