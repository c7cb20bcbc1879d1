package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/inferrer"
)

// slowdownFactor is the factor by which FaultSlow delays tokens.
const slowdownFactor = 20

// Handler serves the engine's protocol, and the paths /leaving, /served, /totals,
// /answers and /transfers by which tests control and inspect the engine.
func (g *Generator) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(inferrer.PathChat, g.serveCompletion)
	r.Post(inferrer.PathCompletion, g.serveCompletion)
	r.Post("/requests/{id}/resume", g.serveCompletion)
	r.Post("/requests/{id}/cancel", g.serveCancel)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Load()) })
	r.Get("/events", g.serveEvents)
	r.Get("/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Totals()) })
	r.Post("/orders", g.serveOrder)
	r.Put("/leaving", func(http.ResponseWriter, *http.Request) { g.SetLeaving(true) })
	r.Get("/served", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Served()) })
	return g.withAnswerFaults(g.withTransfer(r))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected, so the error has no receiver.
	_ = json.NewEncoder(w).Encode(v)
}

func (g *Generator) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, g.Events(from))
}

func (g *Generator) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o inferrer.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.applyOrder(o); errors.Is(err, inferrer.ErrFenced) {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	}
}

func (g *Generator) serveCancel(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	cancel := g.cancels[chi.URLParam(r, "id")]
	g.mu.Unlock()
	if cancel == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	cancel()
}

func (g *Generator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var p inferrer.Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil && r.URL.Query().Has("from") {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := r.Header.Get(inferrer.HeaderRequest)
	if status := g.beginRequest(id, p.Model, cancel); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer g.endRequest(id)
	w.Header().Set(inferrer.HeaderRequest, id)
	w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	g.streamAnswer(ctx, w, id, p, from, priorityByClass[r.Header.Get(inferrer.HeaderPriority)])
}

// beginRequest registers a request and returns http.StatusOK, or the status with
// which the engine refuses it.
func (g *Generator) beginRequest(id, version string, cancel func()) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return http.StatusServiceUnavailable
	case !g.versions[version]:
		return http.StatusNotFound
	}
	g.startedByVersion[version]++
	if g.cfg.Faulty[version] == FaultErrors {
		return http.StatusInternalServerError
	}
	g.cancels[id] = cancel
	return http.StatusOK
}

func (g *Generator) endRequest(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, id)
}

// priorityByClass maps a priority class to the priority of a job; an unknown class
// has priority 0, like the normal one.
var priorityByClass = map[string]int{"high": 1, "low": -1}

func (g *Generator) streamAnswer(ctx context.Context, w http.ResponseWriter, id string, p inferrer.Prompt, from, priority int) {
	n := p.MaxTokens
	if n == 0 {
		n = g.cfg.MaxTokens
	}
	wait, stepsPerToken := g.cfg.FirstToken, 1
	switch g.cfg.Faulty[p.Model] {
	case FaultSlow:
		wait, stepsPerToken = wait*slowdownFactor, slowdownFactor
	case FaultShort:
		n /= 2
	}
	if from < n && !g.streamTokens(ctx, w, id, p, from, n, priority, wait, stepsPerToken) {
		return
	}
	writeEnd(w, id, p, max(n, from))
}

// streamTokens writes the tokens with indices from up to n as the batch generates
// them, and reports whether it wrote all.
func (g *Generator) streamTokens(ctx context.Context, w http.ResponseWriter, id string, p inferrer.Prompt, from, n, priority int, wait time.Duration, stepsPerToken int) bool {
	if !sleepContext(ctx, wait) {
		return false
	}
	prompt := p.Text()
	tokens := make(chan int, n-from)
	j := &Job{
		ID: id, Priority: priority, Hashes: inferrer.BlockHashes(p.Model, prompt), PromptTokens: inferrer.Tokens(prompt),
		FirstToken: from, AnswerTokens: n, StepsPerToken: stepsPerToken, ImportedTokens: g.kvCaches.cachedTokens(id), Emit: func(n int) { tokens <- n },
	}
	if err := g.submitJob(j); err != nil {
		return false
	}
	defer g.withdrawJob(j)
	out := http.NewResponseController(w)
	for i := from; i < n; i++ {
		select {
		case <-ctx.Done():
			return false
		case <-tokens:
		}
		if err := writeChunk(w, newChunk(id, p, prompt, i, i == n-1)); err != nil {
			return false
		}
		if err := out.Flush(); err != nil {
			return false
		}
	}
	return true
}

// sleepContext waits and reports whether ctx is still active.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	}
}

func newChunk(id string, p inferrer.Prompt, prompt string, n int, last bool) inferrer.Chunk {
	c := inferrer.Choice{}
	if p.Prompt != "" {
		c.Text = Token(p.Model, prompt, n)
	} else {
		c.Delta = &inferrer.Message{Role: "assistant", Content: Token(p.Model, prompt, n)}
	}
	if last {
		reason := "stop"
		c.FinishReason = &reason
	}
	return inferrer.Chunk{
		ID: id, Object: "chat.completion.chunk", Created: time.Now().Unix(),
		Model: p.Model, Token: n, Choices: []inferrer.Choice{c},
	}
}

func writeChunk(w http.ResponseWriter, c inferrer.Chunk) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", b)
	return err
}
