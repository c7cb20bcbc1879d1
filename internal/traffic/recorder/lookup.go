package recorder

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
)

const (
	lookUpPeriod = 200 * time.Millisecond
	// absentTime is how long a service may know nothing of an order before its
	// end is given up: a request can still be under way to it.
	absentTime = 3 * time.Second
)

// States of a status look-up.
const (
	reportDone    = "done"
	reportRunning = "running"
)

// Report is a service's answer to a status look-up.
type Report struct {
	// State is "done", "running" or "absent".
	State string `json:"state"`
	// Answer is the body of the answer; Status and ContentType are of the same
	// answer, by default 200 and JSON.
	Answer      []byte `json:"answer,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
}

// learn finds out how a dispatched order ended that must not be sent again.
func (r *Runner) learn(ctx context.Context, j *job, o Order, cause error) {
	j.recorded(o)
	answer, why := r.lookUp(ctx, o)
	if answer != nil {
		r.answered(ctx, j, o, *answer)
		return
	}
	r.end(ctx, j, o, triggerLose, func(n *Order) { n.Reason = fmt.Sprintf("%v; %s", cause, why) })
}

// lookUp asks the service until it knows the answer, or says why there is
// none. That a service knows nothing of an order does not show that it never
// will, so the order's end stays unknown.
func (r *Runner) lookUp(ctx context.Context, o Order) (*Answer, string) {
	route, _ := r.cfg.View().Set.Route(o.Route)
	if route.Status == "" {
		return nil, fmt.Sprintf("route %q has no status look-up", o.Route)
	}
	path := statusPath(route, o)
	began := r.now()
	absent := began
	why := "the service could not be asked"
	for r.now().Sub(began) < timeoutOf(route) && r.now().Sub(absent) < absentTime && ctx.Err() == nil {
		report, err := r.report(ctx, o, path)
		switch {
		case err != nil:
			why = err.Error()
		case report.State == reportDone:
			a := report.answer()
			return &a, ""
		case report.State == reportRunning:
			absent = r.now()
			why = "the service still runs it"
		default:
			why = "the service's status look-up does not know it"
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookUpPeriod):
		}
	}
	return nil, why
}

// Read returns an order by its id. If its end is unknown, the service is asked
// once more: an answer that turns up late is recorded.
func (r *Runner) Read(ctx context.Context, id string) (Order, error) {
	o, err := r.cfg.Recorder.Get(ctx, id)
	if err != nil {
		return o, err
	}
	return r.revisit(ctx, o), nil
}

func (r *Runner) revisit(ctx context.Context, o Order) Order {
	route, _ := r.cfg.View().Set.Route(o.Route)
	if o.State != StateUnknown || route.Status == "" {
		return o
	}
	report, err := r.report(ctx, o, statusPath(route, o))
	if err != nil || report.State != reportDone {
		return o
	}
	s, err := r.cfg.Recorder.finish(o, report.answer())
	if err != nil {
		return o
	}
	done, err := r.try(ctx, s)
	if err != nil {
		return o
	}
	return done
}

func statusPath(route loader.Route, o Order) string {
	return strings.ReplaceAll(route.Status, "{key}", url.PathEscape(o.Key))
}

// report asks the endpoint that the order was sent to, or else the others of
// its route.
func (r *Runner) report(ctx context.Context, o Order, path string) (Report, error) {
	err := fmt.Errorf("endpoint %s is gone", o.Endpoint)
	for _, e := range r.informants(o) {
		var report Report
		if report, err = r.cfg.Services.Status(ctx, e.Address, path); err == nil && report.State != "" {
			return report, nil
		}
	}
	return Report{}, err
}

func (r *Runner) informants(o Order) []viewer.Endpoint {
	v := r.cfg.View()
	route, _ := v.Set.Route(o.Route)
	var others []viewer.Endpoint
	for _, e := range v.Endpoints {
		if e.Name == o.Endpoint {
			return []viewer.Endpoint{e}
		}
		for _, s := range v.Split(route) {
			if e.Serves(s.Version) {
				others = append(others, e)
				break
			}
		}
	}
	return others
}

func (p Report) answer() Answer {
	a := Answer{Status: p.Status, ContentType: p.ContentType, Body: p.Answer}
	if a.Status == 0 {
		a.Status = 200
	}
	if a.ContentType == "" {
		a.ContentType = "application/json"
	}
	return a
}
