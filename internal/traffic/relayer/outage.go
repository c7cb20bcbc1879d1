package relayer

import (
	"sync"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/refuser"
)

// meanWindow is the number of answers over which the moving average of their duration
// is smoothed.
const meanWindow = 16

// outageTracker records for each version since when no engine serves it and how long
// its answers take. The Retry-After of refusals comes from these. The zero value is
// ready.
type outageTracker struct {
	mu       sync.Mutex
	versions map[string]*versionState
}

// versionState holds the outage and the mean answer duration of one version.
type versionState struct {
	outage       refuser.Outage
	meanDuration time.Duration
}

// stateOf returns the state of a version, which it creates if needed. The caller
// holds the lock.
func (o *outageTracker) stateOf(version string) *versionState {
	if o.versions == nil {
		o.versions = make(map[string]*versionState)
	}
	s := o.versions[version]
	if s == nil {
		s = &versionState{}
		o.versions[version] = s
	}
	return s
}

// recordAnswer records the duration of a complete answer, and ends the outage of its
// version.
func (o *outageTracker) recordAnswer(version string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stateOf(version)
	s.outage.RecordSuccess()
	if s.meanDuration == 0 {
		s.meanDuration = took
	}
	s.meanDuration += (took - s.meanDuration) / meanWindow
}

// recordOutage records that no engine could serve a version, and returns how much
// longer the outage is expected to last.
func (o *outageTracker) recordOutage(version string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stateOf(version)
	now := time.Now()
	s.outage.RecordFailure(now)
	return s.outage.RetryAfter(now)
}

// queueWait estimates when an engine of a version can accept a request, if all engines
// are at their limit: each waiting request needs one running request to end.
func (o *outageTracker) queueWait(v viewer.View, version string) time.Duration {
	var running, waiting int
	for _, e := range v.Endpoints {
		if e.CanServe(version) {
			running += e.Running
			waiting += e.Waiting
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return refuser.ClampRetryAfter(o.stateOf(version).meanDuration * time.Duration(waiting+1) / time.Duration(max(1, running)))
}
