// Package ranker ranks daemons by rendezvous hashing. All daemons that know the same members compute
// the same ranking without communication, and it changes little when members join and leave.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/viewer"
)

// Rank returns the live members, sorted by descending rendezvous score for a key.
func Rank(key string, members []viewer.Member) []viewer.Member {
	type scored struct {
		viewer.Member
		score uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		if m.State == viewer.StateAlive {
			all = append(all, scored{m, score(key, m.Name)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]viewer.Member, len(all))
	for i, s := range all {
		ranked[i] = s.Member
	}
	return ranked
}

// HighestRanked returns the name of the live member with the highest rendezvous score for a key, or
// "" if no member is alive.
func HighestRanked(key string, members []viewer.Member) string {
	var first string
	var best uint64
	for _, m := range members {
		if m.State != viewer.StateAlive {
			continue
		}
		if s := score(key, m.Name); first == "" || s > best {
			first, best = m.Name, s
		}
	}
	return first
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Position returns how many of the names have a higher rendezvous score for a key than self; -1 if self is
// not among them.
func Position(key, self string, names []string) int {
	own, position, found := score(key, self), 0, false
	for _, n := range names {
		switch s := score(key, n); {
		case n == self:
			found = true
		case s > own || s == own && n < self:
			position++
		}
	}
	if !found {
		return -1
	}
	return position
}
