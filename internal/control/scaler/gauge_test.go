package scaler

import (
	"testing"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// A daemon that was cut off and comes back does not look like a burst: what it
// was asked for during the cut is no rate of now.
func TestRateAfterCut(t *testing.T) {
	g := NewGauge()
	now := time.Unix(100, 0)
	const perSecond = 1000.0
	tell := func(sum float64) {
		g.Hear("other", 1, []sharer.Demand{{Service: "s", Prompt: sum}}, now)
	}
	sum := 0.0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		tell(sum)
		g.Prompt("s", now)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		g.Prompt("s", now)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		tell(sum)
		if got := g.Prompt("s", now); got > 1.2*perSecond {
			t.Fatalf("got %.0f tokens a second after the cut, want about %.0f", got, perSecond)
		}
	}
	if got := g.Prompt("s", now); got < 0.8*perSecond {
		t.Errorf("got %.0f tokens a second long after the cut, want about %.0f", got, perSecond)
	}
}
