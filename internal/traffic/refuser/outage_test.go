package refuser

import (
	"testing"
	"time"
)

func TestOutage(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		name    string
		fails   []time.Duration
		ended   bool
		at      time.Duration
		wantTry bool
		want    time.Duration
	}{
		{"never failed", nil, false, time.Minute, true, minRetryAfter},
		{"just failed", []time.Duration{0}, false, 0, false, minRetryAfter},
		{"goes on", []time.Duration{0, 9 * time.Second}, false, 9 * time.Second, false, 9 * time.Second},
		{"worth another try", []time.Duration{0}, false, 4 * time.Second, true, 4 * time.Second},
		{"long", []time.Duration{0}, false, time.Hour, true, maxRetryAfter},
		{"over", []time.Duration{0, time.Second}, true, 2 * time.Second, true, minRetryAfter},
	} {
		var o Outage
		for _, d := range tc.fails {
			o.RecordFailure(start.Add(d))
		}
		if tc.ended {
			o.RecordSuccess()
		}
		at := start.Add(tc.at)
		if got := o.AllowAttempt(at); got != tc.wantTry {
			t.Errorf("%s: got try %t, want %t", tc.name, got, tc.wantTry)
		}
		if got := o.RetryAfter(at); got != tc.want {
			t.Errorf("%s: got Retry-After %s, want %s", tc.name, got, tc.want)
		}
	}
}
