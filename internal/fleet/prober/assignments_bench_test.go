package prober

import (
	"fmt"
	"testing"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/lister"
)

// BenchmarkAssignments measures the lookup of the probers of all engines, which each daemon makes
// four times per second.
func BenchmarkAssignments(b *testing.B) {
	for _, n := range []int{9, 81, 420} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			members := make([]viewer.Member, n)
			for i := range members {
				members[i] = viewer.Member{Name: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i%8), State: viewer.StateAlive}
			}
			engines := make([]viewer.Endpoint, 12*n/7)
			for i := range engines {
				engines[i] = viewer.Endpoint{Name: fmt.Sprint("engine-", i), Domain: fmt.Sprint("domain-", i%8), Role: lister.RoleEngine}
			}
			var s assignments
			for b.Loop() {
				s.resetOnChange(members)
				for _, e := range engines {
					s.probersOf(e, members, defaultProbersPerEngine)
				}
			}
		})
	}
}
