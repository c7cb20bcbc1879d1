// Package ranker chooses among daemons by rendezvous hashing: all that know the
// same members choose alike, without a call, and a choice changes little when
// members come and go.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/viewer"
)

// Rank returns the members alive in the order in which they are chosen for a
// key.
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

// First returns the name of the member that is chosen first for a key, or
// nothing if none is alive.
func First(key string, members []viewer.Member) string {
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
