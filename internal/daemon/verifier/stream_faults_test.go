package verifier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/keeper"
)

// leavePromise is how soon a leaving endpoint gets no new work any more.
const leavePromise = 3 * time.Second

// streams runs n streamed chats of some tokens through all daemons in turn; at
// each first token it sends on began. It returns what is wrong with them.
func (c *cluster) streams(n, tokens int, began chan<- int) <-chan string {
	wrong := make(chan string, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			prompt := fmt.Sprintf("stream %d", i)
			s, err := openStream(c.daemons[i%len(c.daemons)].callers, prompt, tokens)
			if err != nil {
				wrong <- err.Error()
				return
			}
			s.next()
			began <- i
			if w := s.rest(prompt, tokens); w != "" {
				wrong <- w
			}
		})
	}
	go func() {
		all.Wait()
		close(wrong)
	}()
	return wrong
}

// stage is a cluster of two daemons before engines whose processes and
// addresses a test knows.
type stage struct {
	*cluster
	engines   []*process
	addresses []string
}

func newStage(t *testing.T, engines int, args ...string) *stage {
	t.Helper()
	s := &stage{cluster: newCluster(t)}
	for i := range engines {
		p, addr := s.engine(fmt.Sprintf("engine-%d", i), "portland", append([]string{"--versions", "chat-v1"}, args...)...)
		s.engines = append(s.engines, p)
		s.addresses = append(s.addresses, addr)
	}
	s.daemon("entry-0", "portland", daemonOptions{})
	s.daemon("entry-1", "worcester", daemonOptions{})
	s.publish(s.daemons[0], testSet())
	s.awaitGeneration(1)
	s.awaitEndpoints(engines)
	return s
}

func (s *stage) transfers() generator.TransferCounts {
	s.t.Helper()
	var sum generator.TransferCounts
	for _, addr := range s.addresses {
		c := getJSON[generator.TransferCounts](s.t, addr, "/transfers")
		sum.Exports += c.Exports
		sum.Imports += c.Imports
		sum.Resumes += c.Resumes
		sum.Recomputed += c.Recomputed
	}
	return sum
}

// TestEngineKilled kills one of three engines under 24 streams.
func TestEngineKilled(t *testing.T) {
	const n = 24
	s := newStage(t, 3, "--token", "10ms")
	began := make(chan int, n)
	wrong := s.streams(n, 100, began)
	for range n {
		<-began
	}
	s.engines[0].signal(t, syscall.SIGKILL)
	s.addresses = s.addresses[1:]
	for w := range wrong {
		t.Error(w)
	}
	got := s.transfers()
	t.Logf("transfers: %+v", got)
	if got.Resumes == 0 || got.Recomputed == 0 {
		t.Errorf("got transfers %+v, want resumed streams", got)
	}
}

// TestEngineReclaimed gives one of three engines notice under 24 streams and
// kills it a second later.
func TestEngineReclaimed(t *testing.T) {
	const n = 24
	s := newStage(t, 3, "--token", "10ms")
	began := make(chan int, n)
	wrong := s.streams(n, 250, began)
	for range n {
		<-began
	}
	call(t, http.MethodPut, "http://"+s.addresses[0]+"/leaving", nil, nil)
	time.Sleep(time.Second)
	if got := getJSON[inferrer.Load](t, s.addresses[0], "/load").Running; got != 0 {
		t.Errorf("got %d streams at the leaving engine a second after its notice, want 0", got)
	}
	s.engines[0].signal(t, syscall.SIGKILL)
	s.addresses = s.addresses[1:]
	for w := range wrong {
		t.Error(w)
	}
	got := s.transfers()
	t.Logf("transfers: %+v", got)
	if got.Imports == 0 || got.Recomputed > got.Imports {
		t.Errorf("got transfers %+v, want imports and at most about a token recomputed for each", got)
	}
}

// TestSilentConnections silences every open connection to the only engine; new
// connections work.
func TestSilentConnections(t *testing.T) {
	const n = 8
	c := newCluster(t)
	_, addr := standin(t, "engine", "--versions", "chat-v1", "--token", "5ms")
	l := c.link("tcp", addr)
	c.host(lister.Host{Name: "engine-0", Domain: "portland", Pool: "portland", Role: lister.RoleEngine, Address: l.Address(), State: lister.StateLive})
	c.daemon("entry-0", "portland", daemonOptions{})
	c.daemon("entry-1", "worcester", daemonOptions{})
	c.publish(c.daemons[0], testSet())
	c.awaitGeneration(1)
	c.awaitEndpoints(1)
	began := make(chan int, n)
	wrong := c.streams(n, 100, began)
	for range n {
		<-began
	}
	l.Set(faulter.Behaviour{Mode: faulter.ModeSilent})
	for w := range wrong {
		t.Error(w)
	}
}

