package chooser

import (
	"slices"
	"time"

	"pomelotiller/internal/config/switcher"
)

const (
	// recentPaceCount is the number of recent samples whose upper quartile is the recent pace, and
	// minRecentPaces the number from which on it is used.
	recentPaceCount = 32
	minRecentPaces  = 8
	// minRecentFraction bounds the recent pace relative to the steady one: when a whole fleet restarts under
	// load, all prompts wait for some seconds and engines seem a fifth as fast as they are.
	minRecentFraction = 0.7
)

// recentPaces holds the prefill speeds, in prompt tokens per millisecond, that were last observed at
// endpoints where no prompt was known to wait.
type recentPaces struct {
	paces []float64
	next  int
}

// add adds a prompt whose prefill took a time at an endpoint with tokensAhead waiting before it.
func (r *recentPaces) add(tokensAhead, tokens int, prefill time.Duration) {
	if tokensAhead > 0 || tokens < minSampleTokens || prefill <= 0 {
		return
	}
	pace := float64(tokens) * float64(time.Millisecond) / float64(prefill)
	if len(r.paces) < recentPaceCount {
		r.paces = append(r.paces, pace)
		return
	}
	r.paces[r.next] = pace
	r.next = (r.next + 1) % recentPaceCount
}

// pace returns the upper quartile, and whether there are enough samples. Prompts that waited behind those
// of other daemons are among the slower ones.
func (r *recentPaces) pace() (tokensPerMilli float64, ok bool) {
	if len(r.paces) < minRecentPaces {
		return 0, false
	}
	return slices.Sorted(slices.Values(r.paces))[len(r.paces)*3/4], true
}

// scalingPace returns the prompt tokens per millisecond for which endpoints are ordered. It follows engines
// that are slower than assumed within some samples, since too few endpoints cost callers their answers,
// and faster ones only as the steady average does.
func (s *prefillSpeed) scalingPace(p switcher.Policies) float64 {
	recent, ok := s.recent.pace()
	if !ok || !p.IsOn(switcher.Pace) {
		return s.steadyTokensPerMilli
	}
	return max(min(recent, s.steadyTokensPerMilli), minRecentFraction*s.steadyTokensPerMilli)
}
