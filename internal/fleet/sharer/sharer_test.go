package sharer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

// testNetwork carries messages between daemons of one process. As with a real connection, a
// sender's link leads to the process that had the address when the link was made.
type testNetwork struct {
	mu    sync.Mutex
	ports map[string]*networkPort
	cut   func(from, to string) bool
	// fill completes the status of each daemon.
	fill func(*Status)
	// onStatus is called with the statuses that daemons receive; it applies to daemons that start
	// after it is set.
	onStatus func(old, current *Peer)
	// sent counts messages by sender, and bytes those of all senders.
	sent  map[string]int
	bytes int
	// onTotals and onReport are called with the totals and reports that daemons receive.
	onTotals func(to string, totals OthersTotals)
	onReport func(to string, r Report)
	// observe returns what the daemon at an address observed since its previous message, and
	// onObservations is called with what daemons receive.
	observe        func(by string) []Observation
	onObservations func(to string, observations []Observation)
}

// networkPort is one daemon's process on the network.
type networkPort struct {
	f         *testNetwork
	addr      string
	links     map[string]*networkPort
	datagrams map[string]func([]byte)
}

var errCut = errors.New("no link")

func newTestNetwork() *testNetwork {
	return &testNetwork{ports: make(map[string]*networkPort), sent: make(map[string]int), fill: func(*Status) {}, onTotals: func(string, OthersTotals) {}, onReport: func(string, Report) {}, onStatus: func(_, _ *Peer) {}, observe: func(string) []Observation { return nil }, onObservations: func(string, []Observation) {}, cut: func(string, string) bool { return false }}
}

// setCut sets which messages are lost from now on.
func (f *testNetwork) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// observers returns what the daemons observe with and report observations to.
func (f *testNetwork) observers() (observe func(by string) []Observation, received func(to string, observations []Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.observe, f.onObservations
}

func (f *testNetwork) openPort(addr string) *networkPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &networkPort{f: f, addr: addr, links: make(map[string]*networkPort), datagrams: make(map[string]func([]byte))}
	f.ports[addr] = p
	return p
}

func (p *networkPort) SendDatagram(_ context.Context, addr, messageKind string, body []byte) error {
	p.f.mu.Lock()
	to := p.links[addr]
	if to == nil {
		to = p.f.ports[addr]
		p.links[addr] = to
	}
	p.f.sent[p.addr]++
	p.f.bytes += len(body)
	dead := to == nil || p.f.ports[addr] != to || p.f.ports[p.addr] != p || p.f.cut(p.addr, addr)
	p.f.mu.Unlock()
	if dead {
		return errCut
	}
	to.datagrams[messageKind](body)
	return nil
}

func (p *networkPort) Call(ctx context.Context, addr, messageKind string, body []byte) ([]byte, error) {
	return nil, p.SendDatagram(ctx, addr, messageKind, body)
}

func (p *networkPort) CloseConn(addr string) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	delete(p.links, addr)
}

func (p *networkPort) Handle(string, messenger.Handler) {}

func (p *networkPort) HandleDatagram(messageKind string, f func([]byte)) {
	p.datagrams[messageKind] = f
}

// start starts a daemon that knows the given addresses of others.
func (f *testNetwork) start(ctx context.Context, n int, boot int64, contacts ...string) *Sharer {
	addr := fmt.Sprint("a", n)
	fillOwn := f.fill
	fill := func(st *Status) {
		fillOwn(st)
		observe, _ := f.observers()
		st.Observations = append(st.Observations, observe(addr)...)
	}
	s := New(Config{
		Name: fmt.Sprint("d", n), Domain: fmt.Sprint("z", n%3), Address: addr, Boot: boot, FillStatus: fill,
		ObservationsReceived: func(o []Observation) {
			_, received := f.observers()
			received(addr, o)
		},
		StatusReceived: f.onStatus, PeerUnreachable: func(string) {}, Duty: "duty",
		TotalsReceived: func(totals OthersTotals) { f.onTotals(addr, totals) }, ReportReceived: func(r Report) { f.onReport(addr, r) }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	s.AddContacts(contacts...)
	s.Attach(f.openPort(addr))
	go func() { _ = s.Run(ctx) }()
	return s
}

func (s *Sharer) reachableCount() int {
	n := 0
	for _, p := range s.Peers() {
		if !p.Unreachable {
			n++
		}
	}
	return n
}

func startAll(ctx context.Context, f *testNetwork, n int) []*Sharer {
	var all []*Sharer
	for i := range n {
		all = append(all, f.start(ctx, i, 1, "a0", "a1"))
	}
	time.Sleep(3 * time.Second)
	return all
}

func TestAllDaemonsReceiveAllStatuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, s := range startAll(ctx, newTestNetwork(), 9) {
			if got := s.reachableCount(); got != 8 {
				t.Errorf("daemon %d reaches %d others, want 8", i, got)
			}
		}
	})
}

