package sharer

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

func mustEncode(t *testing.T, v any) cbor.RawMessage {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newAttachedSharer returns a Sharer that is attached to hub "h" and counts what it accepts.
func newAttachedSharer(received *int) *Sharer {
	s := New(Config{
		Name: "self", Domain: "z", Address: "a", StatusReceived: func(_, _ *Peer) { *received++ }, PeerUnreachable: func(string) {}, FillStatus: func(*Status) {},
		TotalsReceived: func(OthersTotals) { *received++ }, ReportReceived: func(Report) { *received++ }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	s.overlay.large, s.overlay.hub = true, "h"
	return s
}

// A malformed message of another daemon must not change the state of the receiver or crash it.
func TestMalformedMessagesAreDropped(t *testing.T) {
	totals := func(d totalsFragment) statusMessage { return statusMessage{From: "h", Totals: mustEncode(t, d)} }
	status := func(s Status) statusMessage {
		return statusMessage{From: "h", Entries: []statusEntry{{Status: mustEncode(t, s)}}}
	}
	for name, b := range map[string]statusMessage{
		"no parts":          totals(totalsFragment{Whole: true}),
		"parts below zero":  totals(totalsFragment{Whole: true, Fragments: math.MinInt}),
		"too many parts":    totals(totalsFragment{Whole: true, Fragments: math.MaxInt}),
		"part beyond parts": totals(totalsFragment{Whole: true, Fragment: 3, Fragments: 2}),
		"sum not a number":  totals(totalsFragment{Whole: true, Fragments: 1, Admissions: []Admissions{{"o", math.NaN()}}}),
		"sum without end":   totals(totalsFragment{Whole: true, Fragments: 1, Admissions: []Admissions{{"o", math.Inf(1)}}}),
		"load below zero":   totals(totalsFragment{Whole: true, Fragments: 1, Loads: []Load{{"e", -1, 0}}}),
		"load too large":    totals(totalsFragment{Whole: true, Fragments: 1, Loads: []Load{{"e", math.MaxInt, math.MaxInt}}}),
		"status of nobody":  status(Status{Address: "b"}),
		"status, epoch":     status(Status{Name: "b", Address: "b", DutyEpoch: math.MaxUint64}),
		"status, rest":      status(Status{Name: "b", Address: "b", RemainingAllowance: []RemainingAllowance{{"o", math.Inf(-1)}}}),
		"status, sum":       status(Status{Name: "b", Address: "b", Admissions: []Admissions{{"o", math.NaN()}}}),
		"status, size":      status(Status{Name: "b", Address: "b", Size: math.NaN()}),
		"beat of nobody":    {From: "h", Entries: []statusEntry{{Heartbeat: &heartbeat{Name: "b"}}}},
		"report":            {From: "h", Reports: []cbor.RawMessage{mustEncode(t, "text")}},
	} {
		received := 0
		newAttachedSharer(&received).receive(mustEncode(t, b))
		if received != 0 {
			t.Errorf("%s: got it accepted, want it dropped", name)
		}
	}
}

// A message with corrupted bytes is dropped or accepted, but does not crash the process.
func TestCorruptedMessagesDoNotPanic(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	whole := mustEncode(t, statusMessage{
		From: "h", WantsStatuses: true, Entries: []statusEntry{
			{Status: mustEncode(t, Status{Name: "b", Domain: "z", Address: "b", Boot: 1, Number: 1, Loads: []Load{{"e", 1, 2}}, Moves: []Move{{Service: "s"}}})},
			{Heartbeat: &heartbeat{Name: "b", Boot: 1, Number: 2}},
		},
		LoadReport: &loadReport{Boot: 1, Turn: 1, Number: 1, Admissions: []Admissions{{"o", 3}}}, Totals: mustEncode(t, totalsFragment{Whole: true, Fragments: 1, Loads: []Load{{"e", 1, 2}}}),
		Reports: []cbor.RawMessage{mustEncode(t, Report{Name: "b", Windows: []Window{{Number: 1, Counts: map[string]int{"o": 1}}}})},
	})
	received := 0
	s := newAttachedSharer(&received)
	for range 20_000 {
		b := append([]byte(nil), whole...)
		for range 1 + rnd.IntN(4) {
			b[rnd.IntN(len(b))] = byte(rnd.IntN(256))
		}
		s.receive(b[:1+rnd.IntN(len(b))])
	}
}

// FuzzReceive passes arbitrary bytes to a daemon as a message.
func FuzzReceive(f *testing.F) {
	for _, b := range []statusMessage{
		{From: "h", WantsStatuses: true, Entries: []statusEntry{{Heartbeat: &heartbeat{Name: "b", Boot: 1, Number: 2}}}, IncludedAttachment: 1, IncludedReport: 2, ConfirmedReport: 3},
		{From: "h", LoadReport: &loadReport{Boot: 1, Turn: 1, Number: 1, Admissions: []Admissions{{"o", 3}}}},
	} {
		text, err := cbor.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		received := 0
		s := newAttachedSharer(&received)
		s.receive(body)
		s.overlay.isHub = true
		s.receive(body)
	})
}
