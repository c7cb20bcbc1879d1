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

// reportedWeightBytes is the size that the weight store states for every model.
const reportedWeightBytes = 1 << 30

// WeightRate is the rate limit on loads of weights.
type WeightRate struct {
	// Every is the minimum time between the starts of two loads; 0 means no limit.
	Every time.Duration `json:"every"`
}

// WeightCalls counts the loads that the weight store began and refused.
type WeightCalls struct {
	Begun   int `json:"begun"`
	Refused int `json:"refused"`
}

// weightStore simulates the store of model weights. Its zero value has no rate limit.
type weightStore struct {
	mu            sync.Mutex
	rateLimit     WeightRate
	lastLoadStart time.Time
	calls         WeightCalls
}

func (s *weightStore) addRoutes(r chi.Router) {
	r.Get("/weights/*", s.serveWeights)
	r.Put("/weight-rate", s.serveRate)
	r.Get("/weight-calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, s.calls)
	})
}

// beginLoad admits a load and returns 0, or returns the time until the rate limit
// admits the next one.
func (s *weightStore) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait := s.rateLimit.Every - now.Sub(s.lastLoadStart); wait > 0 {
		s.calls.Refused++
		return wait
	}
	s.calls.Begun++
	s.lastLoadStart = now
	return 0
}

func (s *weightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wait := s.beginLoad(); wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		http.Error(w, "rate used up", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, http.StatusOK, fetcher.Weights{Name: name, Bytes: reportedWeightBytes})
}

func (s *weightStore) serveRate(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.rateLimit); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetWeightRate replaces the rate limit on loads of weights.
func (k *Keeper) SetWeightRate(r WeightRate) {
	k.weightStore.mu.Lock()
	defer k.weightStore.mu.Unlock()
	k.weightStore.rateLimit = r
}
