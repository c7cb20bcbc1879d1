// Package evacuator keeps the evacuations of failure domains in the platform's store. An operator
// requests that nothing more be sent to the endpoints of a domain, and withdraws the request later.
// The store holds all evacuations under one key, which daemons watch with the configuration.
package evacuator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/storer"
)

// Key is the key of the evacuations in the store. It is below the key of the configuration, so that
// one watch of a daemon includes both.
const Key = publisher.ConfigKey + "/evacuations"

// generationGap is added to the generation by the next change after the store was restored from
// older data, as for configurations: unreachable daemons may hold generations that the store lost.
const generationGap = 1000

// Set is the immutable set of the evacuations that operators request. Its generation grows with each
// change.
type Set struct {
	Generation uint64 `json:"generation"`
	// Domains are the evacuations, sorted by domain.
	Domains []viewer.Evacuation `json:"domains"`
	Changed time.Time           `json:"changed"`
	// Repaired is set if a daemon wrote the set back to a store that had lost it.
	Repaired bool `json:"repaired,omitempty"`
}

// Has reports whether the evacuation of a domain is requested.
func (s Set) Has(domain string) bool {
	return slices.ContainsFunc(s.Domains, func(e viewer.Evacuation) bool { return e.Domain == domain })
}

// WithDomain returns a copy of the set in which the evacuation of a domain is requested at a time.
func (s Set) WithDomain(domain string, at time.Time) Set {
	s.Domains = append(s.WithoutDomain(domain).Domains, viewer.Evacuation{Domain: domain, Requested: at})
	slices.SortFunc(s.Domains, func(a, b viewer.Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return s
}

// WithoutDomain returns a copy of the set in which the evacuation of a domain is not requested.
func (s Set) WithoutDomain(domain string) Set {
	s.Domains = slices.DeleteFunc(slices.Clone(s.Domains), func(e viewer.Evacuation) bool { return e.Domain == domain })
	return s
}

// IsNewer reports whether s replaces old. Two sets can have the same generation only if the store lost
// one of them. They are ordered by their encoding, as gossip items are, so that all daemons choose
// the same one.
func (s Set) IsNewer(old Set) bool {
	return cmp.Or(cmp.Compare(s.Generation, old.Generation), bytes.Compare(s.Encode(), old.Encode())) > 0
}

// gossipSet is the form of a set in gossip. Times are numbers of nanoseconds since 1970.
type gossipSet struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	Changed    int64
	Domains    []gossipEvacuation
}

type gossipEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Domain    string
	Requested int64
}

// Encode returns the form of the set that daemons send each other. It does not say whether the set
// was repaired, which matters in the store only.
func (s Set) Encode() []byte {
	g := gossipSet{Generation: s.Generation, Changed: s.Changed.UnixNano(), Domains: []gossipEvacuation{}}
	for _, e := range s.Domains {
		g.Domains = append(g.Domains, gossipEvacuation{Domain: e.Domain, Requested: e.Requested.UnixNano()})
	}
	// Encoding numbers and strings does not fail.
	b, _ := cbor.Marshal(g)
	return b
}

// DecodeGossip returns the set in a gossip item.
func DecodeGossip(b []byte) (Set, error) {
	var g gossipSet
	if err := cbor.Unmarshal(b, &g); err != nil {
		return Set{}, fmt.Errorf("decode evacuations: %w", err)
	}
	s := Set{Generation: g.Generation, Changed: time.Unix(0, g.Changed).UTC()}
	for _, e := range g.Domains {
		s = s.WithDomain(e.Domain, time.Unix(0, e.Requested).UTC())
	}
	return s, nil
}

// decodeEntry returns the set in an entry of the store. An entry that is zero or deleted holds the
// zero set.
func decodeEntry(e storer.Entry) (Set, error) {
	var s Set
	if e.Deleted || e.Revision == 0 {
		return s, nil
	}
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return s, fmt.Errorf("decode %s: %w", Key, err)
	}
	return s, nil
}

// digest returns a text that distinguishes sets, also those of the same generation; it is empty for
// the zero set.
func (s Set) digest() string {
	if s.Generation == 0 {
		return ""
	}
	return strconv.FormatUint(s.Generation, 10) + " " + strconv.FormatUint(xxhash.Sum64(s.Encode()), 16)
}
