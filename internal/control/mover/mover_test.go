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

// TestGoodMoves runs 200 moves to versions that are as good as the old one,
// which is noisy itself, and wants each done in time.
func TestGoodMoves(t *testing.T) {
	noise := []behaviour{
		{},
		{errors: 0.01},
		{errors: 0.1},
		{errors: 0.3},
		{first: 0.05},
		{first: 0.4},
		{token: 0.2},
		{short: 0.5},
		{errors: 0.02, first: 0.1, token: 0.1, short: 0.2},
		{errors: 0.005, first: 0.01},
	}
	late := 0
	for seed := range uint64(200) {
		f := newFleet(t, seed, 3, testSet(testMove(time.Duration(15+seed%10)*time.Second)))
		f.answer = func(*node, string) behaviour { return noise[seed%uint64(len(noise))] }
		f.run(testMove(time.Duration(15+seed%10)).By.Sub(start) + time.Duration(15+seed%10)*time.Second)
		for _, n := range f.nodes {
			if r := f.row(n); r.State != Done || n.share("v2") != wholeShare {
				late++
				t.Errorf("seed %d at %s: got %s at %g%% (%s), want done", seed, n.name, r.State, n.share("v2"), r.Reason)
				break
			}
		}
	}
	t.Logf("200 good moves: %d not done in time", late)
}

// badCase is one way in which a version is bad.
type badCase struct {
	name string
	// bad returns how the new version answers.
	bad func(f *fleet, n *node) behaviour
	old behaviour
	// afterDone says that the fault shows only once the move is done.
	afterDone bool
}

func outright(b behaviour) func(*fleet, *node) behaviour {
	return func(*fleet, *node) behaviour { return b }
}

// after makes a fault show only some time after the start.
func after(d time.Duration, b behaviour) func(*fleet, *node) behaviour {
	return func(f *fleet, _ *node) behaviour {
		if f.now.Sub(start) < d {
			return behaviour{}
		}
		return b
	}
}

var badCases = []badCase{
	{name: "fails outright", bad: outright(behaviour{errors: 1})},
	{name: "fails half", bad: outright(behaviour{errors: 0.5})},
	{name: "fails a fifth", bad: outright(behaviour{errors: 0.2})},
	{name: "slow first token", bad: outright(behaviour{first: 1})},
	{name: "slow tokens", bad: outright(behaviour{token: 0.8})},
	{name: "short answers", bad: outright(behaviour{short: 1})},
	{name: "fails next to a noisy old one", bad: outright(behaviour{errors: 0.9}), old: behaviour{errors: 0.1, first: 0.2}},
	{name: "in one failure domain only", bad: func(_ *fleet, n *node) behaviour {
		if n.domain != "domain-1" {
			return behaviour{}
		}
		return behaviour{errors: 1}
	}},
	{name: "under load only", bad: func(_ *fleet, n *node) behaviour {
		if n.share("v2") < 40 {
			return behaviour{}
		}
		return behaviour{first: 0.7}
	}},
	{name: "late in the ramp", bad: after(8*time.Second, behaviour{errors: 0.5})},
	{name: "after it is done", bad: after(30*time.Second, behaviour{errors: 0.5}), afterDone: true},
	{name: "slow long after it is done", bad: after(80*time.Second, behaviour{token: 0.6}), afterDone: true},
}

// TestBadMoves runs each way of being bad with several seeds and wants every
// move taken back.
func TestBadMoves(t *testing.T) {
	for _, tc := range badCases {
		var touched, soon []float64
		for seed := range uint64(5) {
			f := newFleet(t, seed, 9, testSet(testMove(18*time.Second)))
			f.answer = func(n *node, version string) behaviour {
				if version == "v2" {
					return tc.bad(f, n)
				}
				return tc.old
			}
			limit := 20 * time.Second
			if tc.afterDone {
				f.until("done", limit, f.isState(Done))
				limit = 100 * time.Second
			}
			f.until(tc.name+": reverted", limit, f.isState(Reverted))
			f.run(time.Second)
			for _, n := range f.nodes {
				if r := f.row(n); r.State != Reverted || n.share("v2") != 0 || r.Reason == "" {
					t.Errorf("%s, seed %d at %s: got %s at %g%% for %q, want reverted at 0%% for a reason",
						tc.name, seed, n.name, r.State, n.share("v2"), r.Reason)
				}
			}
			touched = append(touched, float64(f.served("v2")))
			soon = append(soon, f.lastNew.Sub(start).Seconds())
		}
		t.Logf("%-30s requests to it: median %3.0f, most %3.0f; last one at %4.1f s (median)",
			tc.name, percentile(touched, 0.5), percentile(touched, 1), percentile(soon, 0.5))
	}
}

