package quarantiner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
)

// Requests with a block under which engines crash must not go on to one engine after the other
// (BUDGET), and requests that share their other blocks must not be refused (LOST).
func TestCrashingBlockIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name     string
		fraction float64
	}{{"1 in 100", 0.01}, {"1 in 20", 0.05}, {"1 in 5", 0.2}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(seed)
					f.deadlyFraction = tc.fraction
					f.run(25*time.Second, nil)
					f.check(t, seed)
				})
			}
		})
	}
}

// Daemons that were isolated from the others during the crashes must know of the quarantine soon
// after they reach them again, and each side must find the block by itself.
func TestCrashesWhileDaemonsAreIsolated(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulatedFleet(seed)
			f.run(25*time.Second, func(age time.Duration) {
				cut := age > time.Second && age < 7*time.Second
				if f.isolated(0) && !cut {
					f.regainedAt = time.Now()
				}
				f.isolated = func(i int) bool { return cut && i < 3 }
			})
			f.check(t, seed)
		})
	}
}

// A daemon that restarts learns the quarantines from the others, and after a restart of all from what
// was stored. What it learns at its start must not make it refuse sound requests.
func TestRestartedDaemonsKeepQuarantines(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulatedFleet(seed)
			next := 3 * time.Second
			f.run(15*time.Second, func(age time.Duration) {
				if age >= next {
					f.daemons[f.rng.IntN(simulatedDaemons)] = newQuarantiner()
					next += 700 * time.Millisecond
				}
			})
			stored := f.daemons[0].Active()
			for i := range f.daemons {
				f.daemons[i] = newQuarantiner()
				for _, q := range stored {
					f.daemons[i].Add(q.Blocks, time.Until(q.Until))
				}
			}
			f.run(10*time.Second, nil)
			f.check(t, seed)
		})
	}
}

// crashUnder records n crashes under some blocks, one a second.
func crashUnder(q *Quarantiner, n int, blocks ...string) {
	for i := range n {
		q.RecordBreak(fmt.Sprint(i), time.Now().UnixNano(), blocks, true)
		time.Sleep(time.Second)
		q.Tick()
	}
}

func TestWhatIsNoCrash(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(q *Quarantiner)
		want int
	}{
		{"crashes", func(q *Quarantiner) { crashUnder(q, 4, "a") }, 1},
		{"crashes under a block that is answered elsewhere", func(q *Quarantiner) {
			crashUnder(q, 2, "a")
			q.RecordAnswer([]string{"a", "c"})
			crashUnder(q, 4, "a")
		}, 0},
		{"breaks at many endpoints at once", func(q *Quarantiner) {
			for range 5 {
				for i := range 6 {
					q.RecordBreak(fmt.Sprint(i), time.Now().UnixNano(), []string{"a"}, true)
				}
				time.Sleep(time.Second)
				q.Tick()
			}
		}, 0},
		{"no prompt is answered", func(q *Quarantiner) {
			time.Sleep(recentAnswerTime)
			crashUnder(q, 6, "a")
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantiner()
				time.Sleep(startDelay)
				q.RecordAnswer([]string{"other"})
				tc.run(q)
				if got := len(q.Active()); got != tc.want {
					t.Errorf("got %d quarantines, want %d", got, tc.want)
				}
			})
		})
	}
}

// Requests are refused only if they hold all blocks that the crashed ones had in common, and a crash
// without one of these blocks shows that it was not the cause.
func TestCommonBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		time.Sleep(startDelay)
		q.RecordAnswer([]string{"first"})
		crashUnder(q, 3, "first", "subject", "deadly")
		if q.TimeLeft([]string{"first", "subject"}) > 0 {
			t.Error("got a refusal of a prompt without the deadly block, want none")
		}
		if q.TimeLeft([]string{"first", "subject", "deadly"}) == 0 {
			t.Error("got no refusal of a prompt like those that crashed, want one")
		}
		crashUnder(q, 1, "first", "deadly")
		if q.TimeLeft([]string{"deadly", "z"}) == 0 {
			t.Error("got no refusal of another prompt with the deadly block, want one")
		}
	})
}

// A quarantine ends, in case the engines were mended; the first crash after it begins the next one,
// which lasts twice as long.
func TestQuarantineReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		time.Sleep(startDelay)
		q.RecordAnswer([]string{"other"})
		crashUnder(q, 3, "a")
		for range 130 {
			time.Sleep(time.Second)
			q.RecordAnswer([]string{"other"})
			q.Tick()
		}
		if got := q.TimeLeft([]string{"a"}); got != 0 {
			t.Fatalf("got a quarantine for %s after its end, want none", got)
		}
		crashUnder(q, 1, "a")
		if got, want := q.TimeLeft([]string{"a"}), 2*Duration-2*time.Second; got < want {
			t.Errorf("got a second quarantine of %s, want %s at least", got, want)
		}
	})
}

