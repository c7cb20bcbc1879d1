package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// The large fleet of the benchmarks: requests a second at all daemons, and the time between two
	// reports of one daemon.
	largeDaemons      = 195
	largeEndpoints    = 84
	largeRequests     = 560
	largeReportPeriod = 1700 * time.Millisecond
	tickPeriod        = 50 * time.Millisecond
)

// largeFleet is many quarantiners that share one clock.
type largeFleet struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*Quarantiner
	next    time.Time
}

func newLargeFleet(daemons int) *largeFleet {
	f := &largeFleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0)}
	for range daemons {
		f.daemons = append(f.daemons, New(Config{Announce: func() {}, Now: func() time.Time { return f.now }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()}))
	}
	return f
}

// run serves requests with two shared blocks for a time. broken is the fraction whose answer breaks off
// after its start, at endpoints that do not crash.
func (f *largeFleet) run(d time.Duration, broken float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		for range int(largeRequests * tickPeriod / time.Second) {
			q := f.daemons[f.rng.IntN(len(f.daemons))]
			blocks := []string{fmt.Sprintf("%016x", f.rng.IntN(40)), fmt.Sprintf("%016x", 1000+f.rng.IntN(2400))}
			if f.rng.Float64() < broken {
				q.RecordBreak(fmt.Sprintf("i-%010d", f.rng.IntN(largeEndpoints)), 1_000_000_000_000, blocks, true)
				continue
			}
			q.RecordAnswer(blocks)
		}
		for _, q := range f.daemons {
			q.Tick()
		}
		if !f.now.Before(f.next) {
			f.next = f.now.Add(largeReportPeriod)
			f.exchange()
		}
	}
}

// exchange gives each daemon the reports of all others.
func (f *largeFleet) exchange() {
	for i, r := range f.reports() {
		for j, q := range f.daemons {
			if i != j {
				q.RecordReport(fmt.Sprint(i), r)
			}
		}
	}
}

func (f *largeFleet) reports() []sharer.Suspicions {
	out := make([]sharer.Suspicions, len(f.daemons))
	for i, q := range f.daemons {
		out[i] = q.LocalReport()
	}
	return out
}

// BenchmarkBreaks measures what the quarantiner of one daemon of a large fleet does, after so many
// seconds in which a fraction of all answers broke off.
func BenchmarkBreaks(b *testing.B) {
	for _, tc := range []struct {
		broken  float64
		seconds int
	}{{0, 5}, {0.06, 5}, {0.06, 10}, {0.06, 20}} {
		b.Run(fmt.Sprintf("%.0f%%,%ds", 100*tc.broken, tc.seconds), func(b *testing.B) {
			f := newLargeFleet(largeDaemons)
			f.run(time.Duration(tc.seconds)*time.Second, tc.broken)
			benchmarkQuarantiner(b, f.daemons[0], f.reports())
		})
	}
}

// benchmarkQuarantiner measures the work of one quarantiner, given the reports of all.
func benchmarkQuarantiner(b *testing.B, q *Quarantiner, reports []sharer.Suspicions) {
	b.Run("Tick", func(b *testing.B) {
		for b.Loop() {
			q.Tick()
		}
	})
	b.Run("TickAfterReport", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			q.RecordReport("another", sharer.Suspicions{Cleared: []string{fmt.Sprint("block-", i%2)}})
			q.Tick()
		}
	})
	b.Run("LocalReport", func(b *testing.B) {
		for b.Loop() {
			q.LocalReport()
		}
		b.ReportMetric(float64(encodedBytes(b, reports))/float64(len(reports)), "B/report")
	})
	b.Run("RecordReports", func(b *testing.B) {
		for b.Loop() {
			for i, r := range reports[1:] {
				q.RecordReport(fmt.Sprint(i+1), r)
			}
		}
	})
}

func encodedBytes(b *testing.B, reports []sharer.Suspicions) int {
	n := 0
	for _, r := range reports {
		e, err := cbor.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		n += len(e)
	}
	return n
}
