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

// gate stands between a daemon and the world: while the daemon is paused each
// call blocks on its way out and on its way back, and once it is killed none
// has an effect or an outcome.
type gate struct {
	mu     sync.Mutex
	killed bool
	wake   chan struct{}
}

var errKilled = errors.New("the daemon is killed")

func (g *gate) pass() error {
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

// pause holds up the daemon until the returned function is called.
func (g *gate) pause() func() {
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

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// through makes a call through the gate.
func through[T any](g *gate, call func() (T, error)) (T, error) {
	var none T
	if err := g.pass(); err != nil {
		return none, err
	}
	v, err := call()
	if err := g.pass(); err != nil {
		return none, err
	}
	return v, err
}

type gatedStore struct {
	*fakeStore
	g *gate
}

// Get implements storer.Store.
func (s gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	return through(s.g, func() (storer.Entry, error) { return s.fakeStore.Get(ctx, key) })
}

// Swap implements storer.Store.
func (s gatedStore) Swap(ctx context.Context, w storer.Write) (storer.Entry, error) {
	return through(s.g, func() (storer.Entry, error) { return s.fakeStore.Swap(ctx, w) })
}

// List implements storer.Store.
func (s gatedStore) List(ctx context.Context, prefix string) (storer.Page, error) {
	return through(s.g, func() (storer.Page, error) { return s.fakeStore.List(ctx, prefix) })
}

// Grant implements storer.Store.
func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	return through(s.g, func() (storer.Lease, error) { return s.fakeStore.Grant(ctx, ttl) })
}

type gatedServices struct {
	*fakeServices
	g *gate
}

// Connect implements Services.
func (s gatedServices) Connect(ctx context.Context, address string) (Sender, error) {
	sender, err := through(s.g, func() (Sender, error) { return s.fakeServices.Connect(ctx, address) })
	if err != nil {
		return nil, err
	}
	return gatedSender{sender, s.g}, nil
}

// Status implements Services.
func (s gatedServices) Status(ctx context.Context, address, path string) (Report, error) {
	return through(s.g, func() (Report, error) { return s.fakeServices.Status(ctx, address, path) })
}

type gatedSender struct {
	Sender
	g *gate
}

// Send implements Sender.
func (s gatedSender) Send(ctx context.Context, o Order, h http.Header) (Answer, error) {
	a, err := through(s.g, func() (Answer, error) { return s.Sender.Send(ctx, o, h) })
	if errors.Is(err, errKilled) {
		err = &SendError{Run: refuser.Unknown, Err: err}
	}
	return a, err
}

// fakePeers carries calls between the daemons of a fleet.
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
	from, to, h := p.fleet.route(p.name, addr, kind)
	if h == nil {
		return nil, errKilled
	}
	return through(from, func() ([]byte, error) {
		return through(to, func() ([]byte, error) { return h(ctx, body) })
	})
}
