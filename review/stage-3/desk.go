package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// deskRun is one run of an order at a desk.
type deskRun struct {
	desk, id, order string
	at              time.Time
	status          int
}

// desk is an endpoint of a plain service: it carries out orders.
type desk struct {
	id     string
	server *http.Server

	mu   sync.Mutex
	runs []deskRun
	// failEvery says that every n-th order fails after it was carried out; 0 if none does.
	failEvery, count int
}

// startDesk starts a desk and registers it.
func (s *stage) startDesk(id, service string) (*desk, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("desk: %w", err)
	}
	d := &desk{id: id}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: readyTimeout}
	go func() {
		// It ends with the process.
		_ = d.server.Serve(ln)
	}()
	return d, s.put("servers/"+id, map[string]any{
		"service": service, "address": ln.Addr().String(), "zone": endpointZone, "version": release, "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// setFailures lets every n-th order fail after it was carried out; none if n is 0.
func (d *desk) setFailures(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failEvery, d.count = n, 0
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Pomelotiller-Attempt-Id")
	order, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Pomelotiller-Attempt-Id", id)
	if r.Header.Get("Pomelotiller-Expect-Instance") != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := d.run(id, string(order))
	time.Sleep(deskWork)
	w.Header().Set("Pomelotiller-Response-Seal", "seal-"+d.id+"-"+id)
	w.WriteHeader(status)
	// A failed write means that the daemon has closed the connection.
	_, _ = fmt.Fprintf(w, "order %s: %d", order, status)
}

// run carries out an order and returns the status of its answer.
func (d *desk) run(id, order string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := http.StatusOK
	if d.failEvery > 0 {
		if d.count++; d.count%d.failEvery == 0 {
			status = http.StatusServiceUnavailable
		}
	}
	d.runs = append(d.runs, deskRun{desk: d.id, id: id, order: order, at: time.Now(), status: status})
	return status
}

// allRuns returns a copy of the runs.
func (d *desk) allRuns() []deskRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]deskRun(nil), d.runs...)
}
