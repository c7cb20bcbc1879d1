package estimator

import (
	"math"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// weightUnit and sumUnit are the units of the weight and the sum in reports.
	weightUnit = 1.0 / 16
	sumUnit    = 1.0 / 64
)

// tally is the weighted sum of observations. Each observation is the logarithm of the time that an engine
// took for a prompt token, relative to referenceTokensPerMilli.
type tally struct {
	sum, weight float64
	updatedAt   time.Time
}

func (t tally) mean() float64 { return t.sum / t.weight }

// decayed returns the tally with the weight that its observations have left at now.
func (t tally) decayed(now time.Time, retention time.Duration) tally {
	if t.weight > 0 {
		kept := math.Exp(-float64(max(now.Sub(t.updatedAt), 0)) / float64(retention))
		t.sum, t.weight = t.sum*kept, t.weight*kept
	}
	t.updatedAt = now
	return t
}

// report returns the tally as daemons exchange it.
func (t tally) report(key uint32) sharer.Observation {
	return sharer.Observation{Engine: key, Weight: uint32(math.Round(t.weight / weightUnit)), LogSum: int64(math.Round(t.sum / sumUnit))}
}

func tallyOf(o sharer.Observation) tally {
	return tally{sum: float64(o.LogSum) * sumUnit, weight: float64(o.Weight) * weightUnit}
}

// isPlausible reports whether a daemon may have observed the tally.
func (t tally) isPlausible() bool {
	return t.weight > 0 && t.weight <= maxReportedWeight && math.Abs(t.sum) <= maxReportedLogTime*t.weight
}
