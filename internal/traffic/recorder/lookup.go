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
	// absentTimeout is how long a status look-up may report an order as absent before the look-up
	// gives up. The request may still be on its way to the endpoint.
	absentTimeout = 3 * time.Second
)

// States in the answer to a status look-up.
const (
	reportDone    = "done"
	reportRunning = "running"
)

// Report is an endpoint's answer to a status look-up of an order.
type Report struct {
	// State is "done", "running" or "absent".
	State string `json:"state"`
	// Answer is the body of the order's answer. Status and ContentType belong to the same answer
	// and default to 200 and application/json.
	Answer      []byte `json:"answer,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
}

// resolveOutcome determines by status look-up how an order ended that was dispatched and must not
// be sent again, and records the result.
func (r *Runner) resolveOutcome(ctx context.Context, j *job, o Order, cause error) {
	j.setRecorded(o)
	answer, why := r.lookUpAnswer(ctx, o)
	if answer != nil {
		r.recordAnswer(ctx, j, o, *answer)
		return
	}
	r.recordEnd(ctx, j, o, triggerLoseAnswer, func(n *Order) { n.Reason = fmt.Sprintf("%v; %s", cause, why) })
}

// lookUpAnswer polls the endpoint's status look-up until it returns the answer of the order. If
// there is none, it returns the reason. An absent order may still arrive at the endpoint, so its
// outcome stays unknown.
func (r *Runner) lookUpAnswer(ctx context.Context, o Order) (*Answer, string) {
	route, _ := r.cfg.View().Set.Route(o.Route)
	if route.Status == "" {
		return nil, fmt.Sprintf("route %q has no status look-up", o.Route)
	}
	path := statusPath(route, o)
	began := r.now()
	absentSince := began
	why := "the service could not be asked"
	for r.now().Sub(began) < routeTimeout(route) && r.now().Sub(absentSince) < absentTimeout && ctx.Err() == nil {
		report, err := r.queryStatus(ctx, o, path)
		switch {
		case err != nil:
			why = err.Error()
		case report.State == reportDone:
			a := report.toAnswer()
			return &a, ""
		case report.State == reportRunning:
			absentSince = r.now()
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

// ReadOrder returns an order by its id. If its outcome is unknown, ReadOrder queries the endpoint
// once more and records an answer that has become available.
func (r *Runner) ReadOrder(ctx context.Context, id string) (Order, error) {
	o, err := r.cfg.Recorder.Get(ctx, id)
	if err != nil {
		return o, err
	}
	return r.refreshUnknown(ctx, o), nil
}

func (r *Runner) refreshUnknown(ctx context.Context, o Order) Order {
	route, _ := r.cfg.View().Set.Route(o.Route)
	if o.State != StateUnknown || route.Status == "" {
		return o
	}
	report, err := r.queryStatus(ctx, o, statusPath(route, o))
	if err != nil || report.State != reportDone {
		return o
	}
	s, err := r.cfg.Recorder.finishStep(o, report.toAnswer())
	if err != nil {
		return o
	}
	done, err := r.applyOnce(ctx, s)
	if err != nil {
		return o
	}
	return done
}

func statusPath(route loader.Route, o Order) string {
	return strings.ReplaceAll(route.Status, "{key}", url.PathEscape(o.Key))
}

// queryStatus queries the endpoint that the order was sent to. If that endpoint is gone, it queries
// the other endpoints of the route.
func (r *Runner) queryStatus(ctx context.Context, o Order, path string) (Report, error) {
	err := fmt.Errorf("endpoint %s is gone", o.Endpoint)
	for _, e := range r.statusEndpoints(o) {
		var report Report
		if report, err = r.cfg.Services.Status(ctx, e.Address, path); err == nil && report.State != "" {
			return report, nil
		}
	}
	return Report{}, err
}

func (r *Runner) statusEndpoints(o Order) []viewer.Endpoint {
	v := r.cfg.View()
	route, _ := v.Set.Route(o.Route)
	var others []viewer.Endpoint
	for _, e := range v.Endpoints {
		if e.Name == o.Endpoint {
			return []viewer.Endpoint{e}
		}
		for _, s := range v.VersionShares(route) {
			if e.CanServe(s.Version) {
				others = append(others, e)
				break
			}
		}
	}
	return others
}

func (p Report) toAnswer() Answer {
	a := Answer{Status: p.Status, ContentType: p.ContentType, Body: p.Answer}
	if a.Status == 0 {
		a.Status = 200
	}
	if a.ContentType == "" {
		a.ContentType = "application/json"
	}
	return a
}
