package recorder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/refuser"
)

// processGate simulates a paused or killed process. All calls of a daemon pass through it: while
// the daemon is paused, each call blocks before it is sent and before it returns; after the daemon
// is killed, calls have no effect and return no result.
type processGate struct {
	mu     sync.Mutex
	killed bool
	wake   chan struct{}
}

var errKilled = errors.New("the daemon is killed")

func (g *processGate) waitUnpaused() error {
	for {
		g.mu.Lock()
		killed, wake := g.killed, g.wake
		g.mu.Unlock()
		if killed {
			return errKilled
		}
		if wake == nil {
			return nil
		}
		<-wake
	}
}

// pause blocks the daemon until the returned function is called.
func (g *processGate) pause() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wake != nil {
		return func() {}
	}
	wake := make(chan struct{})
	g.wake = wake
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wake = nil
		close(wake)
	})
}

func (g *processGate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// callThroughGate makes a call, and waits for the gate before and after it.
func callThroughGate[T any](g *processGate, call func() (T, error)) (T, error) {
	var none T
	if err := g.waitUnpaused(); err != nil {
		return none, err
	}
	v, err := call()
	if err := g.waitUnpaused(); err != nil {
		return none, err
	}
	return v, err
}

type gatedStore struct {
	*fakeStore
	gate *processGate
}

// Get implements storer.Store.
func (s gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	return callThroughGate(s.gate, func() (storer.Entry, error) { return s.fakeStore.Get(ctx, key) })
}

// Swap implements storer.Store.
func (s gatedStore) Swap(ctx context.Context, w storer.Write) (storer.Entry, error) {
	return callThroughGate(s.gate, func() (storer.Entry, error) { return s.fakeStore.Swap(ctx, w) })
}

// List implements storer.Store.
func (s gatedStore) List(ctx context.Context, prefix string) (storer.Page, error) {
	return callThroughGate(s.gate, func() (storer.Page, error) { return s.fakeStore.List(ctx, prefix) })
}

// Grant implements storer.Store.
func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	return callThroughGate(s.gate, func() (storer.Lease, error) { return s.fakeStore.Grant(ctx, ttl) })
}

type gatedServices struct {
	*fakeServices
	gate *processGate
}

// Connect implements Services.
func (s gatedServices) Connect(ctx context.Context, address string) (Sender, error) {
	sender, err := callThroughGate(s.gate, func() (Sender, error) { return s.fakeServices.Connect(ctx, address) })
	if err != nil {
		return nil, err
	}
	return gatedSender{sender, s.gate}, nil
}

// Status implements Services.
func (s gatedServices) Status(ctx context.Context, address, path string) (Report, error) {
	return callThroughGate(s.gate, func() (Report, error) { return s.fakeServices.Status(ctx, address, path) })
}

type gatedSender struct {
	Sender
	gate *processGate
}

// Send implements Sender.
func (s gatedSender) Send(ctx context.Context, o Order, h http.Header) (Answer, error) {
	a, err := callThroughGate(s.gate, func() (Answer, error) { return s.Sender.Send(ctx, o, h) })
	if errors.Is(err, errKilled) {
		err = &SendError{RunState: refuser.Unknown, Err: err}
	}
	return a, err
}

// fakePeers implements Peers between the daemons of a fakeFleet.
type fakePeers struct {
	fleet *fakeFleet
	name  string
}

// Handle implements Peers.
func (p fakePeers) Handle(kind string, h messenger.Handler) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.handlers[p.name+" "+kind] = h
}

// Call implements Peers. Daemons are called by name.
func (p fakePeers) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	from, to, h := p.fleet.findHandler(p.name, addr, kind)
	if h == nil {
		return nil, errKilled
	}
	return callThroughGate(from, func() ([]byte, error) {
		return callThroughGate(to, func() ([]byte, error) { return h(ctx, body) })
	})
}
