// Package registrar defines the configuration that an operator publishes through the platform's
// store: routes by host and path prefix, services, organisations and limits. A Catalog is
// immutable and has indexes for the look-ups of each request.
package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether and how a route's requests may be repeated.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce is for requests that must run at most once for each attempt of the caller.
	KindOnce Kind = "once"
	// KindStream is for requests that are answered by a stream of events.
	KindStream Kind = "stream"
)

// Unit is the unit of an organisation's allowance.
type Unit string

// Units of allowances.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Share assigns a weight to a service of a route. The service receives requests in proportion
// to its weight.
type Share struct {
	Service string
	Weight  float64
}

// Route assigns the requests for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait; 0 is no bound.
	Timeout time.Duration
	// Target is the latency target of an answer, or of the first event of a stream.
	Target time.Duration
	// Gap is the latency target between two events of a stream.
	Gap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the largest number of endpoints to which one request may be sent.
	Attempts int
	// Open says that requests need no key.
	Open bool
	// Resumable says that a stream that broke off may be continued at another endpoint.
	Resumable bool
	Shares    []Share
}

// ChooseService returns the service for a request with the given id, chosen by weight from a hash of
// the id. The same id always gives the same service.
func (r Route) ChooseService(id string) string {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	if len(r.Shares) == 1 || total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// UsesService reports whether requests of the route go to a service.
func (r Route) UsesService(name string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == name })
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs in one batch.
	Slots int
	// Capacity is the number of tokens that the cache of one engine can hold.
	Capacity int
}

// Scaling configures the autoscaling of a service: bounds of the number of endpoints in each
// failure domain, and prices.
type Scaling struct {
	Min, Max int
	// Boot is the time from the start of a new endpoint until it serves.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable endpoint relative to an on-demand one; 0 if there
	// are no reclaimable endpoints.
	SpotPrice float64
	// Prices are the relative prices of the failure domains.
	Prices map[string]float64
}

// Warmup describes the endpoints of a service while they are cold, as they are after their start.
type Warmup struct {
	// Duration is how long an endpoint is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all daemons together; 0 is
	// no limit.
	PerSecond float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Connections is the largest number of connections that one endpoint accepts from all
	// daemons together; 0 is no bound.
	Connections int
	Warmup      Warmup
	Engine      *Engine
	Scaling     *Scaling
}

// Organisation is a customer with keys and an allowance.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route, if set.
	Priority *int
	// Rate and Burst are the fill rate per second and the size of the organisation's token
	// bucket; 0 is no limit.
	Rate, Burst float64
	Unit        Unit
	// Unsized is the cost of a request that does not state its number of tokens.
	Unsized float64
}

// Limits bounds the size of a caller's requests, the time to send the header of one, and the time
// that a connection may be idle.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is one published version of the configuration. It is immutable.
type Catalog struct {
	// Version grows with each published configuration, not always by one.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	routesByHost       map[string][]Route
	servicesByName     map[string]Service
	organisationsByKey map[string]Organisation
}

// BuildIndexes returns the catalog with its indexes built. The look-up methods find nothing in a
// catalog without indexes.
func (c Catalog) BuildIndexes() Catalog {
	c.routesByHost = make(map[string][]Route)
	for _, r := range c.Routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.servicesByName = make(map[string]Service)
	for _, s := range c.Services {
		c.servicesByName[s.Name] = s
	}
	c.organisationsByKey = make(map[string]Organisation)
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.organisationsByKey[k] = o
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix that matches the path.
func (c *Catalog) Route(host, path string) (Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.servicesByName[name]
	return s, ok
}

// OrganisationByKey returns the organisation to which a key belongs.
func (c *Catalog) OrganisationByKey(key string) (Organisation, bool) {
	o, ok := c.organisationsByKey[key]
	return o, ok
}

// RequiresKey reports whether requests need a key, which they do if the catalog has any
// organisations.
func (c *Catalog) RequiresKey() bool { return len(c.Organisations) > 0 }
