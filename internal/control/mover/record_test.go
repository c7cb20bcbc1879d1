package mover

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/gossiper"
)

// TestRecordFitsGossip checks that the encoding of a record with names of 40 letters and the longest
// reason fits into a gossip item, which heartbeats carry, and decodes to the same record.
func TestRecordFitsGossip(t *testing.T) {
	name := strings.Repeat("n", 40)
	want := newRecord(testMove(time.Hour), testSet().Routes[0], 1<<40, startTime.Add(time.Nanosecond))
	want.Name, want.Route, want.From, want.To, want.Holder = name, name, name, name, name
	want.Step, want.Epoch, want.State, want.Share = 1<<40, 1<<40, Reverting, 12.5
	counts := OutcomeCounts{Requests: 1 << 40, FirstLatency: LatencyCounts{Compared: 1 << 40}, TokenLatency: LatencyCounts{Compared: 1 << 40}}
	for _, c := range faultClasses {
		if reason := describeFault(want, c, VersionCounts{Old: counts, New: counts}) + ` in failure domain "` + name + `"`; len(reason) > len(want.Reason) {
			want.Reason = reason
		}
	}
	b, err := gossipEncoding.Marshal(want)
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
	if !got.By.Equal(want.By) || !got.EnteredAt.Equal(want.EnteredAt) {
		t.Errorf("got times %s and %s, want %s and %s", got.By, got.EnteredAt, want.By, want.EnteredAt)
	}
	got.By, got.EnteredAt = want.By, want.EnteredAt
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestStateMachine checks which triggers each state permits, and the states to which they lead.
func TestStateMachine(t *testing.T) {
	all := []trigger{triggerStart, triggerLoaded, triggerAdvance, triggerFinish, triggerRevert, triggerReverted}
	want := map[State]map[trigger]State{
		Pending:   {triggerStart: Loading, triggerRevert: Reverting},
		Loading:   {triggerLoaded: Canary, triggerRevert: Reverting},
		Canary:    {triggerAdvance: Canary, triggerFinish: Ramping, triggerRevert: Reverting},
		Ramping:   {triggerAdvance: Ramping, triggerFinish: Done, triggerRevert: Reverting},
		Done:      {triggerRevert: Reverting},
		Reverting: {triggerReverted: Reverted},
		Reverted:  {},
	}
	for from, next := range want {
		for _, tr := range all {
			r, err := Record{State: from}.applyTrigger(tr, startTime)
			if to, ok := next[tr]; ok != (err == nil) || ok && r.State != to {
				t.Errorf("%s from %s: got %s (%v), want %q", tr, from, r.State, err, to)
			}
		}
	}
}
