package mover

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/relayer"
)

// Topics of gossip.
const (
	topicRecord = "moves"
	topicLatch  = "latch"
)

const (
	tickPeriod = 100 * time.Millisecond
	loadPeriod = time.Second
	// lateGrace is how long after the hour a daemon that has not heard the end
	// of a move waits before it takes its own traffic back.
	lateGrace = 2 * time.Second
	// drainTime is how long a version stays loaded after a move was taken back,
	// for the answers that it has begun.
	drainTime = time.Minute
)

// Spreader is the part of gossip that moves need.
type Spreader interface {
	Publish(i gossiper.Item)
	Subscribe(topic string, f func(gossiper.Item))
	Items(topic string) []gossiper.Item
}

// Latch takes one run of a move back. It only ever goes up.
type Latch struct {
	Run    uint64 `json:"run"`
	Reason string `json:"reason"`
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Self and Domain are the daemon's name and failure domain.
	Self, Domain string
	Spreader     Spreader
	Sender       Sender
	Store        storer.Store
	// Set returns the configuration in force.
	Set func() loader.Set
	// Members returns the daemons as far as this one knows.
	Members func() []viewer.Member
	// Changed is called, without a lock, when splits may have changed.
	Changed  func()
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Follower knows the state of all moves at one daemon, counts the outcomes of
// its own requests, and takes back a version that is faulty. All methods are
// safe for concurrent use.
type Follower struct {
	cfg FollowerConfig

	mu    sync.Mutex
	moves map[string]*follow
}

// follow is what is known of one move.
type follow struct {
	record Record
	latch  Latch
	own    tally
	// peers holds the last report of each other daemon that sent one.
	peers    map[string]report
	reported reporting
	late     bool
	broken   map[string]time.Time
}

func (f *follow) latched() bool { return f.latch.Run > 0 && f.latch.Run >= f.record.Run }

var _ relayer.Outcomes = (*Follower)(nil)

// NewFollower returns a follower that knows nothing yet.
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
	f := &Follower{cfg: cfg, moves: make(map[string]*follow)}
	cfg.Spreader.Subscribe(topicRecord, f.takeRecord)
	cfg.Spreader.Subscribe(topicLatch, f.takeLatch)
	cfg.Sender.HandleDatagram(datagramKind, f.takeReport)
	return f
}

// Run judges and spreads outcomes until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, func(context.Context) { f.Tick() })
}

// RunLoad reads the records from the store once, as soon as it answers, for a
// daemon that starts before its peers have told it. It returns when ctx ends.
func (f *Follower) RunLoad(ctx context.Context) error {
	for ctx.Err() == nil && f.load(ctx) != nil {
		select {
		case <-ctx.Done():
		case <-time.After(loadPeriod):
		}
	}
	<-ctx.Done()
	return nil
}

func (f *Follower) load(ctx context.Context) error {
	page, err := f.cfg.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		if r, err := Decode(e); err == nil {
			f.adopt(r)
		}
	}
	return nil
}

// follow returns what is known of a move. The caller holds the lock.
func (f *Follower) follow(name string) *follow {
	m := f.moves[name]
	if m == nil {
		m = &follow{peers: make(map[string]report), broken: make(map[string]time.Time)}
		f.moves[name] = m
	}
	return m
}

// Publish adopts a record that was written and spreads it.
func (f *Follower) Publish(r Record) {
	b, err := gossiped.Marshal(r)
	if err != nil {
		return
	}
	f.adopt(r)
	f.cfg.Spreader.Publish(gossiper.Item{Topic: topicRecord, Key: r.Name, Version: r.Step, Value: b})
}

