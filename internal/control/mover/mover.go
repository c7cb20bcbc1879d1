package mover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// DutyPrefix starts the names of the duties of moves.
const DutyPrefix = "move/"

// Config configures a Mover.
type Config struct {
	// Self is the daemon's name.
	Self     string
	Store    storer.Store
	Follower *Follower
	// Held returns the fencing number of a duty, and whether this daemon holds
	// it now.
	Held     func(duty string) (uint64, bool)
	View     func() viewer.View
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Mover takes the steps of the moves whose duties this daemon holds.
type Mover struct {
	cfg Config
	// held is what the store holds of the moves of this daemon's duties.
	held map[string]stored
}

// stored is a record at its revision in the store; revision 0 stands for a
// record that is not there yet.
type stored struct {
	record   Record
	revision uint64
}

// New returns a mover.
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
	return &Mover{cfg: cfg, held: make(map[string]stored)}
}

// Run takes steps until ctx ends.
func (m *Mover) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickPeriod, m.Tick)
}

// Tick takes each step that is due.
func (m *Mover) Tick(ctx context.Context) {
	v := m.cfg.View()
	if v.Generation == 0 {
		return
	}
	for _, name := range m.cfg.Follower.Names(v.Set) {
		if _, ok := m.cfg.Held(DutyPrefix + name); !ok {
			delete(m.held, name)
			continue
		}
		if err := m.step(ctx, v, name); err != nil {
			// What the store holds is read again before the next step.
			delete(m.held, name)
			meter.Count(m.cfg.Registry, 1, "move_step_failures_total", "move", name)
			m.log("msg", "move step failed", "move", name, "err", err)
		}
	}
}

func (m *Mover) log(fields ...any) {
	// A logger that fails has nowhere to say so.
	_ = level.Debug(m.cfg.Logger).Log(fields...)
}

func (m *Mover) step(ctx context.Context, v viewer.View, name string) error {
	s, ok := m.held[name]
	if !ok {
		var err error
		if s, err = m.read(ctx, name); err != nil {
			return err
		}
		m.held[name] = s
	}
	next, due, err := m.next(v, name, s)
	if err != nil || !due {
		return err
	}
	if next.State == Reverting && s.record.State != Reverting {
		m.cfg.Follower.Latch(name, Latch{Run: next.Run, Reason: next.Reason})
	}
	return m.write(ctx, s, next)
}

// next returns the step that is due, if one is.
func (m *Mover) next(v viewer.View, name string, s stored) (Record, bool, error) {
	now := m.cfg.Now()
	move, ok := v.Set.Move(name)
	if !ok {
		return s.record.withdraw(v.Generation, now), !s.record.Withdrawn && s.record.Step > 0, nil
	}
	if s.record.Step == 0 {
		return newRecord(move, v.Generation, now), true, nil
	}
	seen := m.cfg.Follower.Outcomes(name)
	in := Inputs{
		Now: now, Move: move, Generation: v.Generation, Evidence: seen.New.Requests,
		Excess: seen.excess(limits(move.Bounds)), Doubt: m.cfg.Follower.Doubt(name),
	}
	if _, l := m.cfg.Follower.Known(name); l.Run == s.record.Run {
		in.Fault = l.Reason
	}
	in.Missing, in.Usable = missing(v, move.To)
	return s.record.Next(in)
}

// read returns the record that the store holds. A store that was set back may
// hold an older one than the daemons know of; theirs is then put back.
func (m *Mover) read(ctx context.Context, name string) (stored, error) {
	known, _ := m.cfg.Follower.Known(name)
	e, err := m.cfg.Store.Get(ctx, Prefix+name)
	if errors.Is(err, storer.ErrNotFound) {
		return stored{record: known}, nil
	}
	if err != nil {
		return stored{}, fmt.Errorf("read move %q: %w", name, err)
	}
	r, err := Decode(e)
	if err != nil {
		return stored{}, err
	}
	if known.Step > r.Step {
		r = known
	}
	m.cfg.Follower.Publish(r)
	return stored{record: r, revision: e.Revision}, nil
}

// write puts the next record in place of the one held. The duty is looked at
// once more: this daemon may have been paused since.
func (m *Mover) write(ctx context.Context, s stored, next Record) error {
	epoch, ok := m.cfg.Held(DutyPrefix + next.Name)
	if !ok {
		return nil
	}
	next.Step, next.Holder, next.Epoch, next.Generation = s.record.Step+1, m.cfg.Self, epoch, m.cfg.View().Generation
	b, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode move %q: %w", next.Name, err)
	}
	e, err := m.cfg.Store.Swap(ctx, storer.Write{Key: Prefix + next.Name, Value: b, Expect: s.revision})
	if err != nil {
		return fmt.Errorf("write move %q: %w", next.Name, err)
	}
	m.held[next.Name] = stored{record: next, revision: e.Revision}
	m.cfg.Follower.Publish(next)
	return nil
}

// missing names an endpoint that has yet to load a version, and reports
// whether each of the version's pools has one that serves it.
func missing(v viewer.View, version string) (string, bool) {
	spec, _ := v.Set.Version(version)
	name, usable := "", len(spec.Pools) > 0
	for _, pool := range spec.Pools {
		serving := false
		for _, e := range v.Endpoints {
			if e.Pool != pool || e.State != viewer.StateAlive {
				continue
			}
			if e.Serves(version) {
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
