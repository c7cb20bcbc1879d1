// Package sharer lets every daemon know what all others have in flight, what
// they let through of each allowance and how far they follow the store. Each
// sends its status to each other a few times a second; sums make a lost status
// harmless.
package sharer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

const (
	// basePeriod is the time between two statuses in a small fleet.
	basePeriod = 100 * time.Millisecond
	// baseSize is the number of peers up to which basePeriod holds; beyond, the
	// period grows with the fleet, so that the load of a daemon stays bounded.
	baseSize = 12
	// peersEvery and windowsEvery are how many statuses pass from one with the
	// addresses of peers, or the windows of usage, to the next in a large fleet,
	// so that most statuses fit a datagram.
	peersEvery   = 8
	windowsEvery = 2
	// statusDelays is how many periods a status may be late.
	statusDelays = 2
	// silence is how many periods without a status make a peer silent.
	silence = 5
	// forgetTime is how long a silent peer counts as a member that may still
	// serve on its own.
	forgetTime  = 30 * time.Second
	sendTimeout = 500 * time.Millisecond
	// retryPeriod is the time between tries at an address that does not answer.
	// It doubles up to lastRetryPeriod where none ever did.
	retryPeriod     = time.Second
	lastRetryPeriod = 30 * time.Second
	kind            = "status"
)

// Transport carries messages between daemons.
type Transport interface {
	Send(ctx context.Context, addr, kind string, body []byte) error
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	// Forget gives up the connection to an address.
	Forget(addr string)
}

// Messenger is a transport that also receives.
type Messenger interface {
	Transport
	Handle(kind string, h messenger.Handler)
	HandleDatagram(kind string, f func(body []byte))
}

// Config configures a Sharer.
type Config struct {
	Name, Domain, Address string
	Boot                  int64
	// Fill completes the daemon's own status before it is sent.
	Fill func(*Status)
	// Heard is called with each status that came from another daemon.
	Heard    func(old, current *Peer)
	Logger   log.Logger
	Registry metrics.Registry
}

// Peer is what is known of another daemon.
type Peer struct {
	Status
	// Heard is when the latest status came.
	Heard time.Time
	// Silent peers have sent nothing for some time: they are cut off, paused
	// or gone.
	Silent bool
	// Ahead is by how much the peer's time of day was ahead of this daemon's.
	Ahead time.Duration
}

// contact is an address at which there may be a daemon.
type contact struct {
	since time.Time
	tried time.Time
	pause time.Duration
}

// Sharer spreads the daemon's status and keeps those of others.
type Sharer struct {
	cfg Config

	mu        sync.Mutex
	transport Transport
	number    uint64
	peers     map[string]*Peer
	contacts  map[string]*contact
	revisions map[string]uint64
	answered  map[string]time.Time
	stopping  bool
	soon      chan struct{}
}

// New returns a sharer that knows no peers.
func New(cfg Config) *Sharer {
	return &Sharer{
		cfg: cfg, peers: make(map[string]*Peer), contacts: make(map[string]*contact),
		revisions: make(map[string]uint64), answered: make(map[string]time.Time), soon: make(chan struct{}, 1),
	}
}

// Attach sets the transport; before that nothing is sent.
func (s *Sharer) Attach(t Messenger) {
	s.mu.Lock()
	s.transport = t
	s.mu.Unlock()
	t.HandleDatagram(kind, s.receive)
	t.Handle(kind, func(_ context.Context, body []byte) ([]byte, error) {
		s.receive(body)
		return nil, nil
	})
}

// Contact adds addresses at which there may be daemons.
func (s *Sharer) Contact(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if _, ok := s.contacts[a]; !ok && a != s.cfg.Address {
			s.contacts[a] = &contact{since: time.Now(), pause: retryPeriod}
		}
	}
}

// Run sends statuses until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(s.Period())
		select {
		case <-ctx.Done():
		case <-s.soon:
		case <-t.C:
		}
		t.Stop()
		s.tick(ctx)
	}
	return nil
}

// Period returns the time between two statuses.
func (s *Sharer) Period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return basePeriod * time.Duration(max(1, (len(s.peers)+baseSize-1)/baseSize))
}

// Hasten sends the next status at once.
func (s *Sharer) Hasten() {
	select {
	case s.soon <- struct{}{}:
	default:
	}
}

// Stop tells the others that this daemon is about to end.
func (s *Sharer) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.Hasten()
}

func (s *Sharer) tick(ctx context.Context) {
	s.age()
	st := s.own()
	s.cfg.Fill(&st)
	s.mu.Lock()
	if s.large() && st.Number%windowsEvery != 0 {
		st.Windows = nil
	}
	s.mu.Unlock()
	b, err := cbor.Marshal(st)
	if err != nil {
		s.log("msg", "status not sent", "error", err)
		return
	}
	for _, a := range s.targets() {
		go s.send(ctx, a, b)
	}
}

