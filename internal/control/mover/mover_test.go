package mover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/relayer"
)

// TestGoodMoves runs 200 moves between versions with the same fault rates, from none to high, and
// checks that each move is done in time: noise must not revert a good version.
func TestGoodMoves(t *testing.T) {
	noise := []versionBehaviour{
		{},
		{errors: 0.01},
		{errors: 0.1},
		{errors: 0.3},
		{slowFirst: 0.05},
		{slowFirst: 0.4},
		{slowToken: 0.2},
		{shortAnswer: 0.5},
		{errors: 0.02, slowFirst: 0.1, slowToken: 0.1, shortAnswer: 0.2},
		{errors: 0.005, slowFirst: 0.01},
	}
	missed := 0
	for seed := range uint64(200) {
		f := newFleet(t, seed, 3, testSet(testMove(time.Duration(15+seed%10)*time.Second)))
		f.behaviourOf = func(*node, string) versionBehaviour { return noise[seed%uint64(len(noise))] }
		f.run(testMove(time.Duration(15+seed%10)).By.Sub(startTime) + time.Duration(15+seed%10)*time.Second)
		for _, n := range f.nodes {
			if r := f.moveRow(n); r.State != Done || n.versionShare("v2") != fullShare {
				missed++
				t.Errorf("seed %d at %s: got %s at %g%% (%s), want done", seed, n.name, r.State, n.versionShare("v2"), r.Reason)
				break
			}
		}
	}
	t.Logf("200 good moves: %d not done in time", missed)
}

// badCase is one kind of faulty new version.
type badCase struct {
	name string
	// bad returns the behaviour of the new version, old that of the old one.
	bad func(f *fleet, n *node) versionBehaviour
	old versionBehaviour
	// afterDone is set if the fault appears only once the move is done.
	afterDone bool
}

// alwaysBehave returns a function that returns b for all nodes at all times.
func alwaysBehave(b versionBehaviour) func(*fleet, *node) versionBehaviour {
	return func(*fleet, *node) versionBehaviour { return b }
}

// behaveAfter returns a function that returns b from the time d on, and no faults before.
func behaveAfter(d time.Duration, b versionBehaviour) func(*fleet, *node) versionBehaviour {
	return func(f *fleet, _ *node) versionBehaviour {
		if f.now.Sub(startTime) < d {
			return versionBehaviour{}
		}
		return b
	}
}

var badCases = []badCase{
	{name: "fails outright", bad: alwaysBehave(versionBehaviour{errors: 1})},
	{name: "fails half", bad: alwaysBehave(versionBehaviour{errors: 0.5})},
	{name: "fails a fifth", bad: alwaysBehave(versionBehaviour{errors: 0.2})},
	{name: "slow first token", bad: alwaysBehave(versionBehaviour{slowFirst: 1})},
	{name: "slow tokens", bad: alwaysBehave(versionBehaviour{slowToken: 0.8})},
	{name: "short answers", bad: alwaysBehave(versionBehaviour{shortAnswer: 1})},
	{name: "fails next to a noisy old one", bad: alwaysBehave(versionBehaviour{errors: 0.9}), old: versionBehaviour{errors: 0.1, slowFirst: 0.2}},
	{name: "in one failure domain only", bad: func(_ *fleet, n *node) versionBehaviour {
		if n.domain != "domain-1" {
			return versionBehaviour{}
		}
		return versionBehaviour{errors: 1}
	}},
	{name: "under load only", bad: func(_ *fleet, n *node) versionBehaviour {
		if n.versionShare("v2") < 40 {
			return versionBehaviour{}
		}
		return versionBehaviour{slowFirst: 0.7}
	}},
	{name: "late in the ramp", bad: behaveAfter(8*time.Second, versionBehaviour{errors: 0.5})},
	{name: "after it is done", bad: behaveAfter(30*time.Second, versionBehaviour{errors: 0.5}), afterDone: true},
	{name: "slow long after it is done", bad: behaveAfter(80*time.Second, versionBehaviour{slowToken: 0.6}), afterDone: true},
}