// TestOutrightFailureTouchesFew bounds what a version that fails outright gets,
// over ten seeds for each rate of requests.
func TestOutrightFailureTouchesFew(t *testing.T) {
	for _, rate := range []int{50, 200, 1000, 3700} {
		var old, touched int
		var shown []float64
		for seed := range uint64(10) {
			var first time.Time
			f := newFleet(t, seed, 9, testSet(testMove(40*time.Second)))
			f.rate = rate
			f.answer = func(_ *node, version string) behaviour {
				if version != "v2" {
					return behaviour{}
				}
				if first.IsZero() {
					first = f.now
				}
				return behaviour{errors: 1}
			}
			f.until("reverted", 60*time.Second, f.isState(Reverted))
			shown = append(shown, f.lastNew.Sub(first).Seconds())
			old, touched = old+f.served("v1"), touched+f.served("v2")
		}
		part := wholeShare * float64(touched) / float64(old+touched)
		t.Logf("%4d requests a second: %.1f requests (%.2f%%) to it a move, the last %.1f s after the first (median; most %.1f s)",
			rate, float64(touched)/10, part, percentile(shown, 0.5), percentile(shown, 1))
		if part > 1 {
			t.Errorf("at %d requests a second: got %.2f%% of requests to a version that fails outright, want at most 1%%", rate, part)
		}
	}
}

// stateCases are the states at which a holder can fail.
var stateCases = []State{Pending, Loading, Canary, Ramping, Done, Reverting}

// TestHolderFailsAtEachState kills or pauses the holder at each state, or takes
// the store away, and wants the move to end as it should nevertheless.
func TestHolderFailsAtEachState(t *testing.T) {
	faults := []struct {
		name  string
		begin func(f *fleet, holder *node)
		end   func(f *fleet, holder *node)
	}{
		{"killed", func(_ *fleet, h *node) { h.dead = true }, func(*fleet, *node) {}},
		{"paused and woken", func(_ *fleet, h *node) { h.paused = true }, func(_ *fleet, h *node) { h.paused = false }},
		{"store away", func(f *fleet, _ *node) { f.store.SetDown(true) }, func(f *fleet, _ *node) { f.store.SetDown(false) }},
		{"answers lost", func(f *fleet, _ *node) { f.store.LoseAnswers(3) }, func(*fleet, *node) {}},
		{"domain cut off", func(f *fleet, h *node) { f.cut(h.domain, true) }, func(f *fleet, h *node) { f.cut(h.domain, false) }},
	}
	for _, fault := range faults {
		for _, state := range stateCases {
			t.Run(fault.name+" at "+string(state), func(t *testing.T) {
				f := newFleet(t, 3, 6, testSet(testMove(40*time.Second)))
				want := Done
				if state == Reverting {
					want = Reverted
					f.answer = func(_ *node, version string) behaviour {
						if version == "v2" {
							return behaviour{errors: 1}
						}
						return behaviour{}
					}
				}
				f.until(string(state), 40*time.Second, func() bool {
					h := f.holder()
					return h != nil && h.record().State == state
				})
				holder := f.holder()
				fault.begin(f, holder)
				f.run(7 * time.Second)
				fault.end(f, holder)
				f.until(string(want), 40*time.Second, f.isState(want))
				f.run(3 * time.Second)
				f.agree(want)
				if r := f.alive().record(); want == Done && r.Entered.After(r.By) {
					t.Errorf("got done at %s, want by %s", r.Entered, r.By)
				}
			})
		}
	}
}

// agree checks that all living nodes know the same end.
func (f *fleet) agree(want State) {
	f.t.Helper()
	share := 0.0
	if want == Done {
		share = wholeShare
	}
	for _, n := range f.nodes {
		if r := n.record(); !n.dead && (r.State != want || n.share("v2") != share) {
			f.t.Errorf("%s: got %s at %g%% (%s), want %s at %g%%", n.name, r.State, n.share("v2"), r.Reason, want, share)
		}
	}
}

func (f *fleet) cut(domain string, cut bool) {
	for _, n := range f.nodes {
		if n.domain == domain {
			n.cut = cut
		}
	}
}

