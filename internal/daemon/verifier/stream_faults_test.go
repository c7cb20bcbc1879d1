package verifier

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
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

// leavingNoticeLimit bounds the time until all daemons see a leaving endpoint as leaving and send it
// no new requests.
const leavingNoticeLimit = 3 * time.Second

// startStreams starts n concurrent chat streams through the daemons in turn and sends each stream's
// index on began after its first token. The returned channel gets a description of each stream that
// is wrong and is closed when all have ended.
func (c *cluster) startStreams(n, tokens int, began chan<- int) <-chan string {
	failures := make(chan string, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			prompt := fmt.Sprintf("stream %d", i)
			s, err := openStream(c.daemons[i%len(c.daemons)].callerAddress, prompt, tokens)
			if err != nil {
				failures <- err.Error()
				return
			}
			s.readToken()
			began <- i
			if w := s.readRest(prompt, tokens); w != "" {
				failures <- w
			}
		})
	}
	go func() {
		all.Wait()
		close(failures)
	}()
	return failures
}

// streamCluster is a cluster of two daemons in front of engines that a test can stop and query.
type streamCluster struct {
	*cluster
	engines         []*process
	engineAddresses []string
}

func newStreamCluster(t *testing.T, engines int, args ...string) *streamCluster {
	t.Helper()
	s := &streamCluster{cluster: newCluster(t)}
	for i := range engines {
		p, addr := s.startEngine(fmt.Sprintf("engine-%d", i), "portland", append([]string{"--versions", "chat-v1"}, args...)...)
		s.engines = append(s.engines, p)
		s.engineAddresses = append(s.engineAddresses, addr)
	}
	s.startDaemon("entry-0", "portland", settingsOverrides{})
	s.startDaemon("entry-1", "worcester", settingsOverrides{})
	s.publishConfig(s.daemons[0], testConfig())
	s.awaitGeneration(1)
	s.awaitEndpoints(engines)
	return s
}

func (s *streamCluster) transferCounts() generator.TransferCounts {
	s.t.Helper()
	var sum generator.TransferCounts
	for _, addr := range s.engineAddresses {
		c := getJSON[generator.TransferCounts](s.t, addr, "/transfers")
		sum.Exports += c.Exports
		sum.Imports += c.Imports
		sum.Resumes += c.Resumes
		sum.Recomputed += c.Recomputed
	}
	return sum
}

// logTransfers logs each export, import and resume at the engines that are left, and the daemons'
// counts of failed attempts and transfers, if the test has failed.
func (s *streamCluster) logTransfers(before ...generator.Transfer) {
	s.t.Helper()
	if !s.t.Failed() {
		return
	}
	all := before
	for _, addr := range s.engineAddresses {
		all = append(all, getJSON[[]generator.Transfer](s.t, addr, "/transfers/list")...)
	}
	slices.SortFunc(all, func(a, b generator.Transfer) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), a.At.Compare(b.At))
	})
	for _, x := range all {
		s.t.Logf("%s %s of %s: covered %d, needed %d", x.At.Format(time.StampMicro), x.Kind, x.Request, x.Covered, x.Needed)
	}
	for _, d := range s.daemons {
		for _, name := range []string{"attempt_failures_total", "cache_transfers_total"} {
			s.t.Logf("%s %s: %s", d.name, name, d.metricLines(s.t, name))
		}
	}
}

// TestEngineKilled kills one of three engines during 24 streams. Its streams must resume at
// the other engines, and all must end with the complete text.
func TestEngineKilled(t *testing.T) {
	const n = 24
	s := newStreamCluster(t, 3, "--token", "10ms")
	began := make(chan int, n)
	failures := s.startStreams(n, 100, began)
	for range n {
		<-began
	}
	s.engines[0].signal(t, syscall.SIGKILL)
	s.engineAddresses = s.engineAddresses[1:]
	for w := range failures {
		t.Error(w)
	}
	got := s.transferCounts()
	t.Logf("transfers: %+v", got)
	if got.Resumes == 0 || got.Recomputed == 0 {
		t.Errorf("got transfers %+v, want resumed streams", got)
	}
}

