package mover

import (
	"math"
	"time"

	"pomelotiller/internal/control/assessor"
	"pomelotiller/internal/traffic/relayer"
)

const (
	// workGroups is the number of groups of answers by the prompt tokens that had to be computed,
	// groupsPerOctave of them for each factor of 2. The first holds all answers with less than
	// minGroupTokens.
	workGroups      = 26
	groupsPerOctave = 2
	minGroupTokens  = 16
	// firstTokenUnit and tokenUnit are the times relative to which times are counted in classes.
	firstTokenUnit = 16 * time.Millisecond
	tokenUnit      = 8 * time.Millisecond
	// minComparedTokens is the least number of tokens of which the mean interval is compared: one
	// prompt that the engine prefills meanwhile makes the mean of fewer tokens long.
	minComparedTokens = 8
)

// LatencyCounts are numbers of answers whose times were compared with the old version's median.
type LatencyCounts struct {
	_        struct{} `cbor:",toarray"`
	Compared uint64   `json:"compared"`
	// Slow counts the answers that took several times the median, by level of assessor.SlowClasses.
	Slow [assessor.SlowLevels]uint64 `json:"slow"`
}

func (c LatencyCounts) plus(o LatencyCounts) LatencyCounts {
	c.Compared += o.Compared
	for level, n := range o.Slow {
		c.Slow[level] += n
	}
	return c
}

func (c LatencyCounts) rate(level int) assessor.Rate {
	return assessor.Rate{Faults: c.Slow[level], Requests: c.Compared}
}

// latencyBaseline holds the times of the old version's answers at this daemon in one run of a move.
// It covers the whole run, since the old version has little load late in the ramp.
type latencyBaseline struct {
	run uint64
	// first counts times to the first token by workGroup: an engine that has to compute more of a
	// prompt, since its cache is cold, is not slow. Answers of groups that the old version does not
	// have are not compared.
	first [workGroups]assessor.Times
	// token counts mean intervals between tokens.
	token assessor.Times
}

// record adds an answer of the old version.
func (b *latencyBaseline) record(o relayer.Outcome) {
	if o.FirstTokenTime > 0 {
		b.first[workGroup(o.UncomputedTokens)][assessor.TimeClass(o.FirstTokenTime, firstTokenUnit)]++
	}
	if hasComparableInterval(o) {
		b.token[assessor.TimeClass(o.TokenInterval, tokenUnit)]++
	}
}

// compare compares the times of an answer with the old version's medians.
func (b *latencyBaseline) compare(o relayer.Outcome) (first, token LatencyCounts) {
	if o.FirstTokenTime > 0 {
		first = compareTime(&b.first[workGroup(o.UncomputedTokens)], assessor.TimeClass(o.FirstTokenTime, firstTokenUnit))
	}
	if hasComparableInterval(o) {
		token = compareTime(&b.token, assessor.TimeClass(o.TokenInterval, tokenUnit))
	}
	return first, token
}

// compareTime compares the class of a time with the median of others.
func compareTime(others *assessor.Times, class int) LatencyCounts {
	median, ok := others.MedianClass()
	if !ok {
		return LatencyCounts{}
	}
	c := LatencyCounts{Compared: 1}
	for level := range c.Slow {
		if class > median+assessor.SlowClasses(level) {
			c.Slow[level] = 1
		}
	}
	return c
}

func hasComparableInterval(o relayer.Outcome) bool {
	return o.Tokens >= minComparedTokens && o.TokenInterval > 0
}

// workGroup returns the group of answers before whose first token an engine had to compute a number
// of prompt tokens.
func workGroup(tokens int) int {
	if tokens < minGroupTokens {
		return 0
	}
	return min(1+int(groupsPerOctave*math.Log2(float64(tokens)/minGroupTokens)), workGroups-1)
}
