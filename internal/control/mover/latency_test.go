package mover

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/traffic/relayer"
)

// Answers must be compared with old answers before which as much of the prompt had to be computed,
// and intervals only of answers with enough tokens.
func TestLatencyBaseline(t *testing.T) {
	var b latencyBaseline
	for range 10 {
		b.record(relayer.Outcome{FirstTokenTime: 20 * time.Millisecond, UncomputedTokens: 100, Tokens: 50, TokenInterval: 20 * time.Millisecond})
	}
	none, fast := LatencyCounts{}, LatencyCounts{Compared: 1}
	slow := LatencyCounts{Compared: 1, Slow: [4]uint64{1, 1, 0, 0}}
	for _, tc := range []struct {
		name                 string
		outcome              relayer.Outcome
		wantFirst, wantToken LatencyCounts
	}{
		{"as fast", relayer.Outcome{FirstTokenTime: 20 * time.Millisecond, UncomputedTokens: 100, Tokens: 50, TokenInterval: 20 * time.Millisecond}, fast, fast},
		{"slow first token", relayer.Outcome{FirstTokenTime: 100 * time.Millisecond, UncomputedTokens: 100, Tokens: 50, TokenInterval: 20 * time.Millisecond}, slow, fast},
		{"slow tokens", relayer.Outcome{FirstTokenTime: 20 * time.Millisecond, UncomputedTokens: 100, Tokens: 50, TokenInterval: 100 * time.Millisecond}, fast, slow},
		{"cold cache", relayer.Outcome{FirstTokenTime: 100 * time.Millisecond, UncomputedTokens: 1500, Tokens: 50, TokenInterval: 20 * time.Millisecond}, none, fast},
		{"few tokens", relayer.Outcome{FirstTokenTime: 20 * time.Millisecond, UncomputedTokens: 100, Tokens: 5, TokenInterval: 100 * time.Millisecond}, fast, none},
		{"no tokens", relayer.Outcome{}, none, none},
	} {
		first, token := b.compare(tc.outcome)
		if first != tc.wantFirst || token != tc.wantToken {
			t.Errorf("%s: got %+v and %+v, want %+v and %+v", tc.name, first, token, tc.wantFirst, tc.wantToken)
		}
	}
}

// A report of the outcomes of millions of requests must fit into a datagram, also with long names.
func TestReportFitsDatagram(t *testing.T) {
	latency := LatencyCounts{Compared: math.MaxUint32, Slow: [4]uint64{math.MaxUint32, math.MaxUint32, math.MaxUint32, math.MaxUint32}}
	counts := OutcomeCounts{
		Requests: math.MaxUint32, Errors: math.MaxUint32, SlowFirst: math.MaxUint32, SlowToken: math.MaxUint32, Short: math.MaxUint32,
		FirstLatency: latency, TokenLatency: latency,
	}
	pair := VersionCounts{Old: counts, New: counts}
	name := strings.Repeat("n", 40)
	want := outcomeReport{Move: name, Daemon: name, Version: math.MaxUint64, Tally: tally{
		Run: math.MaxUint64, Step: math.MaxUint64, Window: math.MaxUint64, Domain: name, Total: pair, Stage: pair, Windows: [2]VersionCounts{pair, pair},
	}}
	b, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > messenger.MaxDatagramBytes {
		t.Errorf("got %d bytes, want at most %d", len(b), messenger.MaxDatagramBytes)
	}
	var got outcomeReport
	if err := cbor.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
