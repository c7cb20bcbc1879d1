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
	// settleTime lets a fleet that has just started come to rest.
	settleTime = 5 * time.Second
	idleTime   = 10 * time.Second
	// tickRate is the unit of processor time under /proc, a hundredth of a
	// second on Linux.
	tickRate = 100
)

// BenchmarkIdleDaemon reports what control costs one daemon of a fleet, and the
// store, while nobody asks for anything.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				measureIdle(b, n)
			}
		})
	}
}

func measureIdle(b *testing.B, n int) {
	c := newCluster(b)
	var ready time.Duration
	for i := range n {
		began := time.Now()
		c.daemon(fmt.Sprintf("entry-%d", i), []string{"portland", "worcester", "hartford"}[i%3], daemonOptions{})
		ready = time.Since(began)
	}
	c.publish(c.daemons[0], testSet())
	c.awaitGeneration(1)
	time.Sleep(settleTime)
	d := c.daemons[n/2]
	before, calls, sent := processorTime(b, d.cmd.Process.Pid), c.calls(), d.counter(b, "gossip_sent_bytes_total")
	time.Sleep(idleTime)
	used := processorTime(b, d.cmd.Process.Pid) - before
	after := c.calls()
	b.ReportMetric(float64(ready.Milliseconds()), "ms-to-serve")
	b.ReportMetric(residentMB(b, d.cmd.Process.Pid), "MB-resident")
	b.ReportMetric(100*used.Seconds()/idleTime.Seconds(), "%-of-a-core")
	b.ReportMetric((d.counter(b, "gossip_sent_bytes_total")-sent)/idleTime.Seconds(), "B/s-gossip")
	b.ReportMetric(float64(after.Reads-calls.Reads+after.Watches-calls.Watches)/idleTime.Seconds(), "store-reads/s")
	b.ReportMetric(float64(after.Writes-calls.Writes)/idleTime.Seconds(), "store-writes/s")
}

// calls returns the calls that the store has taken.
func (c *cluster) calls() keeper.Calls {
	c.t.Helper()
	return getJSON[keeper.Calls](c.t, c.address, "/calls")
}

// counter returns the value of one of the daemon's metrics, 0 if there is none.
func (d *daemon) counter(t testing.TB, name string) float64 {
	t.Helper()
	var sum float64
	for line := range strings.Lines(string(call(t, http.MethodGet, "http://"+d.operators+"/metrics", nil, nil))) {
		rest, ok := strings.CutPrefix(line, meter.Prefix+name)
		if !ok || rest[0] != ' ' && rest[0] != '{' {
			continue
		}
		fields := strings.Fields(rest)
		n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			t.Fatalf("metric %s: %v", line, err)
		}
		sum += n
	}
	return sum
}

// processorTime reads the user and system time of a process.
func processorTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The name of the program, in parentheses, may hold spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / tickRate
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
	t.Fatal("no VmRSS in the status of the process")
	return 0
}
