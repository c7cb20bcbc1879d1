package quarantiner

import (
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

// Quarantine refuses the requests whose prompts hold all of its blocks.
type Quarantine struct {
	// Blocks are the sorted ids of the blocks.
	Blocks []string
	Until  time.Time
	// count is the number of quarantines of these blocks so far, with this one.
	count int
}

// key identifies a quarantine by its blocks.
func (q Quarantine) key() string { return strings.Join(q.Blocks, ",") }

// TimeLeft returns for how long requests with the given blocks are quarantined; 0 if they are not.
func (q *Quarantiner) TimeLeft(blocks []string) time.Duration {
	var left time.Duration
	for _, e := range *q.active.Load() {
		if containsAll(blocks, e.Blocks) {
			left = max(left, e.Until.Sub(q.cfg.Now()))
		}
	}
	return left
}

// update adds the quarantines that follow from the crashes. It reports whether it added any.
func (q *Quarantiner) update() bool {
	now := q.cfg.Now()
	if len(q.crashes) == 0 || !q.changed {
		return false
	}
	if now.Sub(q.startedAt) < startDelay || now.Sub(q.lastAnswer) > recentAnswerTime {
		return false
	}
	q.changed = false
	added := false
	for b, e := range q.evidence {
		if e.isEnough(b) && !q.isCleared(b) {
			added = q.add(Quarantine{Blocks: q.commonBlocks(b), Until: now.Add(Duration), count: 1}, "crashes") || added
		}
	}
	for _, e := range q.former {
		if q.hasCrashSince(e) {
			e.Until, e.count = now.Add(min(Duration<<min(e.count, 10), maxDuration)), e.count+1
			added = q.add(e, "crashed again") || added
		}
	}
	return added
}

// hasCrashSince reports whether an endpoint crashed under the blocks of a quarantine after its end.
func (q *Quarantiner) hasCrashSince(e Quarantine) bool {
	for _, c := range q.crashes {
		if c.at.After(e.Until) && slices.ContainsFunc(c.requests, func(r brokenRequest) bool {
			return (r.began || slices.ContainsFunc(e.Blocks, isWhole)) && containsAll(r.blocks, e.Blocks)
		}) {
			return true
		}
	}
	return false
}

// Add puts a quarantine in force that another daemon or the store has, for the time that is left of
// it. It ignores one whose blocks all had complete answers at this daemon of late.
func (q *Quarantiner) Add(blocks []string, left time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addReported(blocks, left)
}

func (q *Quarantiner) addReported(blocks []string, left time.Duration) {
	isAnswered := func(b string) bool { _, ok := q.answered[b]; return ok }
	if left <= 0 || !slices.ContainsFunc(blocks, func(b string) bool { return !isAnswered(b) }) {
		return
	}
	blocks = slices.Clone(blocks)
	slices.Sort(blocks)
	e := Quarantine{Blocks: slices.Compact(blocks), Until: q.cfg.Now().Add(min(left, maxDuration)), count: 1}
	if _, ended := q.former[e.key()]; ended && left < maxReportDelay {
		return
	}
	q.add(e, "reported")
}

// add puts a quarantine in force and reports whether it is new. One that is contained in a known one
// replaces it, since it refuses the same requests and more.
func (q *Quarantiner) add(e Quarantine, why string) bool {
	active := *q.active.Load()
	if len(e.Blocks) == 0 || slices.ContainsFunc(active, func(k Quarantine) bool { return containsAll(e.Blocks, k.Blocks) }) {
		return false
	}
	kept := slices.DeleteFunc(slices.Clone(active), func(k Quarantine) bool { return containsAll(k.Blocks, e.Blocks) })
	kept = append(kept, e)
	q.active.Store(&kept)
	delete(q.former, e.key())
	logger.Warn(q.cfg.Logger, "msg", "prompt blocks quarantined", "blocks", e.key(), "why", why, "crashes", q.crashCount(e.Blocks[0]), "left", e.Until.Sub(q.cfg.Now()))
	meter.AddToCounter(q.cfg.Registry, 1, "prompt_quarantines_total")
	return true
}

// endQuarantines takes the quarantines whose time is over out of force.
func (q *Quarantiner) endQuarantines(now time.Time) {
	active := *q.active.Load()
	isOver := func(e Quarantine) bool { return !e.Until.After(now) }
	if !slices.ContainsFunc(active, isOver) {
		return
	}
	var kept []Quarantine
	for _, e := range active {
		if isOver(e) {
			q.former[e.key()] = e
			continue
		}
		kept = append(kept, e)
	}
	q.active.Store(&kept)
	q.changed = true
}

// Active returns the quarantines in force.
func (q *Quarantiner) Active() []Quarantine { return slices.Clone(*q.active.Load()) }

func containsAll(all, some []string) bool {
	for _, b := range some {
		if !slices.Contains(all, b) {
			return false
		}
	}
	return true
}
