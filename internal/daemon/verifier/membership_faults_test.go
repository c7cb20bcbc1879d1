package verifier

import (
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/faulter"
)

// TestMembershipFaults causes one fault after the other in one fleet, which
// must be whole again after each.
func TestMembershipFaults(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 6)
	for _, step := range []struct {
		name string
		run  func(t *testing.T, w *network)
	}{
		{"paused and woken", pausedAndWoken},
		{"killed and restarted", killedAndRestarted},
		{"cannot be reached but reaches others", halfReached},
		{"failure domain cut off and rejoined", domainRejoins},
		{"a fifth of packets lost", packetsLost},
		{"stopped as planned", plannedStop},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			return
		}
	}
}

func pausedAndWoken(t *testing.T, w *network) {
	d := w.daemons[4]
	before := d.member(t, d.name).Incarnation
	d.signal(t, syscall.SIGSTOP)
	began := time.Now()
	w.awaitState(deathLimit, d.name, viewer.StateGone, w.without(d)...)
	t.Logf("all daemons hold the paused one for gone after %s", time.Since(began))
	d.signal(t, syscall.SIGCONT)
	w.awaitState(rejoinLimit, d.name, viewer.StateAlive, w.daemons...)
	if got := w.daemons[0].member(t, d.name).Incarnation; got <= before {
		t.Errorf("got incarnation %d after the pause, want above %d", got, before)
	}
	w.awaitAlive(6)
}

func killedAndRestarted(t *testing.T, w *network) {
	d := w.daemons[4]
	before := w.daemons[0].member(t, d.name).Incarnation
	d.signal(t, syscall.SIGKILL)
	w.awaitState(deathLimit, d.name, viewer.StateGone, w.without(d)...)
	w.start(4)
	w.awaitAlive(6)
	if got := w.daemons[0].member(t, d.name).Incarnation; got <= before {
		t.Errorf("got incarnation %d after the restart, want above %d", got, before)
	}
}

func halfReached(t *testing.T, w *network) {
	d := w.daemons[4]
	w.peers[4].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
	for end := time.Now().Add(deathLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := w.daemons[0].member(t, d.name).State; got == viewer.StateGone {
			t.Fatalf("got state %s of a daemon whose heartbeats come in, want alive", got)
		}
	}
	w.heal()
	w.awaitAlive(6)
}

func domainRejoins(_ *testing.T, w *network) {
	const domain = "hartford"
	w.cut(domain)
	for _, d := range w.daemons {
		for _, other := range w.daemons {
			want := viewer.StateAlive
			if (d.domain == domain) != (other.domain == domain) {
				want = viewer.StateGone
			}
			w.awaitState(deathLimit, other.name, want, d)
		}
	}
	w.heal()
	w.awaitAlive(6)
}

func packetsLost(t *testing.T, w *network) {
	for _, l := range w.peers {
		l.Set(faulter.Behaviour{Mode: faulter.ModePass, Loss: 0.2})
	}
	for end := time.Now().Add(deathLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range w.daemons[0].members(t) {
			if m.State == viewer.StateGone {
				t.Fatalf("got %s gone, want all members kept", m.Name)
			}
		}
	}
	w.awaitInForce(forceLimit, w.release(w.daemons[0], numberedSet(1)), w.daemons...)
	w.heal()
	w.awaitAlive(6)
}

func plannedStop(t *testing.T, w *network) {
	d := w.daemons[4]
	d.signal(t, syscall.SIGTERM)
	// Gone is announced, so that it need not be found out by silence.
	w.awaitState(3*time.Second, d.name, viewer.StateGone, w.without(d)...)
	if code := d.wait(t); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
}

// TestHostListIsASeed starts daemons that know of one another by the platform's
// list only.
func TestHostListIsASeed(t *testing.T) {
	c := newCluster(t)
	for i, name := range []string{"entry-0", "entry-1", "entry-2"} {
		d := c.daemon(name, failureDomains[i], daemonOptions{})
		c.seeds = nil
		c.host(lister.Host{Name: name, Domain: d.domain, Role: lister.RoleEntry, Address: d.peers, State: lister.StateLive})
	}
	w := &network{cluster: c}
	w.awaitAlive(3)
}
