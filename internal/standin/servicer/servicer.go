// Package servicer is a small stand-in for a plain service whose calls must not
// be repeated. It counts the runs of each idempotency key without ever
// suppressing one, so that a test sees every repeated run.
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
	// Status makes the service answer status look-ups.
	Status bool `yaml:"status"`
	// Delay is the time that a run takes.
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

// Servicer is one service. All methods are safe for concurrent use.
type Servicer struct {
	cfg     Config
	mu      sync.Mutex
	runs    map[string]int
	answers map[string][]byte
}

// New returns a service.
func New(cfg Config) *Servicer {
	return &Servicer{cfg: cfg, runs: make(map[string]int), answers: make(map[string][]byte)}
}

// Runs returns the number of runs of each key.
func (s *Servicer) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler serves every path as a run, GET /status/{key} as a status look-up
// where configured, and GET /runs for tests.
func (s *Servicer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Runs()) })
	r.Get("/status/{key}", s.serveStatus)
	r.NotFound(s.serveRun)
	r.MethodNotAllowed(s.serveRun)
	return r
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone; there is nobody to tell.
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
		reply(w, Status{State: "done", Answer: s.answers[key]})
	case s.runs[key] > 0:
		reply(w, Status{State: "running"})
	default:
		reply(w, Status{State: "absent"})
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
	// A failed write means that the caller is gone; the run stands all the same.
	_, _ = w.Write(b)
}
