// Package verifier holds the integration tests. They run daemons, engines, services and the
// simulated platform as processes on loopback and inject faults between them.
package verifier
