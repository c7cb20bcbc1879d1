package verifier

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// publishCount is the number of publishes that BenchmarkPublish times in one iteration.
const publishCount = 200

// BenchmarkPublish reports the time from the acceptance of a configuration until it is in force at
// each of nine daemons, and the calls to the store.
func BenchmarkPublish(b *testing.B) {
	w := newProxiedCluster(b, 9)
	generation := w.publishNext(w.daemons[0], numberedConfig(0))
	w.awaitInForce(propagationLimit, generation, w.daemons...)
	for b.Loop() {
		var times []time.Duration
		began := time.Now()
		before := w.storeCalls()
		for n := range publishCount {
			times = append(times, w.timePublish(b, w.daemons[n%len(w.daemons)], &generation)...)
		}
		after := w.storeCalls()
		slices.Sort(times)
		for _, p := range []float64{0.5, 0.99} {
			b.ReportMetric(float64(times[int(p*float64(len(times)-1))].Microseconds())/1000, fmt.Sprintf("ms-p%g", 100*p))
		}
		b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
		b.ReportMetric(float64(after.Reads-before.Reads)/publishCount, "reads/publish")
		b.ReportMetric(float64(after.Writes-before.Writes)/publishCount, "writes/publish")
		b.ReportMetric(float64(after.Watches-before.Watches)/time.Since(began).Seconds(), "watches/s")
	}
}

// timePublish publishes through one daemon and returns how long it took each daemon to have the
// configuration in force.
func (w *proxiedCluster) timePublish(b *testing.B, d *daemon, generation *uint64) []time.Duration {
	b.Helper()
	*generation = w.putConfig(b, d, *generation)
	began := time.Now()
	times := make([]time.Duration, len(w.daemons))
	var wg sync.WaitGroup
	for i, d := range w.daemons {
		wg.Go(func() {
			for d.etagGeneration(b) != *generation {
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	wg.Wait()
	return times
}

// BenchmarkFailureDetection reports the time until all other daemons see a killed daemon as
// suspected and as gone.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureFailureDetection(b, n)
			}
		})
	}
}

// BenchmarkControlCost reports the bytes that an idle daemon exchanges with other daemons and the
// processor time and memory that it uses, in a fleet that has run for some time.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureControlCost(b, n)
			}
		})
	}
}

func measureControlCost(b *testing.B, n int) {
	const settled, window = 15 * time.Second, 15 * time.Second
	c := newCluster(b)
	for i := range n {
		c.startDaemon(fmt.Sprintf("entry-%d", i), failureDomains[i%len(failureDomains)], settingsOverrides{})
	}
	time.Sleep(settled)
	d := c.daemons[n/2]
	traffic := func() float64 { return d.metricSum(b, "peers_sent_bytes") + d.metricSum(b, "peers_received_bytes") }
	bytes, used := traffic(), processorTime(b, d.cmd.Process.Pid)
	time.Sleep(window)
	b.ReportMetric((traffic()-bytes)/window.Seconds(), "wire-B/s")
	b.ReportMetric(100*(processorTime(b, d.cmd.Process.Pid)-used).Seconds()/window.Seconds(), "%-of-a-core")
	b.ReportMetric(residentMB(b, d.cmd.Process.Pid), "MB-resident")
	b.ReportMetric(d.metricSum(b, "peers_connections"), "connections")
}
