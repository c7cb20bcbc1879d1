package mover

import (
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/relayer"
)

// versionEndpoints is the number of endpoints of each version in the tests of broken answers.
const versionEndpoints = 2

// streamOutcome returns the outcome of a stream that ends now at one of the endpoints of a version, on a connection
// that was opened for it.
func (f *fleet) streamOutcome(version string, took time.Duration) relayer.Outcome {
	o := versionBehaviour{}.randomOutcome(f.rand)
	o.Endpoint = fmt.Sprint(version, f.rand.IntN(versionEndpoints))
	o.SentAt = f.now.Add(-time.Duration(float64(took) * (0.5 + f.rand.Float64())))
	o.ConnectedAt, o.HasHead = o.SentAt, true
	return o
}

// A version that breaks off a part of its streams must be reverted, at any load and however long they take: streams
// that an endpoint broke off within a second counted once (EXPOSURE).
func TestVersionThatBreaksOffStreamsIsReverted(t *testing.T) {
	for _, tc := range []struct {
		perSecond int
		took      time.Duration
		breaks    float64
	}{
		{90, 10 * time.Millisecond, 0.33},
		{700, 10 * time.Millisecond, 0.33},
		{700, 200 * time.Millisecond, 0.33},
		{700, time.Second, 0.33},
		{700, 200 * time.Millisecond, 0.14},
	} {
		t.Run(fmt.Sprintf("%.2f of %d a second, %s each", tc.breaks, tc.perSecond, tc.took), func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed, 3, testSet(testMove(18*time.Second)))
				f.requestsPerSecond = tc.perSecond
				f.answer = func(_ *node, version string) relayer.Outcome {
					o := f.streamOutcome(version, tc.took)
					if version == "v2" && f.rand.Float64() < tc.breaks {
						o.Err = fmt.Errorf("%w: unexpected EOF", inferrer.ErrTruncated)
					}
					return o
				}
				f.runUntil("reverted", 20*time.Second, f.hasState(Reverted))
				if got, want := f.servedRequests("v2"), (f.servedRequests("v1")+f.servedRequests("v2"))/10+50; got > want {
					t.Errorf("seed %d: got %d requests at the bad version, want %d at most", seed, got, want)
				}
			}
		})
	}
}

// An endpoint of the new version crashes with streams in flight. That is one event, and the version is sound.
func TestCrashWithStreamsInFlight(t *testing.T) {
	const inFlight, took = 40, 200 * time.Millisecond
	for _, s := range []State{Canary, Ramping, Done} {
		t.Run(string(s), func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed, 3, testSet(testMove(18*time.Second)))
				f.answer = func(_ *node, version string) relayer.Outcome { return f.streamOutcome(version, took) }
				f.runUntil(string(s), 20*time.Second, f.hasState(s))
				f.run(time.Second)
				for i := range inFlight {
					o := f.streamOutcome("v2", took)
					o.Route, o.Version, o.Endpoint, o.Err = "chat", "v2", "v20", inferrer.ErrTruncated
					f.nodes[i%len(f.nodes)].follower.Observe(o)
				}
				f.runUntil("done", 20*time.Second, f.hasState(Done))
				f.run(2 * windowLength)
				f.checkAllEnded(Done)
			}
		})
	}
}
