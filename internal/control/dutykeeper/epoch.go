package dutykeeper

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// suffixBits is the number of low bits of an epoch that tell its daemon from others. With them an epoch stays
// below 2^53, up to which every JSON reader holds it exactly.
const suffixBits = 12

// nextEpoch returns the epoch of a new term of a daemon, above the epoch known so far. A store that was
// restored from a copy may hold an old epoch, and no daemon may have told this one of a later term yet. So
// the upper bits are at least the time in milliseconds, which keeps the epoch above those of terms that the
// store has lost, and the low bits follow from the daemon's name: two daemons use one epoch only if both
// coincide.
func nextEpoch(known uint64, now time.Time, daemon string) uint64 {
	upper := max(known>>suffixBits+1, uint64(max(0, now.UnixMilli())))
	return upper<<suffixBits | xxhash.Sum64String(daemon)&(1<<suffixBits-1)
}
