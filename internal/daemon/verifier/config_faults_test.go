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

// TestConfigurationFaults injects one fault after the other into a fleet of nine daemons. After each
// fault, the newest configuration must be in force at all daemons.
func TestConfigurationFaults(t *testing.T) {
	t.Parallel()
	w := newProxiedCluster(t, 9)
	generation := w.publishNext(w.daemons[0], numberedConfig(0))
	w.awaitInForce(propagationLimit, generation, w.daemons...)
	for _, step := range []struct {
		name string
		run  func(t *testing.T, w *proxiedCluster)
	}{
		{"two operators at once", testConcurrentPublishes},
		{"answer lost after the write", testLostStoreAnswer},
		{"store down", testStoreDown},
		{"watches silent for good", testStalledWatches},
		{"daemon restarted during an outage", testRestartDuringOutage},
		{"failure domain cut off and rejoined", testConfigAfterPartition},
		{"store back with older data", testStoreRestored},
		{"store back with older data and written since", testStoreRestoredAndWritten},
		{"store back with nothing", testStoreEmptied},
		{"one generation published twice", testDuplicateGeneration},
		{"read-back names a daemon that lags", testLaggingDaemonReported},
		{"both watchers die in a domain that is cut off", testWatchersKilledInPartition},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			return
		}
	}
}

func (w *proxiedCluster) newestGeneration(t testing.TB) uint64 {
	return w.daemons[0].configStatus(t).Generation
}

func testConcurrentPublishes(t *testing.T, w *proxiedCluster) {
	from := w.newestGeneration(t)
	var wg sync.WaitGroup
	outputs, errs := make([]string, 2), make([]error, 2)
	for i := range 2 {
		wg.Go(func() { outputs[i], errs[i] = w.tryPublish(w.daemons[i], numberedConfig(10+i), from) })
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
	// The refusal shows the difference between the two configurations, which is their last line.
	for _, want := range []string{"is in force, not", "# 10", "# 11"} {
		if !strings.Contains(lost, want) {
			t.Errorf("got refusal %q, want it to say %q", lost, want)
		}
	}
	w.awaitInForce(propagationLimit, from+1, w.daemons...)
}

func testLostStoreAnswer(_ *testing.T, w *proxiedCluster) {
	w.setPlatformFaults(keeper.Faults{LoseAnswers: 1, LosePrefix: publisher.ConfigKey})
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[2], numberedConfig(20)), w.daemons...)
}

func testStoreDown(t *testing.T, w *proxiedCluster) {
	before := w.newestGeneration(t)
	w.setPlatformFaults(keeper.Faults{Down: true})
	if out, err := w.tryPublish(w.daemons[0], numberedConfig(30), before); err == nil || !strings.Contains(out, "store unavailable") {
		t.Errorf("got %q (%v), want a refusal that the store is unavailable", out, err)
	}
	time.Sleep(3 * time.Second)
	w.awaitInForce(time.Second, before, w.daemons...)
	w.setPlatformFaults(keeper.Faults{})
	before = w.publishNext(w.daemons[0], numberedConfig(31))
	w.awaitInForce(propagationLimit, before, w.daemons...)

	// The store accepts the write, but goes down before a daemon can read it back.
	w.setPlatformFaults(keeper.Faults{LoseAnswers: 1, LosePrefix: publisher.ConfigKey, DownAfterLoss: true})
	out, err := w.tryPublish(w.daemons[0], numberedConfig(32), before)
	if err == nil || !strings.Contains(out, "not settled") {
		t.Errorf("got %q (%v), want that the publish is not settled", out, err)
	}
	time.Sleep(time.Second)
	w.setPlatformFaults(keeper.Faults{})
	w.awaitInForce(propagationLimit, before+1, w.daemons...)
}

