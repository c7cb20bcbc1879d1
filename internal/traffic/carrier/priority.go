package carrier

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/prioritizer"
	"pomelotiller/internal/traffic/refuser"
)

// beginPriority sets the ticket of a request if callers of its service compete.
func (c *Carrier) beginPriority(q *request, cat *registrar.Catalog) {
	if c.cfg.Prioritizer == nil || !c.cfg.Policies.IsOn(switcher.Order) {
		return
	}
	if t, ok := c.cfg.Prioritizer.Begin(cat, newPriorityRequest(q)); ok {
		q.ticket = &t
	}
}

func newPriorityRequest(q *request) prioritizer.Request {
	return prioritizer.Request{Service: q.service.Name, Route: q.route, Organisation: q.org, Deadline: q.Deadline, Tokens: q.Prompt}
}

// grantedPriority returns the priority to send to the endpoint, or nil if no callers compete or the endpoint is
// no engine.
func (q *request) grantedPriority() *int {
	if q.ticket == nil || q.service.Engine == nil {
		return nil
	}
	return &q.ticket.EnginePriority
}

// maxQueue returns the longest wait for others at which the request is admitted; 0 is no bound.
func (q *request) maxQueue() time.Duration {
	if q.ticket == nil {
		return 0
	}
	return q.ticket.Bound
}

// refuseForOthers returns the refusal of a request that waits for others for too long, or nil.
func (c *Carrier) refuseForOthers(q *request, ch chooser.Choice) error {
	if q.ticket == nil {
		return nil
	}
	d := c.cfg.Prioritizer.Decide(q.ticket, prioritizer.Prediction{Wait: ch.Wait, Queue: ch.Queue, Left: time.Until(q.expiry)})
	q.order = &d
	c.countDecision(q, d)
	if d.Admitted {
		return nil
	}
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "overloaded", Run: q.runState, RetryAfter: max(d.RetryAfter, minRetryAfter),
		Detail: fmt.Sprintf("requests of priority %d wait for others for at most %s now, and this one would for %s (%s)", q.ticket.Priority, d.Bound, ch.Queue, d.Reason),
	}
}

// countDecision counts the decisions on requests whose callers compete.
func (c *Carrier) countDecision(q *request, d prioritizer.Decision) {
	outcome := "refused"
	if d.Admitted {
		outcome = "admitted"
	}
	meter.AddToCounter(
		c.cfg.Registry, 1, "competing_requests_total",
		"service", q.service.Name, "priority", strconv.Itoa(q.ticket.Priority), "outcome", outcome, "reason", string(d.Reason),
	)
}

// priorityFields returns the log fields that explain the decision on a request whose callers compete.
func (q *request) priorityFields() []any {
	if q.ticket == nil {
		return nil
	}
	fields := []any{"priority", q.ticket.Priority, "used", q.ticket.Used}
	if q.ticket.EnginePriority != q.ticket.Priority {
		fields = append(fields, "engine_priority", q.ticket.EnginePriority)
	}
	if d := q.order; d != nil {
		fields = append(fields, "order", d.Reason, "wait_bound", d.Bound)
	}
	return fields
}
