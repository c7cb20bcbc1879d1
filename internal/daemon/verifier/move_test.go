package verifier

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/keeper"
)

const (
	completionTokens = 4
	callersPerDaemon = 4
	callInterval     = 15 * time.Millisecond
)

// moveConfig returns testConfig with a second version and a move to it.
func moveConfig(by time.Time) string {
	s := strings.Replace(testConfig(), "  - {name: desk-v1,",
		"  - {name: chat-v2, model: chat, weights: chat/v2, pools: [portland, worcester, hartford]}\n  - {name: desk-v1,", 1)
	return s + fmt.Sprintf("moves:\n  - {name: chat-2, route: chat, from: chat-v1, to: chat-v2, by: %s, first: 5}\n",
		by.UTC().Format(time.RFC3339))
}

// moveCluster is a cluster for tests of moves under traffic. It counts requests and can make the new
// version fail.
type moveCluster struct {
	*cluster
	engines []*generator.Generator
	// failedRequests counts requests without a complete answer, sentRequests all requests.
	failedRequests, sentRequests atomic.Int64
	// failNewVersion makes the engines answer requests for the second version with errors.
	failNewVersion atomic.Bool
	// by is the deadline of the move.
	by time.Time
}

// startLocalEngines starts an engine in each failure domain, in the test's own process. While
// failNewVersion is true (it may be nil), their second version fails.
func (c *cluster) startLocalEngines(cfg generator.Config, failNewVersion *atomic.Bool) []*generator.Generator {
	c.t.Helper()
	var engines []*generator.Generator
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		g := generator.New(cfg)
		srv := httptest.NewServer(failVersionHandler(g.Handler(), failNewVersion))
		c.t.Cleanup(srv.Close)
		engines = append(engines, g)
		c.putHost(lister.Host{
			Name: "engine-" + domain, Domain: domain, Pool: domain, Role: lister.RoleEngine,
			Address: srv.Listener.Addr().String(), State: lister.StateLive,
		})
	}
	return engines
}

// failVersionHandler wraps the handler of an engine. While failNewVersion is true, it answers
// completion requests for chat-v2 with status 500.
func failVersionHandler(h http.Handler, failNewVersion *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failNewVersion == nil || !failNewVersion.Load() || r.URL.Path != inferrer.PathChat {
			h.ServeHTTP(w, r)
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil || bytes.Contains(b, []byte(`"chat-v2"`)) {
			http.Error(w, "broken version", http.StatusInternalServerError)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, r)
	})
}

// newMoveCluster starts daemons and engines, publishes a move that is due within a time from then, when
// the daemons are ready, and sends completion requests until the test ends.
func newMoveCluster(t *testing.T, within time.Duration, faulty map[string]generator.Fault) *moveCluster {
	t.Helper()
	m := &moveCluster{cluster: newCluster(t)}
	m.engines = m.startLocalEngines(generator.Config{Versions: []string{"chat-v1"}, Faulty: faulty}, &m.failNewVersion)
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		m.startDaemon("entry-"+domain, domain, settingsOverrides{})
	}
	m.publishConfig(m.daemons[0], testConfig())
	m.awaitGeneration(1)
	m.awaitEndpoints(3)
	m.by = time.Now().Add(within)
	m.publishConfig(m.daemons[0], moveConfig(m.by))
	m.startTraffic(m.requestCompletion)
	return m
}

// startTraffic sends requests to all daemons in the background until the test ends.
func (m *moveCluster) startTraffic(sendRequest func(d *daemon, what string)) {
	stop := make(chan struct{})
	var g sync.WaitGroup
	for _, d := range m.daemons {
		for n := range callersPerDaemon {
			g.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(callInterval):
						sendRequest(d, fmt.Sprintf("caller %d request %d", n, i))
					}
				}
			})
		}
	}
	m.t.Cleanup(func() {
		close(stop)
		g.Wait()
	})
}

