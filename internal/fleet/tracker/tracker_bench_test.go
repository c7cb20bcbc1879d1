package tracker

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFlapping measures the changes of an endpoint that comes and goes among 84.
func BenchmarkFlapping(b *testing.B) {
	tr, _ := newTracker()
	for i := range 84 {
		tr.Apply([]Change{newAnnouncement(fmt.Sprint("e", i), 1, false)}, time.Time{})
	}
	for i := int64(0); b.Loop(); i++ {
		tr.Apply([]Change{{ID: "e5", Revision: uint64(i), Gone: true}}, time.Time{})
		tr.Apply([]Change{newAnnouncement("e5", i, false)}, time.Time{})
	}
}
