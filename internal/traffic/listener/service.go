package listener

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/refuser"
)

const (
	orderPathPrefix = "/v1/orders/"
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 256
	// refusedOrderRetryDelay is the time after which a refused order may be posted again.
	refusedOrderRetryDelay = time.Second
)

// serviceCall is one admitted call of a plain service.
type serviceCall struct {
	organisation   loader.Organisation
	route          loader.Route
	idempotencyKey string
	preferences    requestPreferences
	request        recorder.Request
}

func (l *Listener) serveService(w http.ResponseWriter, r *http.Request) {
	c, err := l.admitCall(w, r)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	if c.idempotencyKey == "" {
		l.relayCall(w, r, c)
		return
	}
	id := recorder.OrderID(c.organisation.Name, c.route.Name, c.idempotencyKey)
	w.Header().Set("Location", orderPathPrefix+id)
	o, err := l.cfg.Runner.Submit(r.Context(), recorder.Submission{
		Organisation: c.organisation.Name, Route: c.route.Name, Key: c.idempotencyKey,
		Request: c.request, Async: c.preferences.respondAsync, Timeout: c.preferences.waitLimit,
	})
	if err != nil {
		refuser.Write(w, err)
		return
	}
	l.writeOrderResult(w, o)
}

// relayCall relays an idempotent call, which may be repeated and is not recorded.
func (l *Listener) relayCall(w http.ResponseWriter, r *http.Request, c serviceCall) {
	ctx := r.Context()
	if c.preferences.waitLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.preferences.waitLimit)
		defer cancel()
	}
	a, err := l.cfg.Runner.SendIdempotent(ctx, c.organisation.Name, c.route, c.request)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	writeServiceAnswer(w, a)
}

func (l *Listener) admitCall(w http.ResponseWriter, r *http.Request) (serviceCall, error) {
	_, span := l.cfg.Tracer.Start(r.Context(), "admit")
	defer span.End()
	v := l.cfg.View()
	org, err := l.cfg.Admitter.IdentifyOrganisation(v, r)
	if err != nil {
		return serviceCall{}, err
	}
	name := chi.URLParam(r, "route")
	route, ok := v.Set.Route(name)
	if !ok || route.Kind != loader.KindService {
		return serviceCall{}, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-service",
			Detail: fmt.Sprintf("service %q is not a route; want one of %s", name, routeNames(v.Set, loader.KindService)),
		}
	}
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if idempotencyKey == "" && !route.Idempotent {
		return serviceCall{}, &refuser.Refusal{
			Status: http.StatusBadRequest, Title: "key-missing",
			Detail: fmt.Sprintf("calls of %q must not be repeated; want an Idempotency-Key header", name),
		}
	}
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return serviceCall{}, &refuser.Refusal{
			Status: http.StatusBadRequest, Title: "key-too-long",
			Detail: fmt.Sprintf("the Idempotency-Key has %d bytes; want at most %d", len(idempotencyKey), maxIdempotencyKeyBytes),
		}
	}
	preferences, err := parsePreferHeader(r.Header.Values("Prefer"))
	if err != nil {
		return serviceCall{}, err
	}
	body, err := readBody(w, r, maxServiceBodyBytes, org.Name)
	if err != nil {
		return serviceCall{}, err
	}
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name), "/")
	req := recorder.Request{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body}
	return serviceCall{organisation: org, route: route, idempotencyKey: idempotencyKey, preferences: preferences, request: req}, l.cfg.Admitter.CheckRate(v, org)
}

// writeOrderResult writes the answer of an order, or its state if there is none.
func (l *Listener) writeOrderResult(w http.ResponseWriter, o recorder.Order) {
	switch {
	case o.State == recorder.StateDone && !o.Answer.Omitted:
		writeServiceAnswer(w, *o.Answer)
	case o.State == recorder.StateDone:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusBadGateway, Title: "answer-too-large", Run: refuser.Ran,
			Detail: "the service ran the order; its answer is too large to be kept",
		})
	case !o.HasEnded():
		writeJSON(w, http.StatusAccepted, newOrderResponse(o))
	case o.State == recorder.StateRefused:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "order-refused", Run: refuser.NotRun,
			RetryAfter: refusedOrderRetryDelay, Detail: o.Reason + "; the same key may be used again",
		})
	default:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusBadGateway, Title: "order-unknown", Run: refuser.Unknown, Detail: o.Reason,
		})
	}
}

func writeServiceAnswer(w http.ResponseWriter, a recorder.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	// The write fails only if the caller has disconnected.
	_, _ = w.Write(a.Body)
}

// orderResponse is the state of an order as callers see it.
type orderResponse struct {
	ID       string           `json:"id"`
	Route    string           `json:"route"`
	State    recorder.State   `json:"state"`
	Run      string           `json:"run"`
	Endpoint string           `json:"endpoint,omitempty"`
	Answer   *recorder.Answer `json:"answer,omitempty"`
	Reason   string           `json:"reason,omitempty"`
}

func newOrderResponse(o recorder.Order) orderResponse {
	return orderResponse{
		ID: o.ID, Route: o.Route, State: o.State, Run: o.RunState().String(),
		Endpoint: o.Endpoint, Answer: o.Answer, Reason: o.Reason,
	}
}

func (l *Listener) serveOrder(w http.ResponseWriter, r *http.Request) {
	org, err := l.cfg.Admitter.IdentifyOrganisation(l.cfg.View(), r)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	o, err := l.cfg.Runner.ReadOrder(r.Context(), chi.URLParam(r, "id"))
	if errors.Is(err, storer.ErrNotFound) || err == nil && o.Organisation != org.Name {
		refuser.Write(w, &refuser.Refusal{Status: http.StatusNotFound, Title: "unknown-order", Detail: "no such order of this organisation"})
		return
	}
	if err != nil {
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "store-unavailable", RetryAfter: l.cfg.Recorder.RetryAfter(),
			Detail: "the order cannot be read at present", Err: err,
		})
		return
	}
	writeJSON(w, http.StatusOK, newOrderResponse(o))
}
