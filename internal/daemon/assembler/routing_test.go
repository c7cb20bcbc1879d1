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

// TestFollowerNoticesAFreshEngine replaces an engine by a fresh one at the same
// address: its numbers begin anew, and what the old one held is forgotten.
func TestFollowerNoticesAFreshEngine(t *testing.T) {
	prompt := strings.Repeat("a", 60*inferrer.BlockTokens*inferrer.TokenBytes)
	var engine atomic.Pointer[generator.Generator]
	fresh := func() { engine.Store(generator.New(generator.Config{Versions: []string{"v"}})) }
	fresh()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { engine.Load().Handler().ServeHTTP(w, r) }))
	defer srv.Close()

	var v viewer.View
	for i := range 8 {
		v.Endpoints = append(v.Endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Versions: []string{"v"}, State: viewer.StateAlive, Role: lister.RoleEngine,
			Address: strings.TrimPrefix(srv.URL, "http://"),
		})
	}
	d := &Daemon{router: router.New(router.Config{}), probes: inferrer.NewHTTP()}
	f := &follower{daemon: d, last: make(map[string]uint64)}
	chosen := func() string {
		c, err := router.New(router.Config{}).Choose(v, router.Query{Version: "v", Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		return c.Endpoint.Name
	}
	// The engine that holds the prompt is none that the hash would name.
	holder := v.Endpoints[0]
	if holder.Name == chosen() {
		holder = v.Endpoints[1]
	}
	known := func() bool {
		f.read(t.Context(), holder)
		c, err := d.router.Choose(v, router.Query{Version: "v", Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		c.Release()
		return c.Endpoint.Name == holder.Name
	}

	ask(t, srv.URL, prompt)
	if !known() || !known() {
		t.Error("got another endpoint, want the one whose events tell of the prompt")
	}
	fresh()
	f.read(t.Context(), holder)
	if got := f.last[holder.Name]; got != 0 {
		t.Errorf("got last event %d of a fresh engine, want 0", got)
	}
	if known() {
		t.Error("got the endpoint whose engine is fresh, want it forgotten")
	}
	ask(t, srv.URL, prompt)
	f.read(t.Context(), holder)
	if got := f.last[holder.Name]; got != 1 {
		t.Errorf("got last event %d, want 1 of the fresh engine", got)
	}
}

func ask(t *testing.T, url, prompt string) {
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

func TestFollowedEnginesAreBounded(t *testing.T) {
	var endpoints []viewer.Endpoint
	for i := range 100 {
		endpoints = append(endpoints, viewer.Endpoint{
			Name: fmt.Sprint("engine-", i), Domain: []string{"portland", "worcester", "hartford", "nashua", "bangor"}[i%5],
			Role: lister.RoleEngine, State: viewer.StateAlive,
		})
	}
	got := followed(endpoints, loader.Settings{Name: "entry-0", Domain: "portland"})
	local := 0
	for _, e := range got {
		if e.Domain == "portland" {
			local++
		}
	}
	if len(got) != maxFollowed || local != 20 {
		t.Errorf("got %d engines, %d of the own failure domain; want %d and all 20", len(got), local, maxFollowed)
	}
}
