package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	noteStreams = 100
	noteEvents  = 12
	noteWork    = 100 * time.Millisecond
	// preemption is shorter than the 2.4 s after which clients abandon such a stream.
	preemption   = 1600 * time.Millisecond
	settlingTime = 4 * time.Second
)

// playPreemptedStreams stops a daemon with SIGTERM while it carries streams. With the trouble, the runners have no
// memory for these streams for a while and preempt them.
func playPreemptedStreams(ctx context.Context, s *stage, trouble bool) (bool, error) {
	if err := s.setUp(); err != nil {
		return false, err
	}
	if !sleep(ctx, settlingTime) {
		return false, ctx.Err()
	}
	var clients sync.WaitGroup
	var sent calls
	for i := range noteStreams {
		clients.Go(func() {
			c := channel{address: s.frontend(s.daemons[0])}
			defer c.close()
			r := &call{id: fmt.Sprintf("note%04d", i), route: "note", key: tenants["tenant-a"], method: "POST", behaviour: behaviour{noteEvents, noteWork}, limit: noteLimit}
			if c.send(r) {
				sent.add(r)
			}
		})
	}
	time.Sleep(350 * time.Millisecond)
	if err := s.daemons[0].signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	stopped := time.Now()
	s.note("SIGTERM to %s", s.daemons[0].name)
	time.Sleep(150 * time.Millisecond)
	if trouble {
		for _, r := range s.runners {
			r.preempt(preemption)
		}
		s.note("the runners preempt the streams for %s", preemption)
	}
	clients.Wait()
	state, err := s.daemons[0].awaitEnd()
	if err != nil {
		return false, err
	}
	s.note("%s ended: %s", s.daemons[0].name, state)
	sent.write(s)
	s.grep("outcome=aborted", 3)
	lost, last := sent.countLost(s, stopped)
	s.note("LOST: %d of %d requests were passed on to a sound runner and their channels ended without a whole answer, the last %.1f s after the SIGTERM", lost, len(sent.list), last.Seconds())
	if len(sent.list) < noteStreams {
		return false, fmt.Errorf("only %d requests were sent", len(sent.list))
	}
	return lost > 0, nil
}

// isLost reports whether a request ran and its channel ended without a whole answer, before its time limit and before
// the last sixth of the grace period, in which the runner may still be at work.
func (c *call) isLost(runs map[string][]string, stopped time.Time) bool {
	return !c.complete && len(runs[c.id]) > 0 && c.ended.Sub(c.sent) < c.limit-100*time.Millisecond && c.ended.Sub(stopped) < gracePeriod*5/6
}

// countLost counts the lost requests, and returns how long after the signal the last one ended.
func (c *calls) countLost(s *stage, stopped time.Time) (int, time.Duration) {
	runs, n, last := s.runsOf(), 0, time.Duration(0)
	for _, r := range c.list {
		if r.isLost(runs, stopped) {
			n++
			last = max(last, r.ended.Sub(stopped))
		}
	}
	return n, last
}
