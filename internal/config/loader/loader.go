// Package loader reads the operators' configuration, one YAML set of named
// objects, and the settings of one daemon. Unknown fields are errors, and each
// fault is reported with its object, field and line.
//
// Values are immutable: the With methods return changed copies.
package loader

import (
	"slices"
	"time"
)

// Set is the whole configuration. Its objects refer to one another by name.
type Set struct {
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Pools         []Pool         `yaml:"pools" json:"pools"`
	Versions      []Version      `yaml:"versions" json:"versions"`
	Routes        []Route        `yaml:"routes" json:"routes"`
	Moves         []Move         `yaml:"moves,omitempty" json:"moves,omitempty"`
}

// Priority is a priority class of requests.
type Priority string

// Priority classes.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Organisation is a customer: a caller of routes with a share of the capacity.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// Key is "sha256:" and the hexadecimal hash of the organisation's key.
	Key string `yaml:"key" json:"key"`
	// Weight is its part of the capacity relative to other organisations.
	Weight int `yaml:"weight" json:"weight"`
	// Rate limits its requests a second over all daemons; 0 is no limit.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Priority is the class of its requests; empty is normal.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Pool is a group of like hosts in one failure domain.
type Pool struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Class is the platform's name of the host class.
	Class string `yaml:"class" json:"class"`
	// Price is the expected price of a reclaimable host an hour.
	Price float64 `yaml:"price" json:"price"`
	// Fencing says whether its engines refuse orders with an old fencing
	// number.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Reserve is the minimum number of on-demand hosts.
	Reserve int `yaml:"reserve,omitempty" json:"reserve,omitempty"`
}

// Version is something that an endpoint can serve: a model with its weights,
// or one release of a plain service.
type Version struct {
	Name    string   `yaml:"name" json:"name"`
	Model   string   `yaml:"model,omitempty" json:"model,omitempty"`
	Weights string   `yaml:"weights,omitempty" json:"weights,omitempty"`
	Pools   []string `yaml:"pools" json:"pools"`
}

// Kind says what kind of endpoints a route leads to.
type Kind string

// Kinds of routes.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Route is what callers name: a model, or a plain service.
type Route struct {
	Name string `yaml:"name" json:"name"`
	Kind Kind   `yaml:"kind" json:"kind"`
	// Versions share the traffic of the route; shares add up to 100.
	Versions []Share `yaml:"versions" json:"versions"`
	// Target is the latency target of a model route.
	Target Target `yaml:"target,omitempty" json:"target,omitzero"`
	// Idempotent says whether requests may be repeated.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Status is the path of the service's status look-up, with {key} in place
	// of the idempotency key; empty where the service offers none.
	Status string `yaml:"status,omitempty" json:"status,omitempty"`
	// Timeout bounds a request whose caller names no deadline.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Share is a version's part of a route's traffic, in percent.
type Share struct {
	Version string  `yaml:"version" json:"version"`
	Share   float64 `yaml:"share" json:"share"`
}

// Target is a latency target, to be met by 95 in 100 requests.
type Target struct {
	First Duration `yaml:"first,omitempty" json:"first,omitempty"`
	Token Duration `yaml:"token,omitempty" json:"token,omitempty"`
}

// Move takes a route's traffic from one version to another by an instant.
type Move struct {
	Name  string    `yaml:"name" json:"name"`
	Route string    `yaml:"route" json:"route"`
	From  string    `yaml:"from" json:"from"`
	To    string    `yaml:"to" json:"to"`
	By    time.Time `yaml:"by" json:"by"`
	// First is the first share of the new version in percent, at most 5.
	First  float64 `yaml:"first,omitempty" json:"first,omitempty"`
	Bounds Bounds  `yaml:"bounds,omitempty" json:"bounds,omitzero"`
}

// Bounds say how much worse than the old version the new one may be.
type Bounds struct {
	// Errors is the additional share of failed requests, from 0 to 1.
	Errors float64 `yaml:"errors,omitempty" json:"errors,omitempty"`
	// Slow is the additional share of requests over the latency target.
	Slow float64 `yaml:"slow,omitempty" json:"slow,omitempty"`
}

// Duration is a time.Duration written as in "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// WithMove returns the set with m added or replaced.
func (s Set) WithMove(m Move) Set {
	s.Moves = withNamed(s.Moves, m, func(m Move) string { return m.Name })
	return s
}

// WithRoute returns the set with r added or replaced.
func (s Set) WithRoute(r Route) Set {
	s.Routes = withNamed(s.Routes, r, func(r Route) string { return r.Name })
	return s
}

// WithVersion returns the set with v added or replaced.
func (s Set) WithVersion(v Version) Set {
	s.Versions = withNamed(s.Versions, v, func(v Version) string { return v.Name })
	return s
}

// WithVersions returns the route with other shares.
func (r Route) WithVersions(shares ...Share) Route {
	r.Versions = slices.Clone(shares)
	return r
}

// Route returns the route of that name.
func (s Set) Route(name string) (Route, bool) {
	return named(s.Routes, name, func(r Route) string { return r.Name })
}

// Pool returns the pool of that name.
func (s Set) Pool(name string) (Pool, bool) {
	return named(s.Pools, name, func(p Pool) string { return p.Name })
}

// Version returns the version of that name.
func (s Set) Version(name string) (Version, bool) {
	return named(s.Versions, name, func(v Version) string { return v.Name })
}

// Organisation returns the organisation of that name.
func (s Set) Organisation(name string) (Organisation, bool) {
	return named(s.Organisations, name, func(o Organisation) string { return o.Name })
}

// Move returns the move of that name.
func (s Set) Move(name string) (Move, bool) {
	return named(s.Moves, name, func(m Move) string { return m.Name })
}

func named[T any](all []T, name string, nameOf func(T) string) (T, bool) {
	i := slices.IndexFunc(all, func(v T) bool { return nameOf(v) == name })
	if i < 0 {
		var none T
		return none, false
	}
	return all[i], true
}

func withNamed[T any](all []T, v T, nameOf func(T) string) []T {
	out := slices.Clone(all)
	i := slices.IndexFunc(out, func(o T) bool { return nameOf(o) == nameOf(v) })
	if i < 0 {
		return append(out, v)
	}
	out[i] = v
	return out
}
