package carrier

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/throttler"
)

// recordRequest updates the metrics of a finished request and writes its log line.
func (c *Carrier) recordRequest(q *request, err error, gone bool) {
	took := time.Since(q.start)
	outcome := "answered"
	switch {
	case gone:
		outcome = "caller left"
	case errors.Is(err, errAborted):
		outcome = "aborted"
	case err != nil:
		outcome = "refused"
	}
	meter.AddToCounter(c.cfg.Registry, 1, "requests_total", "route", q.route.Name, "status", strconv.Itoa(q.status), "outcome", outcome)
	c.updateTimer("request_seconds", q.route.Name, took)
	fields := []any{
		"msg", "request", "id", q.ID, "outcome", outcome, "status", q.status, "run", q.runState, "took", took, "route", q.route.Name,
		"organisation", q.org.Name, "service", q.service.Name, "key", q.key, "attempts", q.attempts, "cost", q.cost,
		"config", q.catalogVersion, "endpoints", q.endpointsVersion, "events", q.events.writes,
	}
	if !q.expiry.IsZero() {
		fields = append(fields, "bound", q.expiry.Sub(q.start))
	}
	fields = append(fields, q.priorityFields()...)
	if err != nil {
		if q.attempts == 0 && q.choice.Candidates > 0 {
			// Each attempt has its own log line with these fields.
			fields = append(fields, choiceFields(q.choice)...)
		}
		if q.refusedCost > 0 {
			fields = append(fields, allowanceFields(q)...)
		}
		fields = append(fields, "error", err)
		logger.Warn(c.cfg.Logger, fields...)
		return
	}
	logger.Info(c.cfg.Logger, fields...)
}

// choiceFields returns the log fields that explain why an endpoint was chosen.
func choiceFields(ch chooser.Choice) []any {
	return []any{
		"endpoint", ch.Endpoint.ID, "release", ch.Endpoint.Version, "predicted", ch.Wait, "running", ch.Running,
		"queued", ch.QueuedTokens, "unread", ch.UncomputedTokens, "candidates", ch.Candidates,
	}
}

// allowanceFields returns the log fields that explain why the allowance limited a request.
func allowanceFields(q *request) []any {
	d := q.decision
	return []any{
		"asked", q.refusedCost, "level", int(d.Level), "room", int(d.Capacity), "scarce", d.ShareLimited, "part", int(d.ShareLevel), "wait", d.Wait,
		"members", d.Members, "silent", d.Unreachable,
	}
}

// recordFirstEvent updates the metric of the time to the first event of a stream.
func (c *Carrier) recordFirstEvent(q *request) {
	c.updateTimer("first_event_seconds", q.route.Name, time.Since(q.start))
}

func (c *Carrier) updateTimer(name, route string, d time.Duration) {
	metrics.GetOrRegisterTimer(meter.Name(name, "route", route), c.cfg.Registry).Update(d)
}

// logAttempt logs how an attempt at one endpoint ended and why that endpoint was
// chosen.
func (c *Carrier) logAttempt(q *request, a *answer, err error) {
	fields := []any{"msg", "attempt", "id", q.ID, "n", q.attempts}
	fields = append(fields, choiceFields(a.choice)...)
	fields = append(fields, "endpoints", q.endpointsVersion, "took", time.Since(a.sentAt))
	if !a.firstByteAt.IsZero() {
		fields = append(fields, "first", a.firstByteAt.Sub(a.sentAt))
	}
	if a.conn != nil {
		fields = append(fields, "reused", a.reused)
	}
	if a.silences > 0 {
		fields = append(fields, "silences", a.silences, "no_next", a.noNext)
	}
	fields = append(fields, answerFields(a)...)
	if err != nil {
		fields = append(fields, "run", q.runState, "key", q.key, "blocks", blockIDs(q.query.PromptBlocks), "error", err)
		meter.AddToCounter(c.cfg.Registry, 1, "attempt_failures_total", "service", q.service.Name)
		logger.Warn(c.cfg.Logger, fields...)
		return
	}
	logger.Info(c.cfg.Logger, fields...)
}

// answerFields returns the log fields that describe the answer of an attempt: its status, what marks its
// end, and of a stream the ids of the events that frame what this attempt added.
func answerFields(a *answer) []any {
	var fields []any
	if a.res != nil {
		fields = append(fields, "status", a.res.StatusCode, "framing", framing(a.res))
	}
	if a.verdict.Limit.State != throttler.StateAbsent {
		fields = append(fields, "limit", a.verdict.Limit.String())
	}
	if a.from != "" {
		fields = append(fields, "from", a.from)
	}
	if a.lastID != "" {
		fields = append(fields, "first_event", a.firstID, "last_event", a.lastID)
	}
	return fields
}

// blockIDs returns the ids of prompt blocks, separated by commas.
func blockIDs(blocks []chooser.PromptBlock) string {
	ids := make([]string, len(blocks))
	for i, b := range blocks {
		ids[i] = b.ID
	}
	return strings.Join(ids, ",")
}

func (c *Carrier) logForeignAnswer(q *request, a *answer, status int) {
	logger.Warn(c.cfg.Logger, "msg", "discarded the answer to another request", "id", q.ID, "endpoint", a.choice.Endpoint.ID, "status", status)
	meter.AddToCounter(c.cfg.Registry, 1, "foreign_answers_total")
}
