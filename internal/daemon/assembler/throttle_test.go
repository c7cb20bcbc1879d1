package assembler

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/throttler"
)

func newTestThrottler(self string, members ...string) *throttler.Throttler {
	return throttler.New(throttler.Config{
		Self: self, Members: func() []string { return members }, Announce: func() {}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
}

// A daemon that hears of a limit from another one keeps to it, and a report that is malformed has no effect
// (LIMIT).
func TestLimitIsPassedOn(t *testing.T) {
	from, to := newTestThrottler("a", "a", "b"), newTestThrottler("b", "a", "b")
	from.RecordLimit("e", 0, 1.5)
	published := make(map[string]sharer.RequestLimit)
	limits := changedLimits(from.LocalReport(), published)
	if len(limits) != 1 || len(changedLimits(from.LocalReport(), published)) > 0 {
		t.Fatalf("got limits %v to publish, want one, once", limits)
	}
	b, err := cbor.Marshal(limits[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := applyLimit(to, b, time.Now()); err != nil || to.Wait("e", 0) == 0 {
		t.Errorf("got a wait of %s and error %v, want the limit in force", to.Wait("e", 0), err)
	}
	limits[0].Endpoint, limits[0].PerSecond = "f", -1
	if b, err = cbor.Marshal(limits[0]); err != nil {
		t.Fatal(err)
	}
	if err := applyLimit(to, b, time.Now()); err == nil || to.Wait("f", 0) > 0 {
		t.Error("got a negative limit accepted, want an error")
	}
}

// Suspected daemons and hosts that are not known yet keep their part, so that a partition does not double the
// rate; daemons that leave or are gone have none.
func TestSenderAddresses(t *testing.T) {
	v := viewer.View{EntryPeers: []string{"a", "d", "e"}}.WithMembers([]viewer.Member{
		{Peers: "a", State: viewer.StateAlive}, {Peers: "b", State: viewer.StateSuspected}, {Peers: "c", State: viewer.StateLeaving}, {Peers: "d", State: viewer.StateGone},
	})
	if got, want := senderAddresses(v), []string{"a", "b", "e"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
