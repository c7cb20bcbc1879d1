package assembler

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/relayer"
)

// observedServices wraps the client of services and reports the outcome of each order, so that a
// move between versions of a service is evaluated like one between versions of a model.
type observedServices struct {
	recorder.Services
	view     func() viewer.View
	outcomes relayer.Outcomes
}

// Connect implements recorder.Services.
func (s observedServices) Connect(ctx context.Context, address string) (recorder.Sender, error) {
	sender, err := s.Services.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return observedSender{Sender: sender, services: s, address: address, connectedAt: time.Now()}, nil
}

// observedSender sends orders to one service and reports their outcomes.
type observedSender struct {
	recorder.Sender
	services    observedServices
	address     string
	connectedAt time.Time
}

// Send implements recorder.Sender.
func (s observedSender) Send(ctx context.Context, o recorder.Order, header http.Header) (recorder.Answer, error) {
	began := time.Now()
	a, err := s.Sender.Send(ctx, o, header)
	s.reportOutcome(o, began, a, err)
	return a, err
}

// reportOutcome reports the outcome of an order, whose send began at a time, under the version that processed it.
func (s observedSender) reportOutcome(o recorder.Order, began time.Time, a recorder.Answer, err error) {
	var send *recorder.SendError
	if errors.As(err, &send) && send.RunState == refuser.NotRun {
		// The service did not run the order, so the outcome says nothing about the version.
		return
	}
	if err == nil && a.Status >= http.StatusInternalServerError {
		err = &inferrer.StatusError{Status: a.Status}
	}
	v := s.services.view()
	i := slices.IndexFunc(v.Endpoints, func(e viewer.Endpoint) bool { return e.Address == s.address })
	route, ok := v.Set.Route(o.Route)
	if i < 0 || !ok {
		return
	}
	var versions []string
	for _, share := range v.VersionShares(route) {
		if slices.Contains(v.Endpoints[i].Versions, share.Version) {
			versions = append(versions, share.Version)
		}
	}
	if len(versions) != 1 {
		// If both versions of a move use the endpoint's pool, the version that answered is unknown.
		return
	}
	s.services.outcomes.Observe(relayer.Outcome{
		Route: o.Route, Version: versions[0], Endpoint: v.Endpoints[i].Name, Attempt: 1, FirstTokenTime: time.Since(began), Err: err,
		ConnectedAt: s.connectedAt, SentAt: began, HasHead: err == nil || errors.Is(err, inferrer.ErrTruncated), IsSilent: relayer.IsTimeout(err),
	})
}
