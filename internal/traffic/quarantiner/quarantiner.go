// Package quarantiner finds the prompt blocks, and the whole requests, under which endpoints crash, and keeps
// requests with such blocks and repeats of such requests from further endpoints. A whole request counts as one
// more block. Daemons exchange what they saw of crashes, so that the crashes at all of them count, and each
// daemon draws its own conclusions.
package quarantiner

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// Duration is how long the first quarantine of blocks lasts. Each further one lasts twice as long
	// as the one before, at most maxDuration.
	Duration    = 2 * time.Minute
	maxDuration = time.Hour
	// probation is how long after a quarantine one crash is enough for the next one.
	probation = time.Hour
	// startDelay is how long after its start a daemon learns what others saw before it draws
	// conclusions of its own.
	startDelay = 2 * time.Second
	// recentAnswerTime is the time within which some prompt must have had a complete answer. Without
	// any, crashes say nothing about single blocks.
	recentAnswerTime = 10 * time.Second
	// minScore and minCrashes are what the crashes under one block must reach: a crash counts 1 if
	// the answer to a request with the block had begun, and waitingScore if it had not. A whole request
	// needs no score, since hardly any other request is the same.
	minScore     = 3.0
	minCrashes   = 3
	waitingScore = 0.5
	// suspectCrashes is the number of crashes from which on a request with the block is not tried
	// at a second engine.
	suspectCrashes = 2
	// maxReportDelay is by how much the ends of one quarantine may differ between daemons.
	maxReportDelay = 5 * time.Second
	// memory is how long crashes and complete answers are remembered.
	memory = time.Minute
	// burstTime is the time within which breaks at burstEndpoints endpoints are taken as a fault of
	// the network or of this daemon instead of crashes.
	burstTime      = 30 * time.Millisecond
	burstEndpoints = 3
	// forgetPeriod is the time between two removals of old entries.
	forgetPeriod = time.Second
	// maxAnswered bounds the blocks whose last complete answer is remembered, maxShared the crashes,
	// cleared blocks and quarantines in one status. maxWaiting and maxBegun bound the broken requests of a
	// crash whose answers had not begun, and had; maxInCrash bounds those that are kept beyond these, since
	// one of their blocks broke off in another crash.
	maxAnswered = 8192
	maxShared   = 24
	maxWaiting  = 6
	maxBegun    = 24
	maxInCrash  = 48
	// maxLeftOut bounds the blocks that are remembered of requests beyond these.
	maxLeftOut = 4096
	// wholePrefix begins the block that stands for a whole request.
	wholePrefix = "whole:"
)

// WholeRequest returns the block that stands for a whole request. key is the same for requests that are the
// same.
func WholeRequest(key string) string { return wholePrefix + key }

// isWhole reports whether a block stands for a whole request.
func isWhole(block string) bool { return strings.HasPrefix(block, wholePrefix) }

// Config configures a Quarantiner.
type Config struct {
	// Announce is called when there is something new to tell the other daemons.
	Announce func()
	Now      func() time.Time
	Logger   log.Logger
	Registry metrics.Registry
}

// clearedBlocks are the blocks that another daemon reported as cleared at a time.
type clearedBlocks struct {
	blocks []string
	at     time.Time
}

// Quarantiner holds the quarantines of one daemon. Its methods are safe for concurrent use.
type Quarantiner struct {
	cfg Config
	// active holds the quarantines in force.
	active atomic.Pointer[[]Quarantine]

	startedAt time.Time

	mu      sync.Mutex
	pending []*pendingCrash
	crashes map[crashKey]*crash
	// answered holds the time of the last complete answer to a request with each block.
	answered map[string]time.Time
	// cleared holds the blocks that other daemons had complete answers for, by daemon, and clearedBy
	// the number of these daemons for each block.
	cleared   map[string]clearedBlocks
	clearedBy map[string]int
	// evidence holds what all crashes together count against each block, cleared or not.
	evidence map[string]evidence
	// leftOut holds the blocks of requests that were left out of a crash.
	leftOut map[string]leftOut
	// changed is set when anything changed that update depends on, other than the time.
	changed bool
	// forgotAt is when the oldest entries were last dropped.
	forgotAt time.Time
	// former holds the quarantines that ended less than probation ago, by key.
	former map[string]Quarantine
	// lastAnswer is the time of the last complete answer.
	lastAnswer time.Time
}

