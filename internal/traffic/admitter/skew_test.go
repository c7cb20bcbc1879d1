package admitter

import (
	"testing"
	"time"
)

// TestGreedyAtOneDaemon checks that an organisation that offers one daemon ten times its share
// does not raise the latencies or refusals of others, whose requests go to all daemons.
func TestGreedyAtOneDaemon(t *testing.T) {
	for _, seed := range simSeeds {
		limit := 0.9 * measureCapacity(seed)
		before := simulate(seed, demandsByWeight(limit), true)
		demands := demandsByWeight(limit)
		greedy := &demands[len(demands)-1]
		greedy.rate *= 10
		greedy.daemon = 1
		after := simulate(seed, demands, true)
		for _, d := range demands {
			o, was := after.outcomes[d.name], before.outcomes[d.name]
			t.Logf("seed %d, %s: %d requests, refused %.3f, p95 %s; before: refused %.3f, p95 %s",
				seed, d.name, o.requests, o.refusedFraction(), o.p95(), was.refusedFraction(), was.p95())
			if d.name == greedy.name {
				continue
			}
			if got, want := o.p95(), time.Duration(simP95Tolerance*float64(was.p95())); got > want {
				t.Errorf("seed %d, %s: got p95 %s, want at most %s", seed, d.name, got, want)
			}
			if got, want := o.refusedFraction(), was.refusedFraction()+simExtraRefusals; got > want {
				t.Errorf("seed %d, %s: got %.3f refused, want at most %.3f", seed, d.name, got, want)
			}
		}
	}
}
