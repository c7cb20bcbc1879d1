package assembler

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// TestCacheEventReaderDetectsEngineRestart checks that the cached blocks of an engine are forgotten
// when another incarnation, whose event numbers begin again, runs at the same address.
func TestCacheEventReaderDetectsEngineRestart(t *testing.T) {
	prompt := strings.Repeat("a", 60*inferrer.BlockTokens*inferrer.TokenBytes)
	var engine atomic.Pointer[generator.Generator]
	restartEngine := func() { engine.Store(generator.New(generator.Config{Versions: []string{"v"}})) }
	restartEngine()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { engine.Load().Handler().ServeHTTP(w, r) }))
	defer srv.Close()

	var v viewer.View
	for i := range 8 {
		v.Endpoints = append(v.Endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Versions: []string{"v"}, State: viewer.StateAlive, Role: lister.RoleEngine,
			Address: strings.TrimPrefix(srv.URL, "http://"),
		})
	}
	d := &Daemon{router: router.New(router.Config{}), cacheEventClient: inferrer.NewHTTP()}
	f := &cacheEventReader{daemon: d, lastEvent: make(map[string]uint64)}
	hashedChoice := func() string {
		c, err := router.New(router.Config{}).Choose(v, router.Query{Version: "v", Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		return c.Endpoint.Name
	}
	// The engine that caches the prompt differs from the one that hashing assigns to the prompt.
	holder := v.Endpoints[0]
	if holder.Name == hashedChoice() {
		holder = v.Endpoints[1]
	}
	routesToHolder := func() bool {
		f.readEngine(t.Context(), holder)
		c, err := d.router.Choose(v, router.Query{Version: "v", Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		c.Release()
		return c.Endpoint.Name == holder.Name
	}

	sendCompletion(t, srv.URL, prompt)
	if !routesToHolder() || !routesToHolder() {
		t.Error("got another endpoint, want the one whose events report the prompt")
	}
	restartEngine()
	f.readEngine(t.Context(), holder)
	if got := f.lastEvent[holder.Name]; got != 0 {
		t.Errorf("got last event %d of a restarted engine, want 0", got)
	}
	if routesToHolder() {
		t.Error("got the endpoint of a restarted engine, want its cached blocks forgotten")
	}
	sendCompletion(t, srv.URL, prompt)
	f.readEngine(t.Context(), holder)
	if got := f.lastEvent[holder.Name]; got != 1 {
		t.Errorf("got last event %d of a restarted engine, want 1", got)
	}
}

func sendCompletion(t *testing.T, url, prompt string) {
	t.Helper()
	res, err := http.Post(url+inferrer.PathCompletion, "application/json",
		strings.NewReader(`{"model":"v","max_tokens":1,"prompt":"`+prompt+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
}

// TestCacheEventEnginesAreBounded checks that a daemon reads the events of at most maxEventEngines
// engines, among them all of its own failure domain.
func TestCacheEventEnginesAreBounded(t *testing.T) {
	var endpoints []viewer.Endpoint
	for i := range 100 {
		endpoints = append(endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Domain: []string{"portland", "worcester", "hartford", "nashua", "bangor"}[i%5],
			Role: lister.RoleEngine, State: viewer.StateAlive,
		})
	}
	got := enginesToRead(endpoints, loader.Settings{Name: "entry-0", Domain: "portland"})
	local := 0
	for _, e := range got {
		if e.Domain == "portland" {
			local++
		}
	}
	if len(got) != maxEventEngines || local != 20 {
		t.Errorf("got %d engines, %d of the own failure domain; want %d and all 20", len(got), local, maxEventEngines)
	}
}
