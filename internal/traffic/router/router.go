// Package router chooses the version and the endpoint of each attempt.
package router

import (
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
)

// Errors of a choice.
var (
	ErrNoEndpoint = errors.New("no endpoint serves the version")
	ErrNoVersion  = errors.New("route has no version with a share")
)

// Query describes the attempt to choose an endpoint for.
type Query struct {
	// Request is the id of the request; its hash picks the version.
	Request string
	// Route is the route that the request names.
	Route loader.Route
	// Version fixes the version, for a resumed answer; empty leaves it open.
	Version string
	// Prompt is the text that the model continues.
	Prompt string
	// Domain is the failure domain of this daemon.
	Domain string
	// Exclude holds the names of endpoints that failed the request before.
	Exclude map[string]bool
}

// Candidate is an endpoint with what this daemon has in flight on it.
type Candidate struct {
	viewer.Endpoint
	InFlight int
}

// Policy picks one of several candidates for a query.
type Policy[Q, C any] interface {
	// Pick returns the index of the chosen candidate; there is at least one.
	Pick(q Q, candidates []C) int
}

// Choice is an endpoint chosen for an attempt. Release must be called once when
// the attempt has ended.
type Choice struct {
	Endpoint viewer.Endpoint
	Version  string
	Release  func()
}

// Config configures a Router.
type Config struct {
	// Policy picks endpoints; nil is LeastInFlight.
	Policy Policy[Query, Candidate]
}

// Router chooses endpoints. All methods are safe for concurrent use.
type Router struct {
	cfg      Config
	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a router.
func New(cfg Config) *Router {
	if cfg.Policy == nil {
		cfg.Policy = LeastInFlight{}
	}
	return &Router{cfg: cfg, inFlight: make(map[string]int)}
}

// Choose picks a version by the shares in force and an endpoint that serves it.
func (r *Router) Choose(v viewer.View, q Query) (Choice, error) {
	if q.Version == "" {
		version, err := PickVersion(v.Split(q.Route), q.Request)
		if err != nil {
			return Choice{}, fmt.Errorf("route %q: %w", q.Route.Name, err)
		}
		q.Version = version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []Candidate
	for _, e := range v.Endpoints {
		if e.Serves(q.Version) && !q.Exclude[e.Name] {
			candidates = append(candidates, Candidate{Endpoint: e, InFlight: r.inFlight[e.Name]})
		}
	}
	if len(candidates) == 0 {
		return Choice{}, fmt.Errorf("route %q, version %q: %w", q.Route.Name, q.Version, ErrNoEndpoint)
	}
	e := candidates[r.cfg.Policy.Pick(q, candidates)].Endpoint
	r.inFlight[e.Name]++
	return Choice{Endpoint: e, Version: q.Version, Release: sync.OnceFunc(func() { r.release(e.Name) })}, nil
}

func (r *Router) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[name]--; r.inFlight[name] == 0 {
		delete(r.inFlight, name)
	}
}

// shareSteps is the resolution of shares: a hundredth of a percent.
const shareSteps = 10000

// PickVersion picks a version by shares. The same request always gets the same
// version while the shares stay the same.
func PickVersion(shares []loader.Share, request string) (string, error) {
	at := float64(xxhash.Sum64String(request)%shareSteps) * 100 / shareSteps
	last := ""
	for _, s := range shares {
		if s.Share <= 0 {
			continue
		}
		last = s.Version
		if at < s.Share {
			return s.Version, nil
		}
		at -= s.Share
	}
	if last == "" {
		return "", ErrNoVersion
	}
	return last, nil
}

// LeastInFlight picks the candidate with the fewest requests known, those of
// the daemon's own failure domain first among equals.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(q Query, candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if cost(q, c) < cost(q, candidates[best]) {
			best = i
		}
	}
	return best
}

// cost doubles the number of requests so that a remote failure domain can
// count for less than one request.
func cost(q Query, c Candidate) int {
	n := 2 * c.InFlight
	if c.Domain != q.Domain {
		n++
	}
	return n
}
