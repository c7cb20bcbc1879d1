package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

const (
	// deathLimit is the time within which each daemon must know of a death: the time without
	// heartbeats, the time to refute, and the rounds in which both changes spread.
	deathLimit = defaultSuspectAfter + defaultGoneAfter + 2*time.Second
	// rejoinLimit is the time within which all daemons must see each other as alive after a network
	// partition ends.
	rejoinLimit = 10 * time.Second
	fleetSize   = 9
	// massDeathLimit is the time within which all survivors must know of the deaths of most of a
	// fleet: three times a failed handshake and the time to refute.
	massDeathLimit = 3 * (handshakeTimeout + defaultGoneAfter + time.Second)
)

// scenario is a fleet in which a test causes faults.
type scenario struct {
	*network
	ctx   context.Context
	nodes []*node
}

// allSeeState reports whether all running nodes see a member in a state, apart from the member
// itself and the excepted nodes.
func (s *scenario) allSeeState(member string, want viewer.State, except ...*node) bool {
	for _, n := range s.nodes {
		skip := !n.isUp || n.address == member+":1"
		for _, e := range except {
			skip = skip || n == e
		}
		if !skip && n.state(member) != want {
			return false
		}
	}
	return true
}

func (s *scenario) awaitAllAlive(t *testing.T) {
	t.Helper()
	await(t, rejoinLimit, "all alive everywhere", func() bool { return allAlive(s.nodes) })
}

// checkNeverInState fails the test if any node sees a member in a state within d.
func (s *scenario) checkNeverInState(t *testing.T, d time.Duration, state viewer.State) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range s.nodes {
			for _, m := range n.g.Members() {
				if m.State == state {
					t.Fatalf("%s sees %s as %s", n.address, m.Name, state)
				}
			}
		}
	}
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, s *scenario)
	}{
		{"daemon killed", killDaemon},
		{"daemon cut off and back", partitionDaemon},
		{"daemon cut off for a moment", partitionDaemonBriefly},
		{"one link cut one way", blockOneLink},
		{"daemon not heard by anyone", blockOutgoing},
		{"failure domain cut off and rejoined", partitionDomain},
		{"a fifth of packets lost", loseDatagrams},
		{"all replaced one by one", replaceAll},
		{"restarted with its clock set back", restartWithOlderClock},
		{"planned leave", leaveAsPlanned},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
				f := newNetwork(1)
				s := &scenario{network: f, ctx: ctx, nodes: f.startFleet(ctx, fleetSize)}
				s.awaitAllAlive(t)
				time.Sleep(5 * time.Second)
				tc.run(t, s)
			})
		})
	}
}

