package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"pomelotiller/internal/remote/inferrer"
)

// AnswerFault is the way in which the answer to one attempt goes wrong.
type AnswerFault string

// Faults of answers.
const (
	// AnswerCrossed echoes the id of another request.
	AnswerCrossed AnswerFault = "crossed"
	// AnswerLate echoes the number of an earlier attempt.
	AnswerLate AnswerFault = "late"
	// AnswerForeign goes on with a chunk of another request.
	AnswerForeign AnswerFault = "foreign"
	// AnswerDoubled sends each chunk twice.
	AnswerDoubled AnswerFault = "doubled"
	// AnswerGap leaves one token out.
	AnswerGap AnswerFault = "gap"
	// AnswerCut closes the connection within a chunk.
	AnswerCut AnswerFault = "cut"
	// AnswerGarbled sends a chunk that is not JSON.
	AnswerGarbled AnswerFault = "garbled"
	// AnswerShort sends the end mark with no finish reason before it.
	AnswerShort AnswerFault = "short"
	// AnswerNoMark closes the connection in place of the end mark.
	AnswerNoMark AnswerFault = "nomark"
	// AnswerSilent sends nothing further and keeps the connection open.
	AnswerSilent AnswerFault = "silent"
	// AnswerRefused answers with a status.
	AnswerRefused AnswerFault = "refused"
)

const lastMark = "data: [DONE]\n\n"

// AnswerFaults says how coming answers go wrong.
type AnswerFaults struct {
	Fault AnswerFault `json:"fault"`
	// After is the number of chunks that pass before the fault.
	After int `json:"after"`
	// Count is the number of answers that go wrong; 0 is all.
	Count int `json:"count"`
	// Status is the status of AnswerRefused.
	Status int `json:"status"`
}

// answerFaulter spoils answers by command.
type answerFaulter struct {
	mu     sync.Mutex
	faults AnswerFaults
}

// SetAnswerFaults replaces the faults of answers in force.
func (g *Generator) SetAnswerFaults(f AnswerFaults) {
	g.answers.mu.Lock()
	defer g.answers.mu.Unlock()
	g.answers.faults = f
}

// take returns the fault of one answer, and uses up one of a counted fault.
func (a *answerFaulter) take() AnswerFaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.faults
	if f.Count > 0 {
		if a.faults.Count--; a.faults.Count == 0 {
			a.faults = AnswerFaults{}
		}
	}
	return f
}

// withFaults serves PUT /answers, which takes AnswerFaults, and applies them to
// the completions that next serves.
func (g *Generator) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPut && r.URL.Path == "/answers":
			var f AnswerFaults
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			g.SetAnswerFaults(f)
		case isCompletion(r):
			f := g.answers.take()
			if f.Fault == AnswerRefused {
				http.Error(w, http.StatusText(f.Status), f.Status)
				return
			}
			if f.Fault != "" {
				w = &spoiledWriter{ResponseWriter: w, ctx: r.Context(), faults: f, left: f.After}
			}
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func isCompletion(r *http.Request) bool {
	return r.Method == http.MethodPost &&
		(r.URL.Path == inferrer.PathChat || r.URL.Path == inferrer.PathCompletion || strings.HasSuffix(r.URL.Path, "/resume"))
}

// spoiledWriter applies a fault to an answer whose chunks are written one a
// call.
type spoiledWriter struct {
	http.ResponseWriter
	ctx    context.Context
	faults AnswerFaults
	left   int
	gone   bool
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *spoiledWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *spoiledWriter) Write(b []byte) (int, error) {
	w.spoilHeader()
	if w.faults.Fault == AnswerNoMark && string(b) == lastMark {
		panic(http.ErrAbortHandler)
	}
	if w.left > 0 {
		w.left--
		return w.ResponseWriter.Write(b)
	}
	if _, err := w.ResponseWriter.Write(w.spoil(b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (w *spoiledWriter) spoilHeader() {
	switch w.faults.Fault {
	case AnswerCrossed:
		w.Header().Set(inferrer.HeaderRequest, "another")
	case AnswerLate:
		w.Header().Set(inferrer.HeaderAttempt, "0")
	}
}

// spoil returns what is sent in place of a chunk.
func (w *spoiledWriter) spoil(b []byte) []byte {
	switch w.faults.Fault {
	case AnswerForeign:
		return bytes.Replace(b, []byte(`"id":"`), []byte(`"id":"other-`), 1)
	case AnswerDoubled:
		return append(bytes.Clone(b), b...)
	case AnswerGap:
		if !w.gone {
			w.gone = true
			return nil
		}
	case AnswerGarbled:
		return []byte("data: {\"id\":\n\n")
	case AnswerShort:
		return []byte(lastMark)
	case AnswerCut:
		// The part that was sent must reach the caller before the end.
		_, _ = w.ResponseWriter.Write(b[:len(b)/2])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	case AnswerSilent:
		<-w.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	return b
}

// writeEnd writes the usage, if the request asks for it, and the end mark.
func writeEnd(w http.ResponseWriter, id string, p inferrer.Prompt, n int) {
	if p.StreamOptions.IncludeUsage {
		u := inferrer.Usage{PromptTokens: inferrer.Tokens(p.Text()), CompletionTokens: n}
		u.TotalTokens = u.PromptTokens + u.CompletionTokens
		c := inferrer.Chunk{ID: id, Object: "chat.completion.chunk", Model: p.Model, Token: n, Choices: []inferrer.Choice{}, Usage: &u}
		if writeChunk(w, c) != nil {
			return
		}
	}
	fmt.Fprint(w, lastMark)
}
