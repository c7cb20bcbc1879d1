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

// AnswerFault is a kind of fault in the answer to one attempt.
type AnswerFault string

const (
	// AnswerCrossed returns the ID of another request in the header.
	AnswerCrossed AnswerFault = "crossed"
	// AnswerLate returns the number of an earlier attempt in the header.
	AnswerLate AnswerFault = "late"
	// AnswerForeign continues with chunks of another request.
	AnswerForeign AnswerFault = "foreign"
	// AnswerDoubled sends each chunk twice.
	AnswerDoubled AnswerFault = "doubled"
	// AnswerGap omits one token.
	AnswerGap AnswerFault = "gap"
	// AnswerCut closes the connection in the middle of a chunk.
	AnswerCut AnswerFault = "cut"
	// AnswerGarbled sends a chunk that is not JSON.
	AnswerGarbled AnswerFault = "garbled"
	// AnswerShort sends the end mark without a finish reason before it.
	AnswerShort AnswerFault = "short"
	// AnswerNoMark closes the connection instead of sending the end mark.
	AnswerNoMark AnswerFault = "nomark"
	// AnswerStalled stops sending and keeps the connection open.
	AnswerStalled AnswerFault = "silent"
	// AnswerRefused answers with an HTTP error status and no stream.
	AnswerRefused AnswerFault = "refused"
)

// endMark is the last event of a complete stream.
const endMark = "data: [DONE]\n\n"

// AnswerFaults selects the fault of the next answers.
type AnswerFaults struct {
	Fault AnswerFault `json:"fault"`
	// After is the number of chunks that are sent before the fault.
	After int `json:"after"`
	// Count is the number of answers with the fault; 0 means all.
	Count int `json:"count"`
	// Status is the HTTP status of AnswerRefused.
	Status int `json:"status"`
}

// answerFaultSource holds the configured fault and the number of answers left that
// meet it.
type answerFaultSource struct {
	mu     sync.Mutex
	faults AnswerFaults
}

// SetAnswerFaults replaces the fault of the next answers.
func (g *Generator) SetAnswerFaults(f AnswerFaults) {
	g.answerFaults.mu.Lock()
	defer g.answerFaults.mu.Unlock()
	g.answerFaults.faults = f
}

// takeFault returns the fault of one answer and decrements the count of a fault
// that is limited.
func (a *answerFaultSource) takeFault() AnswerFaults {
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

// withAnswerFaults serves PUT /answers, which sets the AnswerFaults, and applies
// them to the completions that next serves.
func (g *Generator) withAnswerFaults(next http.Handler) http.Handler {
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
			f := g.answerFaults.takeFault()
			if f.Fault == AnswerRefused {
				http.Error(w, http.StatusText(f.Status), f.Status)
				return
			}
			if f.Fault != "" {
				w = &faultyWriter{ResponseWriter: w, ctx: r.Context(), faults: f, chunksBeforeFault: f.After}
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

// faultyWriter applies a fault to an answer. Each call of Write must have one
// complete chunk.
type faultyWriter struct {
	http.ResponseWriter
	ctx               context.Context
	faults            AnswerFaults
	chunksBeforeFault int
	isTokenDropped    bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(b []byte) (int, error) {
	w.applyHeaderFault()
	if w.faults.Fault == AnswerNoMark && string(b) == endMark {
		panic(http.ErrAbortHandler)
	}
	if w.chunksBeforeFault > 0 {
		w.chunksBeforeFault--
		return w.ResponseWriter.Write(b)
	}
	if _, err := w.ResponseWriter.Write(w.applyFault(b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (w *faultyWriter) applyHeaderFault() {
	switch w.faults.Fault {
	case AnswerCrossed:
		w.Header().Set(inferrer.HeaderRequest, "another")
	case AnswerLate:
		w.Header().Set(inferrer.HeaderAttempt, "0")
	}
}

// applyFault returns the bytes that replace a chunk. It panics with
// http.ErrAbortHandler to close the connection.
func (w *faultyWriter) applyFault(b []byte) []byte {
	switch w.faults.Fault {
	case AnswerForeign:
		return bytes.Replace(b, []byte(`"id":"`), []byte(`"id":"other-`), 1)
	case AnswerDoubled:
		return append(bytes.Clone(b), b...)
	case AnswerGap:
		if !w.isTokenDropped {
			w.isTokenDropped = true
			return nil
		}
	case AnswerGarbled:
		return []byte("data: {\"id\":\n\n")
	case AnswerShort:
		return []byte(endMark)
	case AnswerCut:
		// Flush, so that the caller receives half of the chunk before the connection
		// closes.
		_, _ = w.ResponseWriter.Write(b[:len(b)/2])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	case AnswerStalled:
		<-w.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	return b
}

// writeEnd writes a chunk with the usage, if the request asks for it, and the end
// mark.
func writeEnd(w http.ResponseWriter, id string, p inferrer.Prompt, n int) {
	if p.StreamOptions.IncludeUsage {
		u := inferrer.Usage{PromptTokens: inferrer.Tokens(p.Text()), CompletionTokens: n}
		u.TotalTokens = u.PromptTokens + u.CompletionTokens
		c := inferrer.Chunk{ID: id, Object: "chat.completion.chunk", Model: p.Model, Token: n, Choices: []inferrer.Choice{}, Usage: &u}
		if writeChunk(w, c) != nil {
			return
		}
	}
	fmt.Fprint(w, endMark)
}
