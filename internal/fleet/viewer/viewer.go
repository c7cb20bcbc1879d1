// Package viewer defines the immutable snapshot of configuration, members and
// endpoints that a daemon routes by. The control goroutine builds a new View
// for each change and publishes it through one atomic pointer, so that requests
// read it without a lock.
package viewer

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/lister"
)

// State is the state of a member or an endpoint as this daemon knows it.
type State string

// States of members and endpoints, in the order in which they can follow one another.
const (
	StateAlive     State = "alive"
	StateSuspected State = "suspected"
	StateLeaving   State = "leaving"
	StateGone      State = "gone"
)

// SuspicionTime is the time since its last load report in which a suspected endpoint may yet turn out
// to run: 2 s until it is suspected and 3 s to refute that, as for members.
const SuspicionTime = 5 * time.Second

// Member is one daemon of the fleet. Peers and Operators are its addresses for
// other daemons and for operators.
type Member struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Domain      string `json:"domain" cbor:"2,keyasint"`
	Peers       string `json:"peers" cbor:"3,keyasint"`
	Operators   string `json:"operators" cbor:"4,keyasint"`
	State       State  `json:"state" cbor:"5,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// Boot is the incarnation number at the start of the member's process.
	Boot uint64 `json:"boot" cbor:"9,keyasint"`
	// Generation is the number of the configuration that the member uses.
	Generation uint64 `json:"generation" cbor:"7,keyasint"`
	// Digest distinguishes configurations with the same generation.
	Digest uint64 `json:"digest,omitempty" cbor:"8,keyasint,omitempty"`
	// Evacuations is the generation of the evacuations that the member follows.
	Evacuations uint64 `json:"evacuations,omitempty" cbor:"10,keyasint,omitempty"`
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name    string      `json:"name"`
	Domain  string      `json:"domain"`
	Pool    string      `json:"pool"`
	Address string      `json:"address"`
	Role    lister.Role `json:"role"`
	State   State       `json:"state"`
	// Versions are the model versions that the endpoint has loaded.
	Versions []string `json:"versions"`
	// Running and Waiting count requests in the endpoint's last load report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of uncomputed prompt tokens in that report.
	WaitingTokens int `json:"waiting_tokens"`
	// Reported is when the report was received; zero if there was none.
	Reported time.Time `json:"reported,omitzero"`
	// Evacuated is set while an operator requests that nothing more be sent to the failure domain of
	// the endpoint.
	Evacuated bool `json:"evacuated,omitempty"`
}

// CanServe reports whether new requests for a version may go to the endpoint.
func (e Endpoint) CanServe(version string) bool {
	return !e.Evacuated && e.State == StateAlive && slices.Contains(e.Versions, version)
}

// MayServe is like CanServe, but also includes an endpoint that is suspected and whose last load
// report is younger than SuspicionTime: it may run, and its reports be late.
func (e Endpoint) MayServe(version string, now time.Time) bool {
	isDoubtful := e.State == StateSuspected && now.Sub(e.Reported) < SuspicionTime
	return !e.Evacuated && (e.State == StateAlive || isDoubtful) && slices.Contains(e.Versions, version)
}

// WithState returns a copy of the endpoint with another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.State = s
	return e
}

// View is an immutable snapshot of what a daemon routes by.
type View struct {
	Generation uint64
	Set        loader.Set
	Endpoints  []Endpoint
	Members    []Member
	// EntryPeers are the peer addresses of the entry hosts in the platform's list of hosts.
	EntryPeers []string
	// MoveShares holds, by route, the version shares that a move sets in place of the configured
	// ones.
	MoveShares map[string][]loader.Share
	// Evacuations are the requested evacuations of failure domains, sorted by domain.
	Evacuations []Evacuation
}

// WithConfig returns a copy of the view with another configuration.
func (v View) WithConfig(generation uint64, set loader.Set) View {
	v.Generation, v.Set = generation, set
	return v
}

// WithEndpoints returns a copy of the view with other endpoints.
func (v View) WithEndpoints(endpoints []Endpoint) View {
	v.Endpoints = slices.Clone(endpoints)
	return v
}

// WithMembers returns a copy of the view with other members.
func (v View) WithMembers(members []Member) View {
	v.Members = slices.Clone(members)
	return v
}

// WithEntryPeers returns a copy of the view with other peer addresses of entry hosts.
func (v View) WithEntryPeers(addresses []string) View {
	v.EntryPeers = slices.Clone(addresses)
	return v
}

// WithMoveShares returns a copy of the view with other version shares of the routes that moves
// change.
func (v View) WithMoveShares(splits map[string][]loader.Share) View {
	v.MoveShares = maps.Clone(splits)
	return v
}

// WithEvacuations returns a copy of the view with other evacuations, with its endpoints marked
// accordingly.
func (v View) WithEvacuations(evacuations []Evacuation) View {
	v.Evacuations = slices.Clone(evacuations)
	v.Endpoints = slices.Clone(v.Endpoints)
	for i, e := range v.Endpoints {
		v.Endpoints[i].Evacuated = v.IsEvacuated(e.Domain)
	}
	return v
}

// VersionShares returns the current version shares of a route: those of a move, or the configured
// ones.
func (v View) VersionShares(r loader.Route) []loader.Share {
	if s, ok := v.MoveShares[r.Name]; ok {
		return s
	}
	return r.Versions
}

// CurrentView holds the current View, which the control goroutine stores and all others load.
type CurrentView struct {
	p atomic.Pointer[View]
}

// Load returns the current view.
func (h *CurrentView) Load() View {
	if v := h.p.Load(); v != nil {
		return *v
	}
	return View{}
}

// Store publishes a view.
func (h *CurrentView) Store(v View) { h.p.Store(&v) }
