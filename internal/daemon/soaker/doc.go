// Package soaker holds a randomized soak: daemons as real processes on one
// machine before endpoints and a platform of stand-ins, with faults injected
// from outside them while callers send requests. What callers, endpoints and
// the platform see is checked against the promises of the system.
//
// A short run with fixed seeds is part of the tests. More seeds are run by hand:
//
//	go test ./internal/daemon/soaker -run TestSoak -timeout 2h -seeds 50 -first 1000
package soaker
