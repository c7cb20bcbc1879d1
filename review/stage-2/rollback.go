package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pomelotiller/internal/standin/caller"
	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/standin/steward"
)

const (
	// moveTime is the duration_s of an order.
	moveTime = 12 * time.Second
	// backAfter is when the operator orders the old version again.
	backAfter = 4 * time.Second
	// goodAnswers is the number of good answers of each endpoint of the bad version before it turns bad.
	goodAnswers = 6
	// exposureShare and exposureAllowance bound what a bad version may get.
	exposureShare     = 0.1
	exposureAllowance = 50
	// workersPerDaemon send requestsPerWorker requests a second each.
	workersPerDaemon  = 3
	requestsPerWorker = 10
	// drainDelay is how long after the state "reverted" the new endpoints drain, and drainTime how long they serve on.
	drainDelay = 3 * time.Second
	drainTime  = 2 * time.Second
)

func init() { cases["6"] = playRollBack }

// moveOrder is the operator's order to move a service to a version.
type moveOrder struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Duration float64 `json:"duration_s"`
}

// order writes the operator's order to move a service to a version.
func (s *stage) order(service, version string) error {
	b, err := json.Marshal(moveOrder{service, version, moveTime.Seconds()})
	if err != nil {
		return err
	}
	s.log("order to move %s to %s within %s, revision %d", service, version, moveTime, s.platform.Put("op/rollout/"+service, b))
	return nil
}

// moveState returns the state that the system writes for the operator.
func (s *stage) moveState(service string) (state, target string) {
	item, ok := s.platform.Get("status/rollout/" + service)
	if !ok {
		return "", ""
	}
	var v struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return "", ""
	}
	return v.State, v.Target
}

// playRollBack orders a version that is bad, and some seconds later, before the system has decided, the old
// version again.
func playRollBack(s *stage, trouble bool) (bool, error) {
	var old, bad []*responder.Endpoint
	for i := range 3 {
		e, err := s.addEndpoint(fmt.Sprint("old-", i), "desk", fmt.Sprint("z", i), "v1", responder.Config{Pause: 15 * time.Millisecond})
		if err != nil {
			return false, err
		}
		old = append(old, e)
	}
	catalog := steward.Catalog{
		Version:  10,
		Services: []steward.Service{{Name: "desk", Connections: 110}},
		Limits:   steward.Limits{HeaderBytes: 16384, BodyBytes: 4194304, IdleMS: 15000},
		Tenants:  []steward.Tenant{{Name: "hule930", Keys: []string{"kept"}}},
		Routes:   []steward.Route{plainRoute("base")},
	}
	catalog.Routes[0].Kind, catalog.Routes[0].Attempts = steward.KindOnce, 1
	if err := s.publish(catalog); err != nil {
		return false, err
	}
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	stop := s.sendRoutes(func(*daemon) string { return "/base/1" })
	defer stop()
	time.Sleep(2 * time.Second)
	if err := s.order("desk", "v2"); err != nil {
		return false, err
	}
	ordered := time.Now()
	before := countArrivals(old)
	for i := range 3 {
		e, err := s.addEndpoint(fmt.Sprint("new-", i), "desk", fmt.Sprint("z", i), "v2", responder.Config{Pause: 15 * time.Millisecond})
		if err != nil {
			return false, err
		}
		for range goodAnswers {
			e.QueueFaults(responder.FaultNone)
		}
		// Two in five answers are failures.
		for range 4000 {
			e.QueueFaults(responder.FaultError, responder.FaultNone, responder.FaultError, responder.FaultNone, responder.FaultNone)
		}
		bad = append(bad, e)
	}
	time.Sleep(time.Until(ordered.Add(backAfter)))
	s.log("after %s: %d requests at the old version, %d at the bad one", backAfter, countArrivals(old)-before, countArrivals(bad))
	if trouble {
		if err := s.order("desk", "v1"); err != nil {
			return false, err
		}
	}
	s.actAsPlatform(ordered, bad)
	all, exposed := countArrivals(old)-before+countArrivals(bad), countArrivals(bad)
	bound := int(exposureShare*float64(all)) + exposureAllowance
	s.log("within %s of the order %d of %d requests reached the bad version, at most %d may", moveTime, exposed, all, bound)
	return exposed > bound, nil
}

// actAsPlatform drains the endpoints of the bad version once its move is reverted, until the end of its time.
func (s *stage) actAsPlatform(ordered time.Time, bad []*responder.Endpoint) {
	last, reverted := "", time.Time{}
	for time.Since(ordered) < moveTime {
		time.Sleep(50 * time.Millisecond)
		state, target := s.moveState("desk")
		if now := state + " " + target; now != last {
			s.log("state of the move: %s", now)
			last = now
		}
		if reverted.IsZero() && state == "reverted" && target == "v2" {
			reverted = time.Now()
			time.AfterFunc(drainDelay, func() { s.drain(bad) })
		}
	}
}

// drain makes endpoints of the bad version leave.
func (s *stage) drain(bad []*responder.Endpoint) {
	for i, e := range bad {
		s.log("endpoint new-%d drains", i)
		if err := s.announce(fmt.Sprint("new-", i), "desk", fmt.Sprint("z", i), "v2", e, steward.StateDraining); err != nil {
			s.log("cannot announce: %v", err)
		}
	}
	time.Sleep(drainTime)
	for i := range bad {
		s.platform.Withdraw(fmt.Sprint("new-", i))
	}
}

// countArrivals returns the number of requests that reached endpoints.
func countArrivals(endpoints []*responder.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += e.RequestCount()
	}
	return n
}

// sendRoutes sends requests to all daemons, on the path that pick returns, until the returned function is called.
func (s *stage) sendRoutes(pick func(d *daemon) string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var number atomic.Int64
	for _, d := range s.daemons {
		for range workersPerDaemon {
			wg.Go(func() {
				tick := time.NewTicker(time.Second / requestsPerWorker)
				defer tick.Stop()
				for {
					select {
					case <-done:
						return
					case <-tick.C:
						s.send(d, "ficu95.example", "kept", 600*time.Millisecond, caller.Request{ID: fmt.Sprintf("r%d", number.Add(1)), Method: http.MethodPost, Path: pick(d), Body: "x"})
					}
				}
			})
		}
	}
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}
