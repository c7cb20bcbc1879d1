package prober

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

// assignments caches which daemons probe each engine while the membership does not change. Only the
// goroutine of Prober.Run uses it.
type assignments struct {
	// digest is the hash of the members for which ranks holds.
	digest uint64
	// ranks holds, by engine and daemon, the ranks of the daemons that probe the engine.
	ranks map[string]map[string]int
}

// resetOnChange empties the cache if the members have changed.
func (s *assignments) resetOnChange(members []viewer.Member) {
	d := xxhash.New()
	for _, m := range members {
		// Writes to an xxhash digest never fail.
		_, _ = d.WriteString(m.Name + "\x00" + m.Domain + "\x00" + string(m.State) + "\x00")
	}
	if sum := d.Sum64(); s.ranks == nil || sum != s.digest {
		s.digest, s.ranks = sum, make(map[string]map[string]int)
	}
}

// probersOf returns the daemons that probe an engine, with their ranks, from the cache if possible.
func (s *assignments) probersOf(e viewer.Endpoint, members []viewer.Member, n int) map[string]int {
	ranks, ok := s.ranks[e.Name]
	if !ok {
		ranks = chooseProbers(e, members, n)
		s.ranks[e.Name] = ranks
	}
	return ranks
}

// chooseProbers returns up to n daemons that probe an engine, with their ranks: those of the engine's
// failure domain first, in the order of rendezvous hashing.
func chooseProbers(e viewer.Endpoint, members []viewer.Member, n int) map[string]int {
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
