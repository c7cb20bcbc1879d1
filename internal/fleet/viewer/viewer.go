// Package viewer holds what a daemon knows at one moment as an immutable value.
// The control goroutine builds a new View for each change and publishes it
// through one atomic pointer; a request reads one View and takes no lock.
package viewer

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/lister"
)

// State is what a daemon believes about a member or an endpoint.
type State string

// States of members and endpoints, in the order in which they can follow.
const (
	StateAlive     State = "alive"
	StateSuspected State = "suspected"
	StateLeaving   State = "leaving"
	StateGone      State = "gone"
)

// Member is one daemon of the fleet.
type Member struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Domain      string `json:"domain" cbor:"2,keyasint"`
	Peers       string `json:"peers" cbor:"3,keyasint"`
	Operators   string `json:"operators" cbor:"4,keyasint"`
	State       State  `json:"state" cbor:"5,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// Boot is the incarnation with which the member's process started.
	Boot uint64 `json:"boot" cbor:"9,keyasint"`
	// Generation is the configuration in force at the member.
	Generation uint64 `json:"generation" cbor:"7,keyasint"`
	// Digest tells releases of the same generation apart.
	Digest uint64 `json:"digest,omitempty" cbor:"8,keyasint,omitempty"`
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name    string      `json:"name"`
	Domain  string      `json:"domain"`
	Pool    string      `json:"pool"`
	Address string      `json:"address"`
	Role    lister.Role `json:"role"`
	State   State       `json:"state"`
	// Versions are the versions that the endpoint has loaded.
	Versions []string `json:"versions"`
	// Running and Waiting are from the endpoint's last load report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens counts prompt tokens that wait to be computed.
	WaitingTokens int `json:"waiting_tokens"`
	// Reported is when the report was taken; zero if there was none.
	Reported time.Time `json:"reported,omitzero"`
}

// Serves reports whether new work for a version may go to the endpoint.
func (e Endpoint) Serves(version string) bool {
	return e.State == StateAlive && slices.Contains(e.Versions, version)
}

// WithState returns the endpoint in another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.State = s
	return e
}

// View is what a daemon knows at one moment. It must not be changed.
type View struct {
	Generation uint64
	Set        loader.Set
	Endpoints  []Endpoint
	Members    []Member
	// Entries are the peer addresses of entry hosts on the platform's list.
	Entries []string
	// Splits holds the shares that moves put in place of a route's own.
	Splits map[string][]loader.Share
}

// WithConfig returns the view with another configuration in force.
func (v View) WithConfig(generation uint64, set loader.Set) View {
	v.Generation, v.Set = generation, set
	return v
}

// WithEndpoints returns the view with other endpoints.
func (v View) WithEndpoints(endpoints []Endpoint) View {
	v.Endpoints = slices.Clone(endpoints)
	return v
}

// WithMembers returns the view with other members.
func (v View) WithMembers(members []Member) View {
	v.Members = slices.Clone(members)
	return v
}

// WithEntries returns the view with other entry hosts.
func (v View) WithEntries(addresses []string) View {
	v.Entries = slices.Clone(addresses)
	return v
}

// WithSplits returns the view with other shares of moving routes.
func (v View) WithSplits(splits map[string][]loader.Share) View {
	v.Splits = maps.Clone(splits)
	return v
}

// Split returns the shares in force of a route.
func (v View) Split(r loader.Route) []loader.Share {
	if s, ok := v.Splits[r.Name]; ok {
		return s
	}
	return r.Versions
}

// Holder publishes views from the control goroutine to all others.
type Holder struct {
	p atomic.Pointer[View]
}

// Load returns the current view.
func (h *Holder) Load() View {
	if v := h.p.Load(); v != nil {
		return *v
	}
	return View{}
}

// Store publishes a view.
func (h *Holder) Store(v View) { h.p.Store(&v) }
