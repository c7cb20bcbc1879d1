package assessor

import (
	"testing"
	"time"
)

// TestIsRepeated checks which broken answers count after an event at second 10, on a connection that was opened at
// second 5 or later.
func TestIsRepeated(t *testing.T) {
	start := time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type answer struct{ connected, sent, ended float64 }
	type lost struct {
		answer
		hasHead, isSilent bool
	}
	for _, tc := range []struct {
		name string
		// isSilent says that the event was a silence.
		isSilent bool
		answers  []answer
		lost     lost
		want     bool
	}{
		{"in flight at the event", false, nil, lost{answer{5, 9.9, 10.01}, true, false}, true},
		{"in flight, the last answers are read", false, []answer{{5, 9.9, 10.02}}, lost{answer{5, 9.9, 10.03}, true, false}, true},
		{"in flight, others on new connections are answered", false, []answer{{10.1, 10.1, 10.2}}, lost{answer{5, 9.9, 10.3}, true, false}, true},
		{"in flight, another in flight is answered", false, []answer{{5, 9.9, 10.1}}, lost{answer{5, 9.9, 10.2}, true, false}, false},
		{"in flight, a later one on a kept connection is answered", false, []answer{{5, 10.01, 10.02}}, lost{answer{5, 9.9, 10.03}, false, false}, false},
		{"begun after the event", false, nil, lost{answer{5, 10.1, 10.2}, true, false}, false},
		{"idle connection that the event ended", false, nil, lost{answer{5, 10.1, 10.2}, false, false}, true},
		{"new connection, reset at once", false, nil, lost{answer{10.1, 10.1, 10.2}, false, false}, true},
		{"new connection, reset at once after a long time", false, nil, lost{answer{10.9, 10.9, 11}, false, false}, false},
		{"new connection, reset at once, another is answered", false, []answer{{10.1, 10.1, 10.2}}, lost{answer{10.1, 10.1, 10.3}, false, false}, false},
		{"silent connection of before the event", false, []answer{{5, 10.1, 10.2}}, lost{answer{5, 9.9, 12}, false, true}, true},
		{"after a silence, a kept connection is answered", true, []answer{{5, 10.1, 10.2}}, lost{answer{5, 9.9, 10.3}, false, false}, true},
		{"after a silence, begun after it", true, nil, lost{answer{10.1, 10.1, 10.3}, true, false}, false},
		{"times not known", false, nil, lost{answer{}, false, false}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := make(Breaks)
			if b.IsRepeated(Attempt{Endpoint: "i", ConnectedAt: at(5), SentAt: at(9), IsSilent: tc.isSilent}, at(10)) {
				t.Error("got a first event that is repeated")
			}
			for _, a := range tc.answers {
				b.RecordAnswer(Attempt{Endpoint: "i", ConnectedAt: at(a.connected), SentAt: at(a.sent), HasHead: true}, at(a.ended))
			}
			l := tc.lost
			a := Attempt{Endpoint: "i", ConnectedAt: at(l.connected), SentAt: at(l.sent), HasHead: l.hasHead, IsSilent: l.isSilent}
			if l.answer == (answer{}) {
				a.ConnectedAt, a.SentAt, l.ended = time.Time{}, time.Time{}, 10
			}
			if got := b.IsRepeated(a, at(l.ended)); got != tc.want {
				t.Errorf("got repeated %t, want %t", got, tc.want)
			}
		})
	}
}

// The events of one endpoint must say nothing of another.
func TestBreaksOfOtherEndpoints(t *testing.T) {
	b := make(Breaks)
	now := time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)
	for _, endpoint := range []string{"i", "j"} {
		if b.IsRepeated(Attempt{Endpoint: endpoint}, now) {
			t.Errorf("got a first event of %q that is repeated", endpoint)
		}
	}
}
