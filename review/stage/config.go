package main

import "time"

// Services, keys and limits of the clients' requests.
const (
	servicePool, serviceDesk = "pool", "desk"
	poolSlots, deskSlots     = 128, 6
	poolRunners, deskRunners = 3, 3
	noteLimit                = 4 * time.Second
	chatLimit                = 15 * time.Second
	deskLimit                = 600 * time.Millisecond
)

// tenants holds the key of each tenant.
var tenants = map[string]string{"tenant-a": "key-a", "tenant-b": "key-b", "tenant-c": "key-c"}

// smallDeployment returns a configuration like that of a small deployment.
func smallDeployment() map[string]any {
	route := func(name, kind, service string, limit, target time.Duration, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": "review.example", "prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": limit.Milliseconds(),
			"target_latency_ms": target.Milliseconds(), "priority": 1, "max_attempts": attempts, "service": service,
		}
		if kind == "streaming" {
			r["gap_target_ms"], r["resumable"], r["sticky"] = 300, resumable, true
		}
		return r
	}
	var list []any
	for name, key := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": []string{key}})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("note", "streaming", servicePool, noteLimit, 500*time.Millisecond, 2, true),
			route("chat", "streaming", servicePool, chatLimit, 500*time.Millisecond, 1, false),
			route("post", "non_idempotent", serviceDesk, deskLimit, 100*time.Millisecond, 1, false),
			route("read", "idempotent", serviceDesk, deskLimit, 100*time.Millisecond, 2, false),
		},
		"services": []any{
			map[string]any{"name": servicePool, "max_connections": 630, "health_path": "/healthz"},
			map[string]any{"name": serviceDesk, "max_connections": 110, "health_path": "/healthz"},
		},
		"tenants": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 10000, "idle_timeout_ms": 15000},
	}
}

// setUp publishes the configuration and starts the runners and the daemons.
func (s *stage) setUp() error {
	if err := s.publish(smallDeployment()); err != nil {
		return err
	}
	for range poolRunners {
		if _, err := s.addRunner(servicePool, poolSlots); err != nil {
			return err
		}
	}
	for range deskRunners {
		if _, err := s.addRunner(serviceDesk, deskSlots); err != nil {
			return err
		}
	}
	return s.startDaemons()
}
