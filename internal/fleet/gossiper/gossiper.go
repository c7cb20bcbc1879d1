// Package gossiper spreads membership and small items between daemons.
//
// Each daemon sends its heartbeat to a bounded set of neighbours and lets the
// newest changes ride on it, within a budget of bytes a second. A neighbour that
// hears no more heartbeats suspects the sender; the suspicion spreads like every
// change, and the suspected daemon refutes it with a higher incarnation. What
// is lost on the way is repaired by periodic exchanges with one neighbour.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

const (
	datagramKind = "gossip"
	// minGap is the shortest time between two rounds, also for new changes.
	minGap = 40 * time.Millisecond
	// maxSending bounds the datagrams that wait for one handshake.
	maxSending = 4

	defaultPeriod       = 250 * time.Millisecond
	defaultFanout       = 6
	defaultSuspectAfter = 2 * time.Second
	defaultGoneAfter    = 3 * time.Second
	defaultForgetAfter  = time.Hour
	defaultBytesRate    = 6 << 10
)

// Sender is the part of a messenger that carries datagrams.
type Sender interface {
	Send(ctx context.Context, addr, kind string, body []byte) error
	HandleDatagram(kind string, f func(body []byte))
}

// Caller is the part of a messenger that carries exchanges.
type Caller interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

var (
	_ Sender = (*messenger.Messenger)(nil)
	_ Caller = (*messenger.Messenger)(nil)
)

// Config configures a Gossiper.
type Config struct {
	// Self is the daemon's own entry.
	Self viewer.Member
	// Sender carries the datagrams.
	Sender Sender
	// Caller carries exchanges; without one, a lost change is not repaired.
	Caller Caller
	// Seeds returns peer addresses to start from, and to find daemons again
	// from which this one was cut off.
	Seeds func() []string
	// Restarted is called with the address of a member whose process was
	// replaced: connections to the former one are of no use. May be nil.
	Restarted func(addr string)
	// Changed is called after members or items have changed, without a lock.
	// Changes in quick succession lead to one call.
	Changed func()
	// Period is the time between heartbeats.
	Period time.Duration
	// Fanout is the number of neighbours that each heartbeat goes to.
	Fanout int
	// SuspectAfter is the silence after which a neighbour is suspected.
	SuspectAfter time.Duration
	// GoneAfter is how long a suspected member has time to refute.
	GoneAfter time.Duration
	// ForgetAfter is how long a gone member, and the items that it published,
	// are kept.
	ForgetAfter time.Duration
	// BytesRate bounds the bytes of changes sent a second.
	BytesRate int
	// Logger receives changes of members' states.
	Logger log.Logger
	// Registry receives counters.
	Registry metrics.Registry
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Period, defaultPeriod)
	setDefault(&cfg.Fanout, defaultFanout)
	setDefault(&cfg.SuspectAfter, defaultSuspectAfter)
	setDefault(&cfg.GoneAfter, defaultGoneAfter)
	setDefault(&cfg.ForgetAfter, defaultForgetAfter)
	setDefault(&cfg.BytesRate, defaultBytesRate)
	if cfg.Restarted == nil {
		cfg.Restarted = func(string) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return cfg
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Gossiper is a daemon's part in gossip. All methods are safe for concurrent
// use.
type Gossiper struct {
	cfg  Config
	wake chan struct{}

	mu         sync.Mutex
	rand       *rand.Rand
	self       record
	members    map[string]*member
	items      map[itemKey]*item
	subs       map[string][]func(Item)
	rumors     rumors
	neighbours neighbours
	changed    bool
	tokens     float64
	rounds     int
	started    time.Time
	lastRound  time.Time
	refreshed  time.Time
	exchanged  time.Time
	contacted  time.Time
	exchanging bool
	sending    map[string]int
	restarted  []string
	asked      []string
}

// New returns a gossiper that sends nothing before Run.
func New(cfg Config) *Gossiper {
	cfg = cfg.withDefaults()
	cfg.Self.State = viewer.StateAlive
	now := time.Now()
	g := &Gossiper{
		cfg: cfg, wake: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Self.Name), cfg.Self.Incarnation)),
		self: newRecord(cfg.Self), members: make(map[string]*member),
		items: make(map[itemKey]*item), subs: make(map[string][]func(Item)),
		rumors: newRumors(), sending: make(map[string]int),
		started: now, lastRound: now, refreshed: now, exchanged: now,
	}
	g.rumors.add(rumorKey{member: cfg.Self.Name})
	return g
}

