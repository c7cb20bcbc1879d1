package recorder

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pomelotiller/internal/traffic/refuser"
)

const (
	// rapidSeed makes the schedules reproducible. A failure prints the schedule and the seed.
	rapidSeed   = "20261204"
	rapidChecks = "80"
	fleetSize   = 3
	// failureDetectionTime is how long a daemon is unreachable before others consider it gone.
	failureDetectionTime = 5 * time.Second
	// quiescenceTime is the time after the last event by which every order must have ended.
	quiescenceTime = queueTimeout + 2*time.Minute
)

func drawSchedule(t *rapid.T) ([]scheduleEvent, []sendFault) {
	kinds := []string{"post", "post", "post", "post", "post", "store away", "answers lost", "writes late", "services away"}
	if rapid.Bool().Draw(t, "lose daemons") {
		kinds = append(kinds, "kill", "drain", "pause", "cut")
	}
	millis := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	keys := rapid.SampledFrom([]int{2, 12}).Draw(t, "keys")
	var events []scheduleEvent
	for range rapid.IntRange(4, 30).Draw(t, "events") {
		after := 8
		if rapid.Bool().Draw(t, "long") {
			after = 4000
		}
		events = append(events, scheduleEvent{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), N: rapid.IntRange(0, 11).Draw(t, "n"), Key: rapid.IntRange(0, keys-1).Draw(t, "key"),
			Async: rapid.Bool().Draw(t, "async"), After: millis("after", after), For: millis("for", 12000),
		})
	}
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sendFault {
		return sendFault(rapid.IntRange(0, int(sendFaultCount)-1).Draw(t, "fault"))
	}), 0, 20).Draw(t, "faults")
	return events, faults
}

// runSchedule runs a schedule, waits quiescenceTime, and returns the violated invariants.
func runSchedule(events []scheduleEvent, faults []sendFault) []string {
	f := newFakeFleet(faults)
	for _, e := range events {
		time.Sleep(e.After)
		f.applyEvent(e)
	}
	time.Sleep(quiescenceTime)
	f.wg.Wait()
	wrong := f.checkInvariants(!slices.ContainsFunc(events, func(e scheduleEvent) bool {
		return slices.Contains([]string{"kill", "drain", "pause", "cut"}, e.Kind)
	}))
	f.mu.Lock()
	daemons := f.daemons
	f.mu.Unlock()
	for _, d := range daemons {
		f.stop(d)
	}
	synctest.Wait()
	return wrong
}

// checkInvariants compares the replies to callers with the records and the runs. If no daemon is
// lost in the schedule (steady), all daemons could be queried at any time, so no order that has run
// may be refused as not run.
func (f *fakeFleet) checkInvariants(steady bool) []string {
	var wrong []string
	fault := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	records := make(map[string]Order)
	page, err := f.store.List(context.Background(), KeyPrefix)
	if err != nil {
		fault("list: %v", err)
	}
	for _, e := range page.Entries {
		o, err := decodeRecord(e)
		if err != nil {
			fault("%v", err)
		}
		records[o.Key] = o
		switch runs := f.services.runs[o.Key]; {
		case !o.HasEnded():
			fault("order %s has no end: it is %s, owned by %s", o.Key, o.State, o.Owner)
		case o.State == StateRefused && runs > 0:
			fault("refused order %s ran %d times", o.Key, runs)
		case o.State == StateDone && !bytes.Equal(o.Answer.Body, f.services.answers[o.Key]):
			fault("order %s: got answer %q, want %q", o.Key, o.Answer.Body, f.services.answers[o.Key])
		}
	}
	for key, n := range f.services.runs {
		if n > 1 {
			fault("order %s ran %d times", key, n)
		}
	}
	refusedOnly := make(map[string]bool)
	for _, r := range f.replies {
		wrong = append(wrong, r.checkInvariants(records, f.services.answers[r.key])...)
		if steady && r.hasRun && r.isRefusedAsNotRun() {
			fault("order %s was refused as not run (%v) after it ran", r.key, r.err)
		}
		if _, seen := refusedOnly[r.key]; !seen {
			refusedOnly[r.key] = true
		}
		refusedOnly[r.key] = refusedOnly[r.key] && r.isRefusedAsNotRun()
	}
	for key, only := range refusedOnly {
		if only && f.services.runs[key] > 0 {
			fault("order %s was refused as not run by each daemon and ran", key)
		}
	}
	return wrong
}

func (r callerReply) isRefusedAsNotRun() bool {
	var refusal *refuser.Refusal
	return errors.As(r.err, &refusal) && refusal.Run == refuser.NotRun || r.err == nil && r.order.State == StateRefused
}

func (r callerReply) checkInvariants(records map[string]Order, answer []byte) []string {
	record, recorded := records[r.key]
	switch {
	case r.err == nil && !recorded:
		return []string{fmt.Sprintf("order %s: the caller received state %s, but there is no record", r.key, r.order.State)}
	case r.err == nil && r.order.State == StateDone && (record.State != StateDone || !bytes.Equal(r.order.Answer.Body, answer)):
		return []string{fmt.Sprintf("order %s: the caller got %q, the record is %s, the service answered %q", r.key, r.order.Answer.Body, record.State, answer)}
	}
	return nil
}

// setRapidFlag sets a flag of rapid unless the command line has set it.
func setRapidFlag(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := flag.Set(name, f.DefValue); err != nil {
			t.Error(err)
		}
	})
}

// For any schedule of faults an order runs at most once, a recorded order ends, and an order that
// is refused as not run has not run.
func TestOrdersUnderRandomFaults(t *testing.T) {
	setRapidFlag(t, "rapid.seed", rapidSeed)
	setRapidFlag(t, "rapid.checks", rapidChecks)
	setRapidFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		events, faults := drawSchedule(rt)
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = runSchedule(events, faults) })
		if len(wrong) > 0 {
			rt.Fatalf("%s\nschedule %+v\nsend faults %v", strings.Join(wrong, "\n"), events, faults)
		}
	})
}
