package roller

import (
	"cmp"
	"fmt"
	"slices"

	"pomelotiller/internal/control/assessor"
)

const (
	// falseRevertProbability bounds the probability that a move to a release within the margins
	// is ever reverted. doubtProbability is the same for the test that keeps the fraction of
	// requests for the new release from growing.
	falseRevertProbability = 0.05
	doubtProbability       = 0.5
	// The margins are the fractions by which the rate of faults of a new release may exceed that
	// of the old one: failed answers, answers over the latency target, and answers that take
	// several times the old release's median time.
	badMargin  = 0.03
	lateMargin = 0.1
	slowMargin = 0.02
	// maxComparedRoutes is the number of routes that are compared singly, those with the most
	// answers of the new release.
	maxComparedRoutes = 8
	// spans is the number of spans of time in which a new release is compared with the old one:
	// the whole move and recentSpan.
	spans = 2
)

// comparison holds the counts of all daemons for the ordered release and the proved ones of a move.
type comparison struct {
	candidate, baseline map[string]answerCounts
}

func newComparison() comparison {
	return comparison{candidate: make(map[string]answerCounts), baseline: make(map[string]answerCounts)}
}

// add adds the counts of a tally for a move.
func (c comparison) add(t tally, m *move) {
	for k, counts := range t {
		if k.service != m.Service {
			continue
		}
		side := c.baseline
		switch {
		case k.release == m.Release:
			side = c.candidate
		case m.history.isUnproved(k.release):
			continue
		}
		sum := side[k.route]
		sum.add(*counts)
		side[k.route] = sum
	}
}

// since returns the comparison of the candidate's counts that were added after an earlier state with
// all counts of the baseline, which gets no requests once the candidate gets all of them.
func (c comparison) since(earlier comparison) comparison {
	recent := make(map[string]answerCounts, len(c.candidate))
	for route, counts := range c.candidate {
		recent[route] = counts.since(earlier.candidate[route])
	}
	return comparison{candidate: recent, baseline: c.baseline}
}

// totals returns the counts over all routes.
func (c comparison) totals() (candidate, baseline answerCounts) {
	for _, counts := range c.candidate {
		candidate.add(counts)
	}
	for _, counts := range c.baseline {
		baseline.add(counts)
	}
	return candidate, baseline
}

// faultReason describes how the candidate is worse than the baseline, over all routes or on one of
// them, or returns "". The probability that it ever describes a release within the margins is about
// alpha at most.
func (c comparison) faultReason(alpha float64) string {
	candidate, baseline := c.totals()
	if reason := describeFault(candidate, baseline, alpha/2); reason != "" {
		return reason
	}
	routes := c.mostUsedRoutes()
	for _, route := range routes {
		if reason := describeFault(c.candidate[route], c.baseline[route], alpha/2/float64(len(routes))); reason != "" {
			return fmt.Sprintf("%s on route %s", reason, route)
		}
	}
	return ""
}

// mostUsedRoutes returns up to maxComparedRoutes routes, those with the most answers of the
// candidate first.
func (c comparison) mostUsedRoutes() []string {
	var routes []string
	for route := range c.candidate {
		if route != "" {
			routes = append(routes, route)
		}
	}
	slices.SortFunc(routes, func(a, b string) int {
		x, y := c.candidate[a], c.candidate[b]
		return cmp.Or(cmp.Compare(y.good+y.bad, x.good+x.bad), cmp.Compare(a, b))
	})
	return routes[:min(len(routes), maxComparedRoutes)]
}

// describeFault describes a kind of fault that is more frequent at the candidate than at the
// baseline, or returns "".
func describeFault(candidate, baseline answerCounts, alpha float64) string {
	const kinds = 3
	alpha /= kinds
	if candidate.badRate().ExceedsEstimate(baseline.badRate(), badMargin, alpha) {
		return "more bad answers than the old release"
	}
	if candidate.lateRate().ExceedsEstimate(baseline.lateRate(), lateMargin, alpha) {
		return "more late answers than the old release"
	}
	median, ok := baseline.times.MedianClass()
	if !ok {
		return ""
	}
	alpha /= assessor.SlowLevels
	for level := range assessor.SlowLevels {
		class := median + assessor.SlowClasses(level)
		if candidate.times.RateAbove(class).ExceedsEstimate(baseline.times.RateAbove(class), slowMargin, alpha) {
			return "more answers that take several times the old release's median time"
		}
	}
	return ""
}

func (t answerCounts) badRate() assessor.Rate { return assessor.NewRate(t.bad, t.good+t.bad) }

func (t answerCounts) lateRate() assessor.Rate { return assessor.NewRate(t.late, t.good) }
