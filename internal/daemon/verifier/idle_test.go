package verifier

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleTime = 5 * time.Second
	// tickRate is the unit of processor time under /proc, a hundredth of a
	// second on Linux.
	tickRate = 100
)

// BenchmarkIdleDaemon reports what one of nine daemons costs while nothing asks
// it for anything: time to ready, resident memory and processor time.
func BenchmarkIdleDaemon(b *testing.B) {
	for range b.N {
		c := newCluster(b)
		var ready time.Duration
		for i := range 9 {
			began := time.Now()
			c.daemon(fmt.Sprintf("entry-%d", i), []string{"portland", "worcester", "hartford"}[i%3], daemonOptions{})
			ready = time.Since(began)
		}
		c.publish(c.daemons[0], testSet())
		c.awaitGeneration(1)
		d := c.daemons[4]
		before := processorTime(b, d.cmd.Process.Pid)
		time.Sleep(idleTime)
		used := processorTime(b, d.cmd.Process.Pid) - before
		b.ReportMetric(float64(ready.Milliseconds()), "ms-to-serve")
		b.ReportMetric(residentMB(b, d.cmd.Process.Pid), "MB-resident")
		b.ReportMetric(100*used.Seconds()/idleTime.Seconds(), "%-of-a-core")
	}
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
