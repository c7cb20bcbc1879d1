package prober

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/lister"
)

// maxReportDelay is the time within which all daemons must know of a change: that an engine has
// failed or is leaving.
const maxReportDelay = 3 * time.Second

// fleet is a set of probers, each of which receives what the others publish without delay.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	members   []viewer.Member
	endpoints []viewer.Endpoint
	probers   map[string]*Prober
	reports   map[string]map[string]Report
	servers   []*httptest.Server
	callers   []map[string]bool
	leaving   atomic.Bool
}

func newFleet(t *testing.T, daemons, engines int) *fleet {
	f := &fleet{t: t, probers: make(map[string]*Prober), reports: make(map[string]map[string]Report)}
	domains := []string{"portland", "worcester", "hartford"}
	for i := range engines {
		f.callers = append(f.callers, make(map[string]bool))
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.callers[i][r.Header.Get("User-Agent")] = true
			f.mu.Unlock()
			fmt.Fprintf(w, `{"versions":["v"],"running":1,"leaving":%t}`, f.leaving.Load())
		}))
		t.Cleanup(srv.Close)
		f.servers = append(f.servers, srv)
		f.endpoints = append(f.endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Domain: domains[i%3], Role: lister.RoleEngine,
			Address: strings.TrimPrefix(srv.URL, "http://"),
		})
	}
	for i := range daemons {
		f.members = append(f.members, viewer.Member{Name: fmt.Sprint("daemon-", i), Domain: domains[i%3], State: viewer.StateAlive})
	}
	return f
}

// agentTransport sets the User-Agent of a daemon's probes to the daemon's name.
type agentTransport string

// RoundTrip implements http.RoundTripper.
func (a agentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", string(a))
	return http.DefaultTransport.RoundTrip(r)
}

func (f *fleet) start() {
	for _, m := range f.members {
		f.probers[m.Name] = New(Config{
			Self: m.Name, Endpoints: func() []viewer.Endpoint { return f.endpoints }, Members: f.knownMembers,
			HTTP: &http.Client{Transport: agentTransport(m.Name)}, Period: 100 * time.Millisecond,
			PublishStatus: func(key string, value []byte) {
				for _, p := range f.probers {
					if err := p.ReceiveStatus(key, value); err != nil {
						f.t.Error(err)
					}
				}
			},
			OnReports: func(reports []Report) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.reports[m.Name] = make(map[string]Report)
				for _, r := range reports {
					f.reports[m.Name][r.Endpoint] = r
				}
			},
		})
	}
	for _, p := range f.probers {
		go func() { _ = p.Run(f.t.Context()) }()
	}
}

func (f *fleet) knownMembers() []viewer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]viewer.Member(nil), f.members...)
}

// awaitReport waits until all live daemons have a report on an engine for which want returns true.
func (f *fleet) awaitReport(what, engine string, want func(Report) bool) {
	f.t.Helper()
	for deadline := time.Now().Add(maxReportDelay); ; time.Sleep(10 * time.Millisecond) {
		missing := ""
		for _, m := range f.knownMembers() {
			f.mu.Lock()
			r, ok := f.reports[m.Name][engine]
			f.mu.Unlock()
			if m.State == viewer.StateAlive && (!ok || !want(r)) {
				missing = fmt.Sprintf("%s has %+v", m.Name, r)
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s not known by all after %s: %s", what, maxReportDelay, missing)
		}
	}
}

func isAlive(r Report) bool  { return r.Err == nil && len(r.Load.Versions) == 1 }
func isFailed(r Report) bool { return r.Misses >= missesToFail }

func TestFewDaemonsProbeEachEngine(t *testing.T) {
	f := newFleet(t, 18, 6)
	f.start()
	for _, e := range f.endpoints {
		f.awaitReport("engine "+e.Name, e.Name, isAlive)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, callers := range f.callers {
		if len(callers) != defaultProbersPerEngine {
			t.Errorf("engine %d: got probes of %d daemons, want %d", i, len(callers), defaultProbersPerEngine)
		}
		for _, m := range f.members {
			if callers[m.Name] && m.Domain != f.endpoints[i].Domain {
				t.Errorf("engine %d: got probes of %s in another failure domain", i, m.Name)
			}
		}
	}
}

func TestEndOfAnEngineIsKnown(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.start()
	f.awaitReport("engine", "engine-0", isAlive)
	f.servers[0].CloseClientConnections()
	f.servers[0].Close()
	f.awaitReport("end of the engine", "engine-0", isFailed)
	f.awaitReport("other engine", "engine-1", isAlive)
}

func TestLeavingIsKnown(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.start()
	f.awaitReport("engine", "engine-0", isAlive)
	f.leaving.Store(true)
	f.awaitReport("leaving", "engine-0", func(r Report) bool { return r.Load.Leaving })
}

// TestOthersTakeOver ends all daemons that probe an engine, and then the engine: the daemons that
// replace them must report the failure.
func TestOthersTakeOver(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.start()
	f.awaitReport("engine", "engine-0", isAlive)
	gone := chooseProbers(f.endpoints[0], f.knownMembers(), defaultProbersPerEngine)
	f.mu.Lock()
	for i, m := range f.members {
		if _, ok := gone[m.Name]; ok {
			f.members[i].State = viewer.StateGone
		}
	}
	f.mu.Unlock()
	f.servers[0].CloseClientConnections()
	f.servers[0].Close()
	f.awaitReport("end of the engine", "engine-0", isFailed)
}

func TestMalformedStatus(t *testing.T) {
	if err := New(Config{Self: "a"}).ReceiveStatus("engine\x00b", []byte("x")); err == nil {
		t.Error("got no error for a malformed status")
	}
}
