package main

import (
	"encoding/json"
	"fmt"
	"time"

	"pomelotiller/internal/standin/responder"
)

const (
	// cutTime is how long the regions are cut off from each other.
	cutTime = 44 * time.Second
	// crowdPerDaemon is how many requests a second each daemon gets while one tenant sends many times its usual.
	crowdPerDaemon = 30
	// crowdTime is how long the tenant sends that much.
	crowdTime = 11 * time.Second
)

func init() { cases["10"] = playCut }

// playCut cuts the daemons of one region off from those of the other, and lets one tenant send many times its usual
// before the end of the cut.
func playCut(s *stage, trouble bool) (bool, error) {
	links := s.useLinks("z0")
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
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	s.countServed("before", 4*time.Second, requestsPerDaemon)
	links.isCut.Store(trouble)
	cut := time.Now()
	if trouble {
		s.log("the daemons of z0 are cut off from the others")
	}
	s.countServed("usual", time.Until(cut.Add(cutTime-crowdTime)), requestsPerDaemon)
	s.countServed("crowd", crowdTime, crowdPerDaemon)
	links.isCut.Store(false)
	return s.exceedsAllowance(), nil
}
