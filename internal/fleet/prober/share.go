package prober

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

// share remembers which daemons probe each engine for as long as the members
// stay as they are. It belongs to the goroutine of the rounds.
type share struct {
	digest uint64
	ranks  map[string]map[string]int
}

// update forgets what was remembered if the members have changed.
func (s *share) update(members []viewer.Member) {
	d := xxhash.New()
	for _, m := range members {
		// A digest takes every write.
		_, _ = d.WriteString(m.Name + "\x00" + m.Domain + "\x00" + string(m.State) + "\x00")
	}
	if sum := d.Sum64(); s.ranks == nil || sum != s.digest {
		s.digest, s.ranks = sum, make(map[string]map[string]int)
	}
}

// of returns the daemons that probe an engine, with their ranks.
func (s *share) of(e viewer.Endpoint, members []viewer.Member, n int) map[string]int {
	ranks, ok := s.ranks[e.Name]
	if !ok {
		ranks = probers(e, members, n)
		s.ranks[e.Name] = ranks
	}
	return ranks
}

// probers returns the daemons that probe an engine, with their ranks: those of
// its failure domain first, in the order of rendezvous hashing.
func probers(e viewer.Endpoint, members []viewer.Member, n int) map[string]int {
	ranked := ranker.Rank(e.Name, members)
	slices.SortStableFunc(ranked, func(a, b viewer.Member) int {
		switch local := a.Domain == e.Domain; {
		case local == (b.Domain == e.Domain):
			return 0
		case local:
			return -1
		default:
			return 1
		}
	})
	ranks := make(map[string]int)
	for i, m := range ranked[:min(n, len(ranked))] {
		ranks[m.Name] = i
	}
	return ranks
}
