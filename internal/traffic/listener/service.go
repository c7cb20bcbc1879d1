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
	orderPath = "/v1/orders/"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// refusedRetry is when an order that was refused may be posted again.
	refusedRetry = time.Second
)

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
	if c.key == "" {
		l.relayCall(w, r, c)
		return
	}
	id := recorder.OrderID(c.organisation.Name, c.route.Name, c.key)
	w.Header().Set("Location", orderPath+id)
	o, err := l.cfg.Runner.Submit(r.Context(), recorder.Submission{
		Organisation: c.organisation.Name, Route: c.route.Name, Key: c.key,
		Request: c.request, Async: c.prefer.async, Wait: c.prefer.wait,
	})
	if err != nil {
		refuser.Write(w, err)
		return
	}
	l.answerOrder(w, o)
}

// relayCall carries a call that may be repeated and is not recorded.
func (l *Listener) relayCall(w http.ResponseWriter, r *http.Request, c call) {
	ctx := r.Context()
	if c.prefer.wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.prefer.wait)
		defer cancel()
	}
	a, err := l.cfg.Runner.Call(ctx, c.route, c.request)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	writeAnswer(w, a)
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
	if len(key) > maxKeyBytes {
		return call{}, &refuser.Refusal{
			Status: http.StatusBadRequest, Title: "key-too-long",
			Detail: fmt.Sprintf("the Idempotency-Key has %d bytes; want at most %d", len(key), maxKeyBytes),
		}
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
	switch {
	case o.State == recorder.StateDone && !o.Answer.Omitted:
		writeAnswer(w, *o.Answer)
	case o.State == recorder.StateDone:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusBadGateway, Title: "answer-too-large", Run: refuser.Ran,
			Detail: "the service ran the order; its answer is too large to be kept",
		})
	case !o.Ended():
		replyJSON(w, http.StatusAccepted, newOrderView(o))
	case o.State == recorder.StateRefused:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "order-refused", Run: refuser.NotRun,
			RetryAfter: refusedRetry, Detail: o.Reason + "; the same key may be used again",
		})
	default:
		refuser.Write(w, &refuser.Refusal{
			Status: http.StatusBadGateway, Title: "order-unknown", Run: refuser.Unknown, Detail: o.Reason,
		})
	}
}

func writeAnswer(w http.ResponseWriter, a recorder.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(a.Body)
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
	o, err := l.cfg.Runner.Read(r.Context(), chi.URLParam(r, "id"))
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
	replyJSON(w, http.StatusOK, newOrderView(o))
}
