package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/fleet/sharer"
)

// LocalReport returns what this daemon tells the others of crashes and quarantines.
func (q *Quarantiner) LocalReport() sharer.Suspicions {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out sharer.Suspicions
	for _, k := range q.latestCrashes() {
		if e := q.crashes[k].encodeOwn(k); len(e.Requests) > 0 && len(out.Crashes) < maxShared {
			out.Crashes = append(out.Crashes, e)
		}
	}
	out.Cleared = q.answeredSuspects()
	for _, e := range *q.active.Load() {
		if len(out.Quarantines) < maxShared {
			out.Quarantines = append(out.Quarantines, sharer.Quarantine{Blocks: e.Blocks, Left: e.Until.Sub(q.cfg.Now()).Milliseconds()})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b sharer.Crash) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// latestCrashes returns the keys of all crashes, the latest ones first.
func (q *Quarantiner) latestCrashes() []crashKey {
	return slices.SortedFunc(maps.Keys(q.crashes), func(a, b crashKey) int {
		return cmp.Or(q.crashes[b].at.Compare(q.crashes[a].at), strings.Compare(a.endpoint, b.endpoint), cmp.Compare(a.born, b.born))
	})
}

// encodeOwn returns a crash with the requests of this daemon that broke off.
func (c *crash) encodeOwn(k crashKey) sharer.Crash {
	out := sharer.Crash{Endpoint: k.endpoint, Born: k.born}
	for _, r := range c.requests {
		if r.isOwn {
			out.Requests = append(out.Requests, sharer.BrokenRequest{Blocks: r.blocks, Began: r.began})
		}
	}
	return out
}

// answeredSuspects returns the blocks of known crashes that this daemon had complete answers for, first
// those of several crashes. A whole request of one crash is left out: no other daemon judges it by that.
func (q *Quarantiner) answeredSuspects() []string {
	var out, single []string
	for b, e := range q.evidence {
		_, ok := q.answered[b]
		switch {
		case !ok:
		case e.crashes >= suspectCrashes:
			out = append(out, b)
		case !isWhole(b):
			single = append(single, b)
		}
	}
	slices.Sort(out)
	slices.Sort(single)
	out = append(out, single...)
	out = out[:min(len(out), maxShared)]
	slices.Sort(out)
	return out
}

// RecordReport adds what another daemon reports.
func (q *Quarantiner) RecordReport(name string, s sharer.Suspicions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setCleared(name, s.Cleared)
	for _, e := range s.Crashes {
		c := q.crash(crashKey{e.Endpoint, e.Born})
		for _, r := range e.Requests {
			q.addRequest(c, brokenRequest{r.Blocks, r.Began, false})
		}
	}
	for _, e := range s.Quarantines {
		q.addReported(e.Blocks, time.Duration(e.Left)*time.Millisecond)
	}
}
