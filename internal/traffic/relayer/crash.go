package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"syscall"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/router"
)

// maxCrashes is the number of engines that may crash under one request.
const maxCrashes = 2

// promptBlocks returns the blocks by which the quarantine knows a prompt.
func promptBlocks(p inferrer.Prompt) []string {
	sum := sha256.Sum256([]byte(p.Text()))
	return []string{hex.EncodeToString(sum[:8])}
}

// checkQuarantine refuses a job under whose prompt engines crash.
func (r *Relayer) checkQuarantine(job Job, p *jobProgress) error {
	err := quarantiner.Check(r.cfg.Quarantine, p.blocks)
	if err != nil {
		meter.AddToCounter(r.cfg.Registry, 1, "completions_refused_total", "route", job.Route.Name, "title", "quarantined")
	}
	return err
}

// recordCrash records a failed attempt whose engine crashed as it began to answer: its
// connection was lost before the second token, and it refuses a new one.
func (r *Relayer) recordCrash(ctx context.Context, p *jobProgress, c router.Choice, err error) {
	if ctx.Err() != nil || p.timing.tokens > 1 || !quarantiner.IsConnectionLost(err) {
		return
	}
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: c.Endpoint.Address, CallTimeout: statusTimeout, HTTP: r.cfg.FreshHTTP})
	if _, err := engine.Load(ctx); !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	p.crashes++
	r.cfg.Quarantine.RecordBreak(c.Endpoint.Name, 0, p.blocks, p.timing.began)
	meter.AddToCounter(r.cfg.Registry, 1, "engine_crashes_total", "endpoint", c.Endpoint.Name)
}

// mayCrashNext reports whether the next engine may crash under a job as others did.
func (r *Relayer) mayCrashNext(p *jobProgress) bool {
	return p.crashes >= maxCrashes || p.crashes > 0 && r.cfg.Quarantine.IsSuspect(p.blocks)
}