func testStalledWatches(t *testing.T, w *proxiedCluster) {
	for _, l := range w.storeLinks {
		l.Set(faulter.Behaviour{Mode: faulter.ModeStalled})
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
	generation := w.newestGeneration(t) + 1
	// The write bypasses the daemons, so they can learn of it only from their watches.
	publishToStore(t, w, generation)
	w.awaitInForce(propagationLimit, generation, w.daemons...)
}

func testRestartDuringOutage(t *testing.T, w *proxiedCluster) {
	generation := w.newestGeneration(t)
	w.setPlatformFaults(keeper.Faults{Down: true})
	w.daemons[5].signal(t, syscall.SIGKILL)
	// The restarted daemon reuses the port, which is free only after the old process has ended.
	w.daemons[5].awaitExit(t)
	w.startOrRestart(5)
	w.awaitInForce(propagationLimit, generation, w.daemons[5])
	w.setPlatformFaults(keeper.Faults{})
	w.awaitAliveMembers(9)
}

func testConfigAfterPartition(t *testing.T, w *proxiedCluster) {
	const domain = "hartford"
	w.isolateDomain(domain)
	var inside []*daemon
	for i, d := range w.daemons {
		if d.domain == domain {
			inside = append(inside, d)
			w.storeLinks[i].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
		}
	}
	generation := w.publishNext(w.daemons[0], numberedConfig(40))
	w.awaitInForce(propagationLimit, generation, w.daemonsExcept(inside...)...)
	if got := inside[0].generation(t); got >= generation {
		t.Errorf("got generation %d in the domain that is cut off, want below %d", got, generation)
	}
	time.Sleep(failureDetectionLimit)
	// The domain still cannot reach the store; it must get the configuration from other daemons.
	w.healPeerLinks()
	w.awaitInForce(propagationLimit, generation, w.daemons...)
	w.awaitAliveMembers(9)
	for _, l := range w.storeLinks {
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
}

func testStoreRestored(t *testing.T, w *proxiedCluster) {
	old := w.newestGeneration(t)
	mustRequest(t, "POST", "http://"+w.platformAddress+"/save", nil, nil)
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[0], numberedConfig(50)), w.daemons...)
	mustRequest(t, "POST", "http://"+w.platformAddress+"/restore", nil, nil)
	eventually(t, propagationLimit, "the store holds the configuration in force again", func() bool {
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
		behind += d.metricSum(t, "config_store_behind_total")
	}
	if lines == 0 || behind == 0 {
		t.Errorf("got %d log lines and a count of %v, want some of each", lines, behind)
	}
	generation := w.publishNext(w.daemons[1], numberedConfig(51))
	if generation <= old+1 {
		t.Errorf("got generation %d, want above %d", generation, old+1)
	}
	w.awaitInForce(propagationLimit, generation, w.daemons...)
}

// testStoreRestoredAndWritten restores the store to older data and writes other keys at once, until
// the store has passed the revisions at which the daemons watch. These no longer show the restore.
func testStoreRestoredAndWritten(t *testing.T, w *proxiedCluster) {
	mustRequest(t, "POST", "http://"+w.platformAddress+"/save", nil, nil)
	generation := w.publishNext(w.daemons[0], numberedConfig(53))
	w.awaitInForce(propagationLimit, generation, w.daemons...)
	passed := w.writeToStore(t, 0)
	mustRequest(t, "POST", "http://"+w.platformAddress+"/restore", nil, nil)
	w.writeToStore(t, passed)
	eventually(t, propagationLimit, "the store holds the configuration in force again", func() bool {
		return storedRelease(t, w).Generation == generation
	})
	w.awaitInForce(time.Second, generation, w.daemons...)
}

func testStoreEmptied(t *testing.T, w *proxiedCluster) {
	generation := w.newestGeneration(t)
	mustRequest(t, "POST", "http://"+w.platformAddress+"/clear", nil, nil)
	eventually(t, propagationLimit, "the store holds the configuration in force again", func() bool {
		return storedRelease(t, w).Generation == generation
	})
	w.awaitInForce(time.Second, generation, w.daemons...)
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[1], numberedConfig(52)), w.daemons...)
}

// testDuplicateGeneration publishes a release inside a partitioned failure domain, restores the store
// to older data without it, and publishes another release under the same generation outside. After
// the partition, all daemons must use the release that the store holds.
func testDuplicateGeneration(t *testing.T, w *proxiedCluster) {
	const domain = "hartford"
	from := w.newestGeneration(t)
	mustRequest(t, "POST", "http://"+w.platformAddress+"/save", nil, nil)
	w.isolateDomain(domain)
	inside := w.cutStoreLinks(func(d *daemon) bool { return d.domain != domain })
	lost, err := w.tryPublish(inside[0], numberedConfig(70), from)
	if err != nil {
		t.Fatalf("publish: %v\n%s", err, lost)
	}
	w.awaitInForce(propagationLimit, from+1, inside...)
	// No daemon reaches the store until it is restored: one outside would read the lost release.
	w.cutStoreLinks(func(*daemon) bool { return true })
	mustRequest(t, "POST", "http://"+w.platformAddress+"/restore", nil, nil)
	outside := w.cutStoreLinks(func(d *daemon) bool { return d.domain == domain })
	w.awaitInForce(time.Second, from, outside...)
	if kept, err := w.tryPublish(outside[0], numberedConfig(71), from); err != nil {
		t.Fatalf("publish: %v\n%s", err, kept)
	}
	w.awaitInForce(propagationLimit, from+1, outside...)
	w.cutStoreLinks(func(*daemon) bool { return false })
	w.healPeerLinks()
	for _, d := range w.daemons {
		eventually(t, rejoinLimit, "the release that the store holds in force at "+d.name, func() bool {
			return strings.Contains(string(mustRequest(t, "GET", "http://"+d.operatorAddress+"/config", nil, nil)), "# 71\n")
		})
	}
	if got := storedRelease(t, w); got.Generation != from+1 || !strings.Contains(string(got.Text), "# 71\n") {
		t.Errorf("got generation %d in the store, want %d with the later text", got.Generation, from+1)
	}
	w.awaitAliveMembers(9)
}

