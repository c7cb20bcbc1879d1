package mover

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/assessor"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/relayer"
)

// Gossip topics.
const (
	topicRecord = "moves"
	topicLatch  = "latch"
)

const (
	tickPeriod      = 100 * time.Millisecond
	loadRetryPeriod = time.Second
	// deadlineGrace is how long after the deadline a daemon that has not received the end of a
	// move waits before it returns its own traffic to the old version.
	deadlineGrace = 2 * time.Second
	// revertedDrainTime is how long the new version stays loaded after a revert, so that it can
	// complete the answers in progress.
	revertedDrainTime = time.Minute
)

// Gossip publishes and receives gossip items.
type Gossip interface {
	Publish(i gossiper.Item)
	Subscribe(topic string, f func(gossiper.Item))
	Items(topic string) []gossiper.Item
}

// Latch marks the runs of a move up to Run as reverted. Every daemon that receives it returns its
// traffic to the old version. A latch is never cleared, only replaced by that of a later run.
type Latch struct {
	Run    uint64 `json:"run"`
	Reason string `json:"reason"`
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Self and Domain are the daemon's name and failure domain.
	Self, Domain string
	Gossip       Gossip
	Sender       Sender
	Store        storer.Store
	// Set returns the configuration in force.
	Set func() loader.Set
	// Members returns the daemons that this one knows.
	Members func() []viewer.Member
	// OnMoveSharesChanged is called, without the lock held, when the result of MoveShares may have
	// changed.
	OnMoveSharesChanged func()
	Now                 func() time.Time
	Logger              log.Logger
	Registry            metrics.Registry
}

// Follower tracks the state of all moves at one daemon, counts the outcomes of its requests, and
// reverts faulty versions. All methods are safe for concurrent use.
type Follower struct {
	cfg FollowerConfig

	mu    sync.Mutex
	moves map[string]*followedMove
}

// followedMove is the state of one move at this daemon.
type followedMove struct {
	record   Record
	latch    Latch
	ownTally tally
	// peerReports holds the last report of each other daemon, by its name.
	peerReports map[string]outcomeReport
	lastReport  reportState
	overdue     bool
	breaks      assessor.Breaks
	baseline    latencyBaseline
}

func (f *followedMove) isLatched() bool { return f.latch.Run > 0 && f.latch.Run >= f.record.Run }

var _ relayer.Outcomes = (*Follower)(nil)

// NewFollower returns a Follower without moves and subscribes it to gossip and reports.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	f := &Follower{cfg: cfg, moves: make(map[string]*followedMove)}
	cfg.Gossip.Subscribe(topicRecord, f.receiveRecord)
	cfg.Gossip.Subscribe(topicLatch, f.receiveLatch)
	cfg.Sender.HandleDatagram(datagramKind, f.receiveReport)
	return f
}

// Run calls Tick periodically until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, func(context.Context) { f.Tick() })
}

// RunInitialLoad reads the records from the store once, with retries, so that a daemon knows them
// before the first gossip of its peers arrives. It returns when ctx ends.
func (f *Follower) RunInitialLoad(ctx context.Context) error {
	for ctx.Err() == nil && f.loadRecords(ctx) != nil {
		select {
		case <-ctx.Done():
		case <-time.After(loadRetryPeriod):
		}
	}
	<-ctx.Done()
	return nil
}

func (f *Follower) loadRecords(ctx context.Context) error {
	page, err := f.cfg.Store.List(ctx, RecordPrefix)
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		if r, err := DecodeRecord(e); err == nil {
			f.mergeRecord(r)
		}
	}
	return nil
}

// followedMove returns the state of a move and creates it if needed. The caller holds the lock.
func (f *Follower) followedMove(name string) *followedMove {
	m := f.moves[name]
	if m == nil {
		m = &followedMove{peerReports: make(map[string]outcomeReport), breaks: make(assessor.Breaks)}
		f.moves[name] = m
	}
	return m
}

// Publish keeps a record that was written to the store and sends it to all daemons by gossip.
func (f *Follower) Publish(r Record) {
	b, err := gossipEncoding.Marshal(r)
	if err != nil {
		return
	}
	f.mergeRecord(r)
	f.cfg.Gossip.Publish(gossiper.Item{Topic: topicRecord, Key: r.Name, Version: r.Step, Value: b})
}

