package listener

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/relayer"
)

const (
	// writeTimeout bounds the time that a write to a caller may block, so that a caller that
	// has stopped reading does not occupy an engine.
	writeTimeout = 20 * time.Second
	// writeDeadlineStep is the time by which the write deadline may be out of date; it saves
	// setting the deadline for every event.
	writeDeadlineStep = time.Second
)

var (
	eventPrefix = []byte("data: ")
	eventSuffix = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// eventSink relays chunks of an answer to the caller as server-sent events.
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// routeModelField is the model field with the route's name, which callers see in place of
	// the version that the engine reports.
	routeModelField  []byte
	engineModel      string
	engineModelField []byte
	includeUsage     bool
	headerSet        bool
	writeDeadline    time.Time
	buf              []byte
}

func newEventSink(w http.ResponseWriter, job relayer.Job) *eventSink {
	return &eventSink{
		w: w, controller: http.NewResponseController(w),
		routeModelField: modelField(job.Route.Name), includeUsage: job.Prompt.StreamOptions.IncludeUsage,
	}
}

// modelField returns the JSON text of an event's model field.
func modelField(name string) []byte {
	// Marshalling a string cannot fail.
	b, _ := json.Marshal(name)
	return append([]byte(`"model":`), b...)
}

// Piece implements relayer.Sink.
func (s *eventSink) Piece(e inferrer.Piece) error {
	if len(e.Choices) == 0 && !s.includeUsage {
		return nil
	}
	raw, err := s.replaceModel(e)
	if err != nil {
		return err
	}
	return s.writeEvent(raw)
}

// replaceModel returns the event with the route as its model. All other fields stay as the
// engine sent them.
func (s *eventSink) replaceModel(e inferrer.Piece) ([]byte, error) {
	if s.engineModelField == nil || s.engineModel != e.Model {
		s.engineModel, s.engineModelField = e.Model, modelField(e.Model)
	}
	if i := bytes.Index(e.Raw, s.engineModelField); i >= 0 {
		s.buf = append(s.buf[:0], e.Raw[:i]...)
		s.buf = append(s.buf, s.routeModelField...)
		s.buf = append(s.buf, e.Raw[i+len(s.engineModelField):]...)
		return s.buf, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(e.Raw, &fields); err != nil {
		return nil, err
	}
	fields["model"] = s.routeModelField[len(`"model":`):]
	return json.Marshal(fields)
}

// writeEvent writes one event to the buffer of the response; Flush sends it.
func (s *eventSink) writeEvent(data []byte) error {
	if !s.headerSet {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.headerSet = true
	}
	for _, b := range [][]byte{eventPrefix, data, eventSuffix} {
		if _, err := s.w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// Flush implements relayer.Sink. Before the first event it does nothing, since a flush would
// send status 200 and leave none for a refusal.
func (s *eventSink) Flush() error {
	if !s.headerSet {
		return nil
	}
	if now := time.Now(); s.writeDeadline.Sub(now) < writeTimeout-writeDeadlineStep {
		s.writeDeadline = now.Add(writeTimeout)
		if err := s.controller.SetWriteDeadline(s.writeDeadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
	}
	return s.controller.Flush()
}

// tokenTimingSink records the arrival time of each token at the request's concurrency slot.
type tokenTimingSink struct {
	relayer.Sink
	slot *admitter.Slot
}

// Piece implements relayer.Sink.
func (s tokenTimingSink) Piece(p inferrer.Piece) error {
	if len(p.Choices) > 0 {
		s.slot.ObserveToken()
	}
	return s.Sink.Piece(p)
}

// streamErrorEvent is the last event of a stream that cannot be completed.
type streamErrorEvent struct {
	Error refuser.Problem `json:"error"`
}

// streamAnswer relays the answer to a job as a stream. If the answer cannot be completed after
// it has begun, streamAnswer panics with http.ErrAbortHandler, which closes the connection, so
// that HTTP does not end the body as a complete one.
func (l *Listener) streamAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job, t *admitter.Slot) {
	sink := newEventSink(w, job)
	err := l.cfg.Relayer.Run(ctx, job, tokenTimingSink{sink, t})
	// A write fails only if the caller has disconnected.
	if err == nil {
		_, _ = w.Write(doneEvent)
		return
	}
	if !sink.headerSet {
		refuser.Write(w, err)
		return
	}
	refusal := &refuser.Refusal{Status: http.StatusInternalServerError, Title: "internal", Detail: "the answer broke off", Run: refuser.Ran}
	errors.As(err, &refusal)
	if b, err := json.Marshal(streamErrorEvent{Error: refusal.Problem()}); err == nil {
		_ = sink.writeEvent(b)
		_ = sink.Flush()
	}
	panic(http.ErrAbortHandler)
}

// bufferingSink collects an answer for a caller that did not ask for a stream.
type bufferingSink struct {
	answer inferrer.Answer
	text   strings.Builder
	isChat bool
}

// Piece implements relayer.Sink.
func (s *bufferingSink) Piece(e inferrer.Piece) error {
	c, err := e.Chunk()
	if err != nil {
		return err
	}
	if c.Usage != nil {
		s.answer.Usage.PromptTokens = c.Usage.PromptTokens
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if choice.Delta != nil {
		s.isChat = true
		s.text.WriteString(choice.Delta.Content)
	}
	s.text.WriteString(choice.Text)
	s.answer.ID, s.answer.Created = c.ID, c.Created
	s.answer.Usage.CompletionTokens++
	s.answer.Choices = []inferrer.Choice{{FinishReason: choice.FinishReason}}
	return nil
}

// Flush implements relayer.Sink.
func (s *bufferingSink) Flush() error { return nil }

func (s *bufferingSink) buildAnswer(model string) inferrer.Answer {
	a := s.answer
	a.Model = model
	a.Usage.TotalTokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	a.Object = "text_completion"
	if s.isChat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &inferrer.Message{Role: "assistant", Content: s.text.String()}
		return a
	}
	a.Choices[0].Text = s.text.String()
	return a
}

func (l *Listener) writeCompleteAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job, t *admitter.Slot) {
	sink := &bufferingSink{}
	if err := l.cfg.Relayer.Run(ctx, job, tokenTimingSink{sink, t}); err != nil {
		refuser.Write(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sink.buildAnswer(job.Route.Name))
}
