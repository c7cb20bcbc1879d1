package mover

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/relayer"
)

const (
	// exposureShare and exposureRequests are the part of a route's requests until the deadline, and
	// the number beside, that a slow version may get.
	exposureShare    = 0.1
	exposureRequests = 50
	// engineCount is the number of engines of each version, prefixCount that of shared prefixes.
	engineCount = 3
	prefixCount = 60
	// prefixTokens is the length of a shared prefix, and maxOwnTokens the most tokens that a prompt
	// has of its own.
	prefixTokens = 1500
	maxOwnTokens = 120
	// prefillTokenTime is the time that an engine takes for one prompt token.
	prefillTokenTime = 50 * time.Microsecond
	// spillFraction is the fraction of requests that go to another engine than that of their prefix.
	spillFraction = 0.1
	// knownBacklogFraction is how often the daemon knows the backlog of the engine that it chooses.
	knownBacklogFraction = 0.5
	moveTime             = 18 * time.Second
	requestsPerSecond    = 200
	// requestsUntilDeadline is the number of requests that the route gets in the time of the move.
	requestsUntilDeadline = requestsPerSecond * int(moveTime/time.Second)
	firstTarget           = 2 * time.Second
	tokenTarget           = 500 * time.Millisecond
)

// slowFault is a fault of the new version: a fraction of its answers is factor times slower.
type slowFault struct {
	fraction, factor float64
	// first and tokens tell whether the first token and the tokens after it are slow.
	first, tokens bool
	// minShare is the share of the traffic from which on the fault shows.
	minShare float64
}

// simulatedEngine generates tokens with one version, and caches prefixes.
type simulatedEngine struct {
	cached map[int]bool
	// idleAt is when the engine has prefilled all prompts that it has received.
	idleAt time.Time
	// load is the number of requests of late; it decays with loadDecayTime.
	load     float64
	loadedAt time.Time
}

const loadDecayTime = time.Second

// slowFleet is a fleet whose versions have engines of their own. The caches of the new version are
// cold when the move begins.
type slowFleet struct {
	*fleet
	rng     *rand.Rand
	engines map[string][]*simulatedEngine
	fault   slowFault
	// exposed counts the requests at the new version until the deadline, while it is slow.
	exposed int
}

func newSlowFleet(t *testing.T, seed uint64, nodes int, fault slowFault) *slowFleet {
	set := testSet(testMove(moveTime))
	set.Routes[0].Target = loader.Target{First: loader.Duration(firstTarget), Token: loader.Duration(tokenTarget)}
	f := &slowFleet{
		fleet: newFleet(t, seed, nodes, set), rng: rand.New(rand.NewPCG(seed, 2)), engines: make(map[string][]*simulatedEngine), fault: fault,
	}
	for _, version := range []string{"v1", "v2"} {
		for range engineCount {
			e := &simulatedEngine{cached: make(map[int]bool)}
			for p := range prefixCount {
				e.cached[p] = version == "v1"
			}
			f.engines[version] = append(f.engines[version], e)
		}
	}
	f.answer, f.requestsPerSecond = f.answerOf, requestsPerSecond
	return f
}

// answerOf sends a random prompt to an engine of a version.
func (f *slowFleet) answerOf(n *node, version string) relayer.Outcome {
	prefix := f.rng.IntN(prefixCount)
	i := homeEngine(prefix)
	if f.rng.Float64() < spillFraction {
		i = f.rng.IntN(engineCount)
	}
	e := f.engines[version][i]
	now := f.now.Add(time.Duration(f.rng.Int64N(int64(tickStep))))
	tokens := 1 + f.rng.IntN(maxOwnTokens)
	if !e.cached[prefix] {
		tokens += prefixTokens
		e.cached[prefix] = true
	}
	backlog := max(0, e.idleAt.Sub(now))
	e.idleAt = now.Add(backlog + time.Duration(tokens)*prefillTokenTime)
	e.load = 1 + e.load*math.Exp(-float64(max(0, now.Sub(e.loadedAt)))/float64(loadDecayTime))
	e.loadedAt = now
	o := relayer.Outcome{Attempt: 1, Endpoint: fmt.Sprint(version, i), Tokens: 1 + f.rng.IntN(200), UncomputedTokens: tokens}
	if f.rng.Float64() < knownBacklogFraction {
		o.UncomputedTokens += int(backlog / prefillTokenTime)
	}
	first := 10*time.Millisecond + backlog + time.Duration(tokens)*prefillTokenTime
	// Each step of an engine also prefills some of the prompts that wait.
	interval := 12*time.Millisecond + time.Duration(e.load/80*float64(15*time.Millisecond)) + backlog/time.Duration(o.Tokens)
	o.FirstTokenTime = f.vary(first, 0.3)
	if o.Tokens > 1 {
		o.TokenInterval = f.vary(interval, 0.2)
	}
	f.addFault(n, version, &o)
	return o
}