// What a daemon that is gone had reported as answered must not clear a block for ever.
func TestClearedBlocksAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		q.RecordReport("gone", sharer.Suspicions{Cleared: []string{"a"}})
		time.Sleep(2 * memory)
		q.RecordAnswer([]string{"other"})
		q.Tick()
		crashUnder(q, 3, "a")
		if got := len(q.Active()); got != 1 {
			t.Errorf("got %d quarantines, want 1", got)
		}
	})
}

// A quarantine that another daemon reports is not adopted for blocks that are answered here.
func TestReportedQuarantineOfAnsweredBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		q.RecordAnswer([]string{"a", "b"})
		q.Add([]string{"a", "b"}, time.Minute)
		q.Add([]string{"a", "c"}, time.Minute)
		if got := q.Active(); len(got) != 1 || !slices.Equal(got[0].Blocks, []string{"a", "c"}) {
			t.Errorf("got quarantines %v, want that of a and c", got)
		}
	})
}

// Answers that break off at many endpoints must not make each tick go through all broken requests.
func TestTickDoesNotCountBreaksAgain(t *testing.T) {
	few, many := tickAllocations(1), tickAllocations(2000)
	if many > few {
		t.Errorf("got %g allocations a tick with 2000 broken requests, want %g as with one", many, few)
	}
}

// tickAllocations returns the allocations of a tick after so many broken requests, while nothing changes.
func tickAllocations(broken int) float64 {
	now := time.Unix(1_000_000, 0)
	q := New(Config{Announce: func() {}, Now: func() time.Time { return now }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
	now = now.Add(startDelay)
	q.RecordAnswer([]string{"first"})
	for i := range broken {
		blocks := []string{"first", fmt.Sprint("subject-", i%700)}
		q.RecordReport(fmt.Sprint("daemon-", i%195), sharer.Suspicions{
			Crashes: []sharer.Crash{{Endpoint: fmt.Sprint("endpoint-", i%84), Requests: []sharer.BrokenRequest{{Blocks: blocks, Began: true}}}},
			Cleared: blocks,
		})
	}
	return testing.AllocsPerRun(100, q.Tick)
}

// A daemon must report its own broken requests only: with those of others, each report grew with all breaks
// of the fleet.
func TestReportHoldsOwnBrokenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		q.RecordReport("another", sharer.Suspicions{Crashes: []sharer.Crash{
			{Endpoint: "e", Born: 1, Requests: []sharer.BrokenRequest{{Blocks: []string{"a"}, Began: true}, {Blocks: []string{"b"}, Began: true}}},
			{Endpoint: "f", Born: 1, Requests: []sharer.BrokenRequest{{Blocks: []string{"a"}, Began: true}}},
		}})
		q.RecordBreak("e", 1, []string{"b"}, true)
		q.RecordBreak("e", 1, []string{"c"}, true)
		time.Sleep(time.Second)
		q.Tick()
		got, want := fmt.Sprint(q.LocalReport().Crashes), "[{e 1 [{[b] true} {[c] true}]}]"
		if got != want {
			t.Errorf("got crashes %s, want %s", got, want)
		}
		if got := len(q.crashes[crashKey{"e", 1}].requests); got != 3 {
			t.Errorf("got %d broken requests known at the endpoint, want 3", got)
		}
	})
}

// The evidence against a block must be that of the crashes that are remembered, also after some of them
// are forgotten and blocks are cleared and no longer cleared.
func TestEvidenceFollowsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 4))
		q := newQuarantiner()
		for range 3000 {
			var s sharer.Suspicions
			block := func() string { return fmt.Sprint("block-", rng.IntN(30)) }
			for range rng.IntN(3) {
				r := sharer.BrokenRequest{Blocks: []string{block(), block()}, Began: rng.IntN(2) == 0}
				s.Crashes = append(s.Crashes, sharer.Crash{Endpoint: fmt.Sprint(rng.IntN(20)), Born: rng.Int64N(3), Requests: []sharer.BrokenRequest{r}})
			}
			for range rng.IntN(4) {
				s.Cleared = append(s.Cleared, block())
			}
			q.RecordReport(fmt.Sprint(rng.IntN(40)), s)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			q.Tick()
			checkEvidence(t, q)
		}
	})
}

// checkEvidence compares the evidence and the cleared blocks with what all crashes and reports say.
func checkEvidence(t *testing.T, q *Quarantiner) {
	t.Helper()
	evidences, clearedBy := make(map[string]evidence), make(map[string]int)
	for _, c := range q.crashes {
		scores := make(map[string]float64)
		for _, r := range c.requests {
			for _, b := range r.blocks {
				scores[b] = max(scores[b], map[bool]float64{true: 1, false: waitingScore}[r.began])
			}
		}
		for b, s := range scores {
			evidences[b] = evidence{evidences[b].crashes + 1, evidences[b].score + s}
		}
	}
	for _, c := range q.cleared {
		for _, b := range c.blocks {
			clearedBy[b]++
		}
	}
	if !maps.Equal(q.evidence, evidences) {
		t.Fatalf("got evidence %v, want %v", q.evidence, evidences)
	}
	if !maps.Equal(q.clearedBy, clearedBy) {
		t.Fatalf("got cleared blocks %v, want %v", q.clearedBy, clearedBy)
	}
}
