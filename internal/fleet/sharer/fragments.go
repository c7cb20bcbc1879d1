package sharer

import (
	"maps"
	"slices"
)

const (
	// maxLoadBytes and maxAdmissionsBytes are the largest encoded sizes of one entry without its
	// name.
	maxLoadBytes       = 14
	maxAdmissionsBytes = 12
	// maxTotalsBytes is the space for entries in one message that leaves room for the envelope in
	// a datagram.
	maxTotalsBytes = 1000
)

// totalsFragment is one datagram's fragment of the totals of a hub. It is encoded as an array, so
// the order of the fields matters.
type totalsFragment struct {
	_    struct{} `cbor:",toarray"`
	Boot int64
	// Whole totals cover the fleet; others cover the hub and the daemons attached to it.
	Whole               bool
	Fragment, Fragments int
	// Held is the number of the receiver's latest load report that whole totals include.
	Held  uint64
	Loads []Load
	// Admissions is what was admitted since the hub started.
	Admissions []Admissions
}

// fragmentTotals splits totals into fragments that fit a datagram each.
func fragmentTotals(boot int64, whole bool, loads []Load, totals map[string]float64) []totalsFragment {
	var out []totalsFragment
	d, size := totalsFragment{Boot: boot, Whole: whole}, 0
	grow := func(n int) {
		if size += n; size > maxTotalsBytes {
			out = append(out, d)
			d, size = totalsFragment{Boot: boot, Whole: whole}, n
		}
	}
	for _, org := range slices.Sorted(maps.Keys(totals)) {
		grow(maxAdmissionsBytes + len(org))
		d.Admissions = append(d.Admissions, Admissions{Organisation: org, Total: totals[org]})
	}
	for _, l := range loads {
		grow(maxLoadBytes + len(l.Endpoint))
		d.Loads = append(d.Loads, l)
	}
	out = append(out, d)
	for i := range out {
		out[i].Fragment, out[i].Fragments = i, len(out)
	}
	return out
}
