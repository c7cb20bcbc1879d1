package verifier

import (
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/faulter"
)

// TestMembershipFaults injects one fault after the other into one fleet. After each fault but the
// planned stop, all daemons must see all members as alive again.
func TestMembershipFaults(t *testing.T) {
	t.Parallel()
	w := newProxiedCluster(t, 6)
	for _, step := range []struct {
		name string
		run  func(t *testing.T, w *proxiedCluster)
	}{
		{"paused and woken", testPausedDaemon},
		{"killed and restarted", testRestartedDaemon},
		{"cannot be reached but reaches others", testOneWayReachability},
		{"failure domain cut off and rejoined", testDomainPartition},
		{"a fifth of packets lost", testPacketLoss},
		{"stopped as planned", testPlannedStop},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			return
		}
	}
}

func testPausedDaemon(t *testing.T, w *proxiedCluster) {
	d := w.daemons[4]
	before := d.findMember(t, d.name).Incarnation
	d.signal(t, syscall.SIGSTOP)
	began := time.Now()
	w.awaitMemberState(failureDetectionLimit, d.name, viewer.StateGone, w.daemonsExcept(d)...)
	t.Logf("all daemons see the paused one as gone after %s", time.Since(began))
	d.signal(t, syscall.SIGCONT)
	w.awaitMemberState(rejoinLimit, d.name, viewer.StateAlive, w.daemons...)
	if got := w.daemons[0].findMember(t, d.name).Incarnation; got <= before {
		t.Errorf("got incarnation %d after the pause, want above %d", got, before)
	}
	w.awaitAliveMembers(6)
}

func testRestartedDaemon(t *testing.T, w *proxiedCluster) {
	d := w.daemons[4]
	before := w.daemons[0].findMember(t, d.name).Incarnation
	d.signal(t, syscall.SIGKILL)
	w.awaitMemberState(failureDetectionLimit, d.name, viewer.StateGone, w.daemonsExcept(d)...)
	w.startOrRestart(4)
	w.awaitAliveMembers(6)
	if got := w.daemons[0].findMember(t, d.name).Incarnation; got <= before {
		t.Errorf("got incarnation %d after the restart, want above %d", got, before)
	}
}

func testOneWayReachability(t *testing.T, w *proxiedCluster) {
	d := w.daemons[4]
	w.peerLinks[4].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
	for end := time.Now().Add(failureDetectionLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := w.daemons[0].findMember(t, d.name).State; got == viewer.StateGone {
			t.Fatalf("got state %s of a daemon whose heartbeats arrive, want alive", got)
		}
	}
	w.healPeerLinks()
	w.awaitAliveMembers(6)
}

func testDomainPartition(_ *testing.T, w *proxiedCluster) {
	const domain = "hartford"
	w.isolateDomain(domain)
	for _, d := range w.daemons {
		for _, other := range w.daemons {
			want := viewer.StateAlive
			if (d.domain == domain) != (other.domain == domain) {
				want = viewer.StateGone
			}
			w.awaitMemberState(failureDetectionLimit, other.name, want, d)
		}
	}
	w.healPeerLinks()
	w.awaitAliveMembers(6)
}

func testPacketLoss(t *testing.T, w *proxiedCluster) {
	for _, l := range w.peerLinks {
		l.Set(faulter.Behaviour{Mode: faulter.ModePass, Loss: 0.2})
	}
	for end := time.Now().Add(failureDetectionLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range w.daemons[0].listMembers(t) {
			if m.State == viewer.StateGone {
				t.Fatalf("got %s gone, want no member gone", m.Name)
			}
		}
	}
	w.awaitInForce(propagationLimit, w.publishNext(w.daemons[0], numberedConfig(1)), w.daemons...)
	w.healPeerLinks()
	w.awaitAliveMembers(6)
}

func testPlannedStop(t *testing.T, w *proxiedCluster) {
	d := w.daemons[4]
	d.signal(t, syscall.SIGTERM)
	// A daemon that stops announces it, so the others need not detect missing heartbeats.
	w.awaitMemberState(3*time.Second, d.name, viewer.StateGone, w.daemonsExcept(d)...)
	if code := d.awaitExit(t); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
}

// TestJoinThroughHostList starts daemons without seeds. They must find each other through the
// platform's host list.
func TestJoinThroughHostList(t *testing.T) {
	c := newCluster(t)
	for i, name := range []string{"entry-0", "entry-1", "entry-2"} {
		d := c.startDaemon(name, failureDomains[i], settingsOverrides{})
		c.seeds = nil
		c.putHost(lister.Host{Name: name, Domain: d.domain, Role: lister.RoleEntry, Address: d.peerAddress, State: lister.StateLive})
	}
	w := &proxiedCluster{cluster: c}
	w.awaitAliveMembers(3)
}
