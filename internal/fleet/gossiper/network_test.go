package gossiper

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

const (
	latency     = time.Millisecond
	forgetAfter = time.Minute
	// handshakeTimeout is the time after which a messenger gives up a handshake.
	handshakeTimeout = 2 * time.Second
)

var errUnreachable = errors.New("peer unreachable")

// network connects gossipers in one process and loses traffic as a test demands.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	rand  *rand.Rand
	loss  float64 // fraction of the datagrams and calls that are lost
	// blocked reports whether traffic from one address to another is lost.
	blocked func(from, to string) bool
}

// node is the Sender and Caller of one gossiper.
type node struct {
	network   *network
	address   string
	isUp      bool
	datagrams map[string]func([]byte)
	handlers  map[string]messenger.Handler
	sentBytes int
	packets   int
	calls     int
	g         *Gossiper
	cancelRun context.CancelFunc
}

func newNetwork(seed uint64) *network {
	return &network{
		nodes: make(map[string]*node), rand: rand.New(rand.NewPCG(seed, 0)),
		blocked: func(string, string) bool { return false },
	}
}

func (f *network) block(blocked func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// reachableTarget returns the node at an address, or nil if traffic to it is lost.
func (f *network) reachableTarget(from *node, addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[addr]
	if to == nil || !to.isUp || !from.isUp || f.blocked(from.address, addr) || f.rand.Float64() < f.loss {
		return nil
	}
	return to
}

// isStopped reports whether the daemon at an address has ended.
func (f *network) isStopped(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[addr]
	return to != nil && !to.isUp
}

// SendDatagram implements Sender.
func (n *node) SendDatagram(ctx context.Context, addr, kind string, body []byte) error {
	n.network.mu.Lock()
	n.sentBytes += len(body)
	n.packets++
	n.network.mu.Unlock()
	to := n.network.reachableTarget(n, addr)
	if n.network.isStopped(addr) {
		// Nobody answers the handshake.
		sleep(ctx, handshakeTimeout)
		return errUnreachable
	}
	if to == nil {
		return nil
	}
	time.AfterFunc(latency, func() {
		n.network.mu.Lock()
		f := to.datagrams[kind]
		n.network.mu.Unlock()
		if f != nil {
			f(body)
		}
	})
	return nil
}

// HandleDatagram implements Sender.
func (n *node) HandleDatagram(kind string, f func([]byte)) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.datagrams[kind] = f
}

// Handle implements Caller.
func (n *node) Handle(kind string, h messenger.Handler) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.handlers[kind] = h
}

// Call implements Caller; both ways must be open.
func (n *node) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	to := n.network.reachableTarget(n, addr)
	if to == nil || n.network.reachableTarget(to, n.address) == nil {
		return nil, errUnreachable
	}
	time.Sleep(2 * latency)
	n.network.mu.Lock()
	h := to.handlers[kind]
	n.network.mu.Unlock()
	if h == nil {
		return nil, errUnreachable
	}
	b, err := h(ctx, body)
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.sentBytes += len(body)
	to.sentBytes += len(b)
	n.calls++
	return b, err
}

var domains = []string{"portland", "worcester", "hartford"}

func daemonName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func (f *network) config(n *node, i int, incarnation uint64) Config {
	return Config{
		Self: viewer.Member{
			Name: daemonName(i), Domain: domains[i%len(domains)], Peers: n.address, Operators: n.address, Incarnation: incarnation,
		},
		Sender: n, Caller: n, Seeds: f.hostAddresses, ForgetAfter: forgetAfter,
	}
}

// hostAddresses returns the addresses in the host list. It includes those of stopped daemons, since
// a real host list lags behind.
func (f *network) hostAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.nodes))
}

// start adds and runs a gossiper whose seeds are the host list.
func (f *network) start(ctx context.Context, i int, incarnation uint64) *node {
	n := &node{
		network: f, address: daemonName(i) + ":1", isUp: true,
		datagrams: make(map[string]func([]byte)), handlers: make(map[string]messenger.Handler),
	}
	f.mu.Lock()
	f.nodes[n.address] = n
	f.mu.Unlock()
	n.g = New(f.config(n, i, incarnation))
	run, cancel := context.WithCancel(ctx)
	n.cancelRun = cancel
	go func() { _ = n.g.Run(run) }()
	return n
}

// stop ends a gossiper as if its process were killed.
func (f *network) stop(n *node) {
	n.cancelRun()
	f.mu.Lock()
	defer f.mu.Unlock()
	n.isUp = false
}

func (f *network) startFleet(ctx context.Context, size int) []*node {
	nodes := make([]*node, size)
	for i := range nodes {
		nodes[i] = f.start(ctx, i, 1)
	}
	return nodes
}

func (f *network) totalSentBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.nodes {
		total += n.sentBytes
	}
	return total
}

// state returns the state in which the node sees a member, or "" if it does not know the member.
func (n *node) state(name string) viewer.State {
	for _, m := range n.g.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// allAlive reports whether each node sees all nodes as alive.
func allAlive(nodes []*node) bool {
	for _, n := range nodes {
		alive := 0
		for _, m := range n.g.Members() {
			if m.State == viewer.StateAlive {
				alive++
			}
		}
		if alive != len(nodes) {
			return false
		}
	}
	return true
}

// await waits on the fake clock until a condition holds and returns how long that took.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		if holds() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within %s: %s", limit, what)
	return 0
}

// runOnFakeClock runs f on a fake clock and ends all gossipers afterwards.
func runOnFakeClock(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx)
		cancel()
		// Calls in flight end within this time.
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

func counter(n *node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.g.cfg.Registry).Count()
}
