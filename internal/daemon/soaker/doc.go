// Package soaker contains a randomized soak test. It runs daemons as real processes on one machine, with
// stand-ins for the endpoints and the platform, and injects faults from outside the processes while
// callers send requests. Afterwards it checks the invariants of the system against what the callers, the
// endpoints and the platform observed.
//
// A short run with fixed seeds is part of the tests. To run more seeds by hand:
//
//	go test ./internal/daemon/soaker -run TestSoak -timeout 2h -seeds 50 -first 1000
package soaker