// TestBadMoves runs each badCase with five seeds and checks that all daemons revert the move.
func TestBadMoves(t *testing.T) {
	for _, tc := range badCases {
		var newVersionRequests, lastRequestSeconds []float64
		for seed := range uint64(5) {
			f := newFleet(t, seed, 9, testSet(testMove(18*time.Second)))
			f.behaviourOf = func(n *node, version string) versionBehaviour {
				if version == "v2" {
					return tc.bad(f, n)
				}
				return tc.old
			}
			limit := 20 * time.Second
			if tc.afterDone {
				f.runUntil("done", limit, f.hasState(Done))
				limit = 100 * time.Second
			}
			f.runUntil(tc.name+": reverted", limit, f.hasState(Reverted))
			f.run(time.Second)
			for _, n := range f.nodes {
				if r := f.moveRow(n); r.State != Reverted || n.versionShare("v2") != 0 || r.Reason == "" {
					t.Errorf("%s, seed %d at %s: got %s at %g%% for %q, want reverted at 0%% for a reason",
						tc.name, seed, n.name, r.State, n.versionShare("v2"), r.Reason)
				}
			}
			newVersionRequests = append(newVersionRequests, float64(f.servedRequests("v2")))
			lastRequestSeconds = append(lastRequestSeconds, f.lastNewVersionRequest.Sub(startTime).Seconds())
		}
		t.Logf("%-30s requests to it: median %3.0f, most %3.0f; last one at %4.1f s (median)",
			tc.name, percentile(newVersionRequests, 0.5), percentile(newVersionRequests, 1), percentile(lastRequestSeconds, 0.5))
	}
}

// TestOutrightFailureLimitsExposure checks that a version which fails every request gets at most 1%
// of the requests before the revert, over ten seeds for each request rate.
func TestOutrightFailureLimitsExposure(t *testing.T) {
	for _, requestsPerSecond := range []int{50, 200, 1000, 3700} {
		var old, newVersionRequests int
		var exposureSeconds []float64
		for seed := range uint64(10) {
			var first time.Time
			f := newFleet(t, seed, 9, testSet(testMove(40*time.Second)))
			f.requestsPerSecond = requestsPerSecond
			f.behaviourOf = func(_ *node, version string) versionBehaviour {
				if version != "v2" {
					return versionBehaviour{}
				}
				if first.IsZero() {
					first = f.now
				}
				return versionBehaviour{errors: 1}
			}
			f.runUntil("reverted", 60*time.Second, f.hasState(Reverted))
			exposureSeconds = append(exposureSeconds, f.lastNewVersionRequest.Sub(first).Seconds())
			old, newVersionRequests = old+f.servedRequests("v1"), newVersionRequests+f.servedRequests("v2")
		}
		part := fullShare * float64(newVersionRequests) / float64(old+newVersionRequests)
		t.Logf("%4d requests a second: %.1f requests (%.2f%%) to it a move, the last %.1f s after the first (median; most %.1f s)",
			requestsPerSecond, float64(newVersionRequests)/10, part, percentile(exposureSeconds, 0.5), percentile(exposureSeconds, 1))
		if part > 1 {
			t.Errorf("at %d requests a second: got %.2f%% of requests to a version that fails outright, want at most 1%%", requestsPerSecond, part)
		}
	}
}

// holderFailureStates are the states at which a test makes the holder of the move's duty fail.
var holderFailureStates = []State{Pending, Loading, Canary, Ramping, Done, Reverting}

