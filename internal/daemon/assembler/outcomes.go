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

// observedServices reports how orders end at services, so that a move between
// versions of a service is judged as one between versions of a model is.
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
	return observedSender{Sender: sender, services: s, address: address}, nil
}

type observedSender struct {
	recorder.Sender
	services observedServices
	address  string
}

// Send implements recorder.Sender.
func (s observedSender) Send(ctx context.Context, o recorder.Order, header http.Header) (recorder.Answer, error) {
	began := time.Now()
	a, err := s.Sender.Send(ctx, o, header)
	s.report(o, time.Since(began), a, err)
	return a, err
}

func (s observedSender) report(o recorder.Order, took time.Duration, a recorder.Answer, err error) {
	var send *recorder.SendError
	if errors.As(err, &send) && send.RunState == refuser.NotRun {
		// Nothing reached the service.
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
	for _, share := range v.Split(route) {
		if slices.Contains(v.Endpoints[i].Versions, share.Version) {
			versions = append(versions, share.Version)
		}
	}
	if len(versions) != 1 {
		// A pool that both versions name does not tell which one answered.
		return
	}
	s.services.outcomes.Observe(relayer.Outcome{
		Route: o.Route, Version: versions[0], Endpoint: v.Endpoints[i].Name, Attempt: 1, FirstTokenTime: took, Err: err,
	})
}
