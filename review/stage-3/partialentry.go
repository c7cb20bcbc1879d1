package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pomelotiller/internal/standin/caller"
	"pomelotiller/internal/standin/steward"
)

const (
	// drainBound is the bound drain_ms of a small deployment.
	drainBound = 2 * time.Second
	// sendPeriod is the time between two requests of one caller.
	sendPeriod = 40 * time.Millisecond
	// spread keeps the callers from sending in step.
	spread = 7 * time.Millisecond
	// undisturbed is how long callers send before the endpoint leaves.
	undisturbed = 3 * time.Second
	// entryDelay is how long after that the other writer leaves its entry, lingerTime when the endpoint exits, and
	// watched how long callers send on after it.
	entryDelay = drainBound + time.Second
	lingerTime = 7 * time.Second
	watched    = time.Second
	// workTime is how long an endpoint works on a request.
	workTime = 200 * time.Millisecond
	// callersPerDaemon is the number of callers of each daemon, each of which sends one request at a time.
	callersPerDaemon = 4
)

// playPartialEntry lets one of two endpoints leave without saying so: its entry is removed, and it serves on for
// seconds. Then another writer leaves an entry under its id that lacks the zone, the version, the slots, the
// sequence and the start. Such an entry names no endpoint to use.
func playPartialEntry(s *stage) error {
	if _, err := s.platform.Configure(steward.Catalog{
		Version:  1,
		Routes:   []steward.Route{{Name: "orders", Host: "app.example", Prefix: "/orders/", Kind: steward.KindOnce, Timeout: 4000, Target: 300, Attempts: 1, Service: "app"}},
		Services: []steward.Service{{Name: "app", Connections: 110}},
		Tenants:  []steward.Tenant{{Name: "t", Keys: []string{"k"}}},
		Limits:   steward.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, IdleMS: 10000},
	}); err != nil {
		return err
	}
	stays, err := s.startEndpoint("i-1", "app", workTime)
	if err != nil {
		return err
	}
	leaves, err := s.startEndpoint("i-2", "app", workTime)
	if err != nil {
		return err
	}
	if err := s.startFleet(3); err != nil {
		return err
	}
	stop := s.send("/orders/1")
	defer stop()
	time.Sleep(undisturbed)
	if len(stays.Runs()) == 0 || len(leaves.Runs()) == 0 {
		return fmt.Errorf("the endpoints ran %d and %d requests before the change, want some", len(stays.Runs()), len(leaves.Runs()))
	}
	s.platform.Remove("servers/i-2")
	gone := time.Now()
	s.record("store: servers/i-2 removed; i-2 serves on")
	time.Sleep(entryDelay)
	if s.hasTrouble {
		if err := s.put("servers/i-2", map[string]any{"service": "app", "address": leaves.Address(), "state": "ready"}); err != nil {
			return err
		}
	}
	time.Sleep(lingerTime - entryDelay)
	if err := leaves.Close(); err != nil {
		return err
	}
	s.record("i-2 exits, %.3f s after its entry was removed", time.Since(gone).Seconds())
	time.Sleep(watched)
	stop()
	late := 0
	statuses := s.statusesByID()
	for _, r := range leaves.Runs() {
		if r.At.Sub(gone) > drainBound {
			late++
			s.record("i-2 ran request %s at %.3f s, %.3f s after the store acknowledged that it is gone; its caller got status %d", r.ID, r.At.Sub(s.start).Seconds(), r.At.Sub(gone).Seconds(), statuses[r.ID])
		}
	}
	s.record("i-1 ran %d requests, i-2 ran %d, of these %d later than drain_ms after its entry was removed", len(stays.Runs()), len(leaves.Runs()), late)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached an endpoint that is gone", errBroken, late)
	}
	return nil
}

// send lets the callers of each daemon send requests one after the other, until the returned function is called.
func (s *stage) send(path string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range callersPerDaemon * len(s.daemons) {
		d := s.daemons[i%len(s.daemons)]
		c := caller.New(caller.Config{Address: d.callers, Host: "app.example", Key: "k", Timeout: 4 * time.Second})
		callers.Go(func() {
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				sent := time.Since(s.start).Seconds()
				a := c.Do(context.Background(), caller.Request{ID: id, Method: "POST", Path: path, Body: "order"})
				s.answered(id, a.Status)
				s.record("request %s, sent to %s at %.3f s: status %d, error %v", id, d.name, sent, a.Status, a.Err)
				time.Sleep(sendPeriod + time.Duration(i)*spread)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}
