package listener

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/inferrer"
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
	ticket, err := l.cfg.Admitter.Enter(ctx, job.Route, org)
	if err != nil {
		refuser.Write(w, err)
		return
	}
	defer ticket.End()
	w.Header().Set(inferrer.HeaderRequest, job.Request)
	if job.Prompt.Stream {
		l.streamAnswer(ctx, w, job, ticket)
		return
	}
	l.wholeAnswer(ctx, w, job, ticket)
}

func (l *Listener) admitCompletion(w http.ResponseWriter, r *http.Request) (relayer.Job, loader.Organisation, error) {
	_, span := l.cfg.Tracer.Start(r.Context(), "admit")
	defer span.End()
	v := l.cfg.View()
	org, err := l.cfg.Admitter.Identify(v, r)
	if err != nil {
		return relayer.Job{}, org, err
	}
	body, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return relayer.Job{}, org, err
	}
	job := relayer.Job{Request: uuid.NewString(), Path: r.URL.Path, Priority: org.Priority}
	if err := json.Unmarshal(body, &job.Fields); err != nil {
		return job, org, malformed(err)
	}
	if err := json.Unmarshal(body, &job.Prompt); err != nil {
		return job, org, malformed(err)
	}
	route, ok := v.Set.Route(job.Prompt.Model)
	if !ok || route.Kind != loader.KindModel {
		return job, org, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-model",
			Detail: fmt.Sprintf("model %q is not a route; want one of %s", job.Prompt.Model, routeNames(v.Set, loader.KindModel)),
		}
	}
	job.Route = route
	return job, org, l.cfg.Admitter.Admit(v, org)
}

func malformed(err error) error {
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

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &refuser.Refusal{
			Status: http.StatusRequestEntityTooLarge, Title: "too-large", Err: err,
			Detail: fmt.Sprintf("the body is over %d bytes", limit),
		}
	}
	if err != nil {
		return nil, &refuser.Refusal{Status: http.StatusBadRequest, Title: "malformed", Detail: "the body could not be read", Err: err}
	}
	return b, nil
}

// withDeadline applies the caller's deadline, "Prefer: wait=SECONDS", or the
// route's timeout.
func withDeadline(r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc, error) {
	p, err := parsePrefer(r.Header.Values("Prefer"))
	if err != nil {
		return nil, nil, err
	}
	if p.wait > 0 {
		timeout = p.wait
	}
	if timeout <= 0 {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// preference holds what the caller asked for in its Prefer header.
type preference struct {
	wait  time.Duration
	async bool
}

func parsePrefer(values []string) (preference, error) {
	var p preference
	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		name, arg, _ := strings.Cut(strings.TrimSpace(v), "=")
		switch strings.ToLower(name) {
		case "respond-async":
			p.async = true
		case "wait":
			n, err := strconv.ParseFloat(arg, 64)
			if err != nil || n <= 0 {
				return p, &refuser.Refusal{
					Status: http.StatusBadRequest, Title: "malformed",
					Detail: fmt.Sprintf("Prefer: wait=%s is not a number of seconds above 0", arg),
				}
			}
			p.wait = time.Duration(n * float64(time.Second))
		}
	}
	return p, nil
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
