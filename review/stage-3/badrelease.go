package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"pomelotiller/internal/standin/caller"
)

const (
	newRelease = "v2"
	// rollOutTime is the time limit of the roll-out.
	rollOutTime = 16 * time.Second
	// loadedRate is the number of orders a second above which an endpoint of the bad release breaks off answers.
	loadedRate = 40
	// releaseDesks is the number of endpoints of each release, and releaseSlots their slots.
	releaseDesks = 2
	releaseSlots = 64
	// releaseCallers is the number of callers, each of which sends a request about each 100 ms.
	releaseCallers = 36
	releasePeriod  = 85 * time.Millisecond
	// exposureShare and exposureExtra bound the requests to a bad release, and rollbackBound the time after its 50th
	// bad answer.
	exposureShare = 0.1
	exposureExtra = 50
	manyBad       = 50
	rollbackBound = 5 * time.Second
	afterRollOut  = 6 * time.Second
)

// playBadRelease rolls out a release whose endpoints break off every third answer while they are loaded.
func playBadRelease(s *stage) error {
	if err := s.put("op/config", deskCatalog()); err != nil {
		return err
	}
	old, err := s.startRelease(1, release)
	if err != nil {
		return err
	}
	defer closeDesks(old)
	if err := s.startFleet(3); err != nil {
		return err
	}
	stop := s.sendMany("/orders/1")
	defer stop()
	time.Sleep(undisturbed)
	bad, err := s.startRelease(1+releaseDesks, newRelease)
	if err != nil {
		return err
	}
	defer closeDesks(bad)
	if s.hasTrouble {
		s.record("%s breaks off every third answer while an endpoint has over %d orders a second", newRelease, loadedRate)
		for _, d := range bad {
			d.setBreaks(loadedRate, os.Getenv("MANNER") == "500")
		}
	}
	if err := s.put("op/rollout/desk", map[string]any{"service": "desk", "target": newRelease, "duration_s": rollOutTime.Seconds()}); err != nil {
		return err
	}
	ordered := time.Now()
	s.followRollOut(old, bad, ordered)
	stop()
	return s.checkExposure(old, bad, ordered)
}

// startRelease starts the endpoints of a release, numbered from first on.
func (s *stage) startRelease(first int, version string) ([]*desk, error) {
	var out []*desk
	for i := range releaseDesks {
		d, err := s.startDesk(fmt.Sprint("i-", first+i), "desk", version, releaseSlots)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func closeDesks(desks []*desk) {
	for _, d := range desks {
		// The process ends after it.
		_ = d.server.Close()
	}
}

// followRollOut waits for the end of the roll-out and for a time after it. The old endpoints stop at once when it is
// complete, as the platform has them do.
func (s *stage) followRollOut(old, bad []*desk, ordered time.Time) {
	state := ""
	for time.Since(ordered) < rollOutTime+afterRollOut {
		time.Sleep(20 * time.Millisecond)
		var status struct{ State, Target string }
		i, ok := s.platform.Get("status/rollout/desk")
		if !ok || json.Unmarshal(i.Value, &status) != nil || status.State == state {
			continue
		}
		state = status.State
		s.record("status of the roll-out: %s, %.3f s after the order; %s has run %d orders", state, time.Since(ordered).Seconds(), newRelease, countRuns(bad))
		if state != "complete" {
			continue
		}
		for n, d := range old {
			s.platform.Remove(fmt.Sprint("servers/i-", n+1))
			_ = d.server.Close()
		}
	}
}

func countRuns(desks []*desk) int {
	n := 0
	for _, d := range desks {
		n += len(d.allRuns())
	}
	return n
}

// sendMany lets callers send about 300 requests a second together, until the returned function is called.
func (s *stage) sendMany(path string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range releaseCallers {
		d := s.daemons[i%len(s.daemons)]
		c := caller.New(caller.Config{Address: d.callers, Host: "app.example", Key: "k", Timeout: orderTimeout})
		all.Go(func() {
			defer c.Close()
			time.Sleep(time.Duration(i) * spread)
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Do(context.Background(), caller.Request{ID: id, Method: "POST", Path: path, Body: id})
				s.answered(id, a.Status)
				time.Sleep(releasePeriod)
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// checkExposure compares the requests that reached the bad release with what may.
func (s *stage) checkExposure(old, bad []*desk, ordered time.Time) error {
	statuses := s.statusesByID()
	limit := ordered.Add(rollOutTime)
	total, exposed, late, lost, failures := 0, 0, 0, 0, 0
	var fiftieth time.Time
	var runs []deskRun
	for _, d := range bad {
		runs = append(runs, d.allRuns()...)
	}
	sortRuns(runs)
	for _, r := range runs {
		if r.at.Before(limit) {
			exposed++
		}
		if !fiftieth.IsZero() && r.at.Sub(fiftieth) > rollbackBound {
			late++
		}
		if r.status == statusBroken || r.status >= 500 {
			if failures++; failures == manyBad {
				fiftieth = r.at
				s.record("the 50th bad answer of %s, %.3f s after the order", newRelease, r.at.Sub(ordered).Seconds())
			}
			if statuses[r.id] != 200 {
				lost++
			}
		}
	}
	total = exposed
	for _, d := range old {
		for _, r := range d.allRuns() {
			if r.at.After(ordered) && r.at.Before(limit) {
				total++
			}
		}
	}
	may := exposureShare*float64(total) + exposureExtra
	s.record("between the order and its time limit %d requests reached the service and %d of these %s, %.0f may; %d reached it later than 5 s after its 50th bad answer; %d of its answers failed, %d orders that it ran had no success",
		total, exposed, newRelease, may, late, failures, lost)
	if s.hasTrouble && (float64(exposed) > may || late > 0) {
		return fmt.Errorf("%w: EXPOSURE: %d requests reached the bad release, %.0f may, %d more than 5 s after its 50th bad answer", errBroken, exposed, may, late)
	}
	return nil
}
