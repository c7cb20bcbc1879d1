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