func (s *Sharer) own() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	st := Status{
		Name: s.cfg.Name, Domain: s.cfg.Domain, Address: s.cfg.Address, Boot: s.cfg.Boot, Number: s.number,
		Clock: time.Now().UnixMilli(), Revisions: maps.Clone(s.revisions), Ages: make(map[string]int64, len(s.answered)), Stopping: s.stopping,
	}
	for part, at := range s.answered {
		st.Ages[part] = time.Since(at).Milliseconds()
	}
	if !s.large() || s.number%peersEvery == 0 {
		for _, p := range s.peers {
			if !p.Silent {
				st.Peers = append(st.Peers, p.Address)
			}
		}
	}
	return st
}

// large reports whether the fleet is too large for every status to hold all.
func (s *Sharer) large() bool { return len(s.peers) > baseSize }

// targets returns the addresses that are due for a status: those of peers that
// are heard, and now and then all others.
func (s *Sharer) targets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport == nil {
		return nil
	}
	heard := make(map[string]bool)
	for _, p := range s.peers {
		if !p.Silent {
			heard[p.Address] = true
		}
		if c := s.contacts[p.Address]; c != nil {
			c.pause = retryPeriod
		}
	}
	out := slices.Collect(maps.Keys(heard))
	now := time.Now()
	for a, c := range s.contacts {
		if !heard[a] && now.Sub(c.tried) >= c.pause {
			c.tried, c.pause = now, min(2*c.pause, lastRetryPeriod)
			out = append(out, a)
		}
	}
	return out
}

func (s *Sharer) send(ctx context.Context, addr string, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var err error
	if len(b) <= messenger.MaxDatagramBytes {
		err = s.transport.Send(ctx, addr, kind, b)
	} else {
		_, err = s.transport.Call(ctx, addr, kind, b)
	}
	if err != nil {
		meter.Count(s.cfg.Registry, 1, "status_send_failures_total")
	}
}

func (s *Sharer) receive(body []byte) {
	var st Status
	if err := cbor.Unmarshal(body, &st); err != nil {
		s.log("msg", "status not readable", "error", err)
		return
	}
	if st.Name == s.cfg.Name {
		return
	}
	s.Contact(append(st.Peers, st.Address)...)
	s.mu.Lock()
	old := s.peers[st.Name]
	if old != nil && (st.Boot < old.Boot || st.Boot == old.Boot && st.Number <= old.Number) {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if old != nil && old.Boot == st.Boot && st.Windows == nil {
		st.Windows = old.Windows
	}
	p := &Peer{Status: st, Heard: now, Ahead: time.Duration(st.Clock-now.UnixMilli()) * time.Millisecond}
	s.peers[st.Name] = p
	if s.transport != nil && (old == nil || old.Boot != st.Boot) {
		// A connection made earlier led to a former process.
		s.transport.Forget(st.Address)
	}
	s.mu.Unlock()
	if old == nil || old.Boot != st.Boot || old.Silent {
		s.log("msg", "peer heard", "peer", st.Name, "address", st.Address, "domain", st.Domain, "boot", st.Boot)
	}
	s.cfg.Heard(old, p)
}

// age marks peers as silent and forgets those that stay so.
func (s *Sharer) age() {
	limit := silence * s.Period()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, p := range s.peers {
		quiet := now.Sub(p.Heard)
		if !p.Silent && quiet > limit {
			c := *p
			c.Silent = true
			s.peers[name] = &c
			s.log("msg", "peer lost", "peer", name, "address", p.Address, "quiet", quiet)
		}
		if quiet > forgetTime || p.Stopping && quiet > limit {
			delete(s.peers, name)
			delete(s.contacts, p.Address)
			if s.transport != nil {
				s.transport.Forget(p.Address)
			}
			s.log("msg", "peer forgotten", "peer", name, "quiet", quiet, "stopping", p.Stopping)
		}
	}
}

// Revised implements syncer.Peers.
func (s *Sharer) Revised(part string, revision uint64) {
	s.mu.Lock()
	s.revisions[part] = max(s.revisions[part], revision)
	s.mu.Unlock()
	s.Hasten()
}

// Call implements syncer.Peers.
func (s *Sharer) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	s.mu.Lock()
	t := s.transport
	s.mu.Unlock()
	return t.Call(ctx, addr, kind, body)
}

func (s *Sharer) log(fields ...any) { logger.Info(s.cfg.Logger, fields...) }
