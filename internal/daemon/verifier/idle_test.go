package verifier

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/standin/keeper"
)

const (
	// startupWait is the time after which the start of a fleet no longer affects measurements.
	startupWait = 5 * time.Second
	idleWindow  = 10 * time.Second
	// ticksPerSecond is USER_HZ, the unit of processor time in /proc/PID/stat, which is 100 on Linux.
	ticksPerSecond = 100
)

// BenchmarkIdleDaemon reports the processor time, memory and gossip of one daemon, and the calls to
// the store, while callers send no requests.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				measureIdleDaemon(b, n)
			}
		})
	}
}

func measureIdleDaemon(b *testing.B, n int) {
	c := newCluster(b)
	var ready time.Duration
	for i := range n {
		began := time.Now()
		c.startDaemon(fmt.Sprintf("entry-%d", i), []string{"portland", "worcester", "hartford"}[i%3], settingsOverrides{})
		ready = time.Since(began)
	}
	c.publishConfig(c.daemons[0], testConfig())
	c.awaitGeneration(1)
	time.Sleep(startupWait)
	d := c.daemons[n/2]
	before, storeCalls, sent := processorTime(b, d.cmd.Process.Pid), c.storeCalls(), d.metricSum(b, "gossip_sent_bytes_total")
	time.Sleep(idleWindow)
	used := processorTime(b, d.cmd.Process.Pid) - before
	after := c.storeCalls()
	b.ReportMetric(float64(ready.Milliseconds()), "ms-to-serve")
	b.ReportMetric(residentMB(b, d.cmd.Process.Pid), "MB-resident")
	b.ReportMetric(100*used.Seconds()/idleWindow.Seconds(), "%-of-a-core")
	b.ReportMetric((d.metricSum(b, "gossip_sent_bytes_total")-sent)/idleWindow.Seconds(), "B/s-gossip")
	b.ReportMetric(float64(after.Reads-storeCalls.Reads+after.Watches-storeCalls.Watches)/idleWindow.Seconds(), "store-reads/s")
	b.ReportMetric(float64(after.Writes-storeCalls.Writes)/idleWindow.Seconds(), "store-writes/s")
}

// storeCalls returns the counts of calls that the store has received.
func (c *cluster) storeCalls() keeper.Calls {
	c.t.Helper()
	return getJSON[keeper.Calls](c.t, c.platformAddress, "/calls")
}

// metricSum returns the sum of a daemon's metric over all labels, or 0 if there is none.
func (d *daemon) metricSum(t testing.TB, name string) float64 {
	t.Helper()
	var sum float64
	for _, line := range d.metricLines(t, name) {
		fields := strings.Fields(line)
		n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			t.Fatalf("metric %s%s: %v", name, line, err)
		}
		sum += n
	}
	return sum
}

// metricLines returns the labels and the value of each line of a daemon's metric.
func (d *daemon) metricLines(t testing.TB, name string) []string {
	t.Helper()
	var lines []string
	for line := range strings.Lines(string(mustRequest(t, http.MethodGet, "http://"+d.operatorAddress+"/metrics", nil, nil))) {
		rest, ok := strings.CutPrefix(line, meter.Prefix+name)
		if ok && (rest[0] == ' ' || rest[0] == '{') {
			lines = append(lines, strings.TrimSpace(rest))
		}
	}
	return lines
}

// processorTime reads the user plus system time of a process.
func processorTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The program name in parentheses may contain spaces, so parsing begins after it.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

func residentMB(t testing.TB, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb / 1024
		}
	}
	t.Fatal("no VmRSS in the status file of the process")
	return 0
}
