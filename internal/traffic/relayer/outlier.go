package relayer

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

const (
	// maxFailures is the number of failed attempts in a row, and slowFactor the
	// mean time a token in multiples of the others' median, at which an engine
	// is ejected.
	maxFailures = 5
	slowFactor  = 3
	// returnFactor is how slow a probe may be for the engine to return.
	returnFactor = 2
	// minAnswers is the number of answers that a judgement needs.
	minAnswers  = 8
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// maxProbe bounds the wait for the outcome of a probe.
	maxProbe = 10 * time.Second
	// forgetAfter is how long an engine without attempts is remembered.
	forgetAfter = 10 * time.Minute
)

// engineKey is an engine with one of its versions.
type engineKey struct{ version, endpoint string }

// health is what the attempts at an engine tell of it.
type health struct {
	// gap is the smoothed time between tokens.
	gap      time.Duration
	answers  int
	failures int
	// until is the end of the present ejection, which lasts for away; zero if
	// the engine is not ejected. After it one attempt at a time is a probe.
	until   time.Time
	away    time.Duration
	probing bool
	seen    time.Time
}

// outliers ejects engines that fail or are much slower than the others of their
// version, and lets them return after a good probe. The zero value is ready.
type outliers struct {
	mu      sync.Mutex
	engines map[engineKey]*health
}

// excluded returns exclude together with the ejected engines of a version.
func (o *outliers) excluded(now time.Time, version string, exclude map[string]bool) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	merged := exclude
	for k, h := range o.engines {
		if k.version != version || !h.isAway(now) {
			continue
		}
		if len(merged) == len(exclude) {
			merged = maps.Clone(exclude)
		}
		if merged == nil {
			merged = make(map[string]bool)
		}
		merged[k.endpoint] = true
	}
	return merged
}

// begin notes an attempt at an engine.
func (o *outliers) begin(now time.Time, k engineKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engines == nil {
		o.engines = make(map[engineKey]*health)
	}
	h := o.engines[k]
	if h == nil {
		h = &health{}
		o.engines[k] = h
	}
	h.seen = now
	h.probing = !h.until.IsZero()
}

// end notes the outcome of an attempt, and reports whether the engine was
// ejected or has returned because of it.
func (o *outliers) end(now time.Time, k engineKey, gap time.Duration, err error) (ejected, returned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.engines[k]
	if h == nil {
		return false, false
	}
	h.note(gap, err)
	median := o.median(k)
	if h.probing {
		h.probing = false
		if err != nil || median > 0 && gap > returnFactor*median {
			h.eject(now)
			return true, false
		}
		*h = health{seen: now}
		return false, true
	}
	isSlow := h.answers >= minAnswers && median > 0 && h.gap > slowFactor*median
	if h.until.IsZero() && (h.failures >= maxFailures || isSlow) && o.maySpare(now, k) {
		h.eject(now)
		return true, false
	}
	return false, false
}

// isAway reports whether an engine gets no attempt now. An outcome that never
// comes, as when the caller goes away, holds up the next probe for a while.
func (h *health) isAway(now time.Time) bool {
	return now.Before(h.until) || h.probing && now.Sub(h.seen) < maxProbe
}

func (h *health) note(gap time.Duration, err error) {
	switch {
	case err != nil && blamesEngine(err):
		h.failures++
	case err == nil && gap > 0:
		h.failures = 0
		if h.answers++; h.answers == 1 {
			h.gap = gap
		}
		h.gap += (gap - h.gap) / minAnswers
	}
}

func (h *health) eject(now time.Time) {
	h.away = min(maxEjection, max(minEjection, 2*h.away))
	h.until = now.Add(h.away)
	h.answers, h.failures = 0, 0
}

// median returns the median time between tokens of the other engines of a
// version, or 0 if none has answered enough. The caller holds the lock.
func (o *outliers) median(k engineKey) time.Duration {
	var gaps []time.Duration
	for other, h := range o.engines {
		if other.version == k.version && other != k && h.until.IsZero() && h.answers >= minAnswers {
			gaps = append(gaps, h.gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// maySpare reports whether more than half of a version's engines are left when
// one more is ejected, and forgets those that are gone. The caller holds the
// lock.
func (o *outliers) maySpare(now time.Time, k engineKey) bool {
	all, away := 0, 1
	for other, h := range o.engines {
		if now.Sub(h.seen) > forgetAfter {
			delete(o.engines, other)
			continue
		}
		if other.version == k.version {
			all++
			if !h.until.IsZero() {
				away++
			}
		}
	}
	return 2*away < all
}

// blamesEngine reports whether an error may be the fault of one engine.
func blamesEngine(err error) bool {
	var sinkErr *sinkError
	return blamesVersion(err) && !errors.As(err, &sinkErr) || errors.Is(err, inferrer.ErrNotConnected)
}
