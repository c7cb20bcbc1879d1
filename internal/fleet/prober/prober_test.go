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

// knownBy is the promise: the end or the leaving of an engine is known to all
// daemons within this time.
const knownBy = 3 * time.Second

// fleet is a number of probers that tell one another everything at once.
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

// agent marks a daemon's probes.
type agent string

// RoundTrip implements http.RoundTripper.
func (a agent) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", string(a))
	return http.DefaultTransport.RoundTrip(r)
}

func (f *fleet) start() {
	for _, m := range f.members {
		f.probers[m.Name] = New(Config{
			Self: m.Name, Endpoints: func() []viewer.Endpoint { return f.endpoints }, Members: f.known,
			HTTP: &http.Client{Transport: agent(m.Name)}, Period: 100 * time.Millisecond,
			Publish: func(key string, value []byte) {
				for _, p := range f.probers {
					if err := p.Hear(key, value); err != nil {
						f.t.Error(err)
					}
				}
			},
			Report: func(reports []Report) {
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

func (f *fleet) known() []viewer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]viewer.Member(nil), f.members...)
}

// await waits until all living daemons have a report on an engine that is as
// wanted.
func (f *fleet) await(what, engine string, want func(Report) bool) {
	f.t.Helper()
	for deadline := time.Now().Add(knownBy); ; time.Sleep(10 * time.Millisecond) {
		missing := ""
		for _, m := range f.known() {
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
			f.t.Fatalf("%s not known by all after %s: %s", what, knownBy, missing)
		}
	}
}

func alive(r Report) bool  { return r.Err == nil && len(r.Load.Versions) == 1 }
func failed(r Report) bool { return r.Misses >= missesToFail }

func TestFewDaemonsProbeEachEngine(t *testing.T) {
	f := newFleet(t, 18, 6)
	f.start()
	for _, e := range f.endpoints {
		f.await("engine "+e.Name, e.Name, alive)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, callers := range f.callers {
		if len(callers) != defaultProbers {
			t.Errorf("engine %d: got probes of %d daemons, want %d", i, len(callers), defaultProbers)
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
	f.await("engine", "engine-0", alive)
	f.servers[0].CloseClientConnections()
	f.servers[0].Close()
	f.await("end of the engine", "engine-0", failed)
	f.await("other engine", "engine-1", alive)
}

func TestLeavingIsKnown(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.start()
	f.await("engine", "engine-0", alive)
	f.leaving.Store(true)
	f.await("leaving", "engine-0", func(r Report) bool { return r.Load.Leaving })
}

// TestOthersTakeOver has all daemons that probe an engine end, and then the
// engine.
func TestOthersTakeOver(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.start()
	f.await("engine", "engine-0", alive)
	gone := probers(f.endpoints[0], f.known(), defaultProbers)
	f.mu.Lock()
	for i, m := range f.members {
		if _, ok := gone[m.Name]; ok {
			f.members[i].State = viewer.StateGone
		}
	}
	f.mu.Unlock()
	f.servers[0].CloseClientConnections()
	f.servers[0].Close()
	f.await("end of the engine", "engine-0", failed)
}

func TestMalformedWord(t *testing.T) {
	if err := New(Config{Self: "a"}).Hear("engine\x00b", []byte("x")); err == nil {
		t.Error("got no error for a malformed word")
	}
}
