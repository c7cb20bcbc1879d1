package carrier

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
)

// checkQuarantine refuses a request under which, or under whose prompt blocks, endpoints crash.
func (c *Carrier) checkQuarantine(q *request) error {
	for _, b := range q.Parts[:max(len(q.Parts)-1, 0)] {
		q.parts = append(q.parts, b.ID)
	}
	q.parts = append(q.parts, quarantiner.WholeRequest(q.key))
	left := c.cfg.Quarantine.TimeLeft(q.parts)
	if left <= 0 {
		return nil
	}
	meter.AddToCounter(c.cfg.Registry, 1, "quarantine_refusals_total", "route", q.route.Name)
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "quarantined", RetryAfter: left,
		Detail: "endpoints crash under requests with " + strings.Join(q.parts, ","),
	}
}

// recordBreak records that the connection of an attempt broke before the second event of its answer,
// as when the endpoint crashes. An engine starts its answer as it begins to run a request; a plain service
// may have begun any that it has.
func (c *Carrier) recordBreak(q *request, a *answer, err error) {
	if a.conn == nil || a.ctx.Err() != nil || a.writes > 1 || !isConnectionLost(err) {
		return
	}
	c.cfg.Quarantine.RecordBreak(a.choice.Endpoint.ID, a.choice.Endpoint.Born, q.parts, a.res != nil || q.Prompt == 0)
}

// isConnectionLost reports whether an endpoint closed or reset the connection of an attempt.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
