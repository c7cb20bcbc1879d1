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
	// settleTime is how long after a disturbance a daemon may still show it.
	settleTime = 4 * time.Second
	// takeTime is how long a daemon that was told to stop takes new requests,
	// with takeMargin on the way.
	takeTime   = 2700 * time.Millisecond
	takeMargin = 300 * time.Millisecond
	// stopSlack is by how much a planned stop may exceed its time where the
	// process was paused meanwhile.
	stopSlack = 8 * time.Second
	readyTime = 20 * time.Second
	// patience is how long callers wait.
	patience = 8 * time.Second
	// callPause is the mean time between two requests of a caller.
	callPause        = 25 * time.Millisecond
	callersPerDaemon = 3
	// lastCalm is how long the run goes on after the last fault.
	lastCalm = settleTime + applyTime + 2*time.Second
)

var (
	seeds  = flag.Int("seeds", 0, "number of fresh seeds to run, in place of those in testdata")
	first  = flag.Uint64("first", 1, "the first fresh seed")
	length = flag.Duration("length", 12*time.Second, "how long faults are injected for each seed")
	size   = flag.Int("daemons", 5, "number of daemons")
	logs   = flag.String("logs", "", "directory for the logs of daemons of runs that fail")
)

// program is the path of the program under test, built once by TestMain.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soaker")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "pomelotiller")
	if out, err := exec.Command("go", "build", "-o", program, "pomelotiller/cmd/pomelotiller").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build program: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs the seeds that are asked for, or else those that are kept.
func TestSoak(t *testing.T) {
	if *seeds > 0 {
		for i := range uint64(*seeds) {
			t.Run(fmt.Sprint("seed", *first+i), func(t *testing.T) {
				t.Parallel()
				soak(t, *first+i)
			})
		}
		return
	}
	for _, seed := range knownSeeds(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// knownSeeds reads the seeds that are always run: each line is a seed and why it
// is there.
func knownSeeds(t *testing.T) []uint64 {
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

// soak runs daemons under the faults of one seed and checks all promises.
func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed, *size)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, d := range w.daemons {
		for j := range callersPerDaemon {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*callersPerDaemon+j)))
			callers.Go(func() { w.call(ctx, d, fmt.Sprint("r", i, "-", j), r) })
		}
	}
	w.injectFaults(*length)
	time.Sleep(lastCalm)
	stop()
	callers.Wait()
	h := w.history()
	w.checkRecovered(h)
	for _, p := range promises {
		n := 0
		p.check(w, h, func(format string, args ...any) {
			if n++; n <= 5 {
				t.Errorf("seed %d: %s: %s", seed, p.name, fmt.Sprintf(format, args...))
			}
		})
	}
	t.Logf("seed %d: %d requests, %d runs, %d configurations", seed, len(h.records), len(h.all), len(w.ledger.configs))
}

// injectFaults injects faults for some time and waits until they are over.
func (w *world) injectFaults(long time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(long); time.Now().Before(end); {
		f, p := w.next()
		w.t.Logf("%s %s: daemon %s, endpoint %s, for %s, variant %d", time.Now().Format(clock), f.name, p.daemon.name, p.endpoint.id, p.long, p.variant)
		if f.lasts {
			running.Go(func() { f.inject(w, p) })
		} else {
			f.inject(w, p)
		}
		time.Sleep(time.Duration(w.rand.Int64N(int64(700 * time.Millisecond))))
	}
	running.Wait()
	for _, e := range w.endpoints {
		e.Heal()
	}
}

// checkRecovered reports daemons that do not serve once all faults are over.
func (w *world) checkRecovered(h *history) {
	w.t.Helper()
	served, asked := make(map[string]int), make(map[string]int)
	since := time.Now().Add(-time.Second)
	for _, r := range h.records {
		if r.to.Before(since) || r.organisation != "open" || r.kind == "further" {
			continue
		}
		asked[r.daemon.name]++
		if r.answer.Status == 200 && r.answer.Err == nil {
			served[r.daemon.name]++
		}
	}
	for _, d := range w.daemons {
		if asked[d.name] == 0 || served[d.name]*10 < asked[d.name]*9 {
			w.t.Errorf("daemon %s served %d of %d requests after all faults, want nearly all", d.name, served[d.name], asked[d.name])
		}
	}
}
