package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pomelotiller/internal/standin/caller"
	"pomelotiller/internal/standin/steward"
)

const (
	// cutFrom and cutUntil are counted from the order.
	cutFrom  = 7500 * time.Millisecond
	cutUntil = 12 * time.Second
	// loadRate is the rate in requests a second above which an endpoint of the bad version fails on one route.
	loadRate = 8
	// rollBackTime is the time after the 50th bad answer after which a bad version gets no more requests.
	rollBackTime = 5 * time.Second
	badAnswers   = 50
)

func init() { cases["6"] = playSplit }

// holder returns the daemon that holds the duty.
func (s *stage) holder() *daemon {
	item, ok := s.platform.Get("holders/platform")
	if !ok {
		return nil
	}
	var v struct {
		Data []byte `json:"data"`
	}
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return nil
	}
	for _, d := range s.daemons {
		if d.name == string(v.Data) {
			return d
		}
	}
	return nil
}

// playSplit cuts the zone of the holder of the duty off while a version turns bad on a route that the callers of
// the other zones use.
func playSplit(s *stage, trouble bool) (bool, error) {
	links := s.useLinks("")
	for i := range 3 {
		if err := s.addPlain(&plain{id: fmt.Sprint("old-", i), service: "desk", zone: fmt.Sprint("z", i), version: "v1"}); err != nil {
			return false, err
		}
	}
	catalog := steward.Catalog{
		Version:  10,
		Services: []steward.Service{{Name: "desk", Connections: 110}},
		Limits:   steward.Limits{HeaderBytes: 16384, BodyBytes: 4194304, IdleMS: 15000},
		Tenants:  []steward.Tenant{{Name: "hule930", Keys: []string{"kept"}}},
		Routes:   []steward.Route{plainRoute("base"), plainRoute("other")},
	}
	for i := range catalog.Routes {
		catalog.Routes[i].Kind, catalog.Routes[i].Attempts = steward.KindOnce, 1
	}
	if err := s.publish(catalog); err != nil {
		return false, err
	}
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	h := s.holder()
	if h == nil {
		return false, fmt.Errorf("no daemon holds the duty")
	}
	links.cutZone = h.fields["zone"].(string)
	s.log("%s holds the duty", h.name)
	var all atomic.Bool
	stop := s.sendRoutes(func(d *daemon) string {
		if d == h && !all.Load() || rand.IntN(2) == 0 {
			return "/base/1"
		}
		return "/other/1"
	})
	defer stop()
	time.Sleep(2 * time.Second)
	b, err := json.Marshal(moveOrder{"desk", "v2", moveTime.Seconds()})
	if err != nil {
		return false, err
	}
	s.log("order to move desk to v2 within %s, revision %d", moveTime, s.platform.Put("op/rollout/desk", b))
	ordered := time.Now()
	for i := range 3 {
		p := &plain{id: fmt.Sprint("new-", i), service: "desk", zone: fmt.Sprint("z", i), version: "v2"}
		p.answer = failUnderLoad()
		if err := s.addPlain(p); err != nil {
			return false, err
		}
	}
	last, ended := "", false
	for time.Since(ordered) < cutUntil+20*time.Second {
		time.Sleep(50 * time.Millisecond)
		age := time.Since(ordered)
		links.isCut.Store(trouble && age > cutFrom && age < cutUntil)
		if age > cutUntil+contactTime {
			all.Store(true)
		}
		state, target := s.moveState("desk")
		if now := state + " " + target; now != last {
			s.log("state of the move: %s, %s after the order", now, age)
			last = now
		}
		if !ended && (state == "complete" || state == "reverted") {
			ended = true
			s.endMove(state)
		}
	}
	return s.isExposed(), nil
}

// failUnderLoad returns the answers of an endpoint that fails on one route while it gets many requests.
func failUnderLoad() func(r *http.Request) (int, string) {
	var mu sync.Mutex
	var recent []time.Time
	return func(r *http.Request) (int, string) {
		mu.Lock()
		defer mu.Unlock()
		recent = append(recent, time.Now())
		for time.Since(recent[0]) > time.Second {
			recent = recent[1:]
		}
		if len(recent) > loadRate && strings.HasPrefix(r.URL.Path, "/other/") && rand.IntN(2) == 0 {
			return http.StatusInternalServerError, ""
		}
		return http.StatusOK, ""
	}
}

// endMove does what the platform does at the end of a move: at "complete" the old endpoints stop at once, at
// "reverted" the new ones drain some seconds later.
func (s *stage) endMove(state string) {
	for _, p := range s.plains {
		switch {
		case state == "complete" && p.version == "v1":
			s.log("endpoint %s stops", p.id)
			s.platform.Withdraw(p.id)
			if err := p.server.Close(); err != nil {
				s.log("close %s: %v", p.id, err)
			}
		case state == "reverted" && p.version == "v2":
			time.AfterFunc(drainDelay, func() {
				if err := s.announcePlain(p, steward.StateDraining); err != nil {
					s.log("cannot announce: %v", err)
				}
			})
		}
	}
}

// isExposed reports whether the bad version got a request later than rollBackTime after its 50th bad answer.
func (s *stage) isExposed() bool {
	var bad []time.Time
	late := 0
	var arrivals []arrival
	for _, p := range s.plains {
		if p.version == "v2" {
			arrivals = append(arrivals, p.list()...)
		}
	}
	for _, a := range arrivals {
		if a.status != http.StatusOK {
			bad = append(bad, a.at)
		}
	}
	if len(bad) >= badAnswers {
		sortTimes(bad)
		for _, a := range arrivals {
			if a.at.Sub(bad[badAnswers-1]) > rollBackTime {
				late++
			}
		}
	}
	s.log("%d bad answers of the bad version; %d requests reached it later than %s after the 50th", len(bad), late, rollBackTime)
	return late > 0
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
