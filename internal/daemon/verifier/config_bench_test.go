package verifier

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// publishes is the number of publishes that one run times.
const publishes = 200

// BenchmarkPublish reports the time from the acceptance of a configuration to
// its being in force at each of nine daemons, and the calls at the store.
func BenchmarkPublish(b *testing.B) {
	w := newNetwork(b, 9)
	generation := w.release(w.daemons[0], numberedSet(0))
	w.awaitInForce(forceLimit, generation, w.daemons...)
	for b.Loop() {
		var times []time.Duration
		began := time.Now()
		before := w.calls()
		for n := range publishes {
			times = append(times, w.timePublish(b, w.daemons[n%len(w.daemons)], &generation)...)
		}
		after := w.calls()
		slices.Sort(times)
		for _, p := range []float64{0.5, 0.99} {
			b.ReportMetric(float64(times[int(p*float64(len(times)-1))].Microseconds())/1000, fmt.Sprintf("ms-p%g", 100*p))
		}
		b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
		b.ReportMetric(float64(after.Reads-before.Reads)/publishes, "reads/publish")
		b.ReportMetric(float64(after.Writes-before.Writes)/publishes, "writes/publish")
		b.ReportMetric(float64(after.Watches-before.Watches)/time.Since(began).Seconds(), "watches/s")
	}
}

// timePublish publishes through one daemon and returns when it was in force at
// each.
func (w *network) timePublish(b *testing.B, d *daemon, generation *uint64) []time.Duration {
	b.Helper()
	*generation = w.putSet(b, d, *generation)
	began := time.Now()
	times := make([]time.Duration, len(w.daemons))
	var wg sync.WaitGroup
	for i, d := range w.daemons {
		wg.Go(func() {
			for d.etag(b) != *generation {
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	wg.Wait()
	return times
}

// BenchmarkDeath reports the time until all other daemons know of one's death.
func BenchmarkDeath(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureDeath(b, n)
			}
		})
	}
}

// BenchmarkControlCost reports what an idle daemon sends and receives over the
// wire to other daemons, and what processor time and memory it takes, once a
// fleet has long settled.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, n)
			}
		})
	}
}

func measureControl(b *testing.B, n int) {
	const settled, window = 15 * time.Second, 15 * time.Second
	c := newCluster(b)
	for i := range n {
		c.daemon(fmt.Sprintf("entry-%d", i), failureDomains[i%len(failureDomains)], daemonOptions{})
	}
	time.Sleep(settled)
	d := c.daemons[n/2]
	traffic := func() float64 { return d.counter(b, "peers_sent_bytes") + d.counter(b, "peers_received_bytes") }
	bytes, used := traffic(), processorTime(b, d.cmd.Process.Pid)
	time.Sleep(window)
	b.ReportMetric((traffic()-bytes)/window.Seconds(), "wire-B/s")
	b.ReportMetric(100*(processorTime(b, d.cmd.Process.Pid)-used).Seconds()/window.Seconds(), "%-of-a-core")
	b.ReportMetric(residentMB(b, d.cmd.Process.Pid), "MB-resident")
	b.ReportMetric(d.counter(b, "peers_connections"), "connections")
}
