package keeper

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/fetcher"
)

// weightBytes is the size of all weights of the stand-in.
const weightBytes = 1 << 30

// WeightRate limits the loads that the weight store lets begin.
type WeightRate struct {
	// Every is the least time between two loads; 0 is no limit.
	Every time.Duration `json:"every"`
}

// WeightCalls counts the calls of the weight store.
type WeightCalls struct {
	Begun   int `json:"begun"`
	Refused int `json:"refused"`
}

// weights is the weight store. Its zero value has no limit.
type weights struct {
	mu    sync.Mutex
	rate  WeightRate
	last  time.Time
	calls WeightCalls
}

func (s *weights) routes(r chi.Router) {
	r.Get("/weights/*", s.serve)
	r.Put("/weight-rate", s.serveRate)
	r.Get("/weight-calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, s.calls)
	})
}

// begin lets a load begin, or returns how long it must wait.
func (s *weights) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait := s.rate.Every - now.Sub(s.last); wait > 0 {
		s.calls.Refused++
		return wait
	}
	s.calls.Begun++
	s.last = now
	return 0
}

func (s *weights) serve(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wait := s.begin(); wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		http.Error(w, "rate used up", http.StatusTooManyRequests)
		return
	}
	reply(w, http.StatusOK, fetcher.Weights{Name: name, Bytes: weightBytes})
}

func (s *weights) serveRate(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.rate); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetWeightRate replaces the rate in force.
func (k *Keeper) SetWeightRate(r WeightRate) {
	k.weights.mu.Lock()
	defer k.weights.mu.Unlock()
	k.weights.rate = r
}