// All daemons reach a restarted daemon, and it reaches all, within a second, whether it was
// stopped or killed.
func TestRestartedDaemonIsReachable(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newTestNetwork()
			all := startAll(ctx, f, 9)
			if planned {
				all[4].AnnounceStop()
				time.Sleep(time.Second)
			}
			all[4] = f.start(ctx, 4, 2, "a0", "a1", "a2", "a3", "a5", "a6", "a7", "a8")
			time.Sleep(time.Second)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for i, s := range all {
					if got := s.reachableCount(); got != 8 {
						t.Fatalf("planned %t: daemon %d reaches %d others, want 8", planned, i, got)
					}
				}
			}
		})
	}
}

func TestNewDaemonCountsUncontactedAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		f.cut = func(string, string) bool { return true }
		s := f.start(ctx, 0, 1, "a1", "a2", "a3")
		time.Sleep(time.Second)
		if members, unreachable := s.CountMembers(); members != 4 || unreachable != 3 {
			t.Errorf("got %d daemons of which %d are unreachable, want 4 and 3", members, unreachable)
		}
		time.Sleep(ForgetTime)
		if members, unreachable := s.CountMembers(); members != 1 || unreachable != 0 {
			t.Errorf("got %d daemons of which %d are unreachable after a long time, want only itself", members, unreachable)
		}
	})
}

func TestPartitionedDaemonsAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startAll(ctx, f, 3)
		f.setCut(func(from, to string) bool { return from == "a2" || to == "a2" })
		time.Sleep(time.Second)
		for i, want := range []int{1, 1, 2} {
			if _, got := all[i].CountMembers(); got != want {
				t.Errorf("daemon %d: got %d unreachable, want %d", i, got, want)
			}
		}
		for _, m := range all[0].Members() {
			if m.Name == "d2" && m.State != viewer.StateSuspected {
				t.Errorf("got state %s of the partitioned daemon, want %s", m.State, viewer.StateSuspected)
			}
		}
		f.setCut(func(string, string) bool { return false })
		time.Sleep(1500 * time.Millisecond)
		if _, got := all[2].CountMembers(); got != 0 {
			t.Errorf("got %d unreachable after the cut, want none", got)
		}
	})
}

// A daemon that cannot reach the store takes no duties, unless no daemon can reach it.
func TestDaemonWithoutStoreTakesNoDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := startAll(ctx, newTestNetwork(), 3)
		for away, want := range []int{3, 2, 1, 3} {
			if away > 0 {
				all[away-1].SetStoreUnreachable(true)
			}
			time.Sleep(time.Second)
			for i, s := range all {
				got := 0
				for _, m := range s.Members() {
					if m.State == viewer.StateAlive {
						got++
					}
				}
				if got != want {
					t.Errorf("%d daemons without the store: daemon %d sees %d that take duties, want %d", away, i, got, want)
				}
			}
		}
	})
}

// One daemon of each failure domain follows the store; the others do so only while no daemon gets
// answers from it.
func TestOneDaemonPerDomainFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestNetwork()
		all := startAll(ctx, f, 9)
		following := func() int {
			n := 0
			for _, s := range all {
				if s.IsStoreFollower("part", time.Second) {
					n++
				}
			}
			return n
		}
		if got := following(); got != 9 {
			t.Errorf("got %d that follow the store while no daemon gets answers, want 9", got)
		}
		all[0].RecordStoreAnswer("part")
		time.Sleep(200 * time.Millisecond)
		// The daemon that gets answers does not know of another that does.
		if got := following(); got < 3 || got > 4 {
			t.Errorf("got %d that follow the store, want one of each domain", got)
		}
		time.Sleep(2 * time.Second)
		if got := following(); got != 9 {
			t.Errorf("got %d that follow the store long after the last answer, want 9", got)
		}
	})
}

func TestOffsetIsFromMedianClock(t *testing.T) {
	for _, tc := range []struct {
		ahead []time.Duration
		want  time.Duration
	}{
		{nil, 0},
		{[]time.Duration{2 * time.Second, 0, time.Millisecond, 0}, 0},
		// This daemon's own clock was stepped.
		{[]time.Duration{-3 * time.Second, -3 * time.Second, -3 * time.Second, 0}, -3 * time.Second},
	} {
		s := New(Config{Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
		for i, d := range tc.ahead {
			s.peers[fmt.Sprint(i)] = &Peer{ClockAhead: d}
		}
		if got := s.ClockOffset(); got != tc.want {
			t.Errorf("others ahead by %v: got %s, want %s", tc.ahead, got, tc.want)
		}
	}
}
