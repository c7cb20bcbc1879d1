package assembler

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/traffic/quarantiner"
)

// testDaemon is a quarantiner with a clock that the test moves.
type testDaemon struct {
	*quarantiner.Quarantiner
	now time.Time
}

func newTestDaemon() *testDaemon {
	d := &testDaemon{now: time.Now()}
	d.Quarantiner = quarantiner.New(quarantiner.Config{
		Announce: func() {}, Now: func() time.Time { return d.now }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	return d
}

func (d *testDaemon) pass(t time.Duration) {
	d.now = d.now.Add(t)
	d.Tick()
}

// Three daemons see one crash each under the same request. No further endpoint may get it from any daemon,
// since what counts are the crashes at all of them (BUDGET).
func TestCrashesAtSeveralDaemonsCount(t *testing.T) {
	deadly := []string{quarantiner.WholeRequest("deadly")}
	var daemons []*testDaemon
	for i := range 4 {
		d := newTestDaemon()
		d.pass(3 * time.Second)
		d.RecordAnswer([]string{"sound"})
		if i < 3 {
			d.RecordBreak(fmt.Sprint("endpoint-", i), 0, deadly, true)
			d.pass(time.Second)
		}
		daemons = append(daemons, d)
	}
	for i, from := range daemons {
		for j, to := range daemons {
			if i == j {
				continue
			}
			if err := applyCrashReport(to.Quarantiner, fmt.Sprint("daemon-", i), encodeCrashReport(from.Quarantiner)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, d := range daemons {
		d.pass(time.Millisecond)
		if d.TimeLeft(deadly) == 0 {
			t.Errorf("daemon %d: got the request not refused after three crashes, want it refused", i)
		}
		if d.TimeLeft([]string{quarantiner.WholeRequest("sound")}) > 0 {
			t.Errorf("daemon %d: got a sound request refused, want it served", i)
		}
	}
}

// A report on many crashes, or on one under many requests, must fit a gossip item, and one without news must
// not change with time, since it would be published again.
func TestCrashReportFitsGossip(t *testing.T) {
	for _, tc := range []struct{ crashes, requests int }{{0, 0}, {1, 300}, {40, 1}, {24, 24}} {
		d := newTestDaemon()
		d.pass(3 * time.Second)
		for i := range tc.crashes {
			for j := range tc.requests {
				d.RecordBreak(fmt.Sprint("endpoint-", i), 0, []string{quarantiner.WholeRequest(fmt.Sprint(i, "-", j))}, true)
			}
			d.pass(time.Second)
		}
		b := encodeCrashReport(d.Quarantiner)
		if len(b) > gossiper.MaxItemBytes {
			t.Errorf("%+v: got a report of %d bytes, want %d at most", tc, len(b), gossiper.MaxItemBytes)
		}
		d.pass(time.Second)
		if got := encodeCrashReport(d.Quarantiner); string(got) != string(b) {
			t.Errorf("%+v: got another report a second later, want the same", tc)
		}
	}
	if err := applyCrashReport(newTestDaemon().Quarantiner, "other", []byte("no report")); err == nil {
		t.Error("got no error for bytes that are no report, want one")
	}
}
