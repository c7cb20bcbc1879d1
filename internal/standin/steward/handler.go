package steward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxPageItems is the maximum number of items of one page.
	maxPageItems = 500
	// leaseCheckInterval is the time after which a waiting watch looks for lapsed leases.
	leaseCheckInterval = 20 * time.Millisecond
)

// Handler serves the store, and the API for usage reports and scale orders.
func (s *Steward) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /pomelotiller/kv-key", s.withFault(s.serveKey))
	mux.HandleFunc("GET /pomelotiller/kv-range", s.withFault(s.servePage))
	mux.HandleFunc("GET /pomelotiller/kv-watch", s.withFault(s.serveWatch))
	mux.HandleFunc("POST /pomelotiller/kv-txn", s.withFault(s.serveTransaction))
	mux.HandleFunc("POST /pomelotiller/kv-lease", s.withFault(s.serveGrant))
	mux.HandleFunc("POST /pomelotiller/kv-keep/{id}", s.withFault(s.serveRenew))
	mux.HandleFunc("DELETE /pomelotiller/kv-lease-end/{id}", s.withFault(s.serveRevoke))
	mux.HandleFunc("POST /usage", s.serveUsage)
	mux.HandleFunc("POST /scale", s.serveScale)
	return mux
}

// storeAnswer is the JSON body of every answer of the store, and of the request for a
// lease.
type storeAnswer struct {
	Item
	Entries  []Item `json:"entries,omitempty"`
	Events   []Item `json:"events,omitempty"`
	More     bool   `json:"more_pages"`
	Current  uint64 `json:"current_rev"`
	Revision uint64 `json:"revision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	TTL      int64  `json:"ttl_ms,omitempty"`
}

// withFault returns a handler that applies the store's fault to a call of f and writes
// the answer.
func (s *Steward) withFault(f func(r *http.Request) (int, storeAnswer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.expireLeases(time.Now())
		s.mu.Unlock()
		switch fault {
		case FaultBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case FaultNoAnswer:
			// The server detects that the caller has disconnected only after the body
			// has been read. An incomplete body does not matter here.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		status, b := f(r)
		w.Header().Set("Store-Era", s.formatEra())
		if fault == FaultLoseAnswer {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, status, b)
	}
}

func (s *Steward) formatEra() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.era, 10)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has disconnected, so the error has no receiver.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Steward) serveKey(r *http.Request) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, storeAnswer{Current: s.revision}
	}
	return http.StatusOK, storeAnswer{Item: i, Revision: i.Revision, Lease: i.Lease, Current: s.revision}
}

func (s *Steward) servePage(r *http.Request) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := s.itemsBelow(q.Get("prefix"), q.Get("after"))
	more := len(items) > maxPageItems
	if more {
		items = items[:maxPageItems]
	}
	return http.StatusOK, storeAnswer{Entries: items, More: more, Current: s.revision}
}

func (s *Steward) serveWatch(r *http.Request) (int, storeAnswer) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		status, b, changed := s.changesSince(q.Get("prefix"), from)
		if status != http.StatusOK || len(b.Events) > 0 {
			return status, b
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-end:
			return status, b
		case <-r.Context().Done():
			return status, b
		}
	}
}

// changesSince returns the changes below a prefix after a revision, and a channel that
// closes at the next change. It returns 410 if the history no longer contains them.
func (s *Steward) changesSince(prefix string, from uint64) (int, storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	if from < s.compactedRevision || from > s.revision {
		return http.StatusGone, storeAnswer{Current: s.revision}, s.changed
	}
	b := storeAnswer{Current: s.revision}
	for _, i := range s.history {
		if i.Revision > from && strings.HasPrefix(i.Key, prefix) {
			b.Events = append(b.Events, i)
		}
	}
	return http.StatusOK, b, s.changed
}

// transaction is the JSON form of writes that apply only if all expected revisions match.
type transaction struct {
	Expected []Item   `json:"expected_revision"`
	Set      []Item   `json:"set_keys"`
	Remove   []string `json:"remove"`
}

func (s *Steward) serveTransaction(r *http.Request) (int, storeAnswer) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := storeAnswer{Current: s.revision}
	failed := false
	for _, e := range t.Expected {
		current, ok := s.items[e.Key]
		if !ok {
			current = Item{Key: e.Key}
		}
		b.Entries = append(b.Entries, current)
		failed = failed || current.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, b
	}
	for _, i := range t.Set {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			return http.StatusForbidden, storeAnswer{}
		}
		if i.Lease > 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound, storeAnswer{}
		}
	}
	for _, i := range t.Set {
		s.setItem(i)
	}
	for _, key := range t.Remove {
		s.removeItem(key)
	}
	return http.StatusOK, storeAnswer{Revision: s.revision, Current: s.revision}
}

func (s *Steward) serveGrant(r *http.Request) (int, storeAnswer) {
	var in storeAnswer
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, storeAnswer{Lease: s.revision, TTL: in.TTL}
}

func (s *Steward) serveRenew(r *http.Request) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseID(r)]
	if l == nil {
		return http.StatusNotFound, storeAnswer{}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return http.StatusOK, storeAnswer{TTL: l.ttl.Milliseconds()}
}

func (s *Steward) serveRevoke(r *http.Request) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(leaseID(r))
	return http.StatusOK, storeAnswer{}
}

// leaseID returns the ID of the lease in the path, or 0, which is never the ID of a
// lease.
func leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Steward) serveUsage(w http.ResponseWriter, r *http.Request) {
	var rep Report
	if err := json.NewDecoder(r.Body).Decode(&rep); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rep.Holder, rep.Fence = fencingHeaders(r)
	w.WriteHeader(s.applyFenced("usage", rep.Fence, func() { s.reports = append(s.reports, rep) }))
}

func (s *Steward) serveScale(w http.ResponseWriter, r *http.Request) {
	var o Scale
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Holder, o.Fence = fencingHeaders(r)
	w.WriteHeader(s.applyFenced("scale/"+o.Service+"/"+o.Zone, o.Fence, func() { s.scaleOrders = append(s.scaleOrders, o) }))
}

// fencingHeaders returns the holder of the duty and the fencing token in the header.
func fencingHeaders(r *http.Request) (string, uint64) {
	n, err := strconv.ParseUint(r.Header.Get("Pomelotiller-Fencing-Token"), 10, 64)
	if err != nil {
		return r.Header.Get("Pomelotiller-Duty-Holder"), 0
	}
	return r.Header.Get("Pomelotiller-Duty-Holder"), n
}

// applyFenced calls f, unless the fencing token is older than the newest one seen for
// the subject, and returns the HTTP status.
func (s *Steward) applyFenced(subject string, fence uint64, f func()) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.highestFences[subject] {
		return http.StatusConflict
	}
	s.highestFences[subject] = fence
	f()
	return http.StatusOK
}