func (f *Follower) takeRecord(i gossiper.Item) {
	var r Record
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		meter.Count(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.adopt(r)
}

func (f *Follower) adopt(r Record) {
	f.mu.Lock()
	m := f.follow(r.Name)
	old := m.record
	newer := r.Step > old.Step
	if newer {
		m.record = r
		m.own = m.own.at(r, f.cfg.Now())
	}
	f.mu.Unlock()
	if !newer {
		return
	}
	if old.State != r.State || old.Run != r.Run || old.Withdrawn != r.Withdrawn {
		f.log("msg", "move changed", "move", r.Name, "from", old.State, "to", r.State, "share", r.Share, "reason", r.Reason)
		meter.Count(f.cfg.Registry, 1, "move_changes_total", "move", r.Name, "state", string(r.State))
	}
	f.changed()
}

// Latch takes a run of a move back, here at once and everywhere by gossip.
func (f *Follower) Latch(name string, l Latch) {
	if !f.raise(name, l) {
		return
	}
	b, err := json.Marshal(l)
	if err != nil {
		return
	}
	f.cfg.Spreader.Publish(gossiper.Item{Topic: topicLatch, Key: name, Version: l.Run, Value: b})
}

func (f *Follower) takeLatch(i gossiper.Item) {
	var l Latch
	if err := json.Unmarshal(i.Value, &l); err != nil {
		meter.Count(f.cfg.Registry, 1, "move_items_malformed_total")
		return
	}
	f.raise(i.Key, l)
}

func (f *Follower) raise(name string, l Latch) bool {
	f.mu.Lock()
	m := f.follow(name)
	up := l.Run > m.latch.Run
	if up {
		m.latch = l
	}
	f.mu.Unlock()
	if up {
		f.log("msg", "move latched", "move", name, "run", l.Run, "reason", l.Reason)
		meter.Count(f.cfg.Registry, 1, "move_latches_total", "move", name)
		f.changed()
	}
	return up
}

func (f *Follower) changed() {
	if f.cfg.Changed != nil {
		f.cfg.Changed()
	}
}

func (f *Follower) log(fields ...any) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(f.cfg.Logger).Log(fields...)
}

// Known returns the newest record of a move and the latch that is up for it.
func (f *Follower) Known(name string) (Record, Latch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moves[name]
	if m == nil {
		return Record{}, Latch{}
	}
	if m.latched() {
		return m.record, m.latch
	}
	return m.record, Latch{}
}

// Names returns the moves of a configuration, and those whose record is not
// yet withdrawn.
func (f *Follower) Names(set loader.Set) []string {
	var names []string
	for _, m := range set.Moves {
		names = append(names, m.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range f.moves {
		if m.record.Step > 0 && !m.record.Withdrawn && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Splits returns the shares that moves put in place of their routes' own. A
// record stays in force while the configuration has the same move, so that a
// later publish takes the route over by leaving the move out.
func (f *Follower) Splits(set loader.Set) map[string][]loader.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	splits := make(map[string][]loader.Share)
	for _, c := range set.Moves {
		m, ok := f.moves[c.Name]
		route, found := set.Route(c.Route)
		if !ok || !found || !m.record.belongsTo(c) || m.record.Withdrawn {
			continue
		}
		splits[c.Route] = split(route, c, m.share(now))
	}
	return splits
}

// share returns the new version's part of the traffic at this daemon.
func (f *follow) share(now time.Time) float64 {
	if f.latched() && !f.record.Released || f.isLate(now) {
		return 0
	}
	return f.record.Share
}

// isLate reports whether the hour has passed without word that the move is
// done: a daemon that is cut off takes its own traffic back.
func (f *follow) isLate(now time.Time) bool {
	switch f.record.State {
	case Canary, Ramping:
		return now.After(f.record.By.Add(lateGrace))
	}
	return false
}

// isLate reports whether this daemon has taken its traffic of a move back for
// the hour.
func (f *Follower) isLate(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follow(name).isLate(f.cfg.Now())
}

// Tick judges what is known, spreads the daemon's own outcomes and notices
// that the hour has passed.
func (f *Follower) Tick() {
	now, members := f.cfg.Now(), f.cfg.Members()
	f.mu.Lock()
	var reports []outbound
	latches := make(map[string]Latch)
	late := false
	for name, m := range f.moves {
		if m.isLate(now) != m.late {
			m.late, late = !m.late, true
		}
		if !m.record.Moving() || m.latched() {
			continue
		}
		m.own = m.own.at(m.record, now)
		if reason := f.judge(m); reason != "" {
			latches[name] = Latch{Run: m.record.Run, Reason: reason}
		}
		if r, ok := f.report(m, members, now); ok {
			reports = append(reports, r)
		}
	}
	f.mu.Unlock()
	if late {
		f.changed()
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
