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
	// An engine is ejected after maxConsecutiveFailures failed attempts, or when its
	// mean time per token exceeds ejectSlowFactor times the median of the others.
	maxConsecutiveFailures = 5
	ejectSlowFactor        = 3
	// probeSlowFactor is the longest time per token of a successful probe, in
	// multiples of the median of the others.
	probeSlowFactor = 2
	// minAnswers is the number of answers needed before an engine's time per token is
	// compared, and the window of its moving average.
	minAnswers  = 8
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// probeTimeout limits the wait for the outcome of a probe.
	probeTimeout = 10 * time.Second
	// healthExpiry is how long the health of an engine without attempts is kept.
	healthExpiry = 10 * time.Minute
)

// engineKey identifies an engine together with one of its versions.
type engineKey struct{ version, endpoint string }

// engineHealth is the state of an engine that the outcomes of its attempts give.
type engineHealth struct {
	// tokenInterval is the moving average of the time between tokens.
	tokenInterval time.Duration
	answers       int
	failures      int
	// ejectedUntil is the end of the current ejection, and ejectionTime its length.
	// It is zero if the engine is not ejected. After it, one attempt at a time probes
	// the engine.
	ejectedUntil time.Time
	ejectionTime time.Duration
	probing      bool
	lastAttempt  time.Time
}

// outlierDetector implements outlier detection (passive health checking): it ejects
// engines that fail, or are much slower than the others of their version, and returns
// them after a successful probe. The zero value is ready.
type outlierDetector struct {
	mu      sync.Mutex
	engines map[engineKey]*engineHealth
}

// withEjected returns exclude with the ejected engines of a version added.
func (o *outlierDetector) withEjected(now time.Time, version string, exclude map[string]bool) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	merged := exclude
	for k, h := range o.engines {
		if k.version != version || !h.isEjected(now) {
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

// beginAttempt records the start of an attempt at an engine. It is a probe if the engine
// was ejected.
func (o *outlierDetector) beginAttempt(now time.Time, k engineKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engines == nil {
		o.engines = make(map[engineKey]*engineHealth)
	}
	h := o.engines[k]
	if h == nil {
		h = &engineHealth{}
		o.engines[k] = h
	}
	h.lastAttempt = now
	h.probing = !h.ejectedUntil.IsZero()
}

// endAttempt records the outcome of an attempt, and reports whether that ejected the
// engine or returned it to use.
func (o *outlierDetector) endAttempt(now time.Time, k engineKey, tokenInterval time.Duration, err error) (ejected, returned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.engines[k]
	if h == nil {
		return false, false
	}
	h.recordOutcome(tokenInterval, err)
	medianInterval := o.medianInterval(k)
	if h.probing {
		h.probing = false
		if err != nil || medianInterval > 0 && tokenInterval > probeSlowFactor*medianInterval {
			h.eject(now)
			return true, false
		}
		*h = engineHealth{lastAttempt: now}
		return false, true
	}
	isSlow := h.answers >= minAnswers && medianInterval > 0 && h.tokenInterval > ejectSlowFactor*medianInterval
	if h.ejectedUntil.IsZero() && (h.failures >= maxConsecutiveFailures || isSlow) && o.mayEject(now, k) {
		h.eject(now)
		return true, false
	}
	return false, false
}

// isEjected reports whether the engine must get no attempt now. While a probe has no
// outcome, no other probe starts until probeTimeout; the outcome never arrives if the
// caller leaves.
func (h *engineHealth) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil) || h.probing && now.Sub(h.lastAttempt) < probeTimeout
}

// recordOutcome updates the failure count and the time per token.
func (h *engineHealth) recordOutcome(tokenInterval time.Duration, err error) {
	switch {
	case err != nil && mayBeEngineFault(err):
		h.failures++
	case err == nil && tokenInterval > 0:
		h.failures = 0
		if h.answers++; h.answers == 1 {
			h.tokenInterval = tokenInterval
		}
		h.tokenInterval += (tokenInterval - h.tokenInterval) / minAnswers
	}
}

// eject ejects the engine for twice as long as the last time, within bounds.
func (h *engineHealth) eject(now time.Time) {
	h.ejectionTime = min(maxEjection, max(minEjection, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.answers, h.failures = 0, 0
}

// medianInterval returns the median time between tokens of the other engines of the
// version, or 0 if none has given enough answers. The caller holds the lock.
func (o *outlierDetector) medianInterval(k engineKey) time.Duration {
	var gaps []time.Duration
	for other, h := range o.engines {
		if other.version == k.version && other != k && h.ejectedUntil.IsZero() && h.answers >= minAnswers {
			gaps = append(gaps, h.tokenInterval)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// mayEject reports whether more than half of a version's engines remain when one more
// is ejected. It first deletes engines without recent attempts. The caller holds the
// lock.
func (o *outlierDetector) mayEject(now time.Time, k engineKey) bool {
	all, away := 0, 1
	for other, h := range o.engines {
		if now.Sub(h.lastAttempt) > healthExpiry {
			delete(o.engines, other)
			continue
		}
		if other.version == k.version {
			all++
			if !h.ejectedUntil.IsZero() {
				away++
			}
		}
	}
	return 2*away < all
}

// mayBeEngineFault reports whether an error may be due to the engine that was tried.
func mayBeEngineFault(err error) bool {
	var sinkErr *sinkError
	return mayBeVersionFault(err) && !errors.As(err, &sinkErr) || errors.Is(err, inferrer.ErrNotConnected)
}
