// Package gossiper spreads membership and small items between daemons by gossip, with failure
// detection by heartbeats and refutable suspicion as in SWIM.
//
// Each daemon sends heartbeats to a bounded set of neighbours and adds the newest changes to them,
// within a budget of bytes per second. A neighbour that receives no more heartbeats suspects the
// sender. The suspicion spreads like any other change, and the suspected daemon refutes it with a
// higher incarnation. Periodic anti-entropy exchanges with one neighbour repair lost changes.
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
	// minRoundGap is the shortest time between two rounds, even when new changes wait.
	minRoundGap = 40 * time.Millisecond
	// maxSendsInFlight bounds the datagrams to one address that wait for its handshake.
	maxSendsInFlight = 4

	defaultPeriod            = 250 * time.Millisecond
	defaultFanout            = 6
	defaultSuspectAfter      = 2 * time.Second
	defaultGoneAfter         = 3 * time.Second
	defaultForgetAfter       = time.Hour
	defaultMaxBytesPerSecond = 6 << 10
)

// Sender sends and receives datagrams; a messenger implements it.
type Sender interface {
	SendDatagram(ctx context.Context, addr, kind string, body []byte) error
	HandleDatagram(kind string, f func(body []byte))
}

// Caller makes and answers the calls of exchanges; a messenger implements it.
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
	// Sender sends and receives the datagrams.
	Sender Sender
	// Caller makes and answers exchanges. If it is nil, lost changes are not repaired.
	Caller Caller
	// Seeds returns the peer addresses through which a daemon joins the fleet, and through which
	// the sides of a network partition find each other again.
	Seeds func() []string
	// OnRestart is called with the address of a member whose process was replaced, so that
	// connections to the former process can be dropped. It may be nil.
	OnRestart func(addr string)
	// OnChange is called after members or items have changed, with no lock held. All changes
	// since the previous round lead to one call.
	OnChange func()
	// Period is the time between heartbeats.
	Period time.Duration
	// Fanout is the number of neighbours that receive each heartbeat.
	Fanout int
	// SuspectAfter is the time without a heartbeat after which a neighbour is suspected.
	SuspectAfter time.Duration
	// GoneAfter is the time that a suspected member has to refute the suspicion.
	GoneAfter time.Duration
	// ForgetAfter is how long a member that is gone, and the items that it published, are kept.
	ForgetAfter time.Duration
	// MaxBytesPerSecond bounds the bytes of changes that are sent per second.
	MaxBytesPerSecond int
	// Logger logs changes of members' states.
	Logger log.Logger
	// Registry holds the counters.
	Registry metrics.Registry
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Period, defaultPeriod)
	setDefault(&cfg.Fanout, defaultFanout)
	setDefault(&cfg.SuspectAfter, defaultSuspectAfter)
	setDefault(&cfg.GoneAfter, defaultGoneAfter)
	setDefault(&cfg.ForgetAfter, defaultForgetAfter)
	setDefault(&cfg.MaxBytesPerSecond, defaultMaxBytesPerSecond)
	if cfg.OnRestart == nil {
		cfg.OnRestart = func(string) {}
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

// Gossiper spreads and collects members and items for one daemon. All methods are safe for
// concurrent use.
type Gossiper struct {
	cfg     Config
	wakeRun chan struct{}

	mu          sync.Mutex
	rand        *rand.Rand
	self        record
	members     map[string]*member
	items       map[itemKey]*item
	subscribers map[string][]func(Item)
	rumors      rumors
	neighbours  neighbours
	// changed is set if members or items have changed since the last call of Config.OnChange.
	changed bool
	// sendBudget is the level of the token bucket of bytes that changes may use.
	sendBudget      float64
	roundCount      int
	startedAt       time.Time
	lastRound       time.Time
	lastRefresh     time.Time
	lastExchange    time.Time
	lastContact     time.Time
	exchangeRunning bool
	sendsInFlight   map[string]int
	// restartedAddrs and pingAddrs are handled by the next round: it calls Config.OnRestart with
	// the former and sends pings to the latter.
	restartedAddrs []string
	pingAddrs      []string
}

// New returns a gossiper. It sends nothing before Run is called.
func New(cfg Config) *Gossiper {
	cfg = cfg.withDefaults()
	cfg.Self.State = viewer.StateAlive
	now := time.Now()
	g := &Gossiper{
		cfg: cfg, wakeRun: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Self.Name), cfg.Self.Incarnation)),
		self: newRecord(cfg.Self), members: make(map[string]*member),
		items: make(map[itemKey]*item), subscribers: make(map[string][]func(Item)),
		rumors: newRumors(), sendsInFlight: make(map[string]int),
		startedAt: now, lastRound: now, lastRefresh: now, lastExchange: now,
	}
	g.rumors.add(rumorKey{member: cfg.Self.Name})
	return g
}