// addFault makes the answer slow if the fault hits it, and counts it.
func (f *slowFleet) addFault(n *node, version string, o *relayer.Outcome) {
	if version != "v2" || n.versionShare("v2") < f.fault.minShare {
		return
	}
	if f.now.Before(n.set.Moves[0].By) {
		f.exposed++
	}
	if f.rng.Float64() >= f.fault.fraction {
		return
	}
	if f.fault.first {
		o.FirstTokenTime = time.Duration(f.fault.factor * float64(o.FirstTokenTime))
	}
	if f.fault.tokens {
		o.TokenInterval = time.Duration(f.fault.factor * float64(o.TokenInterval))
	}
}

// runUntilReverted simulates time until the move is reverted at all nodes, limit at most.
func (f *slowFleet) runUntilReverted(limit time.Duration) {
	for end := f.now.Add(limit); f.now.Before(end); f.run(tickStep) {
		if !slices.ContainsFunc(f.nodes, func(n *node) bool { return n.knownRecord().State != Reverted }) {
			return
		}
	}
}

// vary returns a time with lognormal noise.
func (f *slowFleet) vary(d time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(sigma*f.rng.NormFloat64()))
}

// homeEngine returns the index of the engine to which requests with a prefix go.
func homeEngine(prefix int) int {
	h := fnv.New32a()
	fmt.Fprint(h, prefix)
	return int(h.Sum32() % engineCount)
}

// slowCase is a kind of slow version.
type slowCase struct {
	name  string
	fault slowFault
}

// checkReverted checks that all versions with a fault are reverted in time and get no more than the
// allowed requests.
func checkReverted(t *testing.T, cases []slowCase) {
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				f := newSlowFleet(t, seed, 9, tc.fault)
				f.runUntilReverted(25 * time.Second)
				if got := f.reachableNode().knownRecord(); got.State != Reverted {
					t.Errorf("seed %d: got state %s after %d requests at the slow version, want %s", seed, got.State, f.exposed, Reverted)
				}
				if limit := int(exposureShare*float64(requestsUntilDeadline)) + exposureRequests; f.exposed > limit {
					t.Errorf("seed %d: got %d of %d requests at the slow version, want %d at most", seed, f.exposed, requestsUntilDeadline, limit)
				}
			}
		})
	}
}

// A version that answers several times slower than the old one, within the route's target, must be
// reverted before it gets more than the allowed requests (EXPOSURE).
func TestSlowVersionWithinTargetIsReverted(t *testing.T) {
	checkReverted(t, []slowCase{
		{"all tokens", slowFault{fraction: 1, factor: 4, tokens: true}},
		{"tokens of half of the answers", slowFault{fraction: 0.5, factor: 8, tokens: true}},
		{"tokens of half of the answers, 4 times slower", slowFault{fraction: 0.5, factor: 4, tokens: true}},
		{"tokens of 3 in 10 answers", slowFault{fraction: 0.3, factor: 8, tokens: true}},
		{"all first tokens", slowFault{fraction: 1, factor: 8, first: true}},
		{"first tokens of half of the answers", slowFault{fraction: 0.5, factor: 8, first: true}},
		{"tokens under load", slowFault{fraction: 0.5, factor: 8, tokens: true, minShare: 40}},
		{"first tokens under load", slowFault{fraction: 0.5, factor: 8, first: true, minShare: 40}},
	})
}

// A version of which a part of the answers is slow, or that seems less slow while it has little load,
// must be reverted before it gets more than the allowed requests (EXPOSURE).
func TestPartlySlowVersionKeepsToTheAllowance(t *testing.T) {
	checkReverted(t, []slowCase{
		{"tokens of 3 in 10 answers", slowFault{fraction: 0.3, factor: 4, tokens: true}},
		{"tokens under load", slowFault{fraction: 0.5, factor: 4, tokens: true, minShare: 40}},
		{"first tokens of 3 in 10 answers", slowFault{fraction: 0.3, factor: 8, first: true}},
	})
}

// A version whose engines have cold caches, and which is as fast as the old one otherwise or a little
// slower, must be completed in time.
func TestVersionWithColdCachesIsCompleted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault slowFault
	}{
		{"equal", slowFault{}},
		{"a fifth slower", slowFault{fraction: 1, factor: 1.2, first: true, tokens: true}},
	} {
		for part := range uint64(3) {
			t.Run(fmt.Sprintf("%s, part %d", tc.name, part), func(t *testing.T) {
				t.Parallel()
				for seed := part * 50; seed < (part+1)*50; seed++ {
					f := newSlowFleet(t, seed, 3, tc.fault)
					f.run(25 * time.Second)
					if got := f.reachableNode().knownRecord(); got.State != Done {
						t.Errorf("seed %d: got state %s (%s), want %s", seed, got.State, got.Reason, Done)
					}
				}
			})
		}
	}
}