// TestTakenBackForTheHour checks the reasons of moves that cannot be done in
// time.
func TestTakenBackForTheHour(t *testing.T) {
	for _, tc := range []struct {
		name   string
		by     time.Duration
		change func(f *fleet)
		want   string
	}{
		{"the hour has passed", -time.Hour, loadedAtOnce, "shares are left"},
		{"the hour is too near", 4 * time.Second, loadedAtOnce, "shares are left"},
		{"never loaded", 20 * time.Second, func(f *fleet) { f.loaded = func(string) bool { return false } }, `endpoint "engine" has not loaded version "v2"`},
		{"too little traffic", 20 * time.Second, func(f *fleet) { f.rate = 0 }, "has answered 0 requests, want 10"},
		{"the store goes away", 20 * time.Second, func(f *fleet) {
			f.until("ramping", 20*time.Second, f.isState(Ramping))
			f.store.SetDown(true)
			f.run(20 * time.Second)
			for _, n := range f.nodes {
				if got := n.share("v2"); got != 0 {
					t.Errorf("%s: got %g%% after the hour without a store, want 0%%", n.name, got)
				}
			}
			f.store.SetDown(false)
		}, "shares are left"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 5, 3, testSet(testMove(tc.by)))
			tc.change(f)
			f.until("reverted", 40*time.Second, f.isState(Reverted))
			f.run(time.Second)
			f.agree(Reverted)
			if got := f.row(f.nodes[0]).Reason; !strings.Contains(got, tc.want) {
				t.Errorf("got reason %q, want %q in it", got, tc.want)
			}
		})
	}
}

func loadedAtOnce(f *fleet) { f.loaded = func(string) bool { return true } }

// TestEndpointDies breaks many streams at once, as the death of a host does;
// that is no fault of the version on it.
func TestEndpointDies(t *testing.T) {
	f := newFleet(t, 19, 3, testSet(testMove(18*time.Second)))
	f.until("ramping", 20*time.Second, f.isState(Ramping))
	for _, n := range f.nodes {
		for range 30 {
			n.follower.Observe(relayer.Outcome{
				Route: "chat", Version: "v2", Endpoint: "engine", Attempt: 1, Err: inferrer.ErrTruncated,
			})
		}
	}
	f.until("done", 20*time.Second, f.isState(Done))
}

// TestSecondPublish publishes again while a move runs or has ended.
func TestSecondPublish(t *testing.T) {
	other := testMove(60 * time.Second)
	other.To = "v3"
	whole := testSet()
	whole.Routes = []loader.Route{whole.Routes[0].WithVersions(loader.Share{Version: "v2", Share: 100})}
	for _, tc := range []struct {
		name string
		at   State
		set  loader.Set
		// want maps versions to their share in the end.
		want map[string]float64
	}{
		{"the same move mid-way", Ramping, testSet(testMove(18 * time.Second)), map[string]float64{"v2": 100}},
		{"another hour mid-way", Ramping, testSet(testMove(50 * time.Second)), map[string]float64{"v2": 100}},
		{"another version mid-way", Ramping, testSet(other), map[string]float64{"v2": 0, "v3": 100}},
		{"without the move mid-way", Ramping, testSet(), map[string]float64{"v1": 100, "v2": 0}},
		{"the same move when done", Done, testSet(testMove(18 * time.Second)), map[string]float64{"v2": 100}},
		{"the route's own shares when done", Done, whole, map[string]float64{"v1": 0, "v2": 100}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 11, 3, testSet(testMove(18*time.Second)))
			f.until(string(tc.at), 30*time.Second, f.isState(tc.at))
			f.publish(tc.set)
			f.run(70 * time.Second)
			for _, n := range f.nodes {
				for version, want := range tc.want {
					if got := n.share(version); got != want {
						t.Errorf("%s: got %s at %g%%, want %g%%", n.name, version, got, want)
					}
				}
			}
		})
	}
}

// TestRestarted replaces all daemons one by one after a move is done; the
// shares in force must stay the new version's.
func TestRestarted(t *testing.T) {
	f := newFleet(t, 13, 3, testSet(testMove(18*time.Second)))
	f.until("done", 30*time.Second, f.isState(Done))
	for i := range 3 {
		f.nodes[i].dead = true
		n := f.add(fmt.Sprintf("entry-new-%d", i), "domain-0", f.nodes[0].set)
		if err := n.follower.load(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.run(6 * time.Second)
	}
	f.agree(Done)
}

// TestCutOffDomainTakesBack cuts a failure domain off in the canary; it takes a
// faulty version back by itself.
func TestCutOffDomainTakesBack(t *testing.T) {
	f := newFleet(t, 17, 9, testSet(testMove(60*time.Second)))
	f.until("canary", 20*time.Second, f.isState(Canary))
	f.cut("domain-2", true)
	f.answer = func(n *node, version string) behaviour {
		if version == "v2" && n.cut {
			return behaviour{errors: 1}
		}
		return behaviour{}
	}
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		if n.cut && n.share("v2") != 0 {
			t.Errorf("%s: got %g%% in the failure domain that is cut off, want 0%%", n.name, n.share("v2"))
		}
	}
	f.cut("domain-2", false)
	f.run(5 * time.Second)
	f.agree(Reverted)
}
