package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/standin/caller"
)

const (
	// deskWork is the time that an order takes.
	deskWork = 15 * time.Millisecond
	// failedOrders says that every third order at the desk in trouble fails, a share of 0.33, and failingTime for
	// how long.
	failedOrders = 3
	failingTime  = 6 * time.Second
	orderTimeout = 600 * time.Millisecond
	buyers       = 6
	deskSlots    = 6
)

// deskCatalog is a configuration with one route of orders that must not run twice.
func deskCatalog() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "orders", "host": "app.example", "prefix": "/orders/", "route_kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100,
			"priority": 2, "max_attempts": 1, "service": "desk",
		}},
		"services": []map[string]any{{"name": "desk", "max_connections": 110}},
		"tenants":  []map[string]any{{"name": "t", "api_keys": []string{"k"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 10000, "idle_timeout_ms": 10000},
	}
}

// playFalsePromise lets one of seven desks fail a part of its orders after it has carried them out. Its answers have
// status 503 and don't state that the order was not run.
func playFalsePromise(s *stage) error {
	if err := s.put("op/config", deskCatalog()); err != nil {
		return err
	}
	var desks []*desk
	for i := range engineCount {
		d, err := s.startDesk(fmt.Sprint("i-", i+1), "desk", release, deskSlots)
		if err != nil {
			return err
		}
		defer d.server.Close()
		desks = append(desks, d)
	}
	if err := s.startFleet(3); err != nil {
		return err
	}
	stop := s.buy("/orders/1")
	defer stop()
	time.Sleep(undisturbed)
	if s.hasTrouble {
		s.record("i-1 fails every third order after it has carried it out")
		desks[0].setFailures(failedOrders)
	}
	time.Sleep(failingTime)
	desks[0].setFailures(0)
	s.record("i-1 fails no more orders")
	time.Sleep(time.Second)
	stop()
	return s.checkPromises(desks)
}

// buy lets buyers send orders, one after the other, until the returned function is called. After a status that says
// that the order was not run, a buyer sends it once more, as another request.
func (s *stage) buy(path string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range buyers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				order := fmt.Sprintf("o%d-%d", i, n)
				if !isPromise(s.sendOrder(path, i, order, 1)) {
					continue
				}
				s.sendOrder(path, i+1, order, 2)
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// isPromise reports whether a status says that the request was not run and will not be.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// sendOrder sends one request for an order to a daemon, each on a connection of its own, and returns the status.
func (s *stage) sendOrder(path string, to int, order string, attempt int) int {
	d := s.daemons[to%len(s.daemons)]
	c := caller.New(caller.Config{Address: d.callers, Host: "app.example", Key: "k", Timeout: orderTimeout})
	defer c.Close()
	id := fmt.Sprintf("%s.%d", order, attempt)
	a := c.Do(context.Background(), caller.Request{ID: id, Method: "POST", Path: path, Body: order})
	s.answered(id, a.Status)
	s.record("request %s for order %s, sent to %s: status %d %q, error %v", id, order, d.name, a.Status, a.Body, a.Err)
	time.Sleep(sendPeriod + time.Duration(to)*spread)
	return a.Status
}

// checkPromises looks for requests that were run although their callers were told that they were not.
func (s *stage) checkPromises(desks []*desk) error {
	statuses, runsOfOrder := s.statusesByID(), make(map[string]int)
	broken, runs := 0, 0
	for _, d := range desks {
		for _, r := range d.allRuns() {
			runs++
			runsOfOrder[r.order]++
			if isPromise(statuses[r.id]) {
				broken++
				s.record("%s ran request %s at %.3f s, and its caller got status %d", r.desk, r.id, r.at.Sub(s.start).Seconds(), statuses[r.id])
			}
		}
	}
	doubled := 0
	for _, n := range runsOfOrder {
		if n > 1 {
			doubled++
		}
	}
	s.record("%d requests ran, %d of them were answered as not run; %d orders were carried out twice", runs, broken, doubled)
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED: %d requests ran whose callers were told that they had not", errBroken, broken)
	}
	return nil
}
