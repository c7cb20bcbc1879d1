package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"time"

	"pomelotiller/internal/standin/responder"
)

const (
	// A tenant's allowance is checked over each quotaWindow.
	quotaWindow    = 8 * time.Second
	quotaOverrun   = 0.1
	quotaAllowance = 110_000
	// The tenant sends its usual requests for usualTime, and after a pause many times as many for hotTime.
	usualTime = 12 * time.Second
	hotTime   = 10 * time.Second
)

var (
	hosts        = flag.Int("hosts", 2, "machines of the system")
	usualPerHost = flag.Int("usual", 10, "usual requests a second at each")
	hotFactor    = flag.Int("hot", 7, "how many times its usual the tenant sends")
	pauseTime    = flag.Duration("pause", 50*time.Second, "how long the tenant pauses")
)

func init() { cases["9"] = playPause }

// playPause lets a tenant send its usual requests, pause, and then send many times its usual.
func playPause(s *stage, trouble bool) (bool, error) {
	for i := range 3 {
		if _, err := s.addEndpoint(fmt.Sprint("i-", i), "pool", fmt.Sprint("z", i), "v1", responder.Config{Pause: 15 * time.Millisecond, Events: 3}); err != nil {
			return false, err
		}
	}
	b, err := json.Marshal(catalogDoc(10))
	if err != nil {
		return false, err
	}
	s.log("configuration 10 acknowledged at revision %d", s.platform.Put("op/config", b))
	if err := s.addDaemons(*hosts); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	s.countServed("usual", usualTime, *usualPerHost)
	s.log("the tenant pauses for %s", *pauseTime)
	time.Sleep(*pauseTime)
	factor := 1
	if trouble {
		factor = *hotFactor
	}
	s.countServed("again", hotTime, factor**usualPerHost)
	return s.exceedsAllowance(), nil
}

// exceedsAllowance reports whether more tokens ran in some window than the tenant's allowance and the bounds permit.
func (s *stage) exceedsAllowance() bool {
	var runs []time.Time
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			runs = append(runs, r.At)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	bound := (tenantRate*quotaWindow.Seconds()+tenantRate)*(1+quotaOverrun) + quotaAllowance
	most, at, first := 0, time.Time{}, 0
	for i, t := range runs {
		for t.Sub(runs[first]) > quotaWindow {
			first++
		}
		if n := (i - first + 1) * requestTokens; n > most {
			most, at = n, runs[first]
		}
	}
	s.log("most tokens within %s: %d, from %.3f on; at most %.0f may run", quotaWindow, most, at.Sub(s.start).Seconds(), bound)
	return float64(most) > bound
}