// Run gossips until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.cfg.Sender.HandleDatagram(datagramKind, func(body []byte) { g.receive(ctx, body) })
	if g.cfg.Caller != nil {
		g.cfg.Caller.Handle(exchangeKind, g.answerExchange)
		g.cfg.Caller.Handle(offerKind, g.answerOffer)
	}
	timer := time.NewTimer(minGap)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-g.wake:
			sleep(ctx, minGap-time.Since(g.lastRound))
		}
		g.round(ctx)
		timer.Reset(g.cfg.Period)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// SetGeneration announces the configuration in force at this daemon.
func (g *Gossiper) SetGeneration(n uint64) { g.SetRelease(n, 0) }

// SetRelease announces the configuration in force at this daemon, with a digest
// that differs between releases of the same generation.
func (g *Gossiper) SetRelease(generation, digest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Generation, g.self.Digest = generation, digest
	g.announce()
}

// SetState announces that this daemon is leaving, or that it is gone.
func (g *Gossiper) SetState(s viewer.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.State = rankOf(s)
	g.announce()
}

// announce spreads a change of this daemon's own record. The caller holds the
// lock.
func (g *Gossiper) announce() {
	g.self.Beat++
	g.refreshed = time.Now()
	g.note(rumorKey{member: g.self.Name})
}

// note spreads a change and has it told by Changed. The caller holds the lock.
func (g *Gossiper) note(k rumorKey) {
	g.rumors.add(k)
	g.changed = true
	g.neighbours.stale = g.neighbours.stale || k.member != ""
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// round sends one heartbeat with the newest changes to each neighbour.
func (g *Gossiper) round(ctx context.Context) {
	g.mu.Lock()
	now := time.Now()
	g.forgive(now)
	g.age(now)
	g.refresh(now)
	targets, others := g.chooseTargets(now)
	g.rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	lean, full := g.pack(now, len(targets))
	header := g.packHeader(flagOnce)
	partner := g.choosePartner(now, others)
	changed, restarted := g.changed, g.restarted
	asked, question := g.asked, g.packHeader(flagOnce|flagAsk)
	g.changed, g.restarted, g.asked = false, nil, nil
	g.lastRound = now
	g.mu.Unlock()
	if changed && g.cfg.Changed != nil {
		g.cfg.Changed()
	}
	for _, addr := range restarted {
		g.cfg.Restarted(addr)
	}
	for i, addr := range targets {
		if i < frequentFanout {
			g.send(ctx, addr, full)
		} else {
			g.send(ctx, addr, lean)
		}
	}
	for _, addr := range others {
		g.send(ctx, addr, header)
	}
	for _, addr := range asked {
		g.send(ctx, addr, question)
	}
	if partner != "" {
		go g.exchange(ctx, partner)
	}
}

// forgive keeps a daemon that was paused from suspecting everyone: the time
// for which it did not run does not count as silence of others.
func (g *Gossiper) forgive(now time.Time) {
	paused := now.Sub(g.lastRound) - g.cfg.Period
	if paused < g.cfg.Period {
		return
	}
	for _, m := range g.members {
		m.heard, m.since, m.advanced = m.heard.Add(paused), m.since.Add(paused), m.advanced.Add(paused)
	}
}

// send passes a datagram on without waiting. A target to which several are still
// under way, because its handshake is not done, gets none.
func (g *Gossiper) send(ctx context.Context, addr string, body []byte) {
	g.mu.Lock()
	busy := g.sending[addr] >= maxSending
	if !busy {
		g.sending[addr]++
	}
	g.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := g.cfg.Sender.Send(ctx, addr, datagramKind, body)
		g.mu.Lock()
		if g.sending[addr]--; g.sending[addr] == 0 {
			delete(g.sending, addr)
		}
		g.mu.Unlock()
		if err != nil {
			g.count("gossip_send_failures_total", 1)
			if ctx.Err() == nil {
				g.unreached(addr, time.Now())
			}
			return
		}
		g.count("gossip_sent_datagrams_total", 1)
		g.count("gossip_sent_bytes_total", len(body))
	}()
}

func (g *Gossiper) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, g.cfg.Registry).Inc(int64(n))
}
