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
	"pomelotiller/internal/platform/inferrer"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/relayer"
)

func (l *Listener) serveCompletion(w http.ResponseWriter, r *http.Request) {
	job, err := l.admitCompletion(w, r)
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
	w.Header().Set(inferrer.HeaderRequest, job.Request)
	if job.Prompt.Stream {
		l.streamAnswer(ctx, w, job)
		return
	}
	l.wholeAnswer(ctx, w, job)
}

func (l *Listener) admitCompletion(w http.ResponseWriter, r *http.Request) (relayer.Job, error) {
	_, span := l.cfg.Tracer.Start(r.Context(), "admit")
	defer span.End()
	v := l.cfg.View()
	org, err := l.cfg.Admitter.Identify(v, r)
	if err != nil {
		return relayer.Job{}, err
	}
	body, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return relayer.Job{}, err
	}
	job := relayer.Job{Request: uuid.NewString(), Path: r.URL.Path, Priority: org.Priority}
	if err := json.Unmarshal(body, &job.Fields); err != nil {
		return job, malformed(err)
	}
	if err := json.Unmarshal(body, &job.Prompt); err != nil {
		return job, malformed(err)
	}
	route, ok := v.Set.Route(job.Prompt.Model)
	if !ok || route.Kind != loader.KindModel {
		return job, &refuser.Refusal{
			Status: http.StatusNotFound, Title: "unknown-model",
			Detail: fmt.Sprintf("model %q is not a route; want one of %s", job.Prompt.Model, routeNames(v.Set, loader.KindModel)),
		}
	}
	job.Route = route
	return job, l.cfg.Admitter.Admit(v, org)
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

// eventSink passes chunks on as server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	model   string
	started bool
}

// Chunk implements relayer.Sink.
func (s *eventSink) Chunk(c inferrer.Chunk) error {
	c.Model = s.model
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	return s.event(c)
}

func (s *eventSink) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return s.control.Flush()
}

// errorEvent ends a stream that cannot be finished.
type errorEvent struct {
	Error refuser.Problem `json:"error"`
}

func (l *Listener) streamAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job) {
	sink := &eventSink{w: w, control: http.NewResponseController(w), model: job.Route.Name}
	err := l.cfg.Relayer.Run(ctx, job, sink)
	if err == nil {
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	err = deadlineRefusal(ctx, err)
	if !sink.started {
		refuser.Write(w, err)
		return
	}
	var r *refuser.Refusal
	if errors.As(err, &r) {
		// A failed write means that the caller is gone.
		_ = sink.event(errorEvent{Error: r.Problem()})
	}
}

// deadlineRefusal turns the end of the caller's deadline into a refusal.
func deadlineRefusal(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return &refuser.Refusal{
		Status: http.StatusGatewayTimeout, Title: "deadline", Run: refuser.Unknown,
		Detail: "the answer was not whole by the deadline", Err: err,
	}
}

// wholeSink collects an answer for a caller that does not stream.
type wholeSink struct {
	answer inferrer.Answer
	text   strings.Builder
	chat   bool
}

// Chunk implements relayer.Sink.
func (s *wholeSink) Chunk(c inferrer.Chunk) error {
	choice := c.Choices[0]
	if choice.Delta != nil {
		s.chat = true
		s.text.WriteString(choice.Delta.Content)
	}
	s.text.WriteString(choice.Text)
	s.answer.ID, s.answer.Created = c.ID, c.Created
	s.answer.Usage.CompletionTokens++
	s.answer.Choices = []inferrer.Choice{{FinishReason: choice.FinishReason}}
	return nil
}

func (s *wholeSink) whole(model string) inferrer.Answer {
	a := s.answer
	a.Model = model
	a.Usage.TotalTokens = a.Usage.CompletionTokens
	a.Object = "text_completion"
	if s.chat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &inferrer.Message{Role: "assistant", Content: s.text.String()}
		return a
	}
	a.Choices[0].Text = s.text.String()
	return a
}

func (l *Listener) wholeAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job) {
	sink := &wholeSink{}
	if err := l.cfg.Relayer.Run(ctx, job, sink); err != nil {
		refuser.Write(w, deadlineRefusal(ctx, err))
		return
	}
	replyJSON(w, http.StatusOK, sink.whole(job.Route.Name))
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
