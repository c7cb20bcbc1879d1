package throttler

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// BenchmarkWait measures what one choice among 84 endpoints costs: without limits, and with all of them
// limited, in fleets of several sizes. Each choice is 40 ms after the one before.
func BenchmarkWait(b *testing.B) {
	const endpoints = 84
	for _, tc := range []struct {
		daemons int
		limited bool
	}{{195, false}, {9, true}, {195, true}, {420, true}} {
		b.Run(fmt.Sprintf("%d daemons, limited %t", tc.daemons, tc.limited), func(b *testing.B) {
			var members, ids []string
			for i := range tc.daemons {
				members = append(members, fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250))
			}
			now := time.Now()
			t := New(Config{
				Self: members[0], Members: func() []string { return members }, Announce: func() {}, Now: func() time.Time { return now },
				Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
			})
			for i := range endpoints {
				ids = append(ids, fmt.Sprint("endpoint-", i))
				if tc.limited {
					t.RecordLimit(ids[i], 1, 2)
				}
			}
			for b.Loop() {
				now = now.Add(40 * time.Millisecond)
				for _, id := range ids {
					t.Wait(id, 1)
				}
			}
		})
	}
}
