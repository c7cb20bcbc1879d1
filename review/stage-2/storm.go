package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"time"

	"pomelotiller/internal/standin/caller"
	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/standin/steward"
)

// The storm of configurations, as large as a day of the small deployments has it.
var (
	stormChanges = flag.Int("changes", 25, "configurations in quick succession")
	stormGap     = flag.Duration("gap", 60*time.Millisecond, "time between two of them")
	moreRoutes   = flag.Int("routes", 1680, "routes by which the configuration has grown")
)

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

func init() { cases["7"] = playStorm }

// playStorm sends large configurations in quick succession as the open channels to the store go silent. The last one adds a route and drops a key.
func playStorm(s *stage, trouble bool) (bool, error) {
	for i := range 3 {
		for _, service := range []string{"huvo11a", "wuno96b"} {
			if _, err := s.addEndpoint(fmt.Sprint(service, i), service, fmt.Sprint("z", i), "v1", responder.Config{Pause: 5 * time.Millisecond, Events: 3}); err != nil {
				return false, err
			}
		}
	}
	version := 10
	if err := s.publish(largeCatalog(version, false)); err != nil {
		return false, err
	}
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	changes, over := 1, time.Now()
	if trouble {
		changes = *stormChanges
		s.silence()
	}
	for i := range changes {
		version += 3
		if err := s.publish(largeCatalog(version, i == changes-1)); err != nil {
			return false, err
		}
		if i < changes-1 {
			time.Sleep(*stormGap)
		}
	}
	time.AfterFunc(historyTime, s.platform.Compact)
	// Until then the channels of all machines went silent of late, and none is in touch.
	from := time.Now().Add(configApply)
	if inTouch := over.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	return s.checkLastConfiguration(from.Add(250 * time.Millisecond)), nil
}

// publish writes a configuration to the store.
func (s *stage) publish(c any) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.log("configuration of %d bytes acknowledged at revision %d", len(b), s.platform.Put("op/config", b))
	return nil
}

// largeCatalog returns a configuration with many routes. The last one has one route more and one key less.
func largeCatalog(version int, isLast bool) map[string]any {
	routes := []any{splitRoute("r-28m82th", "base")}
	keys := []any{"kept"}
	if isLast {
		routes = append(routes, splitRoute("r-p84ka1w", "added"))
	} else {
		keys = append(keys, "dropped")
	}
	for i := range *moreRoutes {
		routes = append(routes, splitRoute(fmt.Sprintf("r-x%05dh", i), fmt.Sprintf("pu%05d", i)))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys}},
	}
}

// splitRoute returns a route whose traffic two services share, with the fields that a configuration has.
func splitRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "prefix": "/" + prefix + "/", "route_kind": "streaming", "timeout_ms": 6000,
		"target_latency_ms": 600, "priority": 1, "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap_target_ms": 300,
		"backends": []any{map[string]any{"service": "huvo11a", "weight": 90}, map[string]any{"service": "wuno96b", "weight": 10}},
	}
}

func plainRoute(name string) steward.Route {
	return steward.Route{
		Name: name, Host: "ficu95.example", Prefix: "/" + name + "/", Kind: steward.KindIdempotent,
		Timeout: 600, Target: 100, Attempts: 2, Service: "desk",
	}
}

// checkLastConfiguration sends requests from a time on at which the last configuration must be in force, and
// reports whether one was handled as only an older version allows.
func (s *stage) checkLastConfiguration(from time.Time) bool {
	time.Sleep(time.Until(from))
	notFound, dropped, sent := 0, 0, 0
	for i := 0; time.Since(from) < checkTime; i++ {
		for _, d := range s.daemons {
			sent++
			added := s.send(d, "ficu95.example", "kept", time.Second, caller.Request{ID: fmt.Sprintf("a%d-%s", i, d.name), Method: http.MethodPost, Path: "/added/2f"})
			if added.answer.Status == http.StatusNotFound {
				notFound++
			}
			old := s.send(d, "ficu95.example", "dropped", time.Second, caller.Request{ID: fmt.Sprintf("k%d-%s", i, d.name), Method: http.MethodPost, Path: "/base/2f"})
			if old.answer.Status == http.StatusOK {
				dropped++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.log("of %d requests each, %d on the new route were answered 404 and %d with the dropped key were run, though the configuration must be in force", sent, notFound, dropped)
	return notFound+dropped > 0
}

// checkTime is how long requests are sent.
const checkTime = 8 * time.Second
