package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"syscall"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/router"
)

// maxCallCrashes is the number of endpoints that may crash under one call.
const maxCallCrashes = 2

// parts returns what the quarantine knows an order by: the request as a whole.
func (o Order) parts() []string {
	digest := o.Digest
	if digest == "" {
		digest = requestDigest(o.Request)
	}
	sum := sha256.Sum256([]byte(o.Organisation + "\x00" + o.Route + "\x00" + digest))
	return []string{quarantiner.WholeRequest(hex.EncodeToString(sum[:8]))}
}

// recordAttempt tells the quarantine how an attempt ended, and reports whether its endpoint crashed: the
// connection was lost, and it refuses a new one.
func (r *Runner) recordAttempt(ctx context.Context, o Order, c router.Choice, err error) bool {
	if err == nil {
		r.cfg.Quarantine.RecordAnswer(o.parts())
		return false
	}
	if ctx.Err() != nil || !quarantiner.IsConnectionLost(err) {
		return false
	}
	probe, err := r.cfg.Services.Connect(ctx, c.Endpoint.Address)
	if err == nil {
		// Nothing was sent, so that the result of Close says nothing.
		_ = probe.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	r.cfg.Quarantine.RecordBreak(c.Endpoint.Name, 0, o.parts(), true)
	meter.AddToCounter(r.cfg.Registry, 1, "service_crashes_total", "endpoint", c.Endpoint.Name)
	return true
}
