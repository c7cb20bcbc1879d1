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
	moveTokens     = 4
	callersADaemon = 4
	callPause      = 15 * time.Millisecond
)

// moveSet is testSet with a second version, and a move to it.
func moveSet(by time.Time) string {
	s := strings.Replace(testSet(), "  - {name: desk-v1,",
		"  - {name: chat-v2, model: chat, weights: chat/v2, pools: [portland, worcester, hartford]}\n  - {name: desk-v1,", 1)
	return s + fmt.Sprintf("moves:\n  - {name: chat-2, route: chat, from: chat-v1, to: chat-v2, by: %s, first: 5}\n",
		by.UTC().Format(time.RFC3339))
}

// moving is a cluster under traffic with a move on its way.
type moving struct {
	*cluster
	engines []*generator.Generator
	// failed counts requests without a whole answer, sent all of them.
	failed, sent atomic.Int64
	// bad makes the second version fail.
	bad atomic.Bool
}

// generators starts an engine in each failure domain in the test's own process.
// bad, if not nil, makes their second version fail while it is set.
func (c *cluster) generators(cfg generator.Config, bad *atomic.Bool) []*generator.Generator {
	c.t.Helper()
	var engines []*generator.Generator
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		g := generator.New(cfg)
		srv := httptest.NewServer(failing(g.Handler(), bad))
		c.t.Cleanup(srv.Close)
		engines = append(engines, g)
		c.host(lister.Host{
			Name: "engine-" + domain, Domain: domain, Pool: domain, Role: lister.RoleEngine,
			Address: srv.Listener.Addr().String(), State: lister.StateLive,
		})
	}
	return engines
}

