// Package servicer simulates a plain service whose calls must not be repeated. It
// counts the runs of each idempotency key and never suppresses a repeated one, so
// that a test detects it.
package servicer

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/inferrer"
)

// Config configures a service.
type Config struct {
	// Status enables status look-ups; otherwise they are answered with 404.
	Status bool `yaml:"status"`
	// Delay is the duration of a run.
	Delay time.Duration `yaml:"delay"`
}

// Answer is the answer to one run.
type Answer struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	Body string `json:"body"`
	Run  int    `json:"run"`
}

// Status is the answer to a status look-up.
type Status struct {
	// State is "done", "running" or "absent".
	State  string `json:"state"`
	Answer []byte `json:"answer,omitempty"`
}

// Servicer is one simulated service. All methods are safe for concurrent use.
type Servicer struct {
	cfg     Config
	mu      sync.Mutex
	runs    map[string]int
	answers map[string][]byte
}

// New returns a service without runs.
func New(cfg Config) *Servicer {
	return &Servicer{cfg: cfg, runs: make(map[string]int), answers: make(map[string][]byte)}
}

// Runs returns the number of runs of each idempotency key.
func (s *Servicer) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler serves GET /status/{key} as a status look-up if configured, and GET /runs
// for tests. A request for any other path is a run.
func (s *Servicer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	r.Get("/status/{key}", s.serveStatus)
	r.NotFound(s.serveRun)
	r.MethodNotAllowed(s.serveRun)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected, so the error has no receiver.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Servicer) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !s.cfg.Status {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := chi.URLParam(r, "key")
	switch {
	case s.answers[key] != nil:
		writeJSON(w, Status{State: "done", Answer: s.answers[key]})
	case s.runs[key] > 0:
		writeJSON(w, Status{State: "running"})
	default:
		writeJSON(w, Status{State: "absent"})
	}
}

func (s *Servicer) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.cfg.Delay)
	b, err := json.Marshal(Answer{Key: key, Path: r.URL.Path, Body: strings.TrimSpace(string(body)), Run: n})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.answers[key] = b
	s.mu.Unlock()
	w.Header().Set(inferrer.HeaderRequest, r.Header.Get(inferrer.HeaderRequest))
	w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected; the run counts nevertheless.
	_, _ = w.Write(b)
}