func (m *moveCluster) requestCompletion(d *daemon, prompt string) {
	select {
	case <-d.done:
		return
	default:
	}
	body := fmt.Sprintf(`{"model":"chat","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, completionTokens, prompt)
	m.sentRequests.Add(1)
	status, b, err := tryRequest(http.MethodPost, "http://"+d.callerAddress+inferrer.PathChat, []byte(body), nil)
	if err != nil || status != http.StatusOK {
		m.failedRequests.Add(1)
		m.t.Logf("%s request at %s: %v, status %d: %s", time.Now().UTC().Format(time.StampMicro), d.name, err, status, b)
		_, view, err := tryRequest(http.MethodGet, "http://"+d.operatorAddress+"/endpoints", nil, nil)
		m.t.Logf("%s endpoints at %s: %v, %s", time.Now().UTC().Format(time.StampMicro), d.name, err, view)
	}
}

// moveStatus returns a daemon's view of the move.
func (m *moveCluster) moveStatus(d *daemon) mover.MoveStatus {
	rows := getJSON[[]mover.MoveStatus](m.t, d.operatorAddress, "/moves")
	if len(rows) == 0 {
		return mover.MoveStatus{}
	}
	return rows[0]
}

// awaitMoveState waits until each of the given daemons reports the move in a state.
func (m *moveCluster) awaitMoveState(limit time.Duration, want mover.State, daemons ...*daemon) {
	m.t.Helper()
	for _, d := range daemons {
		eventually(m.t, limit, fmt.Sprintf("%s at %s", want, d.name), func() bool { return m.moveStatus(d).State == want })
	}
}

// countServed returns how many completions of a version the engines have started.
func (m *moveCluster) countServed(version string) int {
	n := 0
	for _, g := range m.engines {
		n += g.Served()[version]
	}
	return n
}

// moveHolder returns the daemon that wrote the last step of the move to the store.
func (m *moveCluster) moveHolder() *daemon {
	name := m.moveStatus(m.daemons[0]).Holder
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	m.t.Fatalf("holder %q is not a daemon", name)
	return nil
}

func TestMoveDoneInTime(t *testing.T) {
	m := newMoveCluster(t, 17*time.Second, nil)
	m.awaitMoveState(time.Until(m.by), mover.Done, m.daemons...)
	before := m.countServed("chat-v1")
	time.Sleep(time.Second)
	if got := m.countServed("chat-v1") - before; got > 0 {
		t.Errorf("got %d requests to the old version after the move is done, want 0", got)
	}
	if got := m.failedRequests.Load(); got > 0 {
		t.Errorf("got %d of %d requests failed, want 0", got, m.sentRequests.Load())
	}
}

func TestBadVersionReverted(t *testing.T) {
	m := newMoveCluster(t, 30*time.Second, map[string]generator.Fault{"chat-v2": generator.FaultErrors})
	m.awaitMoveState(15*time.Second, mover.Reverted, m.daemons...)
	attempts := m.countServed("chat-v2")
	time.Sleep(time.Second)
	if got := m.countServed("chat-v2"); got != attempts {
		t.Errorf("got %d attempts at the version after the move was reverted, want 0", got-attempts)
	}
	r := m.moveStatus(m.daemons[2])
	if !strings.Contains(r.Reason, "errors") {
		t.Errorf("got reason %q, want it to mention errors", r.Reason)
	}
	if got := m.failedRequests.Load(); got > 0 {
		t.Errorf("got %d of %d requests failed, want 0: the old version can answer", got, m.sentRequests.Load())
	}
	t.Logf("%d attempts at the bad version, %d of %d requests failed; %s", attempts, m.failedRequests.Load(), m.sentRequests.Load(), r.Reason)
}

// TestMoveRevertsOnLateFault makes the new version fail in the middle of the ramp while the store
// is unreachable, and after the move is done. All daemons must revert the move within 10 s.
func TestMoveRevertsOnLateFault(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		state     mover.State
		storeDown bool
	}{
		{"ramping, without a store", mover.Ramping, true},
		{"done", mover.Done, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveCluster(t, 17*time.Second, nil)
			m.awaitMoveState(17*time.Second, tc.state, m.daemons...)
			m.setPlatformFaults(keeper.Faults{Down: tc.storeDown})
			m.failNewVersion.Store(true)
			began := time.Now()
			for _, d := range m.daemons {
				eventually(t, 10*time.Second, "move reverted at "+d.name, func() bool {
					s := m.moveStatus(d).State
					return s == mover.Reverting || s == mover.Reverted
				})
			}
			t.Logf("reverted at all daemons after %s: %s", time.Since(began).Round(10*time.Millisecond), m.moveStatus(m.daemons[0]).Reason)
			m.setPlatformFaults(keeper.Faults{})
			m.awaitMoveState(15*time.Second, mover.Reverted, m.daemons...)
			if got := m.failedRequests.Load(); got > 0 {
				t.Errorf("got %d of %d requests failed, want 0: the old version can answer", got, m.sentRequests.Load())
			}
		})
	}
}

// TestMoveHolderLost kills or pauses the daemon that holds the duty of a move, in the middle of the
// move. Another daemon must continue it with a higher epoch and finish before the deadline.
func TestMoveHolderLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		fail   func(t *testing.T, d *daemon)
		resume func(t *testing.T, d *daemon)
	}{
		{"killed", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGKILL) }, nil},
		{
			"paused past its lease", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGSTOP) },
			func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGCONT) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveCluster(t, 22*time.Second, nil)
			m.awaitMoveState(15*time.Second, mover.Ramping, m.daemons...)
			h := m.moveHolder()
			before := m.moveStatus(h).Epoch
			tc.fail(t, h)
			var others []*daemon
			for _, d := range m.daemons {
				if d != h {
					others = append(others, d)
				}
			}
			m.awaitMoveState(time.Until(m.by), mover.Done, others...)
			if got := m.moveStatus(others[0]).Epoch; got <= before {
				t.Errorf("got epoch %d after %d, want a higher one", got, before)
			}
			if tc.resume != nil {
				tc.resume(t, h)
				m.awaitMoveState(5*time.Second, mover.Done, m.daemons...)
			}
		})
	}
}
