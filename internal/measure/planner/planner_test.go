package planner

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

var update = flag.Bool("update", false, "write the golden files")

func TestFaultyScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got scenarios %v, error %v", paths, err)
	}
	for _, path := range paths {
		_, err := ReadScenario(path)
		if err == nil {
			t.Errorf("%s: got no error", path)
			continue
		}
		golden := strings.TrimSuffix(path, ".yaml") + ".golden"
		got := err.Error() + "\n"
		if *update {
			if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
		}
	}
}

func readExample(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := ReadScenario("../../../examples/load/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestPlanDependsOnSeedAlone(t *testing.T) {
	s := readExample(t, "granite.yaml")
	one, two := Plan(s), Plan(s)
	s.Seed++
	other := Plan(s)
	if len(one) != len(two) || len(one) == 0 {
		t.Fatalf("got %d and %d requests of one seed", len(one), len(two))
	}
	for i := range one {
		if one[i].Start != two[i].Start || one[i].Prompt() != two[i].Prompt() {
			t.Fatalf("request %d differs between two plans of one seed", i)
		}
	}
	if one[0].Start == other[0].Start || one[0].Prompt() == other[0].Prompt() {
		t.Error("another seed gave the same first request")
	}
}

func TestPlanFollowsRatesAndShares(t *testing.T) {
	s := readExample(t, "granite.yaml")
	inBurst := 0
	orgs, kinds := make(map[string]int), make(map[string]int)
	plan := Plan(s)
	for _, r := range plan {
		if r.Start >= 10*time.Second && r.Start < 20*time.Second {
			inBurst++
		}
		orgs[r.Organisation.Name]++
		kinds[r.Kind.Name]++
	}
	near := func(name string, got, want float64) {
		if got < want*0.8 || got > want*1.2 {
			t.Errorf("%s: got %g, want about %g", name, got, want)
		}
	}
	near("requests in the burst", float64(inBurst), 10*12*2.5)
	near("requests outside", float64(len(plan)-inBurst), 20*12)
	near("largest organisation", float64(orgs["dispatch"]), float64(len(plan))*0.5)
	near("route sheets", float64(kinds["route-sheet"]), float64(len(plan))*0.3)
}

// TestPromptsShareHistories checks that of two requests on the same history the later has the history
// of the earlier as its prefix, so that prefix caches can serve it.
func TestPromptsShareHistories(t *testing.T) {
	type history struct {
		siteKey
		historyRound int
	}
	first := make(map[history]Request)
	checked := 0
	for _, r := range Plan(readExample(t, "granite.yaml")) {
		if r.Kind.Name != "route-sheet" {
			continue
		}
		h := history{siteKey{r.Organisation.Name, r.Kind.Name, r.site}, r.historyRound}
		before, ok := first[h]
		if !ok {
			first[h] = r
			continue
		}
		checked++
		shared := (r.Kind.SharedPrefixTokens + r.Kind.HistoryTokens + r.Kind.GrowthTokens*before.historyTurn) * inferrer.TokenBytes
		if got, want := r.Prompt()[:shared], before.Prompt()[:shared]; got != want {
			t.Fatalf("request %d does not continue the history of request %d", r.Number, before.Number)
		}
		if reflect.DeepEqual(r.Prompt(), before.Prompt()) {
			t.Fatalf("request %d repeats request %d", r.Number, before.Number)
		}
	}
	if checked == 0 {
		t.Error("no history is used twice")
	}
}
