package ranker

import (
	"fmt"
	"testing"

	"pomelotiller/internal/fleet/viewer"
)

func TestRank(t *testing.T) {
	members := []viewer.Member{{Name: "gone", State: viewer.StateGone}, {Name: "leaving", State: viewer.StateLeaving}}
	for i := range 30 {
		members = append(members, viewer.Member{Name: fmt.Sprint("entry-", i), State: viewer.StateAlive})
	}
	firsts := make(map[string]int)
	for i := range 300 {
		key := fmt.Sprint("duty-", i)
		ranked := Rank(key, members)
		if len(ranked) != 30 || ranked[0].Name != HighestRanked(key, members) {
			t.Fatalf("got %d ranked, first %s, want 30, first %s", len(ranked), ranked[0].Name, HighestRanked(key, members))
		}
		firsts[ranked[0].Name]++
		if second := HighestRanked(key, without(members, ranked[0].Name)); second != ranked[1].Name {
			t.Errorf("got %s after the first is gone, want %s", second, ranked[1].Name)
		}
	}
	for name, n := range firsts {
		if n > 30 {
			t.Errorf("got %d of 300 keys at %s, want about 10", n, name)
		}
	}
	if got := HighestRanked("key", members[:2]); got != "" {
		t.Errorf("got %q with nobody alive, want nothing", got)
	}
}

func without(members []viewer.Member, name string) []viewer.Member {
	var out []viewer.Member
	for _, m := range members {
		if m.Name != name {
			out = append(out, m)
		}
	}
	return out
}
