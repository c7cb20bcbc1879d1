// Package loader decodes two YAML files: the configuration of the whole system, which operators
// write as lists of named objects, and the settings of one daemon. Unknown fields are errors, and
// each fault is reported with its object, field and line.
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

// Organisation is a customer that calls routes with its own key and has a weighted share of
// the capacity.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// Key is "sha256:" followed by the hexadecimal hash of the organisation's key.
	Key string `yaml:"key" json:"key"`
	// Weight is the organisation's share of the capacity relative to the weights of the others.
	Weight int `yaml:"weight" json:"weight"`
	// Rate is the limit in requests per second over all daemons; 0 is no limit.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Priority is the class of the organisation's requests; empty is normal.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Pool is a group of hosts of the same class in one failure domain.
type Pool struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Class is the platform's name for the type of host.
	Class string `yaml:"class" json:"class"`
	// Price is the expected price of a reclaimable host per hour.
	Price float64 `yaml:"price" json:"price"`
	// Fencing says whether the engines of the pool refuse orders with an old fencing number.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Reserve is the minimum number of on-demand hosts.
	Reserve int `yaml:"reserve,omitempty" json:"reserve,omitempty"`
}

// Version is what an endpoint serves: a model with its weights, or one release of a plain
// service.
type Version struct {
	Name    string   `yaml:"name" json:"name"`
	Model   string   `yaml:"model,omitempty" json:"model,omitempty"`
	Weights string   `yaml:"weights,omitempty" json:"weights,omitempty"`
	Pools   []string `yaml:"pools" json:"pools"`
}

// Kind is the kind of endpoints that serve a route.
type Kind string

// Kinds of routes.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Route is a target that callers address by name: a model or a plain service.
type Route struct {
	Name string `yaml:"name" json:"name"`
	Kind Kind   `yaml:"kind" json:"kind"`
	// Versions are the versions that serve the route, with shares that add up to 100 percent.
	Versions []Share `yaml:"versions" json:"versions"`
	// Target is the latency target of a model route.
	Target Target `yaml:"target,omitempty" json:"target,omitzero"`
	// Idempotent says whether requests may be repeated.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Status is the path at which the service reports the result of an earlier request, with
	// {key} in place of the idempotency key; empty if the service has no such path.
	Status string `yaml:"status,omitempty" json:"status,omitempty"`
	// Timeout applies to requests whose caller sets no deadline.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Share is the percentage of a route's traffic that a version receives.
type Share struct {
	Version string  `yaml:"version" json:"version"`
	Share   float64 `yaml:"share" json:"share"`
}

// Target is a latency target that 95 percent of the requests must meet: the time to the first
// token and the time between two tokens.
type Target struct {
	First Duration `yaml:"first,omitempty" json:"first,omitempty"`
	Token Duration `yaml:"token,omitempty" json:"token,omitempty"`
}

// Move is a gradual change of a route's traffic from one version to another, as a canary
// rollout. By is its deadline.
type Move struct {
	Name  string    `yaml:"name" json:"name"`
	Route string    `yaml:"route" json:"route"`
	From  string    `yaml:"from" json:"from"`
	To    string    `yaml:"to" json:"to"`
	By    time.Time `yaml:"by" json:"by"`
	// First is the initial share of the new version in percent, at most 5.
	First  float64 `yaml:"first,omitempty" json:"first,omitempty"`
	Bounds Bounds  `yaml:"bounds,omitempty" json:"bounds,omitzero"`
}

// Bounds limit how much worse the new version of a move may perform than the old one.
type Bounds struct {
	// Errors is the allowed increase of the fraction of failed requests, from 0 to 1.
	Errors float64 `yaml:"errors,omitempty" json:"errors,omitempty"`
	// Slow is the allowed increase of the fraction of requests over the latency target, or several
	// times slower than with the old version, from 0 to 1.
	Slow float64 `yaml:"slow,omitempty" json:"slow,omitempty"`
}

// Duration is a time.Duration that is encoded as text such as "250ms".
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

// WithMove returns a copy of the set in which m is added or replaces the move of the same name.
func (s Set) WithMove(m Move) Set {
	s.Moves = replaceOrAppend(s.Moves, m, func(m Move) string { return m.Name })
	return s
}

// WithRoute returns a copy of the set in which r is added or replaces the route of the same name.
func (s Set) WithRoute(r Route) Set {
	s.Routes = replaceOrAppend(s.Routes, r, func(r Route) string { return r.Name })
	return s
}

// WithVersion returns a copy of the set in which v is added or replaces the version of the same
// name.
func (s Set) WithVersion(v Version) Set {
	s.Versions = replaceOrAppend(s.Versions, v, func(v Version) string { return v.Name })
	return s
}

// WithVersions returns a copy of the route with the given shares.
func (r Route) WithVersions(shares ...Share) Route {
	r.Versions = slices.Clone(shares)
	return r
}

// Route returns the route with the given name.
func (s Set) Route(name string) (Route, bool) {
	return findByName(s.Routes, name, func(r Route) string { return r.Name })
}

// Pool returns the pool with the given name.
func (s Set) Pool(name string) (Pool, bool) {
	return findByName(s.Pools, name, func(p Pool) string { return p.Name })
}

// Version returns the version with the given name.
func (s Set) Version(name string) (Version, bool) {
	return findByName(s.Versions, name, func(v Version) string { return v.Name })
}

// Organisation returns the organisation with the given name.
func (s Set) Organisation(name string) (Organisation, bool) {
	return findByName(s.Organisations, name, func(o Organisation) string { return o.Name })
}

// Move returns the move with the given name.
func (s Set) Move(name string) (Move, bool) {
	return findByName(s.Moves, name, func(m Move) string { return m.Name })
}

func findByName[T any](all []T, name string, nameOf func(T) string) (T, bool) {
	i := slices.IndexFunc(all, func(v T) bool { return nameOf(v) == name })
	if i < 0 {
		var none T
		return none, false
	}
	return all[i], true
}

func replaceOrAppend[T any](all []T, v T, nameOf func(T) string) []T {
	out := slices.Clone(all)
	i := slices.IndexFunc(out, func(o T) bool { return nameOf(o) == nameOf(v) })
	if i < 0 {
		return append(out, v)
	}
	out[i] = v
	return out
}
