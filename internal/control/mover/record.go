// Package mover takes a route's traffic from one version to another. The state
// of a move is a record in the platform's store, written by compare-and-swap by
// the holder of the move's duty. Each daemon follows the record by gossip,
// counts outcomes, and takes a faulty version back by itself.
package mover

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/platform/storer"
)

// Prefix starts the keys of the records in the store.
const Prefix = "moves/"

// State is the state of a move.
type State string

// States of a move.
const (
	Pending   State = "pending"
	Loading   State = "loading"
	Canary    State = "canary"
	Ramping   State = "ramping"
	Done      State = "done"
	Reverting State = "reverting"
	Reverted  State = "reverted"
)

// trigger is what leads from one state to the next.
type trigger string

const (
	triggerStart   trigger = "start"
	triggerLoaded  trigger = "loaded"
	triggerAdvance trigger = "advance"
	triggerFinish  trigger = "finish"
	triggerRevert  trigger = "revert"
	triggerSettled trigger = "settled"
)

// Record is the state of a move, as it stands in the store.
type Record struct {
	Name  string `json:"name"`
	Route string `json:"route"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Run is the generation of the configuration with which this run of the
	// move began. A move that is published anew gets a new run.
	Run uint64 `json:"run"`
	// Generation is the configuration that the last step was taken under.
	Generation uint64 `json:"generation"`
	// Step grows by one with each write.
	Step uint64 `json:"step"`
	// Holder is the daemon that wrote the record, Epoch its fencing number.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	State  State  `json:"state"`
	// Stage counts the shares of the ramp that were in force, from 0.
	Stage int `json:"stage"`
	// Share is the new version's part of the traffic, in percent.
	Share float64   `json:"share"`
	By    time.Time `json:"by"`
	// Entered is when the present stage began.
	Entered time.Time `json:"entered"`
	// Released is set once the old version is no longer held.
	Released bool `json:"released,omitempty"`
	// Withdrawn is set once the configuration has the move no longer.
	Withdrawn bool   `json:"withdrawn,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// newRecord returns the first record of a run.
func newRecord(m loader.Move, generation uint64, now time.Time) Record {
	return Record{
		Name: m.Name, Route: m.Route, From: m.From, To: m.To, Run: generation, Generation: generation,
		State: Pending, By: m.By, Entered: now,
	}
}

// belongsTo reports whether the record is a run of a configured move.
func (r Record) belongsTo(m loader.Move) bool {
	return r.Name == m.Name && r.Route == m.Route && r.From == m.From && r.To == m.To
}

// withdraw ends the run of a move that the configuration has no longer.
func (r Record) withdraw(generation uint64, now time.Time) Record {
	r.Withdrawn, r.Entered, r.Share = true, now, 0
	r.Reason = fmt.Sprintf("withdrawn by generation %d", generation)
	return r
}

// Moving reports whether the new version may have traffic that can be taken
// back.
func (r Record) Moving() bool {
	return !r.Withdrawn && (r.State == Canary || r.State == Ramping || r.State == Done && !r.Released)
}

// fire returns the record after a trigger.
func (r Record) fire(t trigger, now time.Time) (Record, error) {
	m := newMachine(r.State)
	if err := m.Fire(t); err != nil {
		return r, fmt.Errorf("move %q: %w", r.Name, err)
	}
	state, err := m.State(context.Background())
	if err != nil {
		return r, fmt.Errorf("move %q: %w", r.Name, err)
	}
	r.State, r.Entered = state.(State), now
	return r, nil
}

func newMachine(s State) *stateless.StateMachine {
	m := stateless.NewStateMachine(s)
	m.Configure(Pending).Permit(triggerStart, Loading).Permit(triggerRevert, Reverting)
	m.Configure(Loading).Permit(triggerLoaded, Canary).Permit(triggerRevert, Reverting)
	m.Configure(Canary).PermitReentry(triggerAdvance).Permit(triggerFinish, Ramping).Permit(triggerRevert, Reverting)
	m.Configure(Ramping).PermitReentry(triggerAdvance).Permit(triggerFinish, Done).Permit(triggerRevert, Reverting)
	m.Configure(Done).Permit(triggerRevert, Reverting)
	m.Configure(Reverting).Permit(triggerSettled, Reverted)
	m.Configure(Reverted)
	return m
}

// Decode reads a record from its entry in the store.
func Decode(e storer.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, nil
}

// split returns a route's shares with a share of the pair's traffic, in
// percent, at the new version.
func split(route loader.Route, m loader.Move, share float64) []loader.Share {
	var out []loader.Share
	var both float64
	for _, s := range route.Versions {
		if s.Version == m.From || s.Version == m.To {
			both += s.Share
			continue
		}
		out = append(out, s)
	}
	moved := both * share / wholeShare
	return append([]loader.Share{{Version: m.From, Share: both - moved}, {Version: m.To, Share: moved}}, out...)
}
