package chooser

import (
	"testing"

	"pomelotiller/internal/fleet/tracker"
)

// BenchmarkPick measures a choice among the endpoints of a large fleet, calm and with ejected or
// excluded endpoints.
func BenchmarkPick(b *testing.B) {
	for _, tc := range []struct {
		name              string
		ejected, excluded int
	}{{"calm", 0, 0}, {"20 ejected", 20, 0}, {"all ejected", 84, 0}, {"5 excluded", 20, 5}} {
		for _, large := range []bool{false, true} {
			name := tc.name + "/small"
			if large {
				name = tc.name + "/large"
			}
			b.Run(name, func(b *testing.B) {
				c, _ := newChooser()
				c.cfg.IsLargeFleet = func() bool { return large }
				list := endpoints(84)
				eject(c, list[:tc.ejected])
				q := newPromptQuery("p", 1)
				for _, e := range list[:tc.excluded] {
					q.Excluded = append(q.Excluded, e.ID)
				}
				for b.Loop() {
					c.Pick(q, list)
				}
			})
		}
	}
}

func eject(c *Chooser, list []tracker.Endpoint) {
	for _, e := range list {
		for range 4 {
			c.Start(newPromptQuery("p", 0), Choice{Endpoint: e}).RecordResult(ResultUnreachable)
		}
	}
}
