// Package sharer lets every daemon know what all others have in flight, what
// they let through of each allowance and how far they follow the store. Sums
// make a lost status harmless.
//
// In a small fleet each daemon sends its status to each other. In a large one
// some daemons of each failure domain are hubs: the others send their status to
// one hub of their domain, hubs exchange what they got, and each passes on what
// is new to the daemons that are attached to it.
package sharer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/logger"
)

const (
	// basePeriod is the time between two statuses in a small fleet.
	basePeriod = 100 * time.Millisecond
	// baseSize is the number of peers up to which basePeriod holds; beyond, the
	// period grows with the fleet, so that the load of a daemon stays bounded.
	baseSize = 12
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
	// retriesAtOnce is how many such addresses are tried at once, and
	// hubRetriesAtOnce how many by a hub.
	retriesAtOnce    = 4
	hubRetriesAtOnce = 16
	kind             = "statuses"
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
	// Size is what the host can carry beside others; hubs are the largest.
	Size float64
	// Fill completes the daemon's own status before it is sent.
	Fill func(*Status)
	// Heard is called with each status that came from another daemon.
	Heard func(old, current *Peer)
	// Lost is called with the name of each daemon that turns silent.
	Lost     func(name string)
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

	// encoded is the status as it came, and arrival its place among all that
	// came.
	encoded cbor.RawMessage
	arrival uint64
	// direct says that other hubs get it from this daemon alone.
	direct bool
}

// contact is an address at which there may be a daemon.
type contact struct {
	since time.Time
	tried time.Time
	pause time.Duration
	// failing says that the latest status could not be sent.
	failing bool
}

// Sharer spreads the daemon's status and keeps those of others.
type Sharer struct {
	cfg Config

	mu        sync.Mutex
	transport Transport
	number    uint64
	sent      time.Time
	peers     map[string]*Peer
	contacts  map[string]*contact
	overlay   overlay
	// members and silent are what Count returns.
	members, silent int
	revisions       map[string]uint64
	answered        map[string]time.Time
	stopping        bool
	away            bool
	soon            chan struct{}
}

// New returns a sharer that knows no peers.
func New(cfg Config) *Sharer {
	return &Sharer{
		cfg: cfg, peers: make(map[string]*Peer), contacts: make(map[string]*contact), overlay: newOverlay(), members: 1,
		revisions: make(map[string]uint64), answered: make(map[string]time.Time),
		soon: make(chan struct{}, 1),
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
			s.recount()
		}
	}
}

// Run sends statuses until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(s.pause())
		hasty := false
		select {
		case <-ctx.Done():
		case <-s.soon:
			hasty = true
		case <-t.C:
		}
		t.Stop()
		s.tick(ctx, hasty)
	}
	return nil
}

// Period returns the time between two statuses of one daemon.
func (s *Sharer) Period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.period()
}

func (s *Sharer) period() time.Duration {
	return basePeriod * time.Duration(max(1, (len(s.peers)+baseSize-1)/baseSize))
}

// pause returns the time until there is something to do.
func (s *Sharer) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overlay.large {
		return hubPeriod
	}
	return s.period()
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

// SetAway says whether the store leaves this daemon without answers. The others
// then take what falls to it.
func (s *Sharer) SetAway(away bool) {
	s.mu.Lock()
	changed := s.away != away
	s.away = away
	s.mu.Unlock()
	if changed {
		s.log("msg", "store reach changed", "away", away)
		s.Hasten()
	}
}

// tick sends what is due.
func (s *Sharer) tick(ctx context.Context, hasty bool) {
	s.age()
	now := time.Now()
	s.mu.Lock()
	s.recount()
	s.arrange(now)
	large := s.overlay.large
	ownDue := hasty || now.Sub(s.sent) >= s.period()-hubPeriod/2
	s.mu.Unlock()
	var own cbor.RawMessage
	if ownDue {
		own = s.own(now, large)
	}
	for _, out := range s.due(now, own) {
		go s.send(ctx, out)
	}
}

// retries returns the addresses that are not heard and that are due for another
// try.
func (s *Sharer) retries(now time.Time, heard map[string]bool) []string {
	var due []string
	for a, c := range s.contacts {
		if !heard[a] && now.Sub(c.tried) >= c.pause {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return s.contacts[a].tried.Compare(s.contacts[b].tried) })
	most := retriesAtOnce
	if s.overlay.isHub {
		most = hubRetriesAtOnce
	}
	if len(due) > most {
		due = due[:most]
	}
	for _, a := range due {
		c := s.contacts[a]
		c.tried, c.pause = now, min(2*c.pause, lastRetryPeriod)
	}
	return due
}

// age marks peers as silent and forgets those that stay so.
func (s *Sharer) age() {
	s.mu.Lock()
	limit := silence * s.period()
	now := time.Now()
	var lost []string
	for name, p := range s.peers {
		quiet := now.Sub(p.Heard)
		if !p.Silent && quiet > limit {
			c := *p
			c.Silent = true
			s.peers[name] = &c
			lost = append(lost, name)
			s.log("msg", "peer lost", "peer", name, "address", p.Address, "quiet", quiet)
		}
		if quiet > forgetTime || p.Stopping && quiet > limit {
			s.forget(p, quiet)
		}
	}
	s.mu.Unlock()
	for _, name := range lost {
		s.cfg.Lost(name)
	}
}

func (s *Sharer) forget(p *Peer, quiet time.Duration) {
	delete(s.peers, p.Name)
	delete(s.overlay.bundles, p.Name)
	delete(s.overlay.shunned, p.Name)
	delete(s.contacts, p.Address)
	if s.transport != nil {
		s.transport.Forget(p.Address)
	}
	s.log("msg", "peer forgotten", "peer", p.Name, "quiet", quiet, "stopping", p.Stopping)
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
