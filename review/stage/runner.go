package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behaviour is how a runner works on a request.
type behaviour struct {
	// events is the length of a stream, 0 for a plain answer, and work the time before the answer or each event.
	events int
	work   time.Duration
}

// runner is a stand-in of a runner: it answers sealed, at most slots requests at a time, and resumes streams.
type runner struct {
	s                          *stage
	id, service, zone, address string
	slots                      int
	born                       int64

	mu       sync.Mutex
	sequence int
	active   int
	runs     []run
	// memoryFreeAt is when there is memory again for streams that are preempted.
	memoryFreeAt time.Time
}

// run is one run of a request.
type run struct {
	id, tenant, result string
	from, to           time.Time
	// last is the event after which a resumed stream went on.
	last int
}

func newRunner(s *stage, id, service, zone, address string, slots int) *runner {
	return &runner{s: s, id: id, service: service, zone: zone, address: address, slots: slots, born: time.Now().UnixMilli()}
}

// announce writes the runner's entry to the store.
func (r *runner) announce() {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	b, err := json.Marshal(entry)
	if err != nil {
		r.s.note("entry of %s: %v", r.id, err)
		return
	}
	r.s.steward.Put("servers/"+r.id, b)
}

// preempt takes the memory of all running streams for a time, as more urgent requests do.
func (r *runner) preempt(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memoryFreeAt = time.Now().Add(d)
}

// awaitMemory waits while the stream is preempted. It returns false if the caller leaves meanwhile.
func (r *runner) awaitMemory(ctx context.Context) bool {
	for {
		r.mu.Lock()
		left := time.Until(r.memoryFreeAt)
		r.mu.Unlock()
		if left <= 0 {
			return true
		}
		if !sleep(ctx, left) {
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Pomelotiller-Attempt-Id")
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Pomelotiller-Instance-Id", r.id)
	if id != "" {
		h.Set("Pomelotiller-Attempt-Id", id)
	}
	if want := req.Header.Get("Pomelotiller-Expect-Instance"); want != "" && want != r.id {
		h.Set("Pomelotiller-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	n, ok := r.begin(id, req)
	if !ok {
		h.Set("Pomelotiller-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("Pomelotiller-Response-Seal", seal(r.id, id))
	result := r.work(w, req, parseBehaviour(string(body)))
	r.end(n, result)
}

// seal is the proof of an answer.
func seal(runner, id string) string { return runner + "." + id }

// parseBehaviour reads what the body of a request asks for: "EVENTS MILLISECONDS".
func parseBehaviour(body string) behaviour {
	var b behaviour
	var ms int
	if n, err := fmt.Sscan(body, &b.events, &ms); n == 2 && err == nil {
		b.work = time.Duration(ms) * time.Millisecond
	}
	return b
}

// begin records the begin of a run, if there is a slot.
func (r *runner) begin(id string, req *http.Request) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.slots {
		return 0, false
	}
	r.active++
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	r.runs = append(r.runs, run{id: id, tenant: req.Header.Get("Pomelotiller-Tenant"), from: time.Now(), last: last})
	return len(r.runs) - 1, true
}

func (r *runner) end(n int, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	r.runs[n].to, r.runs[n].result = time.Now(), result
}

// work answers a request and returns how its run ended.
func (r *runner) work(w http.ResponseWriter, req *http.Request, b behaviour) string {
	if b.events == 0 {
		if !sleep(req.Context(), b.work) {
			return "caller left"
		}
		if _, err := io.WriteString(w, plainBody); err != nil {
			return "caller left"
		}
		return "complete"
	}
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= b.events; n++ {
		if !sleep(req.Context(), b.work) || !r.awaitMemory(req.Context()) {
			return fmt.Sprintf("caller left after event %d", n-1)
		}
		if _, err := io.WriteString(w, event(n)); err != nil {
			return fmt.Sprintf("caller left after event %d", n-1)
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return fmt.Sprintf("caller left after event %d", n)
		}
	}
	return "complete"
}

// plainBody is the body of a plain answer.
const plainBody = "done"

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// streamBody returns the whole body of a stream.
func streamBody(events int) string {
	var b strings.Builder
	for n := range events {
		b.WriteString(event(n + 1))
	}
	return b.String()
}

// runsOf returns the runs of each request at all runners.
func (s *stage) runsOf() map[string][]string {
	out := make(map[string][]string)
	for _, r := range s.runners {
		r.mu.Lock()
		for _, n := range r.runs {
			from, result := n.from.Sub(s.start).Seconds(), n.result
			if result == "" {
				result = "still at work"
			}
			out[n.id] = append(out[n.id], fmt.Sprintf("%s from %.3f (after event %d): %s at %.3f", r.id, from, n.last, result, n.to.Sub(s.start).Seconds()))
		}
		r.mu.Unlock()
	}
	return out
}
