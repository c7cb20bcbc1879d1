package keeper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/remote/storer"
)

// leaseCheckInterval is the time after which a waiting watch looks for lapsed leases.
const leaseCheckInterval = 100 * time.Millisecond

// Handler serves the platform's interfaces, and the paths /faults, /calls, /save,
// /clear and /restore by which tests control and inspect the platform.
func (k *Keeper) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(k.withFaults)
		r.Get("/kv", k.serveGet)
		r.Post("/kv", k.serveSwap)
		r.Get("/list", k.serveList)
		r.Get("/watch", k.serveWatch)
		r.Post("/leases", k.serveGrant)
		r.Post("/leases/{id}/renew", k.serveRenew)
		r.Delete("/leases/{id}", k.serveRevoke)
	})
	r.Get("/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, k.Hosts()) })
	r.Put("/hosts", k.serveSetHost)
	r.Delete("/hosts/{name}", func(_ http.ResponseWriter, r *http.Request) { k.RemoveHost(chi.URLParam(r, "name")) })
	k.weightStore.addRoutes(r)
	k.Cloud.Routes(r)
	r.Put("/faults", k.serveFaults)
	r.Get("/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, k.Calls()) })
	r.Post("/save", func(http.ResponseWriter, *http.Request) { k.Save() })
	r.Post("/clear", func(http.ResponseWriter, *http.Request) { k.Clear() })
	r.Post("/restore", func(http.ResponseWriter, *http.Request) { k.Restore() })
	return r
}

// withFaults applies the current faults Delay and Down before next serves a call.
func (k *Keeper) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		f := k.faults
		k.mu.Unlock()
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.Down {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (k *Keeper) serveGet(w http.ResponseWriter, r *http.Request) {
	e, ok := k.get(r.URL.Query().Get("key"))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (k *Keeper) serveSwap(w http.ResponseWriter, r *http.Request) {
	var wr storer.Write
	if err := json.NewDecoder(r.Body).Decode(&wr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, outcome := k.swap(wr)
	if outcome == swapApplied && k.consumeAnswerLoss(wr.Key) {
		panic(http.ErrAbortHandler)
	}
	switch outcome {
	case swapConflict:
		writeJSON(w, http.StatusConflict, e)
	case swapLeaseLapsed:
		http.Error(w, "lease lapsed", http.StatusGone)
	default:
		writeJSON(w, http.StatusOK, e)
	}
}

// consumeAnswerLoss reports whether the answer to a write of a key must be lost, and counts it.
func (k *Keeper) consumeAnswerLoss(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.LoseAnswers == 0 || !strings.HasPrefix(key, k.faults.LosePrefix) {
		return false
	}
	k.faults.LoseAnswers--
	k.faults.Down = k.faults.Down || k.faults.DownAfterLoss
	return true
}

func (k *Keeper) serveList(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, k.list(r.URL.Query().Get("prefix")))
}

func (k *Keeper) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	k.countWatch(1)
	defer k.countWatch(-1)
	end := time.After(wait)
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		p, changed := k.watch(q.Get("prefix"), from)
		if len(p.Entries) > 0 {
			writeJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-end:
			writeJSON(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (k *Keeper) countWatch(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls.Waiting += n
	if n > 0 {
		k.calls.Watches++
	}
}

func (k *Keeper) serveGrant(w http.ResponseWriter, r *http.Request) {
	var l storer.Lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil || l.TTL <= 0 || l.ID == "" {
		http.Error(w, "lease needs id and ttl", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, k.grant(l.ID, l.TTL))
}

func (k *Keeper) serveRenew(w http.ResponseWriter, r *http.Request) {
	if !k.renew(chi.URLParam(r, "id")) {
		http.Error(w, "lease lapsed", http.StatusNotFound)
	}
}

func (k *Keeper) serveRevoke(_ http.ResponseWriter, r *http.Request) {
	k.revoke(chi.URLParam(r, "id"))
}

func (k *Keeper) serveSetHost(w http.ResponseWriter, r *http.Request) {
	var h lister.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetHost(h)
}

func (k *Keeper) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has disconnected, so the error has no receiver.
	_ = json.NewEncoder(w).Encode(v)
}
