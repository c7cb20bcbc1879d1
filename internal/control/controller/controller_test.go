package controller

import (
	"testing"
	"time"
)

func TestHostListDelay(t *testing.T) {
	for _, tc := range []struct {
		hosts int
		at    float64
		want  time.Duration
	}{
		{0, 0.5, time.Second},
		{42, 0.5, 1050 * time.Millisecond},
		{1140, 0.5, 28500 * time.Millisecond},
		{1140, 0, 25650 * time.Millisecond},
		{1140, 1, 31350 * time.Millisecond},
	} {
		if got := hostListDelay(tc.hosts, tc.at).Round(time.Millisecond); got != tc.want {
			t.Errorf("got %s for %d hosts at %g, want %s", got, tc.hosts, tc.at, tc.want)
		}
	}
}
