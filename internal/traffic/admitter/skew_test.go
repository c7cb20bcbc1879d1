package admitter

import (
	"testing"
	"time"
)

// TestGreedyAtOneDaemon has one organisation ask a single daemon for ten times
// its share, while the others' requests go to all daemons.
func TestGreedyAtOneDaemon(t *testing.T) {
	for _, seed := range simSeeds {
		limit := 0.9 * capacity(seed)
		before := simulate(seed, even(limit), true)
		demands := even(limit)
		greedy := &demands[len(demands)-1]
		greedy.rate *= 10
		greedy.daemon = 1
		after := simulate(seed, demands, true)
		for _, d := range demands {
			o, was := after.outcomes[d.name], before.outcomes[d.name]
			t.Logf("seed %d, %s: asked %d, refused %.3f, p95 %s; before: refused %.3f, p95 %s",
				seed, d.name, o.asked, o.refusedPart(), o.p95(), was.refusedPart(), was.p95())
			if d.name == greedy.name {
				continue
			}
			if got, want := o.p95(), time.Duration(simTolerance*float64(was.p95())); got > want {
				t.Errorf("seed %d, %s: got p95 %s, want at most %s", seed, d.name, got, want)
			}
			if got, want := o.refusedPart(), was.refusedPart()+simRefusals; got > want {
				t.Errorf("seed %d, %s: got %.3f refused, want at most %.3f", seed, d.name, got, want)
			}
		}
	}
}
