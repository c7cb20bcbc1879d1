package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

// maxCrashes is the number of engines that may crash under one request.
const maxCrashes = 2

// Quarantine knows the prompts under which engines crash, and learns them from the outcomes of
// attempts. A prompt is one block, since callers repeat whole prompts.
type Quarantine interface {
	// TimeLeft returns for how long requests with these blocks are refused; 0 if they are not.
	TimeLeft(blocks []string) time.Duration
	// IsSuspect reports whether such requests must not be retried at another engine.
	IsSuspect(blocks []string) bool
	RecordBreak(endpoint string, born int64, blocks []string, began bool)
	RecordAnswer(blocks []string)
}

// noQuarantine is a Quarantine that learns nothing.
type noQuarantine struct{}

func (noQuarantine) TimeLeft([]string) time.Duration           { return 0 }
func (noQuarantine) IsSuspect([]string) bool                   { return false }
func (noQuarantine) RecordBreak(string, int64, []string, bool) {}
func (noQuarantine) RecordAnswer([]string)                     {}

// promptBlocks returns the blocks by which the quarantine knows a prompt.
func promptBlocks(p inferrer.Prompt) []string {
	sum := sha256.Sum256([]byte(p.Text()))
	return []string{hex.EncodeToString(sum[:8])}
}

// checkQuarantine refuses a job under whose prompt engines crash.
func (r *Relayer) checkQuarantine(job Job, p *jobProgress) error {
	left := r.cfg.Quarantine.TimeLeft(p.blocks)
	if left <= 0 {
		return nil
	}
	meter.AddToCounter(r.cfg.Registry, 1, "completions_refused_total", "route", job.Route.Name, "title", "quarantined")
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "quarantined", RetryAfter: left, Detail: "engines crash under this prompt",
	}
}

// recordCrash records a failed attempt whose engine crashed as it began to answer: its
// connection was lost before the second token, and it refuses a new one.
func (r *Relayer) recordCrash(ctx context.Context, p *jobProgress, c router.Choice, err error) {
	if ctx.Err() != nil || p.timing.tokens > 1 || !isConnectionLost(err) {
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

// isConnectionLost reports whether an engine closed or reset the connection of an attempt.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