func failing(h http.Handler, bad *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if bad == nil || !bad.Load() || r.URL.Path != inferrer.PathChat {
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

// newMoving starts daemons and engines, publishes a move, and keeps asking for
// completions until the test ends.
func newMoving(t *testing.T, by time.Time, faulty map[string]generator.Fault) *moving {
	t.Helper()
	m := &moving{cluster: newCluster(t)}
	m.engines = m.generators(generator.Config{Versions: []string{"chat-v1"}, Faulty: faulty}, &m.bad)
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		m.daemon("entry-"+domain, domain, daemonOptions{})
	}
	m.publish(m.daemons[0], testSet())
	m.awaitGeneration(1)
	m.awaitEndpoints(3)
	m.publish(m.daemons[0], moveSet(by))
	m.traffic(m.ask)
	return m
}

// traffic sends requests to all daemons until the test ends.
func (m *moving) traffic(ask func(d *daemon, what string)) {
	stop := make(chan struct{})
	var g sync.WaitGroup
	for _, d := range m.daemons {
		for n := range callersADaemon {
			g.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(callPause):
						ask(d, fmt.Sprintf("caller %d request %d", n, i))
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

func (m *moving) ask(d *daemon, prompt string) {
	select {
	case <-d.done:
		return
	default:
	}
	body := fmt.Sprintf(`{"model":"chat","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, moveTokens, prompt)
	m.sent.Add(1)
	status, b, err := tryRequest(http.MethodPost, "http://"+d.callers+inferrer.PathChat, []byte(body), nil)
	if err != nil || status != http.StatusOK {
		m.failed.Add(1)
		m.t.Logf("request at %s: %v, status %d: %s", d.name, err, status, b)
	}
}

// move returns the move as a daemon shows it.
func (m *moving) move(d *daemon) mover.Row {
	rows := getJSON[[]mover.Row](m.t, d.operators, "/moves")
	if len(rows) == 0 {
		return mover.Row{}
	}
	return rows[0]
}

// await waits until the given daemons show a state.
func (m *moving) await(limit time.Duration, s mover.State, daemons ...*daemon) {
	m.t.Helper()
	for _, d := range daemons {
		eventually(m.t, limit, fmt.Sprintf("%s at %s", s, d.name), func() bool { return m.move(d).State == s })
	}
}

// served returns the number of completions that engines began of a version.
func (m *moving) served(version string) int {
	n := 0
	for _, g := range m.engines {
		n += g.Served()[version]
	}
	return n
}

// holder returns the daemon that wrote the move's last step.
func (m *moving) holder() *daemon {
	name := m.move(m.daemons[0]).Holder
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	m.t.Fatalf("holder %q is not a daemon", name)
	return nil
}

func TestMoveDoneInTime(t *testing.T) {
	by := time.Now().Add(17 * time.Second)
	m := newMoving(t, by, nil)
	m.await(time.Until(by), mover.Done, m.daemons...)
	before := m.served("chat-v1")
	time.Sleep(time.Second)
	if got := m.served("chat-v1") - before; got > 0 {
		t.Errorf("got %d requests to the old version after the move is done, want 0", got)
	}
	if got := m.failed.Load(); got > 0 {
		t.Errorf("got %d of %d requests failed, want 0", got, m.sent.Load())
	}
}

func TestBadVersionTakenBack(t *testing.T) {
	m := newMoving(t, time.Now().Add(30*time.Second), map[string]generator.Fault{"chat-v2": generator.FaultErrors})
	m.await(15*time.Second, mover.Reverted, m.daemons...)
	touched := m.served("chat-v2")
	time.Sleep(time.Second)
	if got := m.served("chat-v2"); got != touched {
		t.Errorf("got %d attempts at the version after it was taken back, want 0", got-touched)
	}
	r := m.move(m.daemons[2])
	if !strings.Contains(r.Reason, "errors") {
		t.Errorf("got reason %q, want the errors in it", r.Reason)
	}
	if got := m.failed.Load(); got > 0 {
		t.Errorf("got %d of %d requests failed, want 0: the old version can answer", got, m.sent.Load())
	}
	t.Logf("%d attempts at the bad version, %d of %d requests failed; %s", touched, m.failed.Load(), m.sent.Load(), r.Reason)
}

// TestLateFault lets the new version fail in the middle of the ramp while the
// store is away, and after the move is done; it is taken back at once.
func TestLateFault(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		at   mover.State
		down bool
	}{
		{"ramping, without a store", mover.Ramping, true},
		{"done", mover.Done, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoving(t, time.Now().Add(17*time.Second), nil)
			m.await(17*time.Second, tc.at, m.daemons...)
			m.faults(keeper.Faults{Down: tc.down})
			m.bad.Store(true)
			began := time.Now()
			for _, d := range m.daemons {
				eventually(t, 10*time.Second, "taken back at "+d.name, func() bool {
					s := m.move(d).State
					return s == mover.Reverting || s == mover.Reverted
				})
			}
			t.Logf("taken back at all daemons after %s: %s", time.Since(began).Round(10*time.Millisecond), m.move(m.daemons[0]).Reason)
			m.faults(keeper.Faults{})
			m.await(15*time.Second, mover.Reverted, m.daemons...)
			if got := m.failed.Load(); got > 0 {
				t.Errorf("got %d of %d requests failed, want 0: the old version can answer", got, m.sent.Load())
			}
		})
	}
}

// TestHolderLost kills or pauses the daemon that holds a move in the middle of
// it; another must go on with a higher epoch and be done in time.
func TestHolderLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		fail func(t *testing.T, d *daemon)
		wake func(t *testing.T, d *daemon)
	}{
		{"killed", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGKILL) }, nil},
		{
			"paused past its lease", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGSTOP) },
			func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGCONT) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			by := time.Now().Add(22 * time.Second)
			m := newMoving(t, by, nil)
			m.await(15*time.Second, mover.Ramping, m.daemons...)
			h := m.holder()
			before := m.move(h).Epoch
			tc.fail(t, h)
			var others []*daemon
			for _, d := range m.daemons {
				if d != h {
					others = append(others, d)
				}
			}
			m.await(time.Until(by), mover.Done, others...)
			if got := m.move(others[0]).Epoch; got <= before {
				t.Errorf("got epoch %d after %d, want it to grow", got, before)
			}
			if tc.wake != nil {
				tc.wake(t, h)
				m.await(5*time.Second, mover.Done, m.daemons...)
			}
		})
	}
}
