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

// dutyRecord reads the record of a duty from the store; it is empty if there is none.
func (c *cluster) dutyRecord(name string) dutykeeper.Record {
	c.t.Helper()
	var r dutykeeper.Record
	e, err := storer.NewClient(storer.ClientConfig{Address: c.platformAddress}).Get(c.t.Context(), dutykeeper.RecordPrefix+name)
	if err != nil {
		return r
	}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		c.t.Fatal(err)
	}
	return r
}

func (c *cluster) findDaemon(name string) *daemon {
	c.t.Helper()
	i := slices.IndexFunc(c.daemons, func(d *daemon) bool { return d.name == name })
	if i < 0 {
		c.t.Fatalf("daemon %q does not exist", name)
	}
	return c.daemons[i]
}

// TestEngineOrderHolderPaused pauses the daemon that sends orders to the engines of a failure domain
// until its lease expires, while a move needs a version loaded. It resumes the daemon after another
// one has acquired the duty; the version must stay loaded.
func TestEngineOrderHolderPaused(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			t.Parallel()
			c, engines := newFencingCluster(t, fencing)
			eventually(t, startTimeout, "duty of engine orders held", func() bool { return c.dutyRecord("orders/portland").Epoch > 0 })
			before := c.dutyRecord("orders/portland")
			holder := c.findDaemon(before.Holder)
			other := c.daemons[(slices.Index(c.daemons, holder)+1)%len(c.daemons)]
			holder.signal(t, syscall.SIGSTOP)
			set := moveConfig(time.Now().Add(time.Hour))
			if fencing {
				set = strings.ReplaceAll(set, "class: l4, price: 1", "class: l4, price: 1, fencing: true")
			}
			c.publishConfig(other, set)
			loaded := func() bool {
				for _, g := range engines {
					if !slices.Contains(g.Load().Versions, "chat-v2") {
						return false
					}
				}
				return true
			}
			eventually(t, startTimeout, "version loaded by the new holder", loaded)
			after := c.dutyRecord("orders/portland")
			if after.Epoch <= before.Epoch {
				t.Errorf("got epoch %d after %d, want a higher one", after.Epoch, before.Epoch)
			}
			holder.signal(t, syscall.SIGCONT)
			time.Sleep(2 * time.Second)
			if !loaded() {
				t.Error("version is no longer loaded after the old holder resumed")
			}
			if got := engines[0].Load().Fence; got < after.Epoch {
				t.Errorf("got fencing token %d at the engine, want at least %d", got, after.Epoch)
			}
		})
	}
}

// newFencingCluster starts three daemons and three in-process engines and publishes testConfig. If
// fencing is set, the engines check fencing tokens.
func newFencingCluster(t *testing.T, fencing bool) (*cluster, []*generator.Generator) {
	c := newCluster(t)
	engines := c.startLocalEngines(generator.Config{Versions: []string{"chat-v1"}, Fencing: fencing}, nil)
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		c.startDaemon("entry-"+domain, domain, settingsOverrides{})
	}
	c.publishConfig(c.daemons[0], testConfig())
	c.awaitGeneration(1)
	c.awaitEndpoints(3)
	return c, engines
}

// newNineDaemonCluster starts nine daemons and three in-process engines and publishes testConfig.
func newNineDaemonCluster(b *testing.B) *moveCluster {
	m := &moveCluster{cluster: newCluster(b)}
	m.engines = m.startLocalEngines(generator.Config{Versions: []string{"chat-v1"}}, &m.failNewVersion)
	for i := range 9 {
		m.startDaemon(fmt.Sprintf("entry-%d", i), []string{"portland", "worcester", "hartford"}[i%3], settingsOverrides{})
	}
	m.publishConfig(m.daemons[0], testConfig())
	m.awaitGeneration(1)
	m.awaitEndpoints(3)
	return m
}

// BenchmarkRevert reports how long nine daemons take to revert a move to a version that begins to
// fail while it gets a tenth of the traffic.
func BenchmarkRevert(b *testing.B) {
	var took time.Duration
	for range b.N {
		m := newNineDaemonCluster(b)
		m.publishConfig(m.daemons[0], moveConfig(time.Now().Add(40*time.Second)))
		m.startTraffic(m.requestCompletion)
		eventually(b, startTimeout, "a tenth of the traffic moved", func() bool { return m.moveStatus(m.daemons[0]).Share == 10 })
		m.failNewVersion.Store(true)
		began := time.Now()
		for _, d := range m.daemons {
			eventually(b, startTimeout, "move reverted at "+d.name, func() bool { return m.moveStatus(d).Share == 0 })
		}
		took += time.Since(began)
		b.Log(m.moveStatus(m.daemons[0]).Reason)
	}
	b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-to-take-back")
}

// BenchmarkStoreCalls reports the calls per second that nine daemons make to the store and the gossip
// bytes that each daemon sends, when idle and during a move.
func BenchmarkStoreCalls(b *testing.B) {
	for range b.N {
		m := newNineDaemonCluster(b)
		time.Sleep(5 * time.Second)
		m.reportStoreCalls(b, "idle", 10*time.Second)
		by := time.Now().Add(17 * time.Second)
		m.publishConfig(m.daemons[0], moveConfig(by))
		m.startTraffic(m.requestCompletion)
		m.reportStoreCalls(b, "moving", time.Until(by))
	}
}

func (c *cluster) reportStoreCalls(b *testing.B, name string, d time.Duration) {
	calls := func() keeper.Calls { return getJSON[keeper.Calls](b, c.platformAddress, "/calls") }
	before, bytesBefore := calls(), c.gossipBytesSent()
	time.Sleep(d)
	after, bytesAfter := calls(), c.gossipBytesSent()
	b.ReportMetric(float64(after.Writes-before.Writes)/d.Seconds(), name+"-writes/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/d.Seconds(), name+"-reads/s")
	b.ReportMetric(float64(after.Waiting), name+"-watches")
	b.ReportMetric((bytesAfter-bytesBefore)/d.Seconds()/float64(len(c.daemons)), name+"-B/s-a-daemon")
}

// gossipBytesSent returns the bytes of gossip and of reports of move outcomes that all daemons have
// sent.
func (c *cluster) gossipBytesSent() float64 {
	c.t.Helper()
	var sum float64
	for _, d := range c.daemons {
		for line := range strings.Lines(string(mustRequest(c.t, http.MethodGet, "http://"+d.operatorAddress+"/metrics", nil, nil))) {
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
