package assessor

import (
	"math"
	"time"
)

const (
	// TimeClasses is the number of classes of times, classesPerOctave of them for each factor of 2.
	// The first holds all times below 2 to the power of minTimeRatioLog2 of the predicted one, the
	// last all longer ones.
	TimeClasses      = 48
	classesPerOctave = 4
	minTimeRatioLog2 = -3
	// minMedianTimes is the least number of times whose median is used.
	minMedianTimes = 10
	// minSlowClasses and slowClassStep are in classes.
	minSlowClasses, slowClassStep = 6, 2
	// SlowLevels is the number of levels from which on a time counts as slow.
	SlowLevels = 4
)

// SlowClasses returns how many classes above that of the median a time must be to count as slow at a
// level from 0 to SlowLevels-1: 2.8, 4, 5.7 or 8 times the median.
func SlowClasses(level int) int { return minSlowClasses + level*slowClassStep }

// Times counts times by TimeClass.
type Times [TimeClasses]int

// TimeClass returns the class of a time relative to the predicted one.
func TimeClass(took, predicted time.Duration) int {
	if took <= 0 || predicted <= 0 {
		return 0
	}
	c := classesPerOctave * (math.Log2(float64(took)/float64(predicted)) - minTimeRatioLog2)
	return min(max(int(math.Ceil(c)), 0), TimeClasses-1)
}

// RateAbove returns the rate of times beyond a class.
func (t *Times) RateAbove(class int) Rate {
	above, all := 0, 0
	for i, n := range t {
		all += n
		if i > class {
			above += n
		}
	}
	return NewRate(above, all)
}

// MedianClass returns the class of the median time, or false if there are too few times.
func (t *Times) MedianClass() (int, bool) {
	all := 0
	for _, n := range t {
		all += n
	}
	if all < minMedianTimes {
		return 0, false
	}
	below := 0
	for i, n := range t {
		below += n
		if 2*below >= all {
			return i, true
		}
	}
	return TimeClasses - 1, true
}