// TestHolderFailsAtEachState kills, pauses or isolates the holder of the move's duty at each state,
// or makes the store fail, and checks that the move still ends as it must.
func TestHolderFailsAtEachState(t *testing.T) {
	faults := []struct {
		name  string
		begin func(f *fleet, holder *node)
		end   func(f *fleet, holder *node)
	}{
		{"killed", func(_ *fleet, h *node) { h.dead = true }, func(*fleet, *node) {}},
		{"paused and resumed", func(_ *fleet, h *node) { h.paused = true }, func(_ *fleet, h *node) { h.paused = false }},
		{"store unreachable", func(f *fleet, _ *node) { f.store.SetDown(true) }, func(f *fleet, _ *node) { f.store.SetDown(false) }},
		{"answers lost", func(f *fleet, _ *node) { f.store.LoseAnswers(3) }, func(*fleet, *node) {}},
		{"domain isolated", func(f *fleet, h *node) { f.partition(h.domain, true) }, func(f *fleet, h *node) { f.partition(h.domain, false) }},
	}
	for _, fault := range faults {
		for _, state := range holderFailureStates {
			t.Run(fault.name+" at "+string(state), func(t *testing.T) {
				f := newFleet(t, 3, 6, testSet(testMove(40*time.Second)))
				want := Done
				if state == Reverting {
					want = Reverted
					f.behaviourOf = func(_ *node, version string) versionBehaviour {
						if version == "v2" {
							return versionBehaviour{errors: 1}
						}
						return versionBehaviour{}
					}
				}
				f.runUntil(string(state), 40*time.Second, func() bool {
					h := f.holder()
					return h != nil && h.knownRecord().State == state
				})
				holder := f.holder()
				fault.begin(f, holder)
				f.run(7 * time.Second)
				fault.end(f, holder)
				f.runUntil(string(want), 40*time.Second, f.hasState(want))
				f.run(3 * time.Second)
				f.checkAllEnded(want)
				if r := f.reachableNode().knownRecord(); want == Done && r.EnteredAt.After(r.By) {
					t.Errorf("got done at %s, want by %s", r.EnteredAt, r.By)
				}
			})
		}
	}
}

// checkAllEnded checks that all nodes that run are in the final state want, with its share.
func (f *fleet) checkAllEnded(want State) {
	f.t.Helper()
	versionShare := 0.0
	if want == Done {
		versionShare = fullShare
	}
	for _, n := range f.nodes {
		if r := n.knownRecord(); !n.dead && (r.State != want || n.versionShare("v2") != versionShare) {
			f.t.Errorf("%s: got %s at %g%% (%s), want %s at %g%%", n.name, r.State, n.versionShare("v2"), r.Reason, want, versionShare)
		}
	}
}

// partition isolates the nodes of a failure domain from the others, or reconnects them.
func (f *fleet) partition(domain string, partition bool) {
	for _, n := range f.nodes {
		if n.domain == domain {
			n.partition = partition
		}
	}
}

// TestRevertsAtDeadline checks that a move which cannot be done by its deadline is reverted, with the
// reason why it could not.
func TestRevertsAtDeadline(t *testing.T) {
	for _, tc := range []struct {
		name   string
		by     time.Duration
		change func(f *fleet)
		want   string
	}{
		{"the deadline has passed", -time.Hour, loadedAtOnce, "shares are left"},
		{"the deadline is too near", 4 * time.Second, loadedAtOnce, "shares are left"},
		{"never loaded", 20 * time.Second, func(f *fleet) { f.isLoaded = func(string) bool { return false } }, `endpoint "engine" has not loaded version "v2"`},
		{"too little traffic", 20 * time.Second, func(f *fleet) { f.requestsPerSecond = 0 }, "has answered 0 requests, want 10"},
		{"the store becomes unreachable", 20 * time.Second, func(f *fleet) {
			f.runUntil("ramping", 20*time.Second, f.hasState(Ramping))
			f.store.SetDown(true)
			f.run(20 * time.Second)
			for _, n := range f.nodes {
				if got := n.versionShare("v2"); got != 0 {
					t.Errorf("%s: got %g%% after the deadline without a store, want 0%%", n.name, got)
				}
			}
			f.store.SetDown(false)
		}, "shares are left"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 5, 3, testSet(testMove(tc.by)))
			tc.change(f)
			f.runUntil("reverted", 40*time.Second, f.hasState(Reverted))
			f.run(time.Second)
			f.checkAllEnded(Reverted)
			if got := f.moveRow(f.nodes[0]).Reason; !strings.Contains(got, tc.want) {
				t.Errorf("got reason %q, want %q in it", got, tc.want)
			}
		})
	}
}

