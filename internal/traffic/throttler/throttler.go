// Package throttler keeps the fleet within the request limits of endpoints: those that they name in their
// answers, and that of a cold endpoint, which follows from its announcement and the configuration. A limit holds
// for all daemons together and can be smaller than one request a second for each of them. So only a few daemons,
// the senders, send to a limited endpoint, each at an equal part of the limit. All daemons compute the same
// senders from their member lists, by rendezvous hashing, without messages. An unreachable daemon keeps its part
// until it is forgotten, so that both sides of a network partition together stay within the limit.
package throttler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

const (
	// baseSenders is the number of senders at a limit below one request a second; there is one more for
	// each whole request a second. Each may save up one request.
	baseSenders = 3
	// minRate is the number of requests a second that all senders together send at the least, since only an
	// answer can tell that a limit has ended.
	minRate = 0.25
	// maxRate is the largest rate that is told apart, in requests a second.
	maxRate = 1e6
	// burstTime is how many seconds of its rate a sender may save up, if that is over one request.
	burstTime = 500 * time.Millisecond
	// firstLevel is the level of a sender's bucket when a limit is first known: the endpoint got more than
	// the limit before.
	firstLevel = -0.5
	// rankPeriod is the time after which the senders are computed again.
	rankPeriod = 500 * time.Millisecond
	// maxReportDelay is how late the report of another daemon may arrive. A limit that was named within
	// that time before it is not ended by it.
	maxReportDelay = time.Second
	// endMemory is how long other daemons are told that a limit has ended, and limitMemory how long the
	// limit of an endpoint is kept that is not in the list of endpoints.
	endMemory   = 10 * time.Second
	limitMemory = time.Minute
)

