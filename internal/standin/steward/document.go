package steward

import (
	"encoding/json"
	"fmt"
)

// Catalog is the JSON form of the operator's configuration.
type Catalog struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// Route is one route of a Catalog.
type Route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"route_kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Attempts int    `json:"max_attempts"`
	Service  string `json:"service"`
	// Resumable permits a broken stream to be resumed at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
}

// Values of Route.Kind.
const (
	KindOnce       = "non_idempotent"
	KindIdempotent = "idempotent"
	KindStream     = "streaming"
)

// Service is one service of a Catalog.
type Service struct {
	Name        string `json:"name"`
	Connections int    `json:"max_connections"`
	// ColdPerS is the number of requests a second that a cold endpoint takes, 0 for no limit.
	ColdPerS float64 `json:"cold_per_s,omitempty"`
	// ColdStartS is how long an endpoint stays cold after its start, in seconds.
	ColdStartS float64 `json:"cold_start_s,omitempty"`
}

// Tenant is one organisation of a Catalog; a rate of 0 means no limit.
type Tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// Limits are the limits on requests of callers.
type Limits struct {
	HeaderBytes int `json:"max_header_bytes"`
	BodyBytes   int `json:"max_body_bytes"`
	IdleMS      int `json:"idle_timeout_ms"`
}

// Announcement is the JSON form of the store entry by which an endpoint registers.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Born    int64  `json:"born"`
	// ColdRemainingMS is how much longer the endpoint stays cold, as of when the entry is written.
	ColdRemainingMS int64 `json:"cold_remaining_ms,omitempty"`
}

// Values of Announcement.State.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Configure publishes a configuration and returns its revision.
func (s *Steward) Configure(c Catalog) (uint64, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("encode configuration: %w", err)
	}
	return s.Put("op/config", b), nil
}

// Announce writes the store entry of an endpoint.
func (s *Steward) Announce(id string, a Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	s.Put("servers/"+id, b)
	return nil
}

// Withdraw removes the store entry of an endpoint.
func (s *Steward) Withdraw(id string) { s.Remove("servers/" + id) }
