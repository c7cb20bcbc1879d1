// Package verifier holds the integration tests: daemons and stand-ins as real
// processes on loopback, with faults injected between them.
package verifier
