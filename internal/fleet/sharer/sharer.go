// Package sharer spreads state between daemons: what each has in flight, what it admitted of each
// allowance and which revisions of the store it knows. Statuses carry totals since the daemon's
// start instead of differences, so a lost status does no harm.
//
// In a small fleet every daemon sends its status to every other daemon. A large fleet uses
// relays: some daemons of each failure domain are hubs, the others send their status to one hub
// of their domain, hubs exchange what they received, and each hub forwards what is new to the
// daemons that are attached to it.
package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/logger"
)

const (
	// basePeriod is the time between two statuses in a small fleet.
	basePeriod = 100 * time.Millisecond
	// baseSize is the number of peers up to which basePeriod applies; beyond it the period grows
	// with the fleet, which bounds the load of a daemon.
	baseSize = 12
	// maxDelayedPeriods is how many periods late a status may arrive.
	maxDelayedPeriods = 2
	// maxMissedPeriods is how many periods without a status make a peer unreachable.
	maxMissedPeriods = 5
	// ForgetTime is how long an unreachable peer counts as a member that may still serve requests
	// on its own, at least. It counts on for as long as Config.Presence does not say that it is gone.
	ForgetTime  = 30 * time.Second
	sendTimeout = 500 * time.Millisecond
	// minUrgentInterval is the shortest time between two urgent messages.
	minUrgentInterval = 50 * time.Millisecond
	// maxRecountInterval is the longest time between two counts of the members.
	maxRecountInterval = time.Second
	// retryPeriod is the first time between attempts at an address that does not answer. It
	// doubles up to maxRetryPeriod while no daemon is known at the address.
	retryPeriod    = time.Second
	maxRetryPeriod = 30 * time.Second
	// returnTime is how long the address of a forgotten daemon is tried. Regions may lose each other
	// for an hour.
	returnTime = 2 * time.Hour
	// maxRetriesAtOnce is how many such addresses a daemon tries in one round, and
	// maxHubRetriesAtOnce how many a hub tries.
	maxRetriesAtOnce    = 4
	maxHubRetriesAtOnce = 16
	messageKind         = "statuses"
)

// Transport carries messages between daemons.
type Transport interface {
	SendDatagram(ctx context.Context, addr, messageKind string, body []byte) error
	Call(ctx context.Context, addr, messageKind string, body []byte) ([]byte, error)
	// CloseConn closes the connection to an address.
	CloseConn(addr string)
}

// Messenger is a transport that also receives.
type Messenger interface {
	Transport
	Handle(messageKind string, h messenger.Handler)
	HandleDatagram(messageKind string, f func(body []byte))
}

// Config configures a Sharer.
type Config struct {
	Name, Domain, Address string
	Boot                  int64
	// Size is how much relay load the host can carry, relative to others; the largest hosts
	// become hubs.
	Size float64
	// FillStatus completes the daemon's own status before it is sent.
	FillStatus func(*Status)
	// StatusReceived is called with each status that arrived from another daemon.
	StatusReceived func(old, current *Peer)
	// PeerUnreachable is called with the name of each daemon that becomes unreachable.
	PeerUnreachable func(name string)
	// TotalsReceived is called with fragments of the totals of the other daemons in a large fleet;
	// zero Fragments mean that nothing is known.
	TotalsReceived func(OthersTotals)
	// ReportReceived is called with each report if this daemon may have Duty.
	ReportReceived func(Report)
	// ObservationsReceived is called in a large fleet with what other daemons observed of engines; nil ignores
	// that. Each observation is passed once.
	ObservationsReceived func([]Observation)
	Duty                 string
	// Presence returns what the store's list of members, if it was read after a time, says of an address.
	// It must not block. If it is nil, there is no such list, and daemons that are silent are gone.
	Presence func(address string, after time.Time) Presence
	// IsClosed reports whether the host of an address answers that no process listens there. It is asked
	// about addresses that never answered. Nil if that cannot be found out.
	IsClosed func(ctx context.Context, address string) bool
	Logger   log.Logger
	Registry metrics.Registry
}

// Peer is the known state of another daemon.
type Peer struct {
	Status
	// Received is when the latest status arrived, here or at the first hub that relayed it.
	Received time.Time
	// Unreachable reports that the peer cannot be reached: it is cut off, paused or dead, and its
	// messages have stopped.
	Unreachable bool
	// ClockAhead is how far the peer's clock was ahead of this daemon's when its status arrived.
	ClockAhead time.Duration

	// encoded is the status as it was received, and arrivalNumber its number among all received
	// statuses.
	encoded       cbor.RawMessage
	arrivalNumber uint64
	// statusReceived is when that status arrived; Received is later if heartbeats followed.
	// unchanged reports that the latest one repeated the status.
	statusReceived time.Time
	unchanged      bool
	// receivedDirectly reports that this daemon is the one that forwards the status to other
	// hubs.
	receivedDirectly bool
}

