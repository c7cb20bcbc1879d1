package mover

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/gossiper"
)

// TestRecordFitsGossip keeps a record with names of 40 letters small enough to
// ride on a heartbeat, and reads it back unchanged.
func TestRecordFitsGossip(t *testing.T) {
	name := strings.Repeat("n", 40)
	want := newRecord(testMove(time.Hour), 1<<40, start.Add(time.Nanosecond))
	want.Name, want.Route, want.From, want.To, want.Holder = name, name, name, name, name
	want.Step, want.Epoch, want.State, want.Share = 1<<40, 1<<40, Reverting, 12.5
	want.Reason = describe(want, classes[1], Pair{Old: Counts{Requests: 1 << 40}, New: Counts{Requests: 1 << 40}}) + ` in failure domain "` + name + `"`
	b, err := gossiped.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > gossiper.MaxItemBytes {
		t.Errorf("got %d bytes, want at most %d", len(b), gossiper.MaxItemBytes)
	}
	var got Record
	if err := cbor.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if !got.By.Equal(want.By) || !got.Entered.Equal(want.Entered) {
		t.Errorf("got times %s and %s, want %s and %s", got.By, got.Entered, want.By, want.Entered)
	}
	got.By, got.Entered = want.By, want.Entered
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMachine lists what may follow each state.
func TestMachine(t *testing.T) {
	all := []trigger{triggerStart, triggerLoaded, triggerAdvance, triggerFinish, triggerRevert, triggerSettled}
	want := map[State]map[trigger]State{
		Pending:   {triggerStart: Loading, triggerRevert: Reverting},
		Loading:   {triggerLoaded: Canary, triggerRevert: Reverting},
		Canary:    {triggerAdvance: Canary, triggerFinish: Ramping, triggerRevert: Reverting},
		Ramping:   {triggerAdvance: Ramping, triggerFinish: Done, triggerRevert: Reverting},
		Done:      {triggerRevert: Reverting},
		Reverting: {triggerSettled: Reverted},
		Reverted:  {},
	}
	for from, next := range want {
		for _, tr := range all {
			r, err := Record{State: from}.fire(tr, start)
			if to, ok := next[tr]; ok != (err == nil) || ok && r.State != to {
				t.Errorf("%s from %s: got %s (%v), want %q", tr, from, r.State, err, to)
			}
		}
	}
}