func killDaemon(t *testing.T, s *scenario) {
	s.stop(s.nodes[4])
	await(t, deathLimit, "death known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone) })
}

func partitionDaemon(t *testing.T, s *scenario) {
	isolated := s.nodes[4]
	before := isolated.g.Members()[4].Incarnation
	s.block(func(from, to string) bool { return from == isolated.address || to == isolated.address })
	await(t, deathLimit, "death known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone, isolated) })
	time.Sleep(forgetAfter / 3)
	s.block(func(string, string) bool { return false })
	s.awaitAllAlive(t)
	if got := isolated.g.Members()[4].Incarnation; got <= before {
		t.Errorf("got incarnation %d after a refutation, want above %d", got, before)
	}
}

func partitionDaemonBriefly(t *testing.T, s *scenario) {
	isolated := s.nodes[4].address
	s.block(func(from, to string) bool { return from == isolated || to == isolated })
	s.checkNeverInState(t, time.Second, viewer.StateSuspected)
	s.block(func(string, string) bool { return false })
	s.checkNeverInState(t, 10*time.Second, viewer.StateSuspected)
}

func blockOneLink(t *testing.T, s *scenario) {
	s.block(func(from, to string) bool { return from == daemonName(1)+":1" && to == daemonName(2)+":1" })
	s.checkNeverInState(t, time.Minute, viewer.StateGone)
	s.awaitAllAlive(t)
}

func blockOutgoing(t *testing.T, s *scenario) {
	isolated := s.nodes[4]
	s.block(func(from, _ string) bool { return from == isolated.address })
	await(t, deathLimit, "death known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone, isolated) })
	s.block(func(string, string) bool { return false })
	s.awaitAllAlive(t)
}

func partitionDomain(t *testing.T, s *scenario) {
	inside := make(map[string]bool)
	for i := 0; i < fleetSize; i += len(domains) {
		inside[daemonName(i)+":1"] = true
	}
	s.block(func(from, to string) bool { return inside[from] != inside[to] })
	await(t, deathLimit, "the two sides see each other as gone", func() bool {
		for _, n := range s.nodes {
			for _, m := range n.g.Members() {
				want := viewer.StateGone
				if inside[m.Peers] == inside[n.address] {
					want = viewer.StateAlive
				}
				if m.State != want {
					return false
				}
			}
		}
		return true
	})
	time.Sleep(2 * forgetAfter)
	s.block(func(string, string) bool { return false })
	s.awaitAllAlive(t)
}

func loseDatagrams(t *testing.T, s *scenario) {
	s.mu.Lock()
	s.loss = 0.2
	s.mu.Unlock()
	s.checkNeverInState(t, 5*time.Minute, viewer.StateGone)
	s.stop(s.nodes[4])
	await(t, deathLimit, "death known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone) })
}

func replaceAll(t *testing.T, s *scenario) {
	for i, old := range s.nodes {
		s.stop(old)
		s.nodes[i] = s.start(s.ctx, fleetSize+i, 1)
		time.Sleep(2 * time.Second)
	}
	s.awaitAllAlive(t)
	await(t, 2*forgetAfter, "old daemons forgotten", func() bool {
		for i := range fleetSize {
			if !s.allSeeState(daemonName(i), "") {
				return false
			}
		}
		return true
	})
}

func restartWithOlderClock(t *testing.T, s *scenario) {
	s.stop(s.nodes[4])
	await(t, deathLimit, "death known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone) })
	s.nodes[4] = s.start(s.ctx, 4, 0)
	s.awaitAllAlive(t)
}

func leaveAsPlanned(t *testing.T, s *scenario) {
	s.nodes[4].g.SetState(viewer.StateLeaving)
	await(t, time.Second, "leaving known", func() bool { return s.allSeeState(daemonName(4), viewer.StateLeaving) })
	s.checkNeverInState(t, 10*time.Second, viewer.StateGone)
	s.nodes[4].g.SetState(viewer.StateGone)
	await(t, time.Second, "gone known", func() bool { return s.allSeeState(daemonName(4), viewer.StateGone) })
}

// TestStartSuspectsNobody starts fleets at once and staggered. A daemon that does not know yet which
// members will send it heartbeats must not suspect them.
func TestStartSuspectsNobody(t *testing.T) {
	for _, gap := range []time.Duration{0, 5, 20, 100, 1000} {
		t.Run(fmt.Sprint(gap*time.Millisecond), func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
				s := &scenario{network: newNetwork(1), ctx: ctx}
				for i := range fleetSize {
					s.nodes = append(s.nodes, s.start(ctx, i, 1))
					time.Sleep(gap * time.Millisecond)
				}
				s.checkNeverInState(t, 10*time.Second, viewer.StateSuspected)
			})
		})
	}
}

// TestNewcomerDies kills daemons so soon after their start that they have sent few heartbeats or
// none.
func TestNewcomerDies(t *testing.T) {
	for _, lived := range []time.Duration{20, 60, 100, 150, 250, 400} {
		for _, size := range []int{3, fleetSize} {
			lived := lived * time.Millisecond
			t.Run(fmt.Sprintf("size=%d/lived=%s", size, lived), func(t *testing.T) {
				runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
					f := newNetwork(1)
					s := &scenario{network: f, ctx: ctx, nodes: f.startFleet(ctx, size)}
					time.Sleep(lived)
					f.stop(s.nodes[0])
					await(t, deathLimit, "first death known", func() bool { return !s.anySeesState(daemonName(0), viewer.StateAlive) })
					late := f.start(ctx, size, 1)
					s.nodes = append(s.nodes, late)
					time.Sleep(lived)
					f.stop(late)
					await(t, deathLimit, "second death known", func() bool { return !s.anySeesState(daemonName(size), viewer.StateAlive) })
				})
			})
		}
	}
}

// anySeesState reports whether any running node sees a member in a state.
func (s *scenario) anySeesState(member string, state viewer.State) bool {
	for _, n := range s.nodes {
		if n.isUp && n.state(member) == state {
			return true
		}
	}
	return false
}

// TestMostDaemonsDie kills most daemons at once, and with them the neighbours that would have missed
// each other's heartbeats. The survivors must detect the deaths by failed connections.
func TestMostDaemonsDie(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
		f := newNetwork(1)
		s := &scenario{network: f, ctx: ctx, nodes: f.startFleet(ctx, 50)}
		s.awaitAllAlive(t)
		time.Sleep(5 * time.Second)
		for _, n := range s.nodes[9:] {
			f.stop(n)
		}
		await(t, massDeathLimit, "all deaths known", func() bool {
			for _, n := range s.nodes[9:] {
				if !s.allSeeState(n.g.cfg.Self.Name, viewer.StateGone) {
					return false
				}
			}
			return true
		})
		s.nodes = s.nodes[:9]
		s.awaitAllAlive(t)
	})
}