// Run sends and answers gossip until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.cfg.Sender.HandleDatagram(datagramKind, func(body []byte) { g.receiveDatagram(ctx, body) })
	if g.cfg.Caller != nil {
		g.cfg.Caller.Handle(exchangeKind, g.answerExchange)
		g.cfg.Caller.Handle(offerKind, g.answerOffer)
	}
	timer := time.NewTimer(minRoundGap)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-g.wakeRun:
			sleep(ctx, minRoundGap-time.Since(g.lastRound))
		}
		g.runRound(ctx)
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

// SetRelease announces the generation of the configuration in force at this daemon, and a digest
// that tells releases of the same generation apart.
func (g *Gossiper) SetRelease(generation, digest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Generation, g.self.Digest = generation, digest
	g.announceSelf()
}

// SetEvacuations announces the generation of the evacuations that this daemon follows.
func (g *Gossiper) SetEvacuations(generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Evacuations = generation
	g.announceSelf()
}

// SetState announces that this daemon is leaving, or that it is gone.
func (g *Gossiper) SetState(s viewer.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.State = rankOf(s)
	g.announceSelf()
}

// announceSelf spreads a change of this daemon's own record. The caller holds g.mu.
func (g *Gossiper) announceSelf() {
	g.self.Revision++
	g.lastRefresh = time.Now()
	g.spreadChange(rumorKey{member: g.self.Name})
}

// spreadChange queues a change for the next round and wakes Run, so that the round starts early
// and calls Config.OnChange. The caller holds g.mu.
func (g *Gossiper) spreadChange(k rumorKey) {
	g.rumors.add(k)
	g.changed = true
	g.neighbours.stale = g.neighbours.stale || k.member != ""
	select {
	case g.wakeRun <- struct{}{}:
	default:
	}
}

// runRound sends one heartbeat with the newest changes to each neighbour.
func (g *Gossiper) runRound(ctx context.Context) {
	g.mu.Lock()
	now := time.Now()
	g.discountPause(now)
	g.ageMembers(now)
	g.refreshSelf(now)
	targets, others := g.chooseTargets(now)
	g.rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	lean, full := g.packChanges(now, len(targets))
	header := g.packHeader(flagNotNeighbour)
	partner := g.chooseExchangePartner(now, others)
	changed, restartedAddrs := g.changed, g.restartedAddrs
	pingAddrs, ping := g.pingAddrs, g.packHeader(flagNotNeighbour|flagPing)
	g.changed, g.restartedAddrs, g.pingAddrs = false, nil, nil
	g.lastRound = now
	g.mu.Unlock()
	if changed && g.cfg.OnChange != nil {
		g.cfg.OnChange()
	}
	for _, addr := range restartedAddrs {
		g.cfg.OnRestart(addr)
	}
	for i, addr := range targets {
		if i < frequentItemFanout {
			g.send(ctx, addr, full)
		} else {
			g.send(ctx, addr, lean)
		}
	}
	for _, addr := range others {
		g.send(ctx, addr, header)
	}
	for _, addr := range pingAddrs {
		g.send(ctx, addr, ping)
	}
	if partner != "" {
		go g.exchangeWith(ctx, partner)
	}
}

// discountPause subtracts the time in which this process did not run from the times without
// heartbeats, so that a daemon that was paused does not suspect all others.
func (g *Gossiper) discountPause(now time.Time) {
	paused := now.Sub(g.lastRound) - g.cfg.Period
	if paused < g.cfg.Period {
		return
	}
	for _, m := range g.members {
		m.lastHeartbeat, m.stateSince, m.lastAlive = m.lastHeartbeat.Add(paused), m.stateSince.Add(paused), m.lastAlive.Add(paused)
	}
}

// send sends a datagram in the background. It drops the datagram if maxSendsInFlight others still
// wait for the handshake with the same address.
func (g *Gossiper) send(ctx context.Context, addr string, body []byte) {
	g.mu.Lock()
	busy := g.sendsInFlight[addr] >= maxSendsInFlight
	if !busy {
		g.sendsInFlight[addr]++
	}
	g.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := g.cfg.Sender.SendDatagram(ctx, addr, datagramKind, body)
		g.mu.Lock()
		if g.sendsInFlight[addr]--; g.sendsInFlight[addr] == 0 {
			delete(g.sendsInFlight, addr)
		}
		g.mu.Unlock()
		if err != nil {
			g.addToCounter("gossip_send_failures_total", 1)
			if ctx.Err() == nil {
				g.connectFailed(addr, time.Now())
			}
			return
		}
		g.addToCounter("gossip_sent_datagrams_total", 1)
		g.addToCounter("gossip_sent_bytes_total", len(body))
	}()
}

func (g *Gossiper) addToCounter(name string, n int) {
	metrics.GetOrRegisterCounter(name, g.cfg.Registry).Inc(int64(n))
}
