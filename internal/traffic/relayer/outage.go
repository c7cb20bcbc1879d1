package relayer

import (
	"sync"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/refuser"
)

// meanSteps is the number of answers over which their mean time is smoothed.
const meanSteps = 16

// outages knows since when each version cannot be served, and how long its
// answers take.
type outages struct {
	mu     sync.Mutex
	states map[string]*serving
}

// serving is how a version is served.
type serving struct {
	outage refuser.Outage
	mean   time.Duration
}

// state returns the state of a version. The caller holds the lock.
func (o *outages) state(version string) *serving {
	if o.states == nil {
		o.states = make(map[string]*serving)
	}
	s := o.states[version]
	if s == nil {
		s = &serving{}
		o.states[version] = s
	}
	return s
}

// end notes that an answer of a version took some time.
func (o *outages) end(version string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state(version)
	s.outage.End()
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / meanSteps
}

// rest notes that a version could not be served, and returns how long the
// outage is expected to last yet.
func (o *outages) rest(version string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state(version)
	now := time.Now()
	s.outage.Fail(now)
	return s.outage.RetryAfter(now)
}

// queue returns when a place is expected at the engines of a version, which are
// all at their limit: the requests that wait each need one that runs to end.
func (o *outages) queue(v viewer.View, version string) time.Duration {
	var running, waiting int
	for _, e := range v.Endpoints {
		if e.Serves(version) {
			running += e.Running
			waiting += e.Waiting
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return refuser.BoundRetry(o.state(version).mean * time.Duration(waiting+1) / time.Duration(max(1, running)))
}
