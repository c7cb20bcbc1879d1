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
	// modelSeed fixes the schedules; a failure prints them and the seed.
	modelSeed   = "20261204"
	modelChecks = "80"
	fleetSize   = 3
	// unheardTime is how long a daemon is not heard of before others take it
	// for gone.
	unheardTime = 5 * time.Second
	// restTime is how long after the last fault every order has ended.
	restTime = queueTimeout + 2*time.Minute
)

func drawSchedule(t *rapid.T) ([]modelEvent, []sendFault) {
	kinds := []string{"post", "post", "post", "post", "post", "store away", "answers lost", "writes late", "services away"}
	if rapid.Bool().Draw(t, "lose daemons") {
		kinds = append(kinds, "kill", "drain", "pause", "cut")
	}
	millis := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	keys := rapid.SampledFrom([]int{2, 12}).Draw(t, "keys")
	var events []modelEvent
	for range rapid.IntRange(4, 30).Draw(t, "events") {
		after := 8
		if rapid.Bool().Draw(t, "long") {
			after = 4000
		}
		events = append(events, modelEvent{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), N: rapid.IntRange(0, 11).Draw(t, "n"), Key: rapid.IntRange(0, keys-1).Draw(t, "key"),
			Async: rapid.Bool().Draw(t, "async"), After: millis("after", after), For: millis("for", 12000),
		})
	}
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sendFault {
		return sendFault(rapid.IntRange(0, int(sendFaults)-1).Draw(t, "fault"))
	}), 0, 20).Draw(t, "faults")
	return events, faults
}

// simulate plays a schedule, lets the fleet come to rest, and returns what is
// wrong.
func simulate(events []modelEvent, faults []sendFault) []string {
	f := newFakeFleet(faults)
	for _, e := range events {
		time.Sleep(e.After)
		f.apply(e)
	}
	time.Sleep(restTime)
	f.wg.Wait()
	wrong := f.check(!slices.ContainsFunc(events, func(e modelEvent) bool {
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

// check compares what callers were told, what is recorded and what ran. In a
// steady fleet all daemons could be asked at any time.
func (f *fakeFleet) check(steady bool) []string {
	var wrong []string
	fault := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	records := make(map[string]Order)
	page, err := f.store.List(context.Background(), KeyPrefix)
	if err != nil {
		fault("list: %v", err)
	}
	for _, e := range page.Entries {
		o, err := decode(e)
		if err != nil {
			fault("%v", err)
		}
		records[o.Key] = o
		switch runs := f.services.runs[o.Key]; {
		case !o.Ended():
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
		wrong = append(wrong, r.check(records, f.services.answers[r.key])...)
		if steady && r.ran && r.notRun() {
			fault("order %s was refused as not run (%v) after it ran", r.key, r.err)
		}
		if _, seen := refusedOnly[r.key]; !seen {
			refusedOnly[r.key] = true
		}
		refusedOnly[r.key] = refusedOnly[r.key] && r.notRun()
	}
	for key, only := range refusedOnly {
		if only && f.services.runs[key] > 0 {
			fault("order %s was refused as not run by each daemon and ran", key)
		}
	}
	return wrong
}

func (r modelReply) notRun() bool {
	var refusal *refuser.Refusal
	return errors.As(r.err, &refusal) && refusal.Run == refuser.NotRun || r.err == nil && r.order.State == StateRefused
}

func (r modelReply) check(records map[string]Order, answer []byte) []string {
	record, recorded := records[r.key]
	switch {
	case r.err == nil && !recorded:
		return []string{fmt.Sprintf("order %s: the caller was told %s, and there is no record", r.key, r.order.State)}
	case r.err == nil && r.order.State == StateDone && (record.State != StateDone || !bytes.Equal(r.order.Answer.Body, answer)):
		return []string{fmt.Sprintf("order %s: the caller got %q, the record is %s, the service answered %q", r.key, r.order.Answer.Body, record.State, answer)}
	}
	return nil
}

// setRapid sets a flag of rapid that the command line has not set.
func setRapid(t *testing.T, name, value string) {
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

// For any schedule of faults an order runs at most once, a recorded one comes
// to an end, and none that is refused as not run has run.
func TestOrdersUnderRandomFaults(t *testing.T) {
	setRapid(t, "rapid.seed", modelSeed)
	setRapid(t, "rapid.checks", modelChecks)
	setRapid(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		events, faults := drawSchedule(rt)
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = simulate(events, faults) })
		if len(wrong) > 0 {
			rt.Fatalf("%s\nschedule %+v\nsend faults %v", strings.Join(wrong, "\n"), events, faults)
		}
	})
}