// Config configures a Throttler.
type Config struct {
	// Self is the address of this daemon in Members.
	Self string
	// Members returns the addresses of all daemons that may send requests, unreachable ones included. Without
	// Self in it, this daemon sends nothing to limited endpoints.
	Members func() []string
	// Announce is called when there is something new to tell the other daemons.
	Announce func()
	// Cold returns what is known of the warm-up of an endpoint; nil means that endpoints are never cold.
	Cold     func(endpoint string, born int64) Cold
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// Throttler knows the request limits of endpoints and this daemon's part of each. Its methods are safe for
// concurrent use.
type Throttler struct {
	cfg Config
	// known counts the limits, so that Wait needs no lock where there are none.
	known     atomic.Int64
	startedAt time.Time

	mu sync.Mutex
	// limits holds the limit of each endpoint by its id.
	limits map[string]*limit
	// colds holds the limits of endpoints that are cold or were until a short time ago, by id.
	colds map[string]*coldLimit
}

// limit is the request limit of one incarnation of an endpoint.
type limit struct {
	bucket

	born      int64
	perSecond float64
	// ended says that the endpoint names no limit any more.
	ended bool
	// observedAt is when the answer arrived that the limit is known from or, for an ended one, when its
	// request was sent. isOwn says that it was an answer to this daemon.
	observedAt time.Time
	isOwn      bool
}

// New returns a throttler that knows no limits.
func New(cfg Config) *Throttler {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Throttler{cfg: cfg, startedAt: cfg.Now(), limits: make(map[string]*limit), colds: make(map[string]*coldLimit)}
}

// RecordLimit records that an endpoint named a limit in an answer to this daemon, in requests a second.
func (t *Throttler) RecordLimit(endpoint string, born int64, perSecond float64) {
	t.observe(endpoint, observation{born: born, perSecond: perSecond, at: t.cfg.Now(), isOwn: true})
}

// RecordNoLimit records that an endpoint named no limit in its answer to a request that this daemon sent at
// a time. An answer to a request from before the limit was named does not end it.
func (t *Throttler) RecordNoLimit(endpoint string, born int64, sentAt time.Time) {
	if t.known.Load() == 0 {
		return
	}
	t.observe(endpoint, observation{born: born, ended: true, at: sentAt, isOwn: true})
}

// observation is what one answer says of a limit.
type observation struct {
	born      int64
	perSecond float64
	ended     bool
	at        time.Time
	isOwn     bool
}

// observe applies an observation, and announces it if it was made by this daemon and changes the limit.
func (t *Throttler) observe(endpoint string, o observation) {
	t.mu.Lock()
	changed := t.apply(endpoint, o)
	t.mu.Unlock()
	if !changed {
		return
	}
	logger.Info(t.cfg.Logger, "msg", "request limit changed", "endpoint", endpoint, "born", o.born, "limit", o.perSecond, "ended", o.ended, "own", o.isOwn)
	meter.AddToCounter(t.cfg.Registry, 1, "request_limit_changes_total")
	if o.isOwn {
		t.cfg.Announce()
	}
}

// apply applies an observation unless a later one is known, and reports whether it changes the limit.
func (t *Throttler) apply(endpoint string, o observation) bool {
	l := t.limits[endpoint]
	if l != nil && l.born > o.born {
		return false
	}
	if l == nil || l.born < o.born {
		if o.ended {
			return false
		}
		t.add(endpoint, o)
		return true
	}
	if !l.isEarlierThan(o) {
		return false
	}
	changed := l.ended != o.ended || !o.ended && l.perSecond != o.perSecond
	if l.ended && !o.ended {
		l.level, l.refilledAt = firstLevel, t.cfg.Now()
	}
	l.refill(t.cfg.Now())
	l.perSecond, l.ended, l.observedAt, l.isOwn = o.perSecond, o.ended, o.at, o.isOwn
	if changed {
		l.rankedAt = time.Time{}
	}
	return changed
}

// add adds the limit of an endpoint that had none.
func (t *Throttler) add(endpoint string, o observation) {
	now := t.cfg.Now()
	t.limits[endpoint] = &limit{born: o.born, perSecond: o.perSecond, observedAt: o.at, isOwn: o.isOwn, bucket: bucket{level: firstLevel, refilledAt: now}}
	t.known.Store(int64(len(t.limits)))
}

// isEarlierThan reports whether an observation is later than what is known of the limit.
func (l *limit) isEarlierThan(o observation) bool {
	if o.ended && !l.ended && !o.isOwn {
		return o.at.Sub(l.observedAt) > maxReportDelay
	}
	return o.at.After(l.observedAt)
}

// Wait returns how long requests to an endpoint have to wait for its limits; 0 if this daemon may send one
// now. If this daemon is no sender, it is the time that the endpoint takes for one request of the fleet.
func (t *Throttler) Wait(endpoint string, born int64) time.Duration {
	c := t.coldOf(endpoint, born)
	if t.known.Load() == 0 && c == (Cold{}) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var wait time.Duration
	if l := t.inForce(endpoint, born, now); l != nil {
		wait = l.wait()
	}
	if l := t.coldInForce(endpoint, born, c, now); l != nil {
		wait = max(wait, l.waitCold(c, now))
	}
	return wait
}

// Take charges one request to this daemon's part of an endpoint's limits.
func (t *Throttler) Take(endpoint string, born int64) { t.charge(endpoint, born, 1) }

// Return gives back a request that was taken and not sent.
func (t *Throttler) Return(endpoint string, born int64) { t.charge(endpoint, born, -1) }

func (t *Throttler) charge(endpoint string, born int64, n float64) {
	c := t.coldOf(endpoint, born)
	if t.known.Load() == 0 && c == (Cold{}) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if l := t.inForce(endpoint, born, now); l != nil {
		l.level -= n
	}
	if l := t.coldInForce(endpoint, born, c, now); l != nil {
		l.level -= n
	}
}

// inForce returns the named limit of an incarnation of an endpoint with its level and senders of now, or nil
// if it has none.
func (t *Throttler) inForce(endpoint string, born int64, now time.Time) *limit {
	l := t.limits[endpoint]
	if l == nil || l.born != born || l.ended {
		return nil
	}
	t.update(&l.bucket, endpoint, l.decide, now)
	return l
}

// decide returns how a number of daemons share the limit.
func (l *limit) decide(members int) plan {
	rate := min(max(l.perSecond, minRate), maxRate)
	senders := min(baseSenders+int(rate), members)
	return plan{senders: senders, rate: rate, savings: max(1, rate/float64(max(senders, 1))*burstTime.Seconds())}
}

// toDuration converts seconds, and returns 0 for a negative number.
func toDuration(seconds float64) time.Duration {
	return time.Duration(max(math.Ceil(seconds*float64(time.Second)), 0))
}

// Retain drops the limits of endpoints for which isKnown is false and of which nothing was heard of late.
func (t *Throttler) Retain(isKnown func(endpoint string, born int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for endpoint, l := range t.limits {
		if !isKnown(endpoint, l.born) && now.Sub(l.observedAt) > limitMemory {
			delete(t.limits, endpoint)
		}
	}
	t.known.Store(int64(len(t.limits)))
}
