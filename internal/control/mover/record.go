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

	"github.com/fxamacker/cbor/v2"
	"github.com/qmuntal/stateless"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/storer"
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
	Name  string `json:"name" cbor:"1,keyasint"`
	Route string `json:"route" cbor:"2,keyasint"`
	From  string `json:"from" cbor:"3,keyasint"`
	To    string `json:"to" cbor:"4,keyasint"`
	// Run is the generation of the configuration with which this run of the
	// move began. A move that is published anew gets a new run.
	Run uint64 `json:"run" cbor:"5,keyasint"`
	// Generation is the configuration that the last step was taken under.
	Generation uint64 `json:"generation" cbor:"6,keyasint"`
	// Step grows by one with each write.
	Step uint64 `json:"step" cbor:"7,keyasint"`
	// Holder is the daemon that wrote the record, Epoch its fencing number.
	Holder string `json:"holder" cbor:"8,keyasint"`
	Epoch  uint64 `json:"epoch" cbor:"9,keyasint"`
	State  State  `json:"state" cbor:"10,keyasint"`
	// Stage counts the shares of the ramp that were in force, from 0.
	Stage int `json:"stage" cbor:"11,keyasint"`
	// Share is the new version's part of the traffic, in percent.
	Share float64   `json:"share" cbor:"12,keyasint"`
	By    time.Time `json:"by" cbor:"13,keyasint"`
	// Entered is when the present stage began.
	Entered time.Time `json:"entered" cbor:"14,keyasint"`
	// Released is set once the old version is no longer held.
	Released bool `json:"released,omitempty" cbor:"15,keyasint,omitempty"`
	// Withdrawn is set once the configuration has the move no longer.
	Withdrawn bool   `json:"withdrawn,omitempty" cbor:"16,keyasint,omitempty"`
	Reason    string `json:"reason,omitempty" cbor:"17,keyasint,omitempty"`
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

// gossiped encodes records for gossip, more tightly than for the store.
var gossiped = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are fixed.
		panic(err)
	}
	return m
}()

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
