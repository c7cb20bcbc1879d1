package throttler

import (
	"iter"
	"math"
	"time"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

const (
	// usableFraction is the fraction of the bound that is planned for. The rest is for requests that bunch
	// up on the way and for daemons that do not yet agree on the members.
	usableFraction = 0.82
	// coldRateFraction is the fraction of the requests a second that a cold endpoint takes, which the senders
	// send.
	coldRateFraction = 0.9
	// minSenderFraction is the fraction of the usable bound that is used for senders at the least. With
	// fewer of them most daemons could send nothing.
	minSenderFraction = 0.25
	// singleRate is the largest rate at which one sender cannot send two requests within a second, with
	// the time on the way.
	singleRate = 0.5
	// coldSavings is the number of requests that each sender may save up.
	coldSavings = 1
	// boundWindow is the time over which the bound counts requests.
	boundWindow = time.Second
	// rampStep is the time after which the senders and the rate double once the endpoint is warm, and
	// maxRampSteps the number of steps after which there is no limit in any fleet.
	rampStep     = time.Second
	maxRampSteps = 10
)

// Cold is the limit of an endpoint that is cold or was so before. All daemons know it from the endpoint's
// announcement and the configuration. The zero value is no limit.
type Cold struct {
	// Seen is when this daemon first knew of the endpoint, and Until when the endpoint is warm.
	Seen, Until time.Time
	// PerSecond is the number of requests a second that it takes before, and Bound the most requests in any
	// second.
	PerSecond, Bound float64
}

// coldLimit is the limit of one incarnation of a cold endpoint.
type coldLimit struct {
	bucket

	born int64
	// step is the number of steps since the endpoint is warm; 0 while it is cold.
	step int
	// isOver says that the limit is no longer needed.
	isOver bool
}

// planCold decides how a number of daemons share the limit of a cold endpoint. In any second they send no more
// than the savings of all senders and the requests of one second.
func planCold(perSecond, bound float64, members int) plan {
	if bound < 1 || perSecond <= 0 || members == 0 {
		return plan{savings: coldSavings}
	}
	usable, rate := usableFraction*bound, coldRateFraction*min(perSecond, maxRate)
	most := max(usable-rate, minSenderFraction*usable, 1)
	senders := int(min(most, float64(members)))
	rate = min(rate, max(usable-float64(senders)*coldSavings, 0))
	if senders == 1 {
		rate = max(rate, min(coldRateFraction*perSecond, singleRate))
	}
	return plan{senders: senders, rate: rate, savings: coldSavings}
}

// planRamp decides the same for a step after the endpoint has become warm.
func planRamp(c Cold, step, members int) plan {
	p := planCold(c.PerSecond, max(c.Bound, 1), math.MaxInt32)
	factor := math.Exp2(float64(step))
	p.senders, p.rate = min(int(float64(p.senders)*factor), members), p.rate*factor
	return p
}

// isRampOver reports whether the limit is no longer needed, since all daemons send.
func isRampOver(c Cold, step, members int) bool {
	return step > maxRampSteps || step > 1 && members > 0 && planRamp(c, step, members).senders >= members
}

// rampStepAt returns the step of a limit at a time; 0 while the endpoint is cold.
func (c Cold) rampStepAt(now time.Time) int {
	warmFor := now.Sub(c.Until)
	if warmFor < 0 {
		return 0
	}
	return 1 + int(min(warmFor/rampStep, maxRampSteps))
}

// coldOf returns what is known of an endpoint's warm-up.
func (t *Throttler) coldOf(endpoint string, born int64) Cold {
	if t.cfg.Cold == nil {
		return Cold{}
	}
	return t.cfg.Cold(endpoint, born)
}

// coldInForce returns the limit of a cold endpoint with its level and senders of now, or nil if it has none.
func (t *Throttler) coldInForce(endpoint string, born int64, c Cold, now time.Time) *coldLimit {
	step := c.rampStepAt(now)
	l := t.colds[endpoint]
	if c.PerSecond <= 0 || c.Until.IsZero() || step > maxRampSteps {
		if l != nil && l.born == born {
			t.endCold(endpoint, l)
			delete(t.colds, endpoint)
		}
		return nil
	}
	if l == nil || l.born != born {
		l = t.newColdLimit(born, c, step, now)
		t.colds[endpoint] = l
		t.recordColdChange(endpoint, born, c, step, now)
	}
	if l.step != step {
		l.changeStep(step, now)
		t.recordColdChange(endpoint, born, c, step, now)
	}
	if l.isOver {
		return nil
	}
	t.update(&l.bucket, endpoint, func(members int) plan {
		if step == 0 {
			return planCold(c.PerSecond, c.Bound, members)
		}
		return planRamp(c, step, members)
	}, now)
	if isRampOver(c, step, l.members) {
		t.endCold(endpoint, l)
		return nil
	}
	return l
}

// newColdLimit returns the limit of an endpoint that has become cold. The bucket starts full if neither this
// daemon nor an earlier start of it can have sent to the endpoint within the window of the bound.
func (t *Throttler) newColdLimit(born int64, c Cold, step int, now time.Time) *coldLimit {
	l := &coldLimit{born: born, step: step, bucket: bucket{refilledAt: now}}
	if now.Sub(c.Seen) < boundWindow && now.Sub(t.startedAt) > boundWindow {
		l.level, l.isUnused = coldSavings, true
	}
	return l
}

// changeStep begins another step. An endpoint that is cold again starts without savings.
func (l *coldLimit) changeStep(step int, now time.Time) {
	l.refill(now)
	if step < l.step {
		l.level = min(l.level, 0)
	}
	l.step, l.rankedAt, l.isOver = step, time.Time{}, l.isOver && step > l.step
}

// endCold ends a limit that is no longer needed. It is kept until no daemon would need it any more.
func (t *Throttler) endCold(endpoint string, l *coldLimit) {
	if l.isOver {
		return
	}
	l.isOver = true
	logger.Info(t.cfg.Logger, "msg", "endpoint unlimited after its warm-up", "endpoint", endpoint, "born", l.born)
}

// recordColdChange logs and counts that an endpoint has become cold or warm. Later steps are neither.
func (t *Throttler) recordColdChange(endpoint string, born int64, c Cold, step int, now time.Time) {
	switch step {
	case 0:
		logger.Info(t.cfg.Logger, "msg", "endpoint cold", "endpoint", endpoint, "born", born, "left", c.Until.Sub(now), "limit", c.PerSecond, "bound", c.Bound)
		meter.AddToCounter(t.cfg.Registry, 1, "endpoint_warmth_changes_total", "to", "cold")
	case 1:
		logger.Info(t.cfg.Logger, "msg", "endpoint warm", "endpoint", endpoint, "born", born)
		meter.AddToCounter(t.cfg.Registry, 1, "endpoint_warmth_changes_total", "to", "warm")
	}
}

// waitCold returns how long requests have to wait for the limit of a cold endpoint. A daemon that knows no
// members looks again soon, and where the bound allows no request they wait until the endpoint is warm.
func (l *coldLimit) waitCold(c Cold, now time.Time) time.Duration {
	switch {
	case l.members == 0:
		return rankPeriod
	case l.plan.rate <= 0:
		return max(c.Until.Sub(now), rankPeriod)
	}
	return l.wait()
}

// Granted implements Gate. It names cold endpoints only: an endpoint that names a limit of its own is in need, and
// is not sought out.
func (t *Throttler) Granted() []string {
	if t.cfg.Cold == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var out []string
	for endpoint, l := range t.colds {
		if l.isOver || !l.isSender {
			continue
		}
		if l.refill(now); l.wait() == 0 {
			out = append(out, endpoint)
		}
	}
	return out
}

// Refresh notices which endpoints have become cold or warm, also those to which nothing is sent.
func (t *Throttler) Refresh(endpoints iter.Seq2[string, int64]) {
	if t.cfg.Cold == nil {
		return
	}
	seen := make(map[string]bool)
	for endpoint, born := range endpoints {
		t.Wait(endpoint, born)
		seen[endpoint] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.colds {
		if !seen[endpoint] {
			delete(t.colds, endpoint)
		}
	}
}