func (f *Follower) receiveRecord(i gossiper.Item) {
	var r Record
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		meter.AddToCounter(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.mergeRecord(r)
}

// mergeRecord replaces the known record of a move if r is newer.
func (f *Follower) mergeRecord(r Record) {
	f.mu.Lock()
	m := f.followedMove(r.Name)
	old := m.record
	newer := r.Step > old.Step
	if newer {
		m.record = r
		m.ownTally = m.ownTally.resetExpired(r, f.cfg.Now())
	}
	f.mu.Unlock()
	if !newer {
		return
	}
	if old.State != r.State || old.Run != r.Run || old.Withdrawn != r.Withdrawn {
		f.log("msg", "move changed", "move", r.Name, "from", old.State, "to", r.State, "share", r.Share, "reason", r.Reason)
		meter.AddToCounter(f.cfg.Registry, 1, "move_changes_total", "move", r.Name, "state", string(r.State))
	}
	f.notifyChanged()
}

// Latch marks a run of a move as reverted: this daemon returns its own traffic to the old version at
// once, and the other daemons do so when they receive the latch by gossip.
func (f *Follower) Latch(name string, l Latch) {
	if !f.raiseLatch(name, l) {
		return
	}
	b, err := json.Marshal(l)
	if err != nil {
		return
	}
	f.cfg.Gossip.Publish(gossiper.Item{Topic: topicLatch, Key: name, Version: l.Run, Value: b})
}

func (f *Follower) receiveLatch(i gossiper.Item) {
	var l Latch
	if err := json.Unmarshal(i.Value, &l); err != nil {
		meter.AddToCounter(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.raiseLatch(i.Key, l)
}

// raiseLatch stores a latch if its run is later than that of the known one, and reports whether it
// did.
func (f *Follower) raiseLatch(name string, l Latch) bool {
	f.mu.Lock()
	m := f.followedMove(name)
	up := l.Run > m.latch.Run
	if up {
		m.latch = l
	}
	f.mu.Unlock()
	if up {
		f.log("msg", "move latched", "move", name, "run", l.Run, "reason", l.Reason)
		meter.AddToCounter(f.cfg.Registry, 1, "move_latches_total", "move", name)
		f.notifyChanged()
	}
	return up
}

func (f *Follower) notifyChanged() {
	if f.cfg.OnMoveSharesChanged != nil {
		f.cfg.OnMoveSharesChanged()
	}
}

func (f *Follower) log(fields ...any) {
	// An error of the logger itself cannot be logged.
	_ = level.Info(f.cfg.Logger).Log(fields...)
}

// isOverdue reports whether this daemon returned its traffic of a move to the old version because the
// deadline has passed.
func (f *Follower) isOverdue(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followedMove(name).isOverdue(f.cfg.Now())
}

// Tick tests the outcomes of all moves, latches the runs that have proved faulty, sends the due
// reports, and checks for deadlines that have passed.
func (f *Follower) Tick() {
	now, members := f.cfg.Now(), f.cfg.Members()
	f.mu.Lock()
	var reports []outgoingReport
	latches := make(map[string]Latch)
	overdue := false
	for name, m := range f.moves {
		if m.isOverdue(now) != m.overdue {
			m.overdue, overdue = !m.overdue, true
		}
		if !m.record.IsRevertible() || m.isLatched() {
			continue
		}
		m.ownTally = m.ownTally.resetExpired(m.record, now)
		if reason := f.faultReason(m); reason != "" {
			latches[name] = Latch{Run: m.record.Run, Reason: reason}
		}
		if r, ok := f.outcomeReport(m, members, now); ok {
			reports = append(reports, r)
		}
	}
	f.mu.Unlock()
	if overdue {
		f.notifyChanged()
	}
	for name, l := range latches {
		f.Latch(name, l)
	}
	for _, r := range reports {
		for _, address := range r.addresses {
			f.cfg.Sender.Send(address, datagramKind, r.body)
		}
	}
}
