package composer

import (
	"testing"
	"time"
)

// TestStopActions checks that a stop refuses new requests already at the last poll before 3 s after
// the signal. A long request that is accepted 3 s after the signal or later would be cut off when
// the daemon ends.
func TestStopActions(t *testing.T) {
	const last = 7400 * time.Millisecond
	for _, tc := range []struct {
		age         time.Duration
		inFlight    int
		refuse, end bool
	}{
		{0, 0, false, false},
		{2 * time.Second, 5, false, false},
		{3*time.Second - stopPollPeriod, 5, true, false},
		{3 * time.Second, 5, true, false},
		{3 * time.Second, 0, true, true},
		{last - 1, 5, true, false},
		{last, 5, true, true},
	} {
		refuse, end := stopActions(tc.age, last, tc.inFlight)
		if refuse != tc.refuse || end != tc.end {
			t.Errorf("after %s with %d in flight: got refuse %t, end %t, want %t, %t", tc.age, tc.inFlight, refuse, end, tc.refuse, tc.end)
		}
	}
}

// A stop with a grace period shorter than the time for which daemons accept requests refused none before its
// end, and one with a grace period below the margin before the kill ended at once.
func TestShortGraceLeavesTimeToAnswer(t *testing.T) {
	for _, grace := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		last := grace - killMargin(grace)
		if last >= grace || last < grace*5/6 {
			t.Errorf("grace %s: got a wait of %s, want five sixths of it at least, and less than all", grace, last)
		}
		if refuse, _ := stopActions(0, last, 1); refuse {
			t.Errorf("grace %s: got requests refused at once, want not", grace)
		}
		if refuse, end := stopActions(last*7/10, last, 1); !refuse && last < 3*time.Second || end {
			t.Errorf("grace %s: after %s got refuse %t, end %t, want requests refused before the end", grace, last*7/10, refuse, end)
		}
	}
}