// cutStoreLinks disconnects the daemons selected by shouldCut from the store, reconnects all others
// and returns these.
func (w *proxiedCluster) cutStoreLinks(shouldCut func(*daemon) bool) []*daemon {
	var connected []*daemon
	for i, d := range w.daemons {
		if shouldCut(d) {
			w.storeLinks[i].Set(faulter.Behaviour{Mode: faulter.ModeCut})
			continue
		}
		w.storeLinks[i].Set(faulter.Behaviour{Mode: faulter.ModePass})
		connected = append(connected, d)
	}
	return connected
}

func testLaggingDaemonReported(t *testing.T, w *proxiedCluster) {
	paused := w.daemons[7]
	paused.signal(t, syscall.SIGSTOP)
	generation := w.publishNext(w.daemons[0], numberedConfig(60))
	w.awaitInForce(propagationLimit, generation, w.daemonsExcept(paused)...)
	eventually(t, propagationLimit, "status names the daemon that lags", func() bool {
		s := w.daemons[3].configStatus(t)
		return s.Generation == generation && len(s.Holders) == 8 && (len(s.Lagging) == 1 && s.Lagging[0].Name == paused.name)
	})
	paused.signal(t, syscall.SIGCONT)
	w.awaitInForce(propagationLimit, generation, paused)
	w.awaitAliveMembers(9)
}

func testWatchersKilledInPartition(t *testing.T, w *proxiedCluster) {
	domain := w.daemons[0].domain
	var rest []*daemon
	watchers := publisher.StoreWatchers(domain, w.daemons[0].listMembers(t))
	w.isolateDomain(domain)
	for _, d := range w.daemons {
		switch {
		case d.domain != domain:
		case d.name == watchers[0] || d.name == watchers[1]:
			d.signal(t, syscall.SIGKILL)
		default:
			rest = append(rest, d)
		}
	}
	generation := w.newestGenerationAt(t, rest[0]) + 1
	publishToStore(t, w, generation)
	w.awaitInForce(propagationLimit, generation, rest...)
}

func (w *proxiedCluster) newestGenerationAt(t testing.TB, d *daemon) uint64 {
	return d.configStatus(t).Generation
}

// TestStoreWatchCount checks that nine idle daemons keep at most two watches per failure domain at
// the store, and logs the store calls of a publish.
func TestStoreWatchCount(t *testing.T) {
	t.Parallel()
	const idle = 5 * time.Second
	w := newProxiedCluster(t, 9)
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[0], numberedConfig(0)), w.daemons...)
	time.Sleep(2 * time.Second)
	before := w.storeCalls()
	if before.Waiting > 2*len(failureDomains) {
		t.Errorf("got %d watches waiting, want at most two a failure domain", before.Waiting)
	}
	time.Sleep(idle)
	after := w.storeCalls()
	t.Logf("idle for %s: %d watches, %d reads, %d writes", idle, after.Watches-before.Watches, after.Reads-before.Reads, after.Writes-before.Writes)
	if got, most := after.Watches-before.Watches, 2*len(failureDomains)*int(idle/time.Second+1); got > most {
		t.Errorf("got %d watches in %s, want at most %d", got, idle, most)
	}
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[0], numberedConfig(1)), w.daemons...)
	end := w.storeCalls()
	t.Logf("during a publish: %d watches, %d reads, %d writes", end.Watches-after.Watches, end.Reads-after.Reads, end.Writes-after.Writes)
	for _, d := range w.daemons {
		if got := d.findMember(t, d.name).State; got != viewer.StateAlive {
			t.Errorf("got state %s of %s, want alive", got, d.name)
		}
	}
}
