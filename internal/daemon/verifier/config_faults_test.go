package verifier

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/keeper"
)

// TestConfigurationFaults causes one fault after the other in one fleet of nine
// daemons. After each, the newest configuration must be in force everywhere.
func TestConfigurationFaults(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 9)
	generation := w.release(w.daemons[0], numberedSet(0))
	w.awaitInForce(forceLimit, generation, w.daemons...)
	for _, step := range []struct {
		name string
		run  func(t *testing.T, w *network)
	}{
		{"two operators at once", twoOperators},
		{"answer lost after the write", answerLost},
		{"store down", storeDown},
		{"watches silent for good", silentWatches},
		{"daemon restarted during an outage", restartedInOutage},
		{"failure domain cut off and rejoined", configRejoins},
		{"store back with older data", storeSetBack},
		{"store back with nothing", storeEmptied},
		{"one generation published twice", sameGeneration},
		{"read-back names a daemon that lags", readBack},
		{"both watchers die in a domain that is cut off", watchersDie},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			return
		}
	}
}

func (w *network) newest(t testing.TB) uint64 { return w.daemons[0].status(t).Generation }

func twoOperators(t *testing.T, w *network) {
	from := w.newest(t)
	var wg sync.WaitGroup
	outputs, errs := make([]string, 2), make([]error, 2)
	for i := range 2 {
		wg.Go(func() { outputs[i], errs[i] = w.tryPublish(w.daemons[i], numberedSet(10+i), from) })
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	if errs[winner] != nil || errs[1-winner] == nil {
		t.Fatalf("got errors %v, want just one; outputs %q", errs, outputs)
	}
	lost := outputs[1-winner]
	// The difference is that of the two last lines.
	for _, want := range []string{"is in force, not", "# 10", "# 11"} {
		if !strings.Contains(lost, want) {
			t.Errorf("got refusal %q, want it to say %q", lost, want)
		}
	}
	w.awaitInForce(forceLimit, from+1, w.daemons...)
}

func answerLost(_ *testing.T, w *network) {
	w.faults(keeper.Faults{LoseAnswers: 1})
	w.awaitInForce(forceLimit, w.release(w.daemons[2], numberedSet(20)), w.daemons...)
}

func storeDown(t *testing.T, w *network) {
	before := w.newest(t)
	w.faults(keeper.Faults{Down: true})
	if out, err := w.tryPublish(w.daemons[0], numberedSet(30), before); err == nil || !strings.Contains(out, "store unavailable") {
		t.Errorf("got %q (%v), want a refusal that the store is unavailable", out, err)
	}
	time.Sleep(3 * time.Second)
	w.awaitInForce(time.Second, before, w.daemons...)
	w.faults(keeper.Faults{})
	before = w.release(w.daemons[0], numberedSet(31))
	w.awaitInForce(forceLimit, before, w.daemons...)

	// Down again before anybody can read the publish back: it was accepted.
	w.faults(keeper.Faults{LoseAnswers: 1, DownAfterLoss: true})
	out, err := w.tryPublish(w.daemons[0], numberedSet(32), before)
	if err == nil || !strings.Contains(out, "not settled") {
		t.Errorf("got %q (%v), want that the publish is not settled", out, err)
	}
	time.Sleep(time.Second)
	w.faults(keeper.Faults{})
	w.awaitInForce(forceLimit, before+1, w.daemons...)
}

func silentWatches(t *testing.T, w *network) {
	for _, l := range w.stores {
		l.Set(faulter.Behaviour{Mode: faulter.ModeSilent})
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
	generation := w.newest(t) + 1
	// Written past the daemons, so that only watches can tell.
	publishToStore(t, w, generation)
	w.awaitInForce(forceLimit, generation, w.daemons...)
}

func restartedInOutage(t *testing.T, w *network) {
	generation := w.newest(t)
	w.faults(keeper.Faults{Down: true})
	w.daemons[5].signal(t, syscall.SIGKILL)
	// The port is free once the process has ended.
	w.daemons[5].wait(t)
	w.start(5)
	w.awaitInForce(forceLimit, generation, w.daemons[5])
	w.faults(keeper.Faults{})
	w.awaitAlive(9)
}

func configRejoins(t *testing.T, w *network) {
	const domain = "hartford"
	w.cut(domain)
	var inside []*daemon
	for i, d := range w.daemons {
		if d.domain == domain {
			inside = append(inside, d)
			w.stores[i].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
		}
	}
	generation := w.release(w.daemons[0], numberedSet(40))
	w.awaitInForce(forceLimit, generation, w.without(inside...)...)
	if got := inside[0].generation(t); got >= generation {
		t.Errorf("got generation %d in the domain that is cut off, want below %d", got, generation)
	}
	time.Sleep(deathLimit)
	// The store still can't be reached from there: peers bring it.
	w.heal()
	w.awaitInForce(forceLimit, generation, w.daemons...)
	w.awaitAlive(9)
	for _, l := range w.stores {
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
}

func storeSetBack(t *testing.T, w *network) {
	old := w.newest(t)
	call(t, "POST", "http://"+w.address+"/save", nil, nil)
	w.awaitInForce(forceLimit, w.release(w.daemons[0], numberedSet(50)), w.daemons...)
	call(t, "POST", "http://"+w.address+"/restore", nil, nil)
	eventually(t, forceLimit, "the store holds the configuration in force again", func() bool {
		return storedRelease(t, w).Generation == old+1
	})
	w.awaitInForce(time.Second, old+1, w.daemons...)
	lines, behind := 0, 0.0
	for _, d := range w.daemons {
		n := strings.Count(d.output(), "store holds an older configuration")
		if n > 1 {
			t.Errorf("got %d log lines at %s, want at most 1", n, d.name)
		}
		lines += n
		behind += d.counter(t, "config_store_behind_total")
	}
	if lines == 0 || behind == 0 {
		t.Errorf("got %d log lines and a count of %v, want some of each", lines, behind)
	}
	generation := w.release(w.daemons[1], numberedSet(51))
	if generation <= old+1 {
		t.Errorf("got generation %d, want above %d", generation, old+1)
	}
	w.awaitInForce(forceLimit, generation, w.daemons...)
}

func storeEmptied(t *testing.T, w *network) {
	generation := w.newest(t)
	call(t, "POST", "http://"+w.address+"/clear", nil, nil)
	eventually(t, forceLimit, "the store holds the configuration in force again", func() bool {
		return storedRelease(t, w).Generation == generation
	})
	w.awaitInForce(time.Second, generation, w.daemons...)
	w.awaitInForce(forceLimit, w.release(w.daemons[1], numberedSet(52)), w.daemons...)
}

// sameGeneration has the store lose a release that only a failure domain holds
// which is cut off, and another published under the same number. The fleet must
// settle on the one that the store holds.
func sameGeneration(t *testing.T, w *network) {
	const domain = "hartford"
	from := w.newest(t)
	call(t, "POST", "http://"+w.address+"/save", nil, nil)
	w.cut(domain)
	inside := w.cutStores(func(d *daemon) bool { return d.domain != domain })
	lost, err := w.tryPublish(inside[0], numberedSet(70), from)
	if err != nil {
		t.Fatalf("publish: %v\n%s", err, lost)
	}
	w.awaitInForce(forceLimit, from+1, inside...)
	outside := w.cutStores(func(d *daemon) bool { return d.domain == domain })
	call(t, "POST", "http://"+w.address+"/restore", nil, nil)
	w.awaitInForce(time.Second, from, outside...)
	if kept, err := w.tryPublish(outside[0], numberedSet(71), from); err != nil {
		t.Fatalf("publish: %v\n%s", err, kept)
	}
	w.awaitInForce(forceLimit, from+1, outside...)
	w.cutStores(func(*daemon) bool { return false })
	w.heal()
	for _, d := range w.daemons {
		eventually(t, rejoinLimit, "the release that the store holds in force at "+d.name, func() bool {
			return strings.Contains(string(call(t, "GET", "http://"+d.operators+"/config", nil, nil)), "# 71\n")
		})
	}
	if got := storedRelease(t, w); got.Generation != from+1 || !strings.Contains(string(got.Text), "# 71\n") {
		t.Errorf("got generation %d in the store, want %d with the later text", got.Generation, from+1)
	}
	w.awaitAlive(9)
}

// cutStores cuts some daemons off from the store, and returns all others.
func (w *network) cutStores(cut func(*daemon) bool) []*daemon {
	var connected []*daemon
	for i, d := range w.daemons {
		if cut(d) {
			w.stores[i].Set(faulter.Behaviour{Mode: faulter.ModeCut})
			continue
		}
		w.stores[i].Set(faulter.Behaviour{Mode: faulter.ModePass})
		connected = append(connected, d)
	}
	return connected
}

func readBack(t *testing.T, w *network) {
	paused := w.daemons[7]
	paused.signal(t, syscall.SIGSTOP)
	generation := w.release(w.daemons[0], numberedSet(60))
	w.awaitInForce(forceLimit, generation, w.without(paused)...)
	eventually(t, forceLimit, "status names the daemon that lags", func() bool {
		s := w.daemons[3].status(t)
		return s.Generation == generation && len(s.Holders) == 8 && (len(s.Lagging) == 1 && s.Lagging[0].Name == paused.name)
	})
	paused.signal(t, syscall.SIGCONT)
	w.awaitInForce(forceLimit, generation, paused)
	w.awaitAlive(9)
}

func watchersDie(t *testing.T, w *network) {
	domain := w.daemons[0].domain
	var rest []*daemon
	watchers := publisher.Watchers(domain, w.daemons[0].members(t))
	w.cut(domain)
	for _, d := range w.daemons {
		switch {
		case d.domain != domain:
		case d.name == watchers[0] || d.name == watchers[1]:
			d.signal(t, syscall.SIGKILL)
		default:
			rest = append(rest, d)
		}
	}
	generation := w.newestOf(t, rest[0]) + 1
	publishToStore(t, w, generation)
	w.awaitInForce(forceLimit, generation, rest...)
}

func (w *network) newestOf(t testing.TB, d *daemon) uint64 { return d.status(t).Generation }

// TestWatchesAreFew counts the calls at the store of nine daemons.
func TestWatchesAreFew(t *testing.T) {
	t.Parallel()
	const idle = 5 * time.Second
	w := newNetwork(t, 9)
	w.awaitInForce(forceLimit, w.release(w.daemons[0], numberedSet(0)), w.daemons...)
	time.Sleep(2 * time.Second)
	before := w.calls()
	if before.Waiting > 2*len(failureDomains) {
		t.Errorf("got %d watches waiting, want at most two a failure domain", before.Waiting)
	}
	time.Sleep(idle)
	after := w.calls()
	t.Logf("idle for %s: %d watches, %d reads, %d writes", idle, after.Watches-before.Watches, after.Reads-before.Reads, after.Writes-before.Writes)
	if got, most := after.Watches-before.Watches, 2*len(failureDomains)*int(idle/time.Second+1); got > most {
		t.Errorf("got %d watches in %s, want at most %d", got, idle, most)
	}
	w.awaitInForce(forceLimit, w.release(w.daemons[0], numberedSet(1)), w.daemons...)
	end := w.calls()
	t.Logf("during a publish: %d watches, %d reads, %d writes", end.Watches-after.Watches, end.Reads-after.Reads, end.Writes-after.Writes)
	for _, d := range w.daemons {
		if got := d.member(t, d.name).State; got != viewer.StateAlive {
			t.Errorf("got state %s of %s, want alive", got, d.name)
		}
	}
}
