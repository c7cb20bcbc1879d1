package listener

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/platform/storer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/refuser"
)

const orderPath = "/v1/orders/"

// call is one admitted call of a plain service.
type call struct {
	organisation loader.Organisation
	route        loader.Route
	key          string
	prefer       preference
	request      recorder.Request
}

func (l *Listener) serveService(w http.ResponseWriter, r *http.Request) {
	c, err := l.admitCall(w, r)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	o, fresh, err := l.cfg.Recorder.Accept(r.Context(), c.organisation.Name, c.route.Name, c.key, c.request)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	w.Header().Set("Location", orderPath+o.ID)
	if !fresh {
		l.answerOrder(w, o)
		return
	}
	// The order goes on when its caller is gone.
	ctx := context.WithoutCancel(r.Context())
	if c.prefer.async {
		l.active.Add(1)
		go func() {
			defer l.active.Add(-1)
			// The order's record tells how it ended.
			_, _ = l.cfg.Runner.Run(ctx, o)
		}()
		replyJSON(w, http.StatusAccepted, newOrderView(o))
		return
	}
	o, err = l.cfg.Runner.Run(ctx, o)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	l.answerOrder(w, o)
}

func (l *Listener) admitCall(w http.ResponseWriter, r *http.Request) (call, error) {
	_, span := l.cfg.Tracer.Start(r.Context(), "admit")
	defer span.End()
	v := l.cfg.View()
	org, err := l.cfg.Admitter.Identify(v, r)
	if err != nil {
		return call{}, err
	}
	name := chi.URLParam(r, "route")
	route, ok := v.Set.Route(name)
	if !ok || route.Kind != loader.KindService {
		return call{}, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-service",
			Detail: fmt.Sprintf("service %q is not a route; want one of %s", name, routeNames(v.Set, loader.KindService)),
		}
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" && !route.Idempotent {
		return call{}, &refuser.Refusal{
			Status: http.StatusBadRequest, Title: "key-missing",
			Detail: fmt.Sprintf("calls of %q must not be repeated; want an Idempotency-Key header", name),
		}
	}
	if key == "" {
		key = uuid.NewString()
	}
	prefer, err := parsePrefer(r.Header.Values("Prefer"))
	if err != nil {
		return call{}, err
	}
	body, err := readBody(w, r, maxOrderBytes)
	if err != nil {
		return call{}, err
	}
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name), "/")
	req := recorder.Request{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body}
	return call{organisation: org, route: route, key: key, prefer: prefer, request: req}, l.cfg.Admitter.Admit(v, org)
}

// answerOrder gives the caller what is known of an order.
func (l *Listener) answerOrder(w http.ResponseWriter, o recorder.Order) {
	if o.State == recorder.StateDone {
		w.Header().Set("Content-Type", o.Answer.ContentType)
		w.WriteHeader(o.Answer.Status)
		// A failed write means that the caller is gone; the answer is recorded.
		_, _ = w.Write(o.Answer.Body)
		return
	}
	if !o.Ended() {
		replyJSON(w, http.StatusAccepted, newOrderView(o))
		return
	}
	refuser.Write(w, &refuser.Refusal{
		Status: http.StatusBadGateway, Title: "order-" + string(o.State), Run: o.Run(), Detail: o.Reason,
	})
}

// orderView is what callers are shown of an order.
type orderView struct {
	ID       string           `json:"id"`
	Route    string           `json:"route"`
	State    recorder.State   `json:"state"`
	Run      string           `json:"run"`
	Endpoint string           `json:"endpoint,omitempty"`
	Answer   *recorder.Answer `json:"answer,omitempty"`
	Reason   string           `json:"reason,omitempty"`
}

func newOrderView(o recorder.Order) orderView {
	return orderView{
		ID: o.ID, Route: o.Route, State: o.State, Run: o.Run().String(),
		Endpoint: o.Endpoint, Answer: o.Answer, Reason: o.Reason,
	}
}

func (l *Listener) serveOrder(w http.ResponseWriter, r *http.Request) {
	org, err := l.cfg.Admitter.Identify(l.cfg.View(), r)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	o, err := l.cfg.Recorder.Get(r.Context(), chi.URLParam(r, "id"))
	if errors.Is(err, storer.ErrNotFound) || err == nil && o.Organisation != org.Name {
		refuser.Write(w, &refuser.Refusal{Status: http.StatusNotFound, Title: "unknown-order", Detail: "no such order of this organisation"})
		return
	}
	if err != nil {
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "store-unavailable", RetryAfter: storeRetry,
			Detail: "the order cannot be read at present", Err: err,
		})
		return
	}
	replyJSON(w, http.StatusOK, newOrderView(o))
}