// TestEngineReclaimed gives one of three engines notice during 24 streams and kills it a second
// later. By then its streams must have migrated with their caches, and all must end complete. The
// engine generates until a stream has moved, so each stream has tokens to recompute that came after
// the export of its cache; TestMigrationRecomputesOnlyTokensOfTheTransfer in internal/traffic/relayer
// bounds their number in virtual time.
func TestEngineReclaimed(t *testing.T) {
	const n = 24
	s := newStreamCluster(t, 3, "--token", "10ms")
	began := make(chan int, n)
	failures := s.startStreams(n, 250, began)
	for range n {
		<-began
	}
	leaving, running := s.engineAddresses[0], getJSON[inferrer.Load](t, s.engineAddresses[0], "/load").Running
	notice := time.Now()
	mustRequest(t, http.MethodPut, "http://"+leaving+"/leaving", nil, nil)
	time.Sleep(time.Second)
	if got := getJSON[inferrer.Load](t, leaving, "/load").Running; got != 0 {
		t.Errorf("got %d streams at the leaving engine a second after its notice, want 0", got)
	}
	exports := getJSON[[]generator.Transfer](t, leaving, "/transfers/list")
	s.engines[0].signal(t, syscall.SIGKILL)
	s.engineAddresses = s.engineAddresses[1:]
	for w := range failures {
		t.Error(w)
	}
	s.checkMigrations(notice, running, exports)
	t.Logf("transfers: %+v", s.transferCounts())
	s.logTransfers(exports...)
}

// checkMigrations checks that each stream that ran at the leaving engine was resumed where its cache
// was imported, and that the cache was exported after the notice and covered as much at the import
// and when the stream was resumed: nothing is recomputed but what came after the export. Only streams
// whose attempts failed may do without, and the daemons count these.
func (s *streamCluster) checkMigrations(notice time.Time, running int, exports []generator.Transfer) {
	s.t.Helper()
	exported := make(map[string]int)
	for _, x := range exports {
		if x.Kind != generator.TransferExport {
			continue
		}
		exported[x.Request] = x.Covered
		if x.At.Before(notice) {
			s.t.Errorf("got the cache of %s exported before the notice", x.Request)
		}
	}
	failed := 0
	for _, d := range s.daemons {
		failed += int(d.metricSum(s.t, "attempt_failures_total"))
	}
	migrated, others := 0, 0
	for _, addr := range s.engineAddresses {
		imported := make(map[string]bool)
		for _, x := range getJSON[[]generator.Transfer](s.t, addr, "/transfers/list") {
			covered, isExported := exported[x.Request]
			switch {
			case x.Kind == generator.TransferResume && !imported[x.Request]:
				others++
				continue
			case x.Kind == generator.TransferResume:
				migrated++
				imported[x.Request] = false
			case x.Kind == generator.TransferImport:
				imported[x.Request] = true
			}
			if !isExported || x.Covered != covered {
				s.t.Errorf("got %s of %s with %d tokens covered, want the %d of its export", x.Kind, x.Request, x.Covered, covered)
			}
		}
	}
	if migrated == 0 || migrated+failed < running || others > failed {
		s.t.Errorf("got %d streams resumed where their caches were imported and %d elsewhere, want all %d migrated but for the %d whose attempts failed",
			migrated, others, running, failed)
	}
}

// TestStalledConnections stalls every open connection to the only engine, while new connections work.
// All streams must end complete.
func TestStalledConnections(t *testing.T) {
	const n = 8
	c := newCluster(t)
	_, addr := startStandin(t, "engine", "--versions", "chat-v1", "--token", "5ms")
	l := c.openLink("tcp", addr)
	c.putHost(lister.Host{Name: "engine-0", Domain: "portland", Pool: "portland", Role: lister.RoleEngine, Address: l.Address(), State: lister.StateLive})
	c.startDaemon("entry-0", "portland", settingsOverrides{})
	c.startDaemon("entry-1", "worcester", settingsOverrides{})
	c.publishConfig(c.daemons[0], testConfig())
	c.awaitGeneration(1)
	c.awaitEndpoints(1)
	began := make(chan int, n)
	failures := c.startStreams(n, 100, began)
	for range n {
		<-began
	}
	l.Set(faulter.Behaviour{Mode: faulter.ModeStalled})
	for w := range failures {
		t.Error(w)
	}
}

