// Package mover performs canary rollouts: a move shifts a route's traffic from one version to
// another in growing shares. The state of a move is a record in the platform's store, which the
// holder of the move's duty writes by compare-and-swap. Each daemon receives the record by gossip,
// counts the outcomes of requests, and reverts a faulty version without waiting for the store.
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

// RecordPrefix is the prefix of the store keys of records; the name of the move follows it.
const RecordPrefix = "moves/"

// State is the progress of a move.
type State string

// States of a move. The usual order is Pending, Loading, Canary, Ramping, Done; a revert leads to
// Reverting and then Reverted.
const (
	Pending   State = "pending"
	Loading   State = "loading"
	Canary    State = "canary"
	Ramping   State = "ramping"
	Done      State = "done"
	Reverting State = "reverting"
	Reverted  State = "reverted"
)

// trigger is an event of the state machine of a move.
type trigger string

const (
	triggerStart    trigger = "start"
	triggerLoaded   trigger = "loaded"
	triggerAdvance  trigger = "advance"
	triggerFinish   trigger = "finish"
	triggerRevert   trigger = "revert"
	triggerReverted trigger = "settled"
)

// Record is the state of a move in the store.
type Record struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Route string `json:"route" cbor:"2,keyasint"`
	From  string `json:"from" cbor:"3,keyasint"`
	To    string `json:"to" cbor:"4,keyasint"`
	// Run identifies this run of the move: the generation of the configuration that started it.
	// A move that is changed, or published again after a revert, gets a new run.
	Run uint64 `json:"run" cbor:"5,keyasint"`
	// Generation is the generation of the configuration in force at the last step.
	Generation uint64 `json:"generation" cbor:"6,keyasint"`
	// Step is the version number of the record; each write increments it.
	Step uint64 `json:"step" cbor:"7,keyasint"`
	// Holder is the daemon that wrote the record, Epoch the fencing token of its duty.
	Holder string `json:"holder" cbor:"8,keyasint"`
	Epoch  uint64 `json:"epoch" cbor:"9,keyasint"`
	State  State  `json:"state" cbor:"10,keyasint"`
	// Stage is the index of the current share in the ramp.
	Stage int `json:"stage" cbor:"11,keyasint"`
	// Share is the new version's percentage of the traffic of both versions.
	Share float64 `json:"share" cbor:"12,keyasint"`
	// By is the deadline of the move.
	By time.Time `json:"by" cbor:"13,keyasint"`
	// EnteredAt is when the current state or stage began.
	EnteredAt time.Time `json:"entered" cbor:"14,keyasint"`
	// Released is set once the old version may be unloaded; the move can then no longer be reverted.
	Released bool `json:"released,omitempty" cbor:"15,keyasint,omitempty"`
	// Withdrawn is set once the configuration no longer contains the move.
	Withdrawn bool   `json:"withdrawn,omitempty" cbor:"16,keyasint,omitempty"`
	Reason    string `json:"reason,omitempty" cbor:"17,keyasint,omitempty"`
}

// newRecord returns the first record of a run. A move to the version that has the route's traffic is done
// at once, and not revertible: its other version may be one that an earlier move did not prove.
func newRecord(m loader.Move, route loader.Route, generation uint64, now time.Time) Record {
	r := Record{
		Name: m.Name, Route: m.Route, From: m.From, To: m.To, Run: generation, Generation: generation,
		State: Pending, By: m.By, EnteredAt: now,
	}
	if configuredShare(route, m.From) == 0 && configuredShare(route, m.To) > 0 {
		r.State, r.Share, r.Released = Done, fullShare, true
		r.Reason = fmt.Sprintf("route %q has no traffic at version %q", m.Route, m.From)
	}
	return r
}

// configuredShare returns the percentage of a route's traffic that the configuration gives a version.
func configuredShare(route loader.Route, version string) float64 {
	var sum float64
	for _, s := range route.Versions {
		if s.Version == version {
			sum += s.Share
		}
	}
	return sum
}

// belongsTo reports whether the record is a run of a configured move.
func (r Record) belongsTo(m loader.Move) bool {
	return r.Name == m.Name && r.Route == m.Route && r.From == m.From && r.To == m.To
}

// withdraw returns the final record of a move that the configuration no longer contains.
func (r Record) withdraw(generation uint64, now time.Time) Record {
	r.Withdrawn, r.EnteredAt, r.Share = true, now, 0
	r.Reason = fmt.Sprintf("withdrawn by generation %d", generation)
	return r
}

// IsRevertible reports whether the new version may have traffic that a revert returns to the old
// version.
func (r Record) IsRevertible() bool {
	return !r.Withdrawn && (r.State == Canary || r.State == Ramping || r.State == Done && !r.Released)
}

// applyTrigger returns the record in the state to which a trigger leads, or an error if the current
// state does not permit the trigger.
func (r Record) applyTrigger(t trigger, now time.Time) (Record, error) {
	m := newStateMachine(r.State)
	if err := m.Fire(t); err != nil {
		return r, fmt.Errorf("change state of move %q: %w", r.Name, err)
	}
	state, err := m.State(context.Background())
	if err != nil {
		return r, fmt.Errorf("change state of move %q: %w", r.Name, err)
	}
	r.State, r.EnteredAt = state.(State), now
	return r, nil
}

func newStateMachine(s State) *stateless.StateMachine {
	m := stateless.NewStateMachine(s)
	m.Configure(Pending).Permit(triggerStart, Loading).Permit(triggerRevert, Reverting)
	m.Configure(Loading).Permit(triggerLoaded, Canary).Permit(triggerRevert, Reverting)
	m.Configure(Canary).PermitReentry(triggerAdvance).Permit(triggerFinish, Ramping).Permit(triggerRevert, Reverting)
	m.Configure(Ramping).PermitReentry(triggerAdvance).Permit(triggerFinish, Done).Permit(triggerRevert, Reverting)
	m.Configure(Done).Permit(triggerRevert, Reverting)
	m.Configure(Reverting).Permit(triggerReverted, Reverted)
	m.Configure(Reverted)
	return m
}

// gossipEncoding encodes records for gossip as CBOR, which is smaller than the JSON in the store.
var gossipEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are constant, so that an error is a mistake in the program.
		panic(err)
	}
	return m
}()

// DecodeRecord decodes a record from its entry in the store.
func DecodeRecord(e storer.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, nil
}

// splitShares returns a route's shares, that of the old version first, after it gives the new version a percentage of the traffic
// of both versions of a move.
func splitShares(route loader.Route, m loader.Move, share float64) []loader.Share {
	var out []loader.Share
	var both float64
	for _, s := range route.Versions {
		if s.Version == m.From || s.Version == m.To {
			both += s.Share
			continue
		}
		out = append(out, s)
	}
	moved := both * share / fullShare
	return append([]loader.Share{{Version: m.From, Share: both - moved}, {Version: m.To, Share: moved}}, out...)
}
