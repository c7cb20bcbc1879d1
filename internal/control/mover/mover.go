package mover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// MoveDutyPrefix is the prefix of the name of a move's duty; the name of the move follows it.
const MoveDutyPrefix = "move/"

// Config configures a Mover.
type Config struct {
	// Self is the daemon's name.
	Self     string
	Store    storer.Store
	Follower *Follower
	// HoldsDuty returns the fencing token of a duty, and whether this daemon holds the duty now.
	HoldsDuty func(duty string) (uint64, bool)
	View      func() viewer.View
	Now       func() time.Time
	Logger    log.Logger
	Registry  metrics.Registry
}

// Mover advances the records of the moves whose duties this daemon holds. It writes them to the
// store by compare-and-swap.
type Mover struct {
	cfg Config
	// records caches the stored records of the moves whose duties this daemon holds, by move.
	records map[string]storedRecord
}

// storedRecord is a record and its revision in the store. Revision 0 means that the store has no
// record yet.
type storedRecord struct {
	record   Record
	revision uint64
}

// New returns a Mover.
func New(cfg Config) *Mover {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Mover{cfg: cfg, records: make(map[string]storedRecord)}
}

// Run calls Tick periodically until ctx ends.
func (m *Mover) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, m.Tick)
}

// Tick takes the next step of each move whose duty this daemon holds, if one is due.
func (m *Mover) Tick(ctx context.Context) {
	v := m.cfg.View()
	if v.Generation == 0 {
		return
	}
	for _, name := range m.cfg.Follower.MoveNames(v.Set) {
		if _, ok := m.cfg.HoldsDuty(MoveDutyPrefix + name); !ok {
			delete(m.records, name)
			continue
		}
		if err := m.takeStep(ctx, v, name); err != nil {
			// A write that failed may still have taken effect, so the record is read again before
			// the next step.
			delete(m.records, name)
			meter.AddToCounter(m.cfg.Registry, 1, "move_step_failures_total", "move", name)
			m.log("msg", "move step failed", "move", name, "err", err)
		}
	}
}

func (m *Mover) log(fields ...any) {
	// An error of the logger itself cannot be logged.
	_ = level.Debug(m.cfg.Logger).Log(fields...)
}

func (m *Mover) takeStep(ctx context.Context, v viewer.View, name string) error {
	s, ok := m.records[name]
	if !ok {
		var err error
		if s, err = m.readRecord(ctx, name); err != nil {
			return err
		}
		m.records[name] = s
	}
	nextRecord, due, err := m.nextRecord(v, name, s)
	if err != nil || !due {
		return err
	}
	if nextRecord.State == Reverting && s.record.State != Reverting {
		m.cfg.Follower.Latch(name, Latch{Run: nextRecord.Run, Reason: nextRecord.Reason})
	}
	return m.writeRecord(ctx, s, nextRecord)
}

// nextRecord returns the record that the next step writes, and whether a step is due.
func (m *Mover) nextRecord(v viewer.View, name string, s storedRecord) (Record, bool, error) {
	now := m.cfg.Now()
	move, ok := v.Set.Move(name)
	if !ok {
		return s.record.withdraw(v.Generation, now), !s.record.Withdrawn && s.record.Step > 0, nil
	}
	route, _ := v.Set.Route(move.Route)
	if s.record.Step == 0 {
		return newRecord(move, route, v.Generation, now), true, nil
	}
	seen := m.cfg.Follower.OutcomeTotals(name)
	in := StepInputs{
		Now: now, Move: move, Route: route, Generation: v.Generation, NewVersionRequests: seen.New.Requests,
		HasExcessFaults: seen.hasExcessFaults(faultLimits(move.Bounds)), DoubtReason: m.cfg.Follower.DoubtReason(name),
	}
	if _, l := m.cfg.Follower.RecordAndLatch(name); l.Run == s.record.Run {
		in.LatchReason = l.Reason
	}
	in.MissingEndpoint, in.IsServable = checkVersionLoaded(v, move.To)
	return s.record.NextRecord(in)
}

// readRecord returns the stored record of a move. A store restored from a backup may hold an older
// record than this daemon received by gossip; then the newer one is returned, to be written at the
// next step.
func (m *Mover) readRecord(ctx context.Context, name string) (storedRecord, error) {
	known, _ := m.cfg.Follower.RecordAndLatch(name)
	e, err := m.cfg.Store.Get(ctx, RecordPrefix+name)
	if errors.Is(err, storer.ErrNotFound) {
		return storedRecord{record: known}, nil
	}
	if err != nil {
		return storedRecord{}, fmt.Errorf("read move %q: %w", name, err)
	}
	r, err := DecodeRecord(e)
	if err != nil {
		return storedRecord{}, err
	}
	if known.Step > r.Step {
		r = known
	}
	m.cfg.Follower.Publish(r)
	return storedRecord{record: r, revision: e.Revision}, nil
}

// writeRecord replaces the stored record s by the next one. It checks again that this daemon holds
// the duty, since the process may have been paused after the first check.
func (m *Mover) writeRecord(ctx context.Context, s storedRecord, next Record) error {
	epoch, ok := m.cfg.HoldsDuty(MoveDutyPrefix + next.Name)
	if !ok {
		return nil
	}
	next.Step, next.Holder, next.Epoch, next.Generation = s.record.Step+1, m.cfg.Self, epoch, m.cfg.View().Generation
	b, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode move %q: %w", next.Name, err)
	}
	e, err := m.cfg.Store.Swap(ctx, storer.Write{Key: RecordPrefix + next.Name, Value: b, Expect: s.revision})
	if err != nil {
		return fmt.Errorf("write move %q: %w", next.Name, err)
	}
	m.records[next.Name] = storedRecord{record: next, revision: e.Revision}
	m.cfg.Follower.Publish(next)
	return nil
}

// checkVersionLoaded returns the name of an endpoint that has not loaded a version, or "" if all
// have, and whether each of the version's pools has an endpoint that serves it. Pools and endpoints of
// evacuated failure domains do not count, since they get no orders, and a version whose pools are all there is not usable.
func checkVersionLoaded(v viewer.View, version string) (string, bool) {
	spec, _ := v.Set.Version(version)
	pools := slices.DeleteFunc(slices.Clone(spec.Pools), func(name string) bool {
		p, _ := v.Set.Pool(name)
		return v.IsEvacuated(p.Domain)
	})
	name, usable := "", len(pools) > 0
	if !usable && len(spec.Pools) > 0 {
		name = spec.Pools[0] + "/evacuated"
	}
	for _, pool := range pools {
		serving := false
		for _, e := range v.Endpoints {
			if e.Pool != pool || e.State != viewer.StateAlive || e.Evacuated {
				continue
			}
			if e.CanServe(version) {
				serving = true
			} else {
				name = e.Name
			}
		}
		if !serving {
			usable = false
			if name == "" {
				name = pool + "/none"
			}
		}
	}
	return name, usable
}
