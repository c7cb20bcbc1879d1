package scaler

import (
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// The demand that a daemon received while a network partition hid it is not part of the current
// rate, so its return does not look like a burst.
func TestPromptRateAfterPartition(t *testing.T) {
	g := NewDemandMeter()
	now := time.Unix(100, 0)
	const perSecond = 1000.0
	report := func(sum float64, wasUnreachable bool) {
		g.RecordPeerDemand("other", 1, []sharer.Demand{{Service: "s", Prompt: sum}}, wasUnreachable)
	}
	sum := 0.0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		report(sum, false)
		g.PromptRates("s", now)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		g.PromptRates("s", now)
	}
	for i := range 30 {
		now = now.Add(100 * time.Millisecond)
		sum += perSecond / 10
		report(sum, i == 0)
		if got, _ := g.PromptRates("s", now); got > 1.2*perSecond {
			t.Fatalf("got %.0f tokens a second after the partition, want about %.0f", got, perSecond)
		}
	}
	if got, _ := g.PromptRates("s", now); got < 0.8*perSecond {
		t.Errorf("got %.0f tokens a second long after the partition, want about %.0f", got, perSecond)
	}
}

// In a large fleet each daemon reports seldom. The rate must include the demand of all daemons all
// the same.
func TestPromptRateInLargeFleet(t *testing.T) {
	const (
		daemons   = 300
		period    = 2900 * time.Millisecond
		perSecond = 1000.0
	)
	g := NewDemandMeter()
	start := time.Unix(100, 0)
	got := 0.0
	for at := time.Duration(0); at < 12*time.Second; at += period / daemons {
		n := int(at / (period / daemons))
		sum := perSecond * at.Seconds() / daemons
		g.RecordPeerDemand(fmt.Sprint(n%daemons), 1, []sharer.Demand{{Service: "s", Prompt: sum}}, false)
		got, _ = g.PromptRates("s", start.Add(at))
	}
	if got < 0.8*perSecond || got > 1.2*perSecond {
		t.Errorf("got %.0f tokens a second, want about %.0f", got, perSecond)
	}
}
