package sharer

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// An organisation sends several times its allowance on both sides of a partition, which the
// members detect only seconds later. What the other side admits is extrapolated at its last rate,
// and corrected once it is reachable again.
func TestTotalsAreExtrapolatedDuringPartition(t *testing.T) {
	const perSecond = 1000.0
	l := newAggregator()
	now := time.Unix(100, 0)
	truth, counted := 0.0, 0.0
	step := func(heard bool) {
		now = now.Add(hubPeriod)
		truth += perSecond * hubPeriod.Seconds()
		if heard {
			for _, hub := range []string{"g", "h"} {
				l.receiveHubTotals(hub, totalsFragment{Boot: 1, Fragments: 1, Admissions: []Admissions{{Organisation: "o", Total: truth / 2}}}, now)
			}
		}
		l.expireStale(now, func(string, time.Time) bool { return false })
		l.extrapolateMissing(now, func(_ string, since time.Time) float64 {
			if now.Sub(since) <= hubExtrapolationTime {
				return 1
			}
			return 0
		})
		for _, s := range l.othersTotals(now).Admissions {
			counted += s.Total
		}
	}
	for range 20 {
		step(true)
	}
	before := truth - counted
	for range 9 {
		step(false)
	}
	if got, want := truth-counted-before, 2*hubPeriod.Seconds()*perSecond; math.Abs(got) > want {
		t.Errorf("got %.0f not counted during a cut of %s, want %.0f at most", got, 9*hubPeriod, want)
	}
	step(true)
	if got := truth - counted; math.Abs(got-before) > 1 {
		t.Errorf("got %.0f not counted after the cut, want %.0f as before", got, before)
	}
	lost := counted
	for range 40 {
		step(false)
	}
	if got, most := counted-lost, perSecond*(hubExtrapolationTime+hubPeriod).Seconds(); got <= 0 || got > most {
		t.Errorf("got %.0f extrapolated for hubs that stay unreachable, want some and %.0f at most", got, most)
	}
}

// A hub reports no recent updates only if both the totals of all other hubs and the load reports
// of its own daemons are late.
func TestIsolatedHubReportsNoRecentUpdates(t *testing.T) {
	now := time.Unix(100, 0)
	for name, tc := range map[string]struct {
		hub, daemon time.Duration
		want        bool
	}{
		"both lately":     {0, 0, true},
		"a hub lately":    {0, lateReportAge, true},
		"a daemon lately": {lateTotalsAge, 0, true},
		"none lately":     {lateTotalsAge, lateReportAge, false},
	} {
		l := newAggregator()
		l.receiveHubTotals("g", totalsFragment{Boot: 1, Fragments: 1}, now.Add(-tc.hub))
		l.receiveHubTotals("h", totalsFragment{Boot: 1, Fragments: 1}, now.Add(-lateTotalsAge))
		l.receiveLoadReport("d", loadReport{Boot: 1, Turn: 1, Number: 1}, 0, now.Add(-tc.daemon))
		if got := l.othersTotals(now).HasRecentUpdates; got != tc.want {
			t.Errorf("%s: got heard=%t, want %t", name, got, tc.want)
		}
	}
}

// An organisation sends through all daemons, and a quarter of them are cut off individually for
// less time than it takes to detect them as unreachable. What they admit is extrapolated, and
// corrected once they are reachable again.
func TestTotalsAreExtrapolatedForUnreachableDaemons(t *testing.T) {
	for _, tc := range []struct {
		span time.Duration
		hubs bool
	}{{3 * time.Second, false}, {7 * time.Second, false}, {7 * time.Second, true}} {
		t.Run(fmt.Sprintf("%s, hubs %t", tc.span, tc.hubs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testIndividualCuts(t, tc.span, tc.hubs) })
		})
	}
}

// testIndividualCuts cuts off a quarter of the daemons that are not hubs, and a third of the hubs
// if hubsToo is set.
func testIndividualCuts(t *testing.T, span time.Duration, hubsToo bool) {
	const daemons, period = 195, 200 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newTestNetwork()
	c := recordTotals(f)
	var total atomic.Int64
	f.fill = func(st *Status) { st.Admissions = []Admissions{{Organisation: "busy", Total: float64(total.Load())}} }
	var all []*Sharer
	for i := range daemons {
		all = append(all, f.start(ctx, i, 1, "a0", "a1", "a2", fmt.Sprint("a", (i+7)%daemons)))
	}
	time.Sleep(10 * time.Second)
	checkReachable(t, all, daemons-1)
	admitRequests := func(span time.Duration) {
		for range span / period {
			total.Add(1)
			time.Sleep(period)
		}
	}
	admitRequests(6 * time.Second)
	isHub, cutOff, n := hubNames(all), make(map[string]bool), 0
	for i, s := range all {
		if isHub[s.cfg.Name] {
			n++
			cutOff[fmt.Sprint("a", i)] = hubsToo && n%3 == 0
			continue
		}
		cutOff[fmt.Sprint("a", i)] = i%4 == 3
	}
	// reportedFraction is the fraction of what others admitted that reached the daemons.
	reportedFraction := func() float64 {
		sum, n := 0.0, 0
		for i := range all {
			if to := fmt.Sprint("a", i); !cutOff[to] {
				sum, n = sum+c.admittedBy(to, "busy"), n+1
			}
		}
		return sum / float64(n) / float64(total.Load()*(daemons-1))
	}
	f.setCut(func(from, to string) bool { return cutOff[from] || cutOff[to] })
	admitRequests(span)
	if got, least := reportedFraction(), 0.93; got < least {
		t.Errorf("during the cut: daemons received %.3f of what others admitted, want %.2f at least", got, least)
	}
	f.setCut(func(string, string) bool { return false })
	for range 6 * time.Second / period {
		admitRequests(period)
		if got, least := reportedFraction(), 0.93; got < least {
			t.Errorf("as the cut ends: daemons received %.3f of what others admitted, want %.2f at least", got, least)
		}
	}
	time.Sleep(2 * time.Second)
	most := 1.02
	if hubsToo {
		// What the daemons of cut-off hubs admit may count twice for as long.
		most += span.Seconds() / (float64(total.Load()) * period.Seconds()) / 3
	}
	if got, least := reportedFraction(), 0.98; got < least || got > most {
		t.Errorf("after the cut: daemons received %.3f of what others admitted, want %.2f to %.2f", got, least, most)
	}
}
