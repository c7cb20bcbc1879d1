package verifier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/keeper"
)

// duty returns what the store holds of a duty.
func (c *cluster) duty(name string) dutykeeper.Record {
	c.t.Helper()
	var r dutykeeper.Record
	e, err := storer.NewClient(storer.ClientConfig{Address: c.address}).Get(c.t.Context(), dutykeeper.Prefix+name)
	if err != nil {
		return r
	}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		c.t.Fatal(err)
	}
	return r
}

func (c *cluster) named(name string) *daemon {
	c.t.Helper()
	i := slices.IndexFunc(c.daemons, func(d *daemon) bool { return d.name == name })
	if i < 0 {
		c.t.Fatalf("daemon %q does not exist", name)
	}
	return c.daemons[i]
}

// TestOrderHolderPaused stops the daemon that orders the engines of a failure
// domain past its lease, just as a move wants a version loaded, and wakes it
// once another has taken over.
func TestOrderHolderPaused(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			t.Parallel()
			c, engines := pausable(t, fencing)
			eventually(t, startTimeout, "orders held", func() bool { return c.duty("orders/portland").Epoch > 0 })
			before := c.duty("orders/portland")
			holder := c.named(before.Holder)
			other := c.daemons[(slices.Index(c.daemons, holder)+1)%len(c.daemons)]
			holder.signal(t, syscall.SIGSTOP)
			set := moveSet(time.Now().Add(time.Hour))
			if fencing {
				set = strings.ReplaceAll(set, "class: l4, price: 1", "class: l4, price: 1, fencing: true")
			}
			c.publish(other, set)
			loaded := func() bool {
				for _, g := range engines {
					if !slices.Contains(g.Load().Versions, "chat-v2") {
						return false
					}
				}
				return true
			}
			eventually(t, startTimeout, "version loaded by the new holder", loaded)
			after := c.duty("orders/portland")
			if after.Epoch <= before.Epoch {
				t.Errorf("got epoch %d after %d, want it to grow", after.Epoch, before.Epoch)
			}
			holder.signal(t, syscall.SIGCONT)
			time.Sleep(2 * time.Second)
			if !loaded() {
				t.Error("version is not loaded any more after the old holder was woken")
			}
			if got := engines[0].Load().Fence; got < after.Epoch {
				t.Errorf("got fencing number %d at the engine, want at least %d", got, after.Epoch)
			}
		})
	}
}

// pausable starts three daemons and three engines with a configuration in
// force.
func pausable(t *testing.T, fencing bool) (*cluster, []*generator.Generator) {
	c := newCluster(t)
	engines := c.generators(generator.Config{Versions: []string{"chat-v1"}, Fencing: fencing}, nil)
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		c.daemon("entry-"+domain, domain, daemonOptions{})
	}
	c.publish(c.daemons[0], testSet())
	c.awaitGeneration(1)
	c.awaitEndpoints(3)
	return c, engines
}

// nine starts nine daemons and three engines with a configuration in force.
func nine(b *testing.B) *moving {
	m := &moving{cluster: newCluster(b)}
	m.engines = m.generators(generator.Config{Versions: []string{"chat-v1"}}, &m.bad)
	for i := range 9 {
		m.daemon(fmt.Sprintf("entry-%d", i), []string{"portland", "worcester", "hartford"}[i%3], daemonOptions{})
	}
	m.publish(m.daemons[0], testSet())
	m.awaitGeneration(1)
	m.awaitEndpoints(3)
	return m
}

// BenchmarkTakeBack reports how long nine daemons take to take back a version
// that begins to fail while it has a tenth of the traffic.
func BenchmarkTakeBack(b *testing.B) {
	var took time.Duration
	for range b.N {
		m := nine(b)
		m.publish(m.daemons[0], moveSet(time.Now().Add(40*time.Second)))
		m.traffic(m.ask)
		eventually(b, startTimeout, "a tenth of the traffic moved", func() bool { return m.move(m.daemons[0]).Share == 10 })
		m.bad.Store(true)
		began := time.Now()
		for _, d := range m.daemons {
			eventually(b, startTimeout, "taken back at "+d.name, func() bool { return m.move(d).Share == 0 })
		}
		took += time.Since(began)
		b.Log(m.move(m.daemons[0]).Reason)
	}
	b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-to-take-back")
}

// BenchmarkStoreCalls reports the calls a second that nine daemons make at the
// store, and the gossip that each sends, idle and during a move.
func BenchmarkStoreCalls(b *testing.B) {
	for range b.N {
		m := nine(b)
		time.Sleep(5 * time.Second)
		m.reportCalls(b, "idle", 10*time.Second)
		by := time.Now().Add(17 * time.Second)
		m.publish(m.daemons[0], moveSet(by))
		m.traffic(m.ask)
		m.reportCalls(b, "moving", time.Until(by))
	}
}

func (c *cluster) reportCalls(b *testing.B, name string, d time.Duration) {
	calls := func() keeper.Calls { return getJSON[keeper.Calls](b, c.address, "/calls") }
	before, bytesBefore := calls(), c.gossiped()
	time.Sleep(d)
	after, bytesAfter := calls(), c.gossiped()
	b.ReportMetric(float64(after.Writes-before.Writes)/d.Seconds(), name+"-writes/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/d.Seconds(), name+"-reads/s")
	b.ReportMetric(float64(after.Waiting), name+"-watches")
	b.ReportMetric((bytesAfter-bytesBefore)/d.Seconds()/float64(len(c.daemons)), name+"-B/s-a-daemon")
}

// gossiped returns the bytes of gossip and of reports of outcomes that all
// daemons have sent.
func (c *cluster) gossiped() float64 {
	c.t.Helper()
	var sum float64
	for _, d := range c.daemons {
		for line := range strings.Lines(string(call(c.t, http.MethodGet, "http://"+d.operators+"/metrics", nil, nil))) {
			name, value, _ := strings.Cut(line, " ")
			if name == "pomelotiller_gossip_sent_bytes_total" || name == "pomelotiller_move_report_bytes_total" {
				n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				if err != nil {
					c.t.Fatal(err)
				}
				sum += n
			}
		}
	}
	return sum
}