// New returns a quarantiner without quarantines.
func New(cfg Config) *Quarantiner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	q := &Quarantiner{
		cfg: cfg, startedAt: cfg.Now(), crashes: make(map[crashKey]*crash), answered: make(map[string]time.Time),
		cleared: make(map[string]clearedBlocks), clearedBy: make(map[string]int), evidence: make(map[string]evidence), leftOut: make(map[string]leftOut), former: make(map[string]Quarantine),
	}
	q.active.Store(&[]Quarantine{})
	return q
}

// IsSuspect reports whether several engines have crashed under one of the blocks.
func (q *Quarantiner) IsSuspect(blocks []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(blocks, func(b string) bool { return q.crashCount(b) >= suspectCrashes })
}

// crashCount returns the number of crashes under a block; 0 if it is cleared.
func (q *Quarantiner) crashCount(block string) int {
	if q.isCleared(block) {
		return 0
	}
	return q.evidence[block].crashes
}

// RecordBreak records that the connection of a request to an endpoint broke. began reports that the
// answer had begun. Only the blocks that several requests may share are given.
func (q *Quarantiner) RecordBreak(endpoint string, born int64, blocks []string, began bool) {
	if len(blocks) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, &pendingCrash{key: crashKey{endpoint, born}, at: q.cfg.Now(), request: brokenRequest{slices.Clone(blocks), began, true}})
}

// RecordAnswer records a complete answer to a request with the given blocks.
func (q *Quarantiner) RecordAnswer(blocks []string) {
	if len(blocks) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	q.lastAnswer = now
	for _, b := range blocks {
		_, ok := q.answered[b]
		// Most requests never come again, so that the answer to one counts only once it broke off.
		if ok || q.evidence[b].crashes > 0 || !isWhole(b) && len(q.answered) < maxAnswered {
			q.answered[b] = now
		}
		q.changed = q.changed || !ok && q.evidence[b].crashes > 0
	}
}

// Tick confirms the breaks that were no burst and updates the quarantines.
func (q *Quarantiner) Tick() {
	q.mu.Lock()
	news := q.confirmPending()
	q.forget()
	news = q.update() || news
	q.mu.Unlock()
	if news {
		q.cfg.Announce()
	}
}

// forget ends quarantines, and from time to time drops crashes, answers and former quarantines that are
// too old.
func (q *Quarantiner) forget() {
	now := q.cfg.Now()
	q.endQuarantines(now)
	if now.Sub(q.forgotAt) < forgetPeriod {
		return
	}
	q.forgotAt, q.changed = now, true
	for k, c := range q.crashes {
		if now.Sub(c.at) > memory {
			q.dropCrash(k)
		}
	}
	maps.DeleteFunc(q.answered, func(_ string, at time.Time) bool { return now.Sub(at) > memory })
	maps.DeleteFunc(q.leftOut, func(_ string, l leftOut) bool { return now.Sub(l.at) > memory })
	for name, c := range q.cleared {
		if now.Sub(c.at) > memory {
			q.setCleared(name, nil)
		}
	}
	for k, e := range q.former {
		if now.Sub(e.Until) > probation {
			delete(q.former, k)
		}
	}
}

// isCleared reports whether this or another daemon had a complete answer for a block of late.
func (q *Quarantiner) isCleared(block string) bool {
	_, ok := q.answered[block]
	return ok || q.clearedBy[block] > 0
}

// setCleared replaces the blocks that another daemon had complete answers for.
func (q *Quarantiner) setCleared(name string, blocks []string) {
	q.changed = q.changed || !slices.Equal(q.cleared[name].blocks, blocks)
	for _, b := range q.cleared[name].blocks {
		if q.clearedBy[b]--; q.clearedBy[b] == 0 {
			delete(q.clearedBy, b)
		}
	}
	if len(blocks) == 0 {
		delete(q.cleared, name)
		return
	}
	for _, b := range blocks {
		q.clearedBy[b]++
	}
	q.cleared[name] = clearedBlocks{blocks, q.cfg.Now()}
}
