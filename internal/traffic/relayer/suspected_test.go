package relayer

import (
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

// TestAllEnginesSuspected guards against refusals while all engines run and only their load reports
// are late, as on a machine that stood still for some seconds.
func TestAllEnginesSuspected(t *testing.T) {
	const alive, suspected = viewer.StateAlive, viewer.StateSuspected
	for _, tc := range []struct {
		name   string
		states [2]viewer.State
		age    time.Duration
		// want is the number of requests that each engine gets, of two.
		want [2]int
	}{
		{"reports late", [2]viewer.State{suspected, viewer.StateLeaving}, 3 * time.Second, [2]int{2, 0}},
		{"another alive", [2]viewer.State{suspected, alive}, 3 * time.Second, [2]int{0, 2}},
		{"no report for long", [2]viewer.State{suspected, viewer.StateLeaving}, viewer.SuspicionTime, [2]int{0, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture(t, 2)
			for i := range b.engines {
				b.view.Endpoints[i].State = tc.states[i]
				b.view.Endpoints[i].Reported = time.Now().Add(-tc.age)
			}
			for i := range 2 {
				err := b.relayer.Run(t.Context(), b.job(fmt.Sprint("r", i)), &textSink{})
				if isAnswered, want := err == nil, tc.want != [2]int{}; isAnswered != want {
					t.Errorf("got error %v, want an answer: %t", err, want)
				}
			}
			for i, g := range b.engines {
				if got := g.Served()[testVersion]; got != tc.want[i] {
					t.Errorf("got %d requests at engine %d, want %d", got, i, tc.want[i])
				}
			}
		})
	}
}
