package storer

// A store that is restored from an older copy begins a new era and assigns revisions of the previous era
// again. The revisions that the daemons use contain the era in their upper bits, so that the larger
// of two revisions is always the later one.

// eraShift is the number of low bits that hold the revision within its era.
const eraShift = 48

// JoinEra combines an era and a revision within it. For stores that report no era, the era is 0.
func JoinEra(era, revision uint64) uint64 { return era<<eraShift | revision }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// RevisionInEra returns a revision without its era, as the store assigned it.
func RevisionInEra(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
