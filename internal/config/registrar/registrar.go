// Package registrar holds the configuration that an operator publishes through
// the platform's store: routes by host and path prefix, services, organisations
// and limits. A Catalog is immutable and indexed for look-ups by requests.
package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated of a request.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once for each attempt of the caller.
	KindOnce Kind = "once"
	// KindStream requests are answered by a series of events.
	KindStream Kind = "stream"
)

// Unit is what an organisation's allowance is counted in.
type Unit string

// Units of allowances.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Share is a service's part of a route's requests, by weight.
type Share struct {
	Service string
	Weight  float64
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting; 0 is no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a
	// stream, is on time.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Attempts is the most endpoints that one request may be sent to.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	Shares    []Share
}

// Service returns the service that a request of that id goes to. The same id
// always leads to the same service.
func (r Route) Service(id string) string {
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

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Capacity is the memory of one engine in tokens.
	Capacity int
}

// Scaling bounds the number of endpoints of a service in each failure domain.
type Scaling struct {
	Min, Max int
	// Boot is how long a new endpoint takes before it serves.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable endpoint relative to another; 0
	// if there are none.
	SpotPrice float64
	// Prices are the relative prices of the failure domains.
	Prices map[string]float64
}

// Service is a group of like endpoints.
type Service struct {
	Name string
	// Connections bounds the connections that one endpoint accepts from all
	// daemons together; 0 is no bound.
	Connections int
	Engine      *Engine
	Scaling     *Scaling
}

// Organisation is a customer with keys and an allowance.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route, if set.
	Priority *int
	// Rate is the allowance a second, Burst what may be saved up; 0 is no
	// limit.
	Rate, Burst float64
	Unit        Unit
	// Unsized is what a request counts that states no tokens.
	Unsized float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is one configuration. It must not be changed.
type Catalog struct {
	// Version grows with each configuration, in uneven steps.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	hosts    map[string][]Route
	services map[string]Service
	keys     map[string]Organisation
}

// Index returns the catalog with its look-up tables built. Only an indexed
// catalog answers look-ups.
func (c Catalog) Index() Catalog {
	c.hosts = make(map[string][]Route)
	for _, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.services = make(map[string]Service)
	for _, s := range c.Services {
		c.services[s.Name] = s
	}
	c.keys = make(map[string]Organisation)
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.keys[k] = o
		}
	}
	return c
}

// Route returns the route of a host with the longest prefix of the path.
func (c *Catalog) Route(host, path string) (Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service of that name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ByKey returns the organisation that holds a key.
func (c *Catalog) ByKey(key string) (Organisation, bool) {
	o, ok := c.keys[key]
	return o, ok
}

// Keyed reports whether the catalog names any organisations, so that requests
// need a key.
func (c *Catalog) Keyed() bool { return len(c.Organisations) > 0 }
