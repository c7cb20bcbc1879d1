package localizer

import (
	"math"
	"time"
)

const (
	// latestErrorWeight is the weight of the latest error in the moving average.
	latestErrorWeight = 0.4
	// errorHalfLife is the time in which the average halves without answers.
	errorHalfLife = time.Second
)

// predictionError is the moving average of how much longer answers took than predicted. With old loads the queues
// of other daemons are underestimated where a domain is short.
type predictionError struct {
	value     time.Duration
	updatedAt time.Time
}

func (e *predictionError) at(now time.Time) time.Duration {
	if e == nil || e.value <= 0 {
		return 0
	}
	return time.Duration(float64(e.value) * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(errorHalfLife)))
}

func (e *predictionError) record(predicted, took time.Duration, now time.Time) {
	old := e.at(now)
	e.value = max(old+time.Duration(latestErrorWeight*float64(took-predicted-old)), 0)
	e.updatedAt = now
}
