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
	// writeTimeout bounds the time that a caller takes to read what it was
	// sent, so that one which has stopped reading holds no engine.
	writeTimeout = 20 * time.Second
	// deadlineStep is how far the write deadline may lag behind.
	deadlineStep = time.Second
)

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

// eventSink passes chunks on as server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// model is the name of the route, which callers see in place of the
	// version.
	model    []byte
	version  string
	replaced []byte
	usage    bool
	started  bool
	until    time.Time
	buf      []byte
}

func newEventSink(w http.ResponseWriter, job relayer.Job) *eventSink {
	return &eventSink{
		w: w, control: http.NewResponseController(w),
		model: modelField(job.Route.Name), usage: job.Prompt.StreamOptions.IncludeUsage,
	}
}

// modelField returns the model field of an event as JSON.
func modelField(name string) []byte {
	// A string always has a JSON form.
	b, _ := json.Marshal(name)
	return append([]byte(`"model":`), b...)
}

// Piece implements relayer.Sink.
func (s *eventSink) Piece(e inferrer.Piece) error {
	if len(e.Choices) == 0 && !s.usage {
		return nil
	}
	raw, err := s.rename(e)
	if err != nil {
		return err
	}
	return s.write(raw)
}

// rename returns the event with the route as its model. All other fields stay
// as the engine sent them.
func (s *eventSink) rename(e inferrer.Piece) ([]byte, error) {
	if s.replaced == nil || s.version != e.Model {
		s.version, s.replaced = e.Model, modelField(e.Model)
	}
	if i := bytes.Index(e.Raw, s.replaced); i >= 0 {
		s.buf = append(s.buf[:0], e.Raw[:i]...)
		s.buf = append(s.buf, s.model...)
		s.buf = append(s.buf, e.Raw[i+len(s.replaced):]...)
		return s.buf, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(e.Raw, &fields); err != nil {
		return nil, err
	}
	fields["model"] = s.model[len(`"model":`):]
	return json.Marshal(fields)
}

// write writes one event; Flush sends it.
func (s *eventSink) write(data []byte) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	for _, b := range [][]byte{eventStart, data, eventEnd} {
		if _, err := s.w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// Flush implements relayer.Sink.
func (s *eventSink) Flush() error {
	if now := time.Now(); s.until.Sub(now) < writeTimeout-deadlineStep {
		s.until = now.Add(writeTimeout)
		if err := s.control.SetWriteDeadline(s.until); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
	}
	return s.control.Flush()
}

// timedSink notes the time of each token.
type timedSink struct {
	relayer.Sink
	ticket *admitter.Ticket
}

// Piece implements relayer.Sink.
func (s timedSink) Piece(p inferrer.Piece) error {
	if len(p.Choices) > 0 {
		s.ticket.Token()
	}
	return s.Sink.Piece(p)
}

// errorEvent ends a stream that cannot be finished.
type errorEvent struct {
	Error refuser.Problem `json:"error"`
}

func (l *Listener) streamAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job, t *admitter.Ticket) {
	sink := newEventSink(w, job)
	err := l.cfg.Relayer.Run(ctx, job, timedSink{sink, t})
	// A write fails only once the caller is gone.
	if err == nil {
		_, _ = w.Write(doneEvent)
		return
	}
	if !sink.started {
		refuser.Write(w, err)
		return
	}
	refusal := &refuser.Refusal{Status: http.StatusInternalServerError, Title: "internal", Detail: "the answer broke off", Run: refuser.Ran}
	errors.As(err, &refusal)
	if b, err := json.Marshal(errorEvent{Error: refusal.Problem()}); err == nil {
		_ = sink.write(b)
	}
}

// wholeSink collects an answer for a caller that does not stream.
type wholeSink struct {
	answer inferrer.Answer
	text   strings.Builder
	chat   bool
}

// Piece implements relayer.Sink.
func (s *wholeSink) Piece(e inferrer.Piece) error {
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
		s.chat = true
		s.text.WriteString(choice.Delta.Content)
	}
	s.text.WriteString(choice.Text)
	s.answer.ID, s.answer.Created = c.ID, c.Created
	s.answer.Usage.CompletionTokens++
	s.answer.Choices = []inferrer.Choice{{FinishReason: choice.FinishReason}}
	return nil
}

// Flush implements relayer.Sink.
func (s *wholeSink) Flush() error { return nil }

func (s *wholeSink) whole(model string) inferrer.Answer {
	a := s.answer
	a.Model = model
	a.Usage.TotalTokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	a.Object = "text_completion"
	if s.chat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &inferrer.Message{Role: "assistant", Content: s.text.String()}
		return a
	}
	a.Choices[0].Text = s.text.String()
	return a
}

func (l *Listener) wholeAnswer(ctx context.Context, w http.ResponseWriter, job relayer.Job, t *admitter.Ticket) {
	sink := &wholeSink{}
	if err := l.cfg.Relayer.Run(ctx, job, timedSink{sink, t}); err != nil {
		refuser.Write(w, err)
		return
	}
	replyJSON(w, http.StatusOK, sink.whole(job.Route.Name))
}
