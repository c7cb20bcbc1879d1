package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelotiller/internal/standin/caller"
)

const (
	// engineCount is the number of engines, one of which is in trouble: a share of 0.14.
	engineCount = 7
	// pauseTime is how long a run of that engine pauses in its stream. Every third run that begins there does so, a
	// share of 0.33.
	pauseTime  = 2500 * time.Millisecond
	pauseEvery = 3
	// troubleTime is how long the engine is in trouble, and streamPeriod the time between two streams of a caller.
	troubleTime  = 6 * time.Second
	streamPeriod = 100 * time.Millisecond
	streamers    = 18
	// twiceBound is how long the engine before may go on working on a request that went on at another.
	twiceBound = 400 * time.Millisecond
)

// streamCatalog is a configuration with one resumable stream.
func streamCatalog() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "drafts", "host": "app.example", "prefix": "/drafts/", "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 500,
			"gap_target_ms": 300, "priority": 0, "max_attempts": 2, "service": "llm", "resumable": true, "sticky": true,
		}},
		"services": []map[string]any{{"name": "llm", "max_connections": 630, "engine": map[string]any{"slots": 128, "kv_capacity": 575311}}},
		"tenants":  []map[string]any{{"name": "t", "api_keys": []string{"k"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 10000, "idle_timeout_ms": 10000},
	}
}

// playMovedStream lets one of seven engines pause within some of its streams, and go on after that. It neither
// crashes nor loses a connection, and it notices a closed one only when it writes.
func playMovedStream(s *stage) error {
	if err := s.put("op/config", streamCatalog()); err != nil {
		return err
	}
	var engines []*engine
	for i := range engineCount {
		e, err := s.startEngine(fmt.Sprint("i-", i+1), "llm")
		if err != nil {
			return err
		}
		defer e.server.Close()
		engines = append(engines, e)
	}
	if err := s.startFleet(3); err != nil {
		return err
	}
	stop := s.stream("/drafts/1")
	defer stop()
	time.Sleep(undisturbed)
	if s.hasTrouble {
		s.record("i-1 pauses for %s within every third stream that begins there", pauseTime)
		engines[0].setPause(pauseTime, pauseEvery)
	}
	time.Sleep(troubleTime)
	engines[0].setPause(0, 1)
	s.record("i-1 pauses in no more streams")
	time.Sleep(pauseTime)
	stop()
	time.Sleep(pauseTime)
	return s.checkMoved(engines)
}

// stream lets callers ask for streams, one after the other, until the returned function is called.
func (s *stage) stream(path string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range streamers {
		d := s.daemons[i%len(s.daemons)]
		c := caller.New(caller.Config{Address: d.callers, Host: "app.example", Key: "k", Timeout: 6 * time.Second})
		callers.Go(func() {
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				sent := time.Since(s.start).Seconds()
				a := c.Do(context.Background(), caller.Request{ID: id, Method: "POST", Path: path, Body: "prompt"})
				s.record("stream %s, sent to %s at %.3f s: status %d, %d events, error %v", id, d.name, sent, a.Status, strings.Count(a.Body, "id: "), a.Err)
				time.Sleep(streamPeriod + time.Duration(i)*spread)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// checkMoved looks for requests that went on at another engine while the one before still worked on them.
func (s *stage) checkMoved(engines []*engine) error {
	runs := make(map[string][]engineRun)
	for _, e := range engines {
		for _, r := range e.finishedRuns() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	twice, moved := 0, 0
	for id, all := range runs {
		if len(all) < 2 {
			continue
		}
		moved++
		slices.SortFunc(all, func(a, b engineRun) int { return cmp.Compare(a.begin.UnixNano(), b.begin.UnixNano()) })
		first, second := all[0], all[1]
		still := first.end.Sub(second.begin)
		s.record("stream %s: %s ran it from %.3f s to %.3f s (%d events, saw its connection closed: %t), %s from %.3f s on after event %d: both worked on it for %.3f s",
			id, first.engine, first.begin.Sub(s.start).Seconds(), first.end.Sub(s.start).Seconds(), first.events, first.sawClose,
			second.engine, second.begin.Sub(s.start).Seconds(), second.from, still.Seconds())
		if still > twiceBound {
			twice++
		}
	}
	s.record("%d streams ran, %d of them at two engines, %d at both for more than 400 ms", len(runs), moved, twice)
	if twice > 0 {
		return fmt.Errorf("%w: TWICE: %d streams went on at another engine while the one before still worked on them", errBroken, twice)
	}
	return nil
}
