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
	// handshakeTimeout is that of the messenger.
	handshakeTimeout = 2 * time.Second
)

var errCut = errors.New("cut off")

// fabric joins gossipers in one process. It loses traffic by command.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*node
	rand  *rand.Rand
	loss  float64
	// blocked reports whether traffic from one address to another is lost.
	blocked func(from, to string) bool
}

// node is the Sender and Caller of one gossiper.
type node struct {
	fabric    *fabric
	address   string
	up        bool
	datagrams map[string]func([]byte)
	handlers  map[string]messenger.Handler
	sent      int
	packets   int
	calls     int
	g         *Gossiper
	end       context.CancelFunc
}

func newFabric(seed uint64) *fabric {
	return &fabric{
		nodes: make(map[string]*node), rand: rand.New(rand.NewPCG(seed, 0)),
		blocked: func(string, string) bool { return false },
	}
}

func (f *fabric) block(blocked func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// target returns the node at an address, or nil if traffic to it is lost.
func (f *fabric) target(from *node, addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[addr]
	if to == nil || !to.up || !from.up || f.blocked(from.address, addr) || f.rand.Float64() < f.loss {
		return nil
	}
	return to
}

// stopped reports whether the daemon at an address has ended.
func (f *fabric) stopped(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[addr]
	return to != nil && !to.up
}

// Send implements Sender.
func (n *node) Send(ctx context.Context, addr, kind string, body []byte) error {
	n.fabric.mu.Lock()
	n.sent += len(body)
	n.packets++
	n.fabric.mu.Unlock()
	to := n.fabric.target(n, addr)
	if n.fabric.stopped(addr) {
		// Nobody answers the handshake.
		sleep(ctx, handshakeTimeout)
		return errCut
	}
	if to == nil {
		return nil
	}
	time.AfterFunc(latency, func() {
		n.fabric.mu.Lock()
		f := to.datagrams[kind]
		n.fabric.mu.Unlock()
		if f != nil {
			f(body)
		}
	})
	return nil
}

// HandleDatagram implements Sender.
func (n *node) HandleDatagram(kind string, f func([]byte)) {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.datagrams[kind] = f
}

// Handle implements Caller.
func (n *node) Handle(kind string, h messenger.Handler) {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.handlers[kind] = h
}

// Call implements Caller; both ways must be open.
func (n *node) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	to := n.fabric.target(n, addr)
	if to == nil || n.fabric.target(to, n.address) == nil {
		return nil, errCut
	}
	time.Sleep(2 * latency)
	n.fabric.mu.Lock()
	h := to.handlers[kind]
	n.fabric.mu.Unlock()
	if h == nil {
		return nil, errCut
	}
	b, err := h(ctx, body)
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.sent += len(body)
	to.sent += len(b)
	n.calls++
	return b, err
}

var domains = []string{"portland", "worcester", "hartford"}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func (f *fabric) config(n *node, i int, incarnation uint64) Config {
	return Config{
		Self: viewer.Member{
			Name: name(i), Domain: domains[i%len(domains)], Peers: n.address, Operators: n.address, Incarnation: incarnation,
		},
		Sender: n, Caller: n, Seeds: f.list, ForgetAfter: forgetAfter,
	}
}

// list returns the addresses that the host list has: it lags, so that those
// of stopped daemons stay.
func (f *fabric) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.nodes))
}

// start adds a gossiper that knows the host list as seeds.
func (f *fabric) start(ctx context.Context, i int, incarnation uint64) *node {
	n := &node{
		fabric: f, address: name(i) + ":1", up: true,
		datagrams: make(map[string]func([]byte)), handlers: make(map[string]messenger.Handler),
	}
	f.mu.Lock()
	f.nodes[n.address] = n
	f.mu.Unlock()
	n.g = New(f.config(n, i, incarnation))
	run, cancel := context.WithCancel(ctx)
	n.end = cancel
	go func() { _ = n.g.Run(run) }()
	return n
}

// stop ends a gossiper as a kill does.
func (f *fabric) stop(n *node) {
	n.end()
	f.mu.Lock()
	defer f.mu.Unlock()
	n.up = false
}

func (f *fabric) fleet(ctx context.Context, size int) []*node {
	nodes := make([]*node, size)
	for i := range nodes {
		nodes[i] = f.start(ctx, i, 1)
	}
	return nodes
}

func (f *fabric) bytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.nodes {
		total += n.sent
	}
	return total
}

// state returns what a gossiper believes of a member, or nothing.
func (n *node) state(name string) viewer.State {
	for _, m := range n.g.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

func settled(nodes []*node) bool {
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

// await waits on the fake clock until a condition holds, and returns how long
// that took.
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

// bubble runs f on a fake clock and ends all gossipers afterwards.
func bubble(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx)
		cancel()
		// Calls under way end within this time.
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

func counter(n *node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.g.cfg.Registry).Count()
}