// Sharer sends the daemon's status to the fleet and keeps the statuses of the other daemons.
type Sharer struct {
	cfg Config

	mu           sync.Mutex
	transport    Transport
	statusNumber uint64
	statusSent   time.Time
	peers        map[string]*Peer
	contacts     map[string]*contact
	overlay      overlay
	aggregator   aggregator
	observations observationExchange
	// totalsSent is when totals or load reports were last sent, and missingPeers whom they
	// extrapolate.
	totalsSent   time.Time
	missingPeers missingPeers
	// reports holds reports to be forwarded, pendingReports those for this daemon itself, and
	// reportReceived the arrival time of each daemon's latest report.
	reports        map[string]cbor.RawMessage
	pendingReports []cbor.RawMessage
	reportReceived map[string]time.Time
	// fleetTotalsReceived is when totals of the own hub last arrived; zero if none did.
	fleetTotalsReceived time.Time
	// memberList is the result of Members; nil if it must be computed again.
	memberList []viewer.Member
	// storeFollowers names the daemon that follows each part of the store, until the members
	// change.
	storeFollowers map[string]string
	// membersChanged reports that members joined, left or changed since the last recount.
	membersChanged bool
	// newestRevisions is the latest revision of each part that any daemon knows.
	newestRevisions map[string]newestRevision
	// memberCount and unreachableCount are the results of CountMembers, computed at recounted.
	recounted                     time.Time
	memberCount, unreachableCount int
	revisions                     map[string]uint64
	storeAnswered                 map[string]time.Time
	stopping                      bool
	storeUnreachable              bool
	sendNow                       chan struct{}
}

// New returns a sharer that knows no peers.
func New(cfg Config) *Sharer {
	if cfg.Presence == nil {
		cfg.Presence = func(string, time.Time) Presence { return PresenceAbsent }
	}
	if cfg.IsClosed == nil {
		cfg.IsClosed = func(context.Context, string) bool { return false }
	}
	return &Sharer{
		cfg: cfg, peers: make(map[string]*Peer), contacts: make(map[string]*contact), overlay: newOverlay(), aggregator: newAggregator(), observations: newObservationExchange(), memberCount: 1,
		reports: make(map[string]cbor.RawMessage), reportReceived: make(map[string]time.Time), newestRevisions: make(map[string]newestRevision), storeFollowers: make(map[string]string),
		revisions: make(map[string]uint64), storeAnswered: make(map[string]time.Time),
		sendNow: make(chan struct{}, 1),
	}
}

// Attach sets the transport; nothing is sent before.
func (s *Sharer) Attach(t Messenger) {
	s.mu.Lock()
	s.transport = t
	s.mu.Unlock()
	t.HandleDatagram(messageKind, s.receive)
	t.Handle(messageKind, func(_ context.Context, body []byte) ([]byte, error) {
		s.receive(body)
		return nil, nil
	})
}

// Run sends statuses until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t := ticker.NewTimer(s.tickInterval())
		urgent := false
		select {
		case <-ctx.Done():
		case <-s.sendNow:
			urgent = true
		case <-t.C:
		}
		t.Stop()
		s.sendDue(ctx, urgent)
		if urgent {
			// Urgent updates that come close together go out together.
			ticker.Sleep(ctx, minUrgentInterval)
		}
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

// SendNow makes Run send the next status without waiting for the period.
func (s *Sharer) SendNow() {
	select {
	case s.sendNow <- struct{}{}:
	default:
	}
}

// sendNowIfHub forwards updates without delay if this daemon is a hub.
func (s *Sharer) sendNowIfHub() {
	if s.overlay.isHub {
		s.SendNow()
	}
}

// AnnounceStop announces to the other daemons that this one is about to end.
func (s *Sharer) AnnounceStop() {
	s.mu.Lock()
	s.stopping = true
	s.invalidateMembers()
	s.mu.Unlock()
	s.SendNow()
}

// SetStoreUnreachable sets whether this daemon cannot reach the store. If so, other daemons take
// over its duties.
func (s *Sharer) SetStoreUnreachable(unreachable bool) {
	s.mu.Lock()
	changed := s.storeUnreachable != unreachable
	s.storeUnreachable = unreachable
	if changed {
		s.invalidateMembers()
	}
	s.mu.Unlock()
	if changed {
		s.log("msg", "store reachability changed", "away", unreachable)
		s.SendNow()
	}
}

// invalidateMembers discards what was computed from the members.
func (s *Sharer) invalidateMembers() {
	s.memberList, s.membersChanged = nil, true
	clear(s.storeFollowers)
}

// Call implements syncer.Peers. It sends a request to another daemon and returns the answer.
func (s *Sharer) Call(ctx context.Context, addr, messageKind string, body []byte) ([]byte, error) {
	s.mu.Lock()
	t := s.transport
	s.mu.Unlock()
	return t.Call(ctx, addr, messageKind, body)
}

func (s *Sharer) log(fields ...any) { logger.Info(s.cfg.Logger, fields...) }
