package listener

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/bounder"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/relayer"
)

func (l *Listener) serveCompletion(w http.ResponseWriter, r *http.Request) {
	job, org, err := l.admitCompletion(w, r)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	ctx, cancel, err := withDeadline(r, job.Route.Timeout.Std())
	if err != nil {
		refuser.Write(w, err)
		return
	}
	defer cancel()
	slot, err := l.cfg.Admitter.AcquireSlot(ctx, job.Route, org)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	defer slot.Release()
	w.Header().Set(inferrer.HeaderRequest, job.Request)
	if job.Prompt.Stream {
		l.streamAnswer(ctx, w, job, slot)
		return
	}
	l.writeCompleteAnswer(ctx, w, job, slot)
}

func (l *Listener) admitCompletion(w http.ResponseWriter, r *http.Request) (relayer.Job, loader.Organisation, error) {
	_, span := l.cfg.Tracer.Start(r.Context(), "admit")
	defer span.End()
	v := l.cfg.View()
	org, err := l.cfg.Admitter.IdentifyOrganisation(v, r)
	if err != nil {
		return relayer.Job{}, org, err
	}
	body, err := readBody(w, r, maxCompletionBodyBytes, org.Name)
	if err != nil {
		return relayer.Job{}, org, err
	}
	job := relayer.Job{Request: uuid.NewString(), Path: r.URL.Path, Priority: org.Priority}
	if err := json.Unmarshal(body, &job.Fields); err != nil {
		return job, org, newMalformedRefusal(err)
	}
	if err := json.Unmarshal(body, &job.Prompt); err != nil {
		return job, org, newMalformedRefusal(err)
	}
	route, ok := v.Set.Route(job.Prompt.Model)
	if !ok || route.Kind != loader.KindModel {
		return job, org, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-model",
			Detail: fmt.Sprintf("model %q is not a route; want one of %s", job.Prompt.Model, routeNames(v.Set, loader.KindModel)),
		}
	}
	job.Route = route
	return job, org, l.cfg.Admitter.CheckRate(v, org)
}

func newMalformedRefusal(err error) error {
	return &refuser.Refusal{
		Status: http.StatusBadRequest, Title: "malformed", Detail: "the body is not a valid JSON request: " + err.Error(), Err: err,
	}
}

func routeNames(s loader.Set, kind loader.Kind) string {
	var names []string
	for _, r := range s.Routes {
		if r.Kind == kind {
			names = append(names, r.Name)
		}
	}
	return strings.Join(names, ", ")
}

// readBody reads the body of an organisation's request into memory of its connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int, organisation string) ([]byte, error) {
	conn := bounder.FromContext(r.Context())
	// A body over the limit is read up to it, also if its length is declared, and the server waits before it closes
	// the connection: otherwise the reset for what is unread overtakes the answer.
	b, err := rationer.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)), conn, limit)
	if err == nil {
		err = conn.Resize(decodedFactor * len(b))
	}
	if err == nil {
		err = conn.BeginAnswer(organisation)
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, rationer.ErrTooLarge), errors.As(err, &tooLong):
		return nil, newTooLargeRefusal(limit, err)
	case errors.Is(err, rationer.ErrFull):
		return nil, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Title: "overloaded", Detail: "requests of callers leave no memory for this one", RetryAfter: memoryRetryAfter, Err: err,
		}
	case err != nil:
		return nil, &refuser.Refusal{Status: http.StatusBadRequest, Title: "malformed", Detail: "the body could not be read", Err: err}
	}
	return b, nil
}

const (
	// decodedFactor is how many times its length a body occupies with its fields and the text of its prompt.
	decodedFactor = 3
	// memoryRetryAfter is the Retry-After value if there is no memory for a body.
	memoryRetryAfter = time.Second
)

func newTooLargeRefusal(limit int, err error) error {
	return &refuser.Refusal{
		Status: http.StatusRequestEntityTooLarge, Title: "too-large", Err: err,
		Detail: fmt.Sprintf("the body is over %d bytes", limit),
	}
}

// withDeadline returns the request's context with the caller's deadline from "Prefer:
// wait=SECONDS", else with the route's timeout, if any.
func withDeadline(r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc, error) {
	p, err := parsePreferHeader(r.Header.Values("Prefer"))
	if err != nil {
		return nil, nil, err
	}
	if p.waitLimit > 0 {
		timeout = p.waitLimit
	}
	if timeout <= 0 {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// requestPreferences holds what the caller requests in its Prefer header.
type requestPreferences struct {
	waitLimit    time.Duration
	respondAsync bool
}

func parsePreferHeader(values []string) (requestPreferences, error) {
	var p requestPreferences
	for v := range strings.SplitSeq(strings.Join(values, ","), ",") {
		name, arg, _ := strings.Cut(strings.TrimSpace(v), "=")
		switch strings.ToLower(name) {
		case "respond-async":
			p.respondAsync = true
		case "wait":
			n, err := strconv.ParseFloat(arg, 64)
			if err != nil || !(n > 0) {
				return p, &refuser.Refusal{
					Status: http.StatusBadRequest, Title: "malformed",
					Detail: fmt.Sprintf("Prefer: wait=%s is not a number of seconds above 0", arg),
				}
			}
			p.waitLimit = time.Duration(min(n, maxWaitSeconds) * float64(time.Second))
		}
	}
	return p, nil
}

// maxWaitSeconds is the longest wait that a caller can ask for. A longer one would exceed a time.Duration.
const maxWaitSeconds = 24 * 60 * 60

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
