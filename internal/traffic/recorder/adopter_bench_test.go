package recorder

import (
	"fmt"
	"testing"

	"pomelotiller/internal/fleet/viewer"
)

// BenchmarkAdoptGone measures one check for daemons that are gone, which runs twice a second.
func BenchmarkAdoptGone(b *testing.B) {
	for _, n := range []int{9, 81, 420} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			members := make([]viewer.Member, n)
			for i := range members {
				members[i] = viewer.Member{Name: fmt.Sprintf("entry-%03d", i), Boot: uint64(i), State: viewer.StateAlive}
			}
			r := NewRunner(b.Context(), RunnerConfig{
				Recorder: New(Config{Owner: "entry-000/0"}), View: func() viewer.View { return viewer.View{Members: members} },
			})
			for b.Loop() {
				r.adoptGoneOwners(b.Context())
			}
		})
	}
}
