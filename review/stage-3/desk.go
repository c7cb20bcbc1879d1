package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// statusBroken stands for an answer that is broken off.
	statusBroken = 0
	// brokenAnswers says that every third answer is broken off, a share of 0.33.
	brokenAnswers = 3
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
	// breakLoad is the number of orders a second above which every third answer is broken off; 0 for none. breakStatus
	// answers with status 500 in place of that.
	breakLoad   int
	breakStatus bool
}

// startDesk starts a desk and registers it.
func (s *stage) startDesk(id, service, version string, slots int) (*desk, error) {
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
		"service": service, "address": ln.Addr().String(), "zone": endpointZone, "version": version, "slots": slots, "state": "ready",
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
	if status == statusBroken {
		breakOff(w, id)
		return
	}
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
	if d.breakLoad > 0 && d.isLoaded(time.Now()) {
		if d.count++; d.count%brokenAnswers == 0 {
			status = statusBroken
			if d.breakStatus {
				status = http.StatusInternalServerError
			}
		}
	}
	d.runs = append(d.runs, deskRun{desk: d.id, id: id, order: order, at: time.Now(), status: status})
	return status
}

// isLoaded reports whether more than breakLoad orders came within the last second. The caller holds d.mu.
func (d *desk) isLoaded(now time.Time) bool {
	n := len(d.runs) - d.breakLoad
	return n >= 0 && now.Sub(d.runs[n].at) < time.Second
}

// setBreaks lets every third answer be broken off, or fail with status 500, above a number of orders a second.
func (d *desk) setBreaks(load int, status bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breakLoad, d.breakStatus = load, status
}

// breakOff sends the head of an answer and a part of its body, and closes the connection.
func breakOff(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	// A failed write means that the daemon has closed the connection.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPomelotiller-Attempt-Id: %s\r\nContent-Length: 20\r\n\r\norder", id)
}

// allRuns returns a copy of the runs.
func (d *desk) allRuns() []deskRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]deskRun(nil), d.runs...)
}

// sortRuns sorts runs by their times.
func sortRuns(runs []deskRun) {
	slices.SortFunc(runs, func(a, b deskRun) int { return a.at.Compare(b.at) })
}
