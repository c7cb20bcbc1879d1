package roller

import (
	"cmp"
	"maps"
	"slices"

	"pomelotiller/internal/control/assessor"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/traffic/carrier"
)

const (
	minUnansweredWait = 3 // in multiples of the predicted time
	// maxCountedRoutes is the number of routes of a service that are counted singly; all others
	// are counted together.
	maxCountedRoutes = 16
)

// answerCounts holds the numbers of requests sent to one release and of its good, bad and late
// answers. Late answers also count as good; they missed the route's latency target.
type answerCounts struct {
	sent, good, bad, late int
	// times counts the answers, and the long waits without an answer.
	times assessor.Times
}

func (t *answerCounts) add(o answerCounts) {
	t.sent += o.sent
	t.good += o.good
	t.bad += o.bad
	t.late += o.late
	for i, n := range o.times {
		t.times[i] += n
	}
}

// since returns the counts that were added after an earlier state, none of them below zero.
func (t answerCounts) since(o answerCounts) answerCounts {
	t.sent, t.good, t.bad, t.late = max(t.sent-o.sent, 0), max(t.good-o.good, 0), max(t.bad-o.bad, 0), max(t.late-o.late, 0)
	for i, n := range o.times {
		t.times[i] = max(t.times[i]-n, 0)
	}
	return t
}

// record adds an outcome to the counts.
func (t *answerCounts) record(o carrier.Outcome) {
	switch o.Kind {
	case carrier.OutcomeFailed, carrier.OutcomeBroken:
		t.bad++
		return
	case carrier.OutcomeStreamBroken:
		t.good--
		t.bad++
		return
	case carrier.OutcomeGood:
		t.good++
		if o.Late {
			t.late++
		}
	case carrier.OutcomeNone:
		// A shorter wait says nothing about the time that the answer would have taken.
		if o.Took < minUnansweredWait*o.Predicted {
			return
		}
	}
	t.times[assessor.TimeClass(o.Took, o.Predicted)]++
}

// countKey identifies the counts of one release of a service on one route.
type countKey struct{ service, route, release string }

// tally holds the counts of one daemon.
type tally map[countKey]*answerCounts

// counts returns the counts of a key, which it creates if they are missing. Routes beyond
// maxCountedRoutes share one key.
func (t tally) counts(k countKey) *answerCounts {
	if c := t[k]; c != nil {
		return c
	}
	routes := 0
	for other := range t {
		if other.service == k.service && other.release == k.release {
			routes++
		}
	}
	if routes >= maxCountedRoutes {
		k.route = ""
	}
	if t[k] == nil {
		t[k] = &answerCounts{}
	}
	return t[k]
}

// dropService deletes the counts of a service.
func (t tally) dropService(service string) {
	maps.DeleteFunc(t, func(k countKey, _ *answerCounts) bool { return k.service == service })
}

// trials returns the counts as they are sent to other daemons, without those of services for which
// revision returns 0.
func (t tally) trials(revision func(service string) uint64) []sharer.Trial {
	var out []sharer.Trial
	for k, c := range t {
		rev := revision(k.service)
		if rev == 0 {
			continue
		}
		times := c.times[:]
		for len(times) > 0 && times[len(times)-1] == 0 {
			times = times[:len(times)-1]
		}
		out = append(out, sharer.Trial{
			Service: k.service, Route: k.route, Release: k.release, Revision: rev,
			Sent: c.sent, Good: c.good, Bad: c.bad, Slow: c.late, Times: slices.Clone(times),
		})
	}
	slices.SortFunc(out, func(a, b sharer.Trial) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Release, b.Release))
	})
	return out
}

// tallyOf returns the counts that another daemon sent, without those of services for which revision
// returns 0, and of other orders than it returns.
func tallyOf(trials []sharer.Trial, revision func(service string) uint64) tally {
	t := make(tally, len(trials))
	for _, r := range trials {
		if rev := revision(r.Service); rev == 0 || r.Revision != 0 && r.Revision != rev {
			continue
		}
		c := answerCounts{sent: r.Sent, good: r.Good, bad: r.Bad, late: r.Slow}
		copy(c.times[:], r.Times)
		t[countKey{r.Service, r.Route, r.Release}] = &c
	}
	return t
}

// peerTally holds the counts of another daemon.
type peerTally struct {
	// boot is the incarnation of the daemon, and current its counts since its start.
	boot    int64
	current tally
	// earlier holds the last counts of its earlier incarnations, which the daemon itself has lost.
	earlier tally
}

// update stores the counts that the daemon sent in an incarnation.
func (p *peerTally) update(boot int64, counts tally) {
	if boot != p.boot {
		for k, c := range p.current {
			p.earlier.counts(k).add(*c)
		}
		p.boot = boot
	}
	p.current = counts
}
