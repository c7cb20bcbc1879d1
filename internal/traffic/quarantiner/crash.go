package quarantiner

import (
	"slices"
	"time"
)

// crashKey identifies a crash by the incarnation of the endpoint that crashed.
type crashKey struct {
	endpoint string
	born     int64
}

// brokenRequest is a request whose answer broke off when an endpoint crashed.
type brokenRequest struct {
	blocks []string
	// began reports that the answer had begun.
	began bool
	// isOwn reports that it was a request of this daemon, which tells the others of it.
	isOwn bool
}

// crash is what is known of one crash.
type crash struct {
	at       time.Time
	requests []brokenRequest
	// scores holds how much the crash counts against each block.
	scores map[string]float64
}

// evidence is what several crashes count against one block.
type evidence struct {
	crashes int
	score   float64
}

// isEnough reports whether the evidence against a block is enough for a quarantine.
func (e evidence) isEnough(block string) bool {
	return e.crashes >= minCrashes && (e.score >= minScore || isWhole(block))
}

// pendingCrash is a broken request of this daemon that is not yet known to be no part of a burst.
type pendingCrash struct {
	key     crashKey
	at      time.Time
	request brokenRequest
	// decided is set once the break was confirmed as a crash or dropped.
	decided bool
}

// confirmPending turns pending breaks older than burstTime into crashes, without those of a burst. It
// reports whether there are any.
func (q *Quarantiner) confirmPending() bool {
	now := q.cfg.Now()
	confirmed := false
	for _, p := range q.pending {
		if p.decided || now.Sub(p.at) < burstTime {
			continue
		}
		p.decided = true
		if q.isBurst(p.at) {
			continue
		}
		confirmed = q.addRequest(q.crash(p.key), p.request) || confirmed
	}
	// Breaks are kept for a while after they were decided, since later ones may form a burst with them.
	q.pending = slices.DeleteFunc(q.pending, func(p *pendingCrash) bool { return p.decided && now.Sub(p.at) > 4*burstTime })
	return confirmed
}

// isBurst reports whether breaks at several endpoints are pending within burstTime of a moment.
func (q *Quarantiner) isBurst(at time.Time) bool {
	endpoints := make(map[string]bool)
	for _, p := range q.pending {
		if p.at.Sub(at).Abs() < burstTime {
			endpoints[p.key.endpoint] = true
		}
	}
	return len(endpoints) >= burstEndpoints
}

// crash returns the record of a crash, which it creates if it is missing.
func (q *Quarantiner) crash(k crashKey) *crash {
	c := q.crashes[k]
	if c == nil {
		c = &crash{at: q.cfg.Now(), scores: make(map[string]float64)}
		q.crashes[k] = c
	}
	return c
}

// dropCrash removes a crash and its part of the evidence.
func (q *Quarantiner) dropCrash(k crashKey) {
	q.changed = true
	for b, score := range q.crashes[k].scores {
		e := evidence{q.evidence[b].crashes - 1, q.evidence[b].score - score}
		if q.evidence[b] = e; e.crashes == 0 {
			delete(q.evidence, b)
		}
	}
	delete(q.crashes, k)
}

// addRequest adds a broken request to a crash and reports whether it did: not if the same is known, nor if the
// crash has too many, unless requests with one of its blocks broke off in another crash as well.
func (q *Quarantiner) addRequest(c *crash, r brokenRequest) bool {
	if len(c.requests) >= maxInCrash {
		return false
	}
	if len(c.requests) >= r.limitInCrash() && !q.isInOtherCrash(c, r) && !q.wasLeftOut(c, r) {
		q.recordLeftOut(c, r)
		return false
	}
	for i, known := range c.requests {
		if known.began == r.began && slices.Equal(known.blocks, r.blocks) {
			c.requests[i].isOwn = known.isOwn || r.isOwn
			return false
		}
	}
	c.requests = append(c.requests, r)
	q.changed = true
	for _, b := range r.blocks {
		q.addScore(c, b, r.score())
	}
	return true
}

// limitInCrash returns the number of requests of a crash from which on such a request is left out.
func (r brokenRequest) limitInCrash() int {
	if r.began {
		return maxBegun
	}
	return maxWaiting
}

// isInOtherCrash reports whether an uncleared block of a broken request is known from another crash.
func (q *Quarantiner) isInOtherCrash(c *crash, r brokenRequest) bool {
	return slices.ContainsFunc(r.blocks, func(b string) bool {
		others := q.crashCount(b)
		if _, ok := c.scores[b]; ok {
			others--
		}
		return others > 0
	})
}

// leftOut says when a block of a request was left out of a crash.
type leftOut struct {
	crash *crash
	at    time.Time
}

// wasLeftOut reports whether an uncleared block of a broken request was left out of an earlier crash.
func (q *Quarantiner) wasLeftOut(c *crash, r brokenRequest) bool {
	return slices.ContainsFunc(r.blocks, func(b string) bool {
		l, ok := q.leftOut[b]
		return ok && l.crash != c && !q.isCleared(b)
	})
}

// recordLeftOut records that a broken request was left out of a crash.
func (q *Quarantiner) recordLeftOut(c *crash, r brokenRequest) {
	for _, b := range r.blocks {
		if len(q.leftOut) < maxLeftOut {
			q.leftOut[b] = leftOut{c, q.cfg.Now()}
		}
	}
}

// score returns how much a broken request counts against each of its blocks.
func (r brokenRequest) score() float64 {
	if r.began {
		return 1
	}
	return waitingScore
}

// addScore makes a crash count at least score against a block.
func (q *Quarantiner) addScore(c *crash, block string, score float64) {
	old, known := c.scores[block]
	if known && old >= score {
		return
	}
	c.scores[block] = score
	e := q.evidence[block]
	if !known {
		e.crashes++
	}
	e.score += score - old
	q.evidence[block] = e
}

// commonBlocks returns the blocks that all broken requests with a block hold and that are not
// cleared, sorted. Of blocks that always come together, any may be the cause, so that a request is
// refused only if it holds all of them. Requests that were waiting when the engine crashed count only
// if the answer to none had begun.
func (q *Quarantiner) commonBlocks(block string) []string {
	common := intersect(q.brokenWith(block, true))
	if common == nil {
		common = intersect(q.brokenWith(block, false))
	}
	common = slices.DeleteFunc(common, q.isCleared)
	slices.Sort(common)
	return slices.Compact(common)
}

// brokenWith returns the blocks of each broken request that holds a block, and whose answer had begun
// or not.
func (q *Quarantiner) brokenWith(block string, began bool) [][]string {
	var out [][]string
	for _, c := range q.crashes {
		for _, r := range c.requests {
			if r.began == began && slices.Contains(r.blocks, block) {
				out = append(out, r.blocks)
			}
		}
	}
	return out
}

// intersect returns the elements that all lists have, or nil without lists.
func intersect(lists [][]string) []string {
	if len(lists) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(lists[0]), func(e string) bool {
		return slices.ContainsFunc(lists[1:], func(l []string) bool { return !slices.Contains(l, e) })
	})
}