// TestCallersConnectionLost resets the caller's TCP connection in the middle of
// a long answer; the engine must stop.
func TestCallersConnectionLost(t *testing.T) {
	s := newStage(t, 1, "--token", "5ms")
	l := s.link("tcp", s.daemons[0].callers)
	stream, err := openStream(l.Address(), "lost", 100000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.next() {
		t.Fatal("got no first token")
	}
	l.Set(faulter.Behaviour{Mode: faulter.ModeCut})
	eventually(t, 2*time.Second, "the engine stops", func() bool {
		return getJSON[inferrer.Load](t, s.addresses[0], "/load").Running == 0
	})
}

// TestNoEngineLeft kills the only engine: the stream ends with an error event,
// and a new request is refused at once.
func TestNoEngineLeft(t *testing.T) {
	s := newStage(t, 1, "--token", "5ms")
	stream, err := openStream(s.daemons[0].callers, "left", 10000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.next() {
		t.Fatal("got no first token")
	}
	s.engines[0].signal(t, syscall.SIGKILL)
	for stream.next() {
	}
	if stream.ended || !strings.Contains(stream.fault, `"run":"ran"`) {
		t.Errorf("got end mark %t and last event %q, want a refusal of a request that ran", stream.ended, stream.fault)
	}
	start := time.Now()
	status, body := request(t, http.MethodPost, "http://"+s.daemons[0].callers+inferrer.PathChat, []byte(`{"model":"chat"}`), nil)
	if took := time.Since(start); status != http.StatusServiceUnavailable || took > time.Second {
		t.Errorf("got status %d after %s: %s; want 503 at once", status, took, body)
	}
	var problem struct {
		Run        string `json:"run"`
		RetryAfter int    `json:"retry_after"`
	}
	if err := json.Unmarshal(body, &problem); err != nil || problem.Run != "not-run" || problem.RetryAfter < 1 {
		t.Errorf("got %s (%v), want not-run and a time for the next try", body, err)
	}
}

// TestLeavingSeenByOne has one daemon alone learn that an engine leaves, from
// the engine's refusal, while the host list is 30 s late.
func TestLeavingSeenByOne(t *testing.T) {
	c := today(t, "--token", "2ms")
	c.awaitEndpoints(4)
	var target viewer.Endpoint
	for _, e := range getJSON[[]viewer.Endpoint](t, c.daemons[0].operators, "/endpoints") {
		if e.Name == "engine-0" {
			target = e
		}
	}
	c.faults(keeper.Faults{HostLag: 30 * time.Second})
	c.host(lister.Host{Name: target.Name, Domain: target.Domain, Pool: target.Pool, Role: lister.RoleEngine, Address: target.Address, State: lister.StateLeaving})
	b, err := json.Marshal(generator.AnswerFaults{Fault: generator.AnswerRefused, Status: http.StatusServiceUnavailable, Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	call(t, http.MethodPut, "http://"+target.Address+"/answers", b, nil)
	eventually(t, startTimeout, "the daemon meets the refusal", func() bool {
		s, err := openStream(c.daemons[0].callers, "leaving", 3)
		if err != nil {
			t.Fatal(err)
		}
		if wrong := s.rest("leaving", 3); wrong != "" {
			t.Fatal(wrong)
		}
		return c.endpointState(c.daemons[0], target.Name) == viewer.StateLeaving
	})
	eventually(t, leavePromise, "all daemons know that the engine leaves", func() bool {
		for _, d := range c.daemons {
			if c.endpointState(d, target.Name) != viewer.StateLeaving {
				return false
			}
		}
		return true
	})
	before := getJSON[map[string]int](t, target.Address, "/served")["chat-v1"]
	began := make(chan int, 30)
	for w := range c.streams(30, 5, began) {
		t.Error(w)
	}
	if got := getJSON[map[string]int](t, target.Address, "/served")["chat-v1"]; got != before {
		t.Errorf("got %d requests at the leaving engine, want %d", got, before)
	}
}

func (c *cluster) endpointState(d *daemon, name string) viewer.State {
	c.t.Helper()
	for _, e := range getJSON[[]viewer.Endpoint](c.t, d.operators, "/endpoints") {
		if e.Name == name {
			return e.State
		}
	}
	return viewer.StateGone
}
