package soaker

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// recoveryTime is the time after a disturbance during which a daemon may still be affected.
	recoveryTime = 4 * time.Second
	// maxAcceptTime is the longest time after the stop signal during which a daemon accepts new requests.
	// Checks subtract acceptMargin for requests that take time to arrive.
	maxAcceptTime = 2700 * time.Millisecond
	acceptMargin  = 300 * time.Millisecond
	// stopSlack is the time by which a graceful stop may exceed the daemon's grace period, since a fault may pause
	// the process meanwhile.
	stopSlack    = 8 * time.Second
	readyTimeout = 20 * time.Second
	// callerTimeout is the time that callers wait for an answer.
	callerTimeout = 8 * time.Second
	// meanCallPause is the mean pause between two requests of a caller.
	meanCallPause    = 25 * time.Millisecond
	callersPerDaemon = 3
	// slowCallersPerDaemon is the number of further callers that send the bodies of their requests up to
	// maxBodyPause after the headers. slowCallerStream is the first of their random streams.
	slowCallersPerDaemon = 1
	maxBodyPause         = 1500 * time.Millisecond
	slowCallerStream     = 1 << 33
	// finalQuietTime is the time that the run continues without faults at its end.
	finalQuietTime = recoveryTime + propagationTime + 2*time.Second
)

var (
	seedCount     = flag.Int("seeds", 0, "number of fresh seeds to run, in place of those in testdata")
	firstSeed     = flag.Uint64("first", 1, "the first fresh seed")
	faultDuration = flag.Duration("length", 12*time.Second, "how long faults are injected for each seed")
	daemonCount   = flag.Int("daemons", 5, "number of daemons")
	logDir        = flag.String("logs", "", "directory for the logs of daemons of runs that fail")
)

// programPath is the path of the program under test, which TestMain builds.
var programPath string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soaker")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programPath = filepath.Join(dir, "pomelotiller")
	if out, err := exec.Command("go", "build", "-o", programPath, "pomelotiller/cmd/pomelotiller").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build program: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs the number of seeds given by flags, or else the seeds in testdata/seeds.txt.
func TestSoak(t *testing.T) {
	if *seedCount > 0 {
		for i := range uint64(*seedCount) {
			t.Run(fmt.Sprint("seed", *firstSeed+i), func(t *testing.T) {
				t.Parallel()
				runSoak(t, *firstSeed+i)
			})
		}
		return
	}
	for _, seed := range readKnownSeeds(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

// readKnownSeeds reads testdata/seeds.txt. Each line has a seed and the reason for keeping it.
func readKnownSeeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out []uint64
	for s := bufio.NewScanner(f); s.Scan(); {
		word, _, _ := strings.Cut(s.Text(), " ")
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatalf("seeds: %q: %v", s.Text(), err)
		}
		out = append(out, seed)
	}
	return out
}

// runSoak runs daemons under the faults of one seed and checks all invariants.
func runSoak(t *testing.T, seed uint64) {
	w := newTestbed(t, seed, *daemonCount)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, d := range w.daemons {
		for j := range callersPerDaemon {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*callersPerDaemon+j)))
			callers.Go(func() { w.sendRequests(ctx, d, fmt.Sprint("r", i, "-", j), r, 0) })
		}
		for j := range slowCallersPerDaemon {
			r := rand.New(rand.NewPCG(seed, slowCallerStream+uint64(i*slowCallersPerDaemon+j)))
			callers.Go(func() { w.sendRequests(ctx, d, fmt.Sprint("slow", i, "-", j), r, maxBodyPause) })
		}
	}
	w.injectAllFaults(*faultDuration)
	time.Sleep(finalQuietTime)
	stopped := time.Now()
	stop()
	callers.Wait()
	h := w.history()
	w.checkRecovered(h, stopped)
	w.checkEntries()
	for _, p := range invariants {
		n := 0
		p.check(w, h, func(format string, args ...any) {
			if n++; n <= 5 {
				t.Errorf("seed %d: %s: %s", seed, p.name, fmt.Sprintf(format, args...))
			}
		})
	}
	t.Logf("seed %d: %d requests, %d runs, %d configurations, %d evacuations, faults of domains alone: %t, %d stalls, the longest %s",
		seed, len(h.records), len(h.allRuns), len(w.observations.configChanges), len(w.domains.evacuations), w.domains.areAlone, len(w.stalls), w.longestStall())
}

// injectFaults injects random faults for a time and waits until the last has ended.
func (w *testbed) injectFaults(duration time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f, p := w.pickFault()
		w.t.Logf("%s %s: daemon %s, endpoint %s, for %s, variant %d", time.Now().Format(timeFormat), f.name, p.daemon.name, p.endpoint.id, p.duration, p.variant)
		if f.hasDuration {
			running.Go(func() { f.inject(w, p) })
		} else {
			f.inject(w, p)
		}
		time.Sleep(time.Duration(w.rand.Int64N(int64(700 * time.Millisecond))))
	}
	running.Wait()
	for _, e := range w.currentEndpoints() {
		e.ClearFaults()
	}
}

// checkRecovered checks that each daemon served at least 90% of the requests in the last second before the
// callers stopped, after all faults ended, and of those that ended later. Requests with a slow body do not
// count: the body may come after their time limit.
func (w *testbed) checkRecovered(h *history, stopped time.Time) {
	w.t.Helper()
	served, asked := make(map[string]int), make(map[string]int)
	since := stopped.Add(-time.Second)
	for _, r := range h.records {
		if r.to.Before(since) || r.organisation != "open" || r.kind == "further" || r.bodyPause > 0 {
			continue
		}
		asked[r.daemon.name]++
		if r.answer.Status == 200 && r.answer.Err == nil {
			served[r.daemon.name]++
		}
	}
	for _, d := range w.daemons {
		if asked[d.name] == 0 || served[d.name]*10 < asked[d.name]*9 {
			w.t.Errorf("daemon %s served %d of %d requests after the end of all faults, want at least 90%%", d.name, served[d.name], asked[d.name])
		}
	}
}