// TestCallerDisconnect resets the caller's TCP connection in the middle of a long answer. The engine
// must stop generating within 2 s.
func TestCallerDisconnect(t *testing.T) {
	s := newStreamCluster(t, 1, "--token", "5ms")
	l := s.openLink("tcp", s.daemons[0].callerAddress)
	stream, err := openStream(l.Address(), "lost", 100000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.readToken() {
		t.Fatal("got no first token")
	}
	l.Set(faulter.Behaviour{Mode: faulter.ModeCut})
	eventually(t, 2*time.Second, "the engine stops", func() bool {
		return getJSON[inferrer.Load](t, s.engineAddresses[0], "/load").Running == 0
	})
}

// TestNoEngineLeft kills the only engine. The open stream must end with an error event, and the
// daemon must refuse a new request within 1 s.
func TestNoEngineLeft(t *testing.T) {
	s := newStreamCluster(t, 1, "--token", "5ms")
	stream, err := openStream(s.daemons[0].callerAddress, "left", 10000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.readToken() {
		t.Fatal("got no first token")
	}
	s.engines[0].signal(t, syscall.SIGKILL)
	for stream.readToken() {
	}
	if stream.isComplete || !strings.Contains(stream.badEvent, `"run":"ran"`) {
		t.Errorf("got complete %t and last event %q, want a refusal of a request that ran", stream.isComplete, stream.badEvent)
	}
	start := time.Now()
	status, body := sendRequest(t, http.MethodPost, "http://"+s.daemons[0].callerAddress+inferrer.PathChat, []byte(`{"model":"chat"}`), nil)
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

// TestLeavingEngineSeenByOneDaemon delays the host list by 30 s, so that one daemon alone learns from
// an engine's refusal that the engine leaves. It must inform the other daemons.
func TestLeavingEngineSeenByOneDaemon(t *testing.T) {
	c := newServingCluster(t, "--token", "2ms")
	c.awaitEndpoints(4)
	var target viewer.Endpoint
	for _, e := range getJSON[[]viewer.Endpoint](t, c.daemons[0].operatorAddress, "/endpoints") {
		if e.Name == "engine-0" {
			target = e
		}
	}
	c.setPlatformFaults(keeper.Faults{HostLag: 30 * time.Second})
	c.putHost(lister.Host{Name: target.Name, Domain: target.Domain, Pool: target.Pool, Role: lister.RoleEngine, Address: target.Address, State: lister.StateLeaving})
	b, err := json.Marshal(generator.AnswerFaults{Fault: generator.AnswerRefused, Status: http.StatusServiceUnavailable, Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	mustRequest(t, http.MethodPut, "http://"+target.Address+"/answers", b, nil)
	eventually(t, startTimeout, "the daemon receives the refusal", func() bool {
		s, err := openStream(c.daemons[0].callerAddress, "leaving", 3)
		if err != nil {
			t.Fatal(err)
		}
		if failure := s.readRest("leaving", 3); failure != "" {
			t.Fatal(failure)
		}
		return c.endpointState(c.daemons[0], target.Name) == viewer.StateLeaving
	})
	eventually(t, leavingNoticeLimit, "all daemons see the engine as leaving", func() bool {
		for _, d := range c.daemons {
			if c.endpointState(d, target.Name) != viewer.StateLeaving {
				return false
			}
		}
		return true
	})
	before := getJSON[map[string]int](t, target.Address, "/served")["chat-v1"]
	began := make(chan int, 30)
	for w := range c.startStreams(30, 5, began) {
		t.Error(w)
	}
	if got := getJSON[map[string]int](t, target.Address, "/served")["chat-v1"]; got != before {
		t.Errorf("got %d requests at the leaving engine, want %d", got, before)
	}
}

func (c *cluster) endpointState(d *daemon, name string) viewer.State {
	c.t.Helper()
	for _, e := range getJSON[[]viewer.Endpoint](c.t, d.operatorAddress, "/endpoints") {
		if e.Name == name {
			return e.State
		}
	}
	return viewer.StateGone
}
