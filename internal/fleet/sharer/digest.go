package sharer

import (
	"maps"
	"slices"
)

const (
	// loadBytes and spentBytes are what one entry takes at most beside its name.
	loadBytes  = 14
	spentBytes = 12
	// digestBytes is what entries may take in one message, so that it fits a
	// datagram with its envelope.
	digestBytes = 1000
)

// digest is a part of the sums of a hub.
type digest struct {
	_    struct{} `cbor:",toarray"`
	Boot int64
	// Whole sums are of all daemons, others of the hub and those attached to
	// it.
	Whole       bool
	Part, Parts int
	// Held is the number of the receiver's latest work that whole sums hold.
	Held  uint64
	Loads []Load
	// Spent is what was let through since the hub's start.
	Spent []Spent
}

// digests returns sums in parts that fit a datagram each.
func digests(boot int64, whole bool, loads []Load, totals map[string]float64) []digest {
	var out []digest
	d, size := digest{Boot: boot, Whole: whole}, 0
	grow := func(n int) {
		if size += n; size > digestBytes {
			out = append(out, d)
			d, size = digest{Boot: boot, Whole: whole}, n
		}
	}
	for _, org := range slices.Sorted(maps.Keys(totals)) {
		grow(spentBytes + len(org))
		d.Spent = append(d.Spent, Spent{Organisation: org, Total: totals[org]})
	}
	for _, l := range loads {
		grow(loadBytes + len(l.Endpoint))
		d.Loads = append(d.Loads, l)
	}
	out = append(out, d)
	for i := range out {
		out[i].Part, out[i].Parts = i, len(out)
	}
	return out
}