func loadedAtOnce(f *fleet) { f.isLoaded = func(string) bool { return true } }

// TestEndpointFailureIsNoVersionFault breaks many streams at once, as the failure of a host does. The
// move must not be reverted, since the version is not at fault.
func TestEndpointFailureIsNoVersionFault(t *testing.T) {
	f := newFleet(t, 19, 3, testSet(testMove(18*time.Second)))
	f.runUntil("ramping", 20*time.Second, f.hasState(Ramping))
	for _, n := range f.nodes {
		for range 30 {
			n.follower.Observe(relayer.Outcome{
				Route: "chat", Version: "v2", Endpoint: "engine", Attempt: 1, Err: inferrer.ErrTruncated,
			})
		}
	}
	f.runUntil("done", 20*time.Second, f.hasState(Done))
}

// TestSecondPublish publishes another configuration while a move runs or has ended, and checks the
// shares of the versions in the end.
func TestSecondPublish(t *testing.T) {
	other := testMove(60 * time.Second)
	other.To = "v3"
	whole := testSet()
	whole.Routes = []loader.Route{whole.Routes[0].WithVersions(loader.Share{Version: "v2", Share: 100})}
	for _, tc := range []struct {
		name string
		at   State
		set  loader.Set
		// want maps versions to their percentages of the traffic in the end.
		want map[string]float64
	}{
		{"the same move mid-way", Ramping, testSet(testMove(18 * time.Second)), map[string]float64{"v2": 100}},
		{"another deadline mid-way", Ramping, testSet(testMove(50 * time.Second)), map[string]float64{"v2": 100}},
		{"another version mid-way", Ramping, testSet(other), map[string]float64{"v2": 0, "v3": 100}},
		{"without the move mid-way", Ramping, testSet(), map[string]float64{"v1": 100, "v2": 0}},
		{"the same move when done", Done, testSet(testMove(18 * time.Second)), map[string]float64{"v2": 100}},
		{"the route's own shares when done", Done, whole, map[string]float64{"v1": 0, "v2": 100}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 11, 3, testSet(testMove(18*time.Second)))
			f.runUntil(string(tc.at), 30*time.Second, f.hasState(tc.at))
			f.publishSet(tc.set)
			f.run(70 * time.Second)
			for _, n := range f.nodes {
				for version, want := range tc.want {
					if got := n.versionShare(version); got != want {
						t.Errorf("%s: got %s at %g%%, want %g%%", n.name, version, got, want)
					}
				}
			}
		})
	}
}

// TestDoneMoveSurvivesRestarts replaces all daemons one by one after a move is done. The new daemons
// must read its record from the store and keep all traffic at the new version.
func TestDoneMoveSurvivesRestarts(t *testing.T) {
	f := newFleet(t, 13, 3, testSet(testMove(18*time.Second)))
	f.runUntil("done", 30*time.Second, f.hasState(Done))
	for i := range 3 {
		f.nodes[i].dead = true
		n := f.addNode(fmt.Sprintf("entry-new-%d", i), "domain-0", f.nodes[0].set)
		if err := n.follower.loadRecords(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.run(6 * time.Second)
	}
	f.checkAllEnded(Done)
}

// TestPartitionedDomainReverts isolates a failure domain in the canary stage. It must revert a
// version that is faulty there without the other domains, and the move must be reverted everywhere
// once it is connected again.
func TestPartitionedDomainReverts(t *testing.T) {
	f := newFleet(t, 17, 9, testSet(testMove(60*time.Second)))
	f.runUntil("canary", 20*time.Second, f.hasState(Canary))
	f.partition("domain-2", true)
	f.behaviourOf = func(n *node, version string) versionBehaviour {
		if version == "v2" && n.partition {
			return versionBehaviour{errors: 1}
		}
		return versionBehaviour{}
	}
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		if n.partition && n.versionShare("v2") != 0 {
			t.Errorf("%s: got %g%% in the isolated failure domain, want 0%%", n.name, n.versionShare("v2"))
		}
	}
	f.partition("domain-2", false)
	f.run(5 * time.Second)
	f.checkAllEnded(Reverted)
}
