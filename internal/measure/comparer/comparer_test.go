package comparer

import (
	"testing"
	"time"

	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// graniteFleet returns the current fleet of the customer Granite.
func graniteFleet() Fleet {
	return Fleet{
		Domains: []string{"portland", "worcester", "hartford"}, DaemonsPerDomain: 3, EnginesPerDomain: 7, Price: 1,
		Model: generator.Model{
			StepTime: 8 * time.Millisecond, SequenceTime: 150 * time.Microsecond, ContextTime: 30 * time.Microsecond,
			PrefillTime: 60 * time.Microsecond, Chunk: 256, Sequences: 64, Blocks: 4096,
		},
		EventLag: time.Second, EventLoss: 0.01, ReportLag: 250 * time.Millisecond,
	}
}

// kadaluFleet returns the current fleet of the customer Kadalu.
func kadaluFleet() Fleet {
	f := graniteFleet()
	f.Domains, f.EnginesPerDomain = []string{"kandy-a", "kandy-b", "kandy-c"}, 3
	return f
}

func scenario(t testing.TB, name string, rate float64) planner.Scenario {
	t.Helper()
	s, err := planner.ReadScenario("../../../examples/load/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	s.Rate = rate
	return s
}

const oraclePolicy = "oracle"

var policyNames = []string{"round-robin", "least-in-flight", "prefix-hash", "predicted", oraclePolicy}

func runPolicy(t testing.TB, s planner.Scenario, f Fleet, name string) reporter.Report {
	t.Helper()
	cfg := Config{Scenario: s, Fleet: f, Oracle: name == oraclePolicy}
	if cfg.Oracle {
		name = "predicted"
	}
	cfg.Policy = func() router.Policy[router.Query, router.Candidate] {
		p, err := router.NewPolicy(name)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	return Run(cfg)
}

// deployment is a fleet with the scenario and request rate for which it is sized.
type deployment struct {
	scenario string
	rate     float64
	fleet    Fleet
}

var deployments = []deployment{{"granite", 60, graniteFleet()}, {"kadalu", 24, kadaluFleet()}}

// condition is a change of the fleet, such as a fault, under which the policies are compared.
type condition struct {
	name   string
	change func(f *Fleet)
}

var noFault = condition{"sound", func(*Fleet) {}}

var conditions = []condition{
	noFault,
	{"late", func(f *Fleet) { f.EventLag, f.EventLoss = 5*time.Second, 0.1 }},
	{"slow", func(f *Fleet) {
		f.Faults = []Fault{{Kind: FaultSlow, Start: 5 * time.Second, Target: f.Domains[0] + "-engine-0", Factor: 6}}
	}},
	{"gone", func(f *Fleet) {
		f.Faults = []Fault{{Kind: FaultCrash, Start: 12 * time.Second, Target: f.Domains[0] + "-engine-1"}}
	}},
	{"cut", func(f *Fleet) {
		f.Faults = []Fault{{Kind: FaultPartition, Start: 12 * time.Second, Target: f.Domains[1]}}
	}},
}

// runKey identifies a set of runs with the same settings.
type runKey struct {
	scenario, condition, policy string
	engines, seeds              int
}

// cachedReports holds the reports of earlier runs. Simulations are deterministic, so that tests can
// share them.
var cachedReports = make(map[runKey]reporter.Report)

// sumRuns runs a policy with the seeds 1 to seeds. Counts and costs of the report are sums over the
// runs, the 95th percentiles are means.
func sumRuns(t testing.TB, x deployment, c condition, name string, seeds int) reporter.Report {
	t.Helper()
	k := runKey{x.scenario, c.name, name, x.fleet.EnginesPerDomain, seeds}
	if r, ok := cachedReports[k]; ok {
		return r
	}
	f := x.fleet
	c.change(&f)
	var out reporter.Report
	for seed := range seeds {
		s := scenario(t, x.scenario, x.rate)
		s.Seed = uint64(seed) + 1
		r := runPolicy(t, s, f, name)
		out.Requests += r.Requests
		out.OnTime += r.OnTime
		out.Unanswered += r.Unanswered
		out.RecomputedTokens += r.RecomputedTokens
		out.ComputedTokens += r.ComputedTokens
		out.Cost += r.Cost
		out.TimeToFirstToken.P95 += r.TimeToFirstToken.P95 / float64(seeds)
		out.InterTokenLatency.P95 += r.InterTokenLatency.P95 / float64(seeds)
	}
	out.CostPerThousand = out.Cost / float64(out.OnTime) * 1000
	cachedReports[k] = out
	return out
}

// TestRunsAreDeterministic runs the network partition twice. It breaks many attempts at once, and a random
// order of their failures would change the result.
func TestRunsAreDeterministic(t *testing.T) {
	x := deployments[1]
	f := x.fleet
	conditions[len(conditions)-1].change(&f)
	s := scenario(t, x.scenario, x.rate)
	one, two := runPolicy(t, s, f, "least-in-flight"), runPolicy(t, s, f, "least-in-flight")
	if one.TimeToFirstToken != two.TimeToFirstToken || one.RecomputedTokens != two.RecomputedTokens {
		t.Errorf("got first token %+v and %+v, %d and %d tokens recomputed, want the same", one.TimeToFirstToken, two.TimeToFirstToken, one.RecomputedTokens, two.RecomputedTokens)
	}
}

// TestPredictedBeatsLeastInFlight requires that the predicted policy recomputes at most half the tokens
// of least-in-flight, without a higher 95th percentile of the time to the first token.
func TestPredictedBeatsLeastInFlight(t *testing.T) {
	for _, x := range deployments {
		for _, c := range conditions {
			t.Run(x.scenario+"/"+c.name, func(t *testing.T) {
				got := sumRuns(t, x, c, "predicted", 1)
				base := sumRuns(t, x, c, "least-in-flight", 1)
				if got.RecomputedTokens*2 > base.RecomputedTokens {
					t.Errorf("got %d tokens recomputed, want at most half of %d", got.RecomputedTokens, base.RecomputedTokens)
				}
				if got.TimeToFirstToken.P95 > base.TimeToFirstToken.P95 {
					t.Errorf("got p95 first token %.0f ms, want at most %.0f", got.TimeToFirstToken.P95, base.TimeToFirstToken.P95)
				}
			})
		}
	}
}

// TestCost requires that under each condition 1,000 answers on time cost no more with the predicted
// policy than with any other, on a fleet of the same size.
func TestCost(t *testing.T) {
	for _, x := range deployments {
		for _, c := range conditions {
			got := sumRuns(t, x, c, "predicted", 1)
			for _, name := range []string{"round-robin", "least-in-flight", "prefix-hash"} {
				base := sumRuns(t, x, c, name, 1)
				if got.CostPerThousand > base.CostPerThousand {
					t.Errorf("%s/%s: got cost %.5f for 1,000 on time, want at most %.5f of %s",
						x.scenario, c.name, got.CostPerThousand, base.CostPerThousand, name)
				}
			}
		}
	}
}

// meetsTarget reports whether a policy meets the latency target with a number of engines in each failure
// domain, and the cost of 1,000 answers on time.
func meetsTarget(t testing.TB, x deployment, name string, engines int) (cost float64, ok bool) {
	x.fleet.EnginesPerDomain = engines
	r := sumRuns(t, x, noFault, name, 1)
	return r.CostPerThousand, r.OnTime*100 >= r.Requests*95 && r.TimeToFirstToken.P95 <= 1000 && r.InterTokenLatency.P95 <= 27
}

// TestCostAtTheTarget finds the fewest engines with which the predicted policy meets the latency target.
// It fails if another policy meets the target with fewer engines, or with as many at a lower cost of
// 1,000 answers on time.
func TestCostAtTheTarget(t *testing.T) {
	for _, x := range deployments {
		n := 2
		cost, ok := meetsTarget(t, x, "predicted", n)
		for !ok {
			n++
			cost, ok = meetsTarget(t, x, "predicted", n)
		}
		for _, name := range []string{"round-robin", "least-in-flight", "prefix-hash"} {
			if _, ok := meetsTarget(t, x, name, n-1); ok {
				t.Errorf("%s: %s meets the target with %d engines a domain, predicted needs %d", x.scenario, name, n-1, n)
			}
			if other, ok := meetsTarget(t, x, name, n); ok && other < cost {
				t.Errorf("%s: got cost %.5f with %d engines a domain, want at most %.5f of %s", x.scenario, cost, n, other, name)
			}
		}
	}
}

// TestNearOracle requires that the predicted policy recomputes at most 10% more tokens than it does when
// it knows the true cache contents.
func TestNearOracle(t *testing.T) {
	for _, x := range deployments {
		got, best := sumRuns(t, x, noFault, "predicted", 3), sumRuns(t, x, noFault, oraclePolicy, 3)
		if got.RecomputedTokens*10 > best.RecomputedTokens*11 {
			t.Errorf("%s: got %d tokens recomputed, want at most a tenth over the oracle's %d", x.scenario, got.RecomputedTokens, best.RecomputedTokens)
		}
	}
}

// BenchmarkPolicies reports the metrics of all policies under all conditions.
func BenchmarkPolicies(b *testing.B) {
	for _, x := range deployments {
		for _, c := range conditions {
			for _, name := range policyNames {
				b.Run(x.scenario+"/"+c.name+"/"+name, func(b *testing.B) {
					for b.Loop() {
						r := sumRuns(b, x, c, name, 1)
						b.ReportMetric(float64(r.OnTime)/float64(r.Requests)*100, "ontime-%")
						b.ReportMetric(float64(r.RecomputedTokens)/1000, "recomputed-kT")
						b.ReportMetric(r.TimeToFirstToken.P95, "first-p95-ms")
						b.ReportMetric(r.InterTokenLatency.P95, "between-p95-ms")
						b.ReportMetric(r.CostPerThousand*1000, "milli/1000")
					}
				})
			}
		}
	}
}

// BenchmarkSmallestFleet reports the fewest engines in each failure domain with which a policy meets the
// latency target, and the cost of 1,000 answers on time.
func BenchmarkSmallestFleet(b *testing.B) {
	for _, x := range deployments {
		for _, name := range policyNames {
			b.Run(x.scenario+"/"+name, func(b *testing.B) {
				for b.Loop() {
					for n := 2; ; n++ {
						if cost, ok := meetsTarget(b, x, name, n); ok {
							b.ReportMetric(float64(n), "engines")
							b.ReportMetric(cost*1000, "milli/1000")
							break
						}
					}
				}
			})
		}
	}
}
