package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eventGap is the time in which an engine makes one event, and streamEvents the number of events of a stream.
	eventGap     = 40 * time.Millisecond
	streamEvents = 30
	// eventsBeforePause is the number of events that an engine makes before it pauses within a stream.
	eventsBeforePause = 3
)

// engineRun is one run of a request at an engine, from the first token to the last or to the write that found the
// connection closed.
type engineRun struct {
	engine, id string
	// from is the id of the last event that the caller has; 0 if the run is no continuation.
	from       int
	begin, end time.Time
	// events is the number of events that the run made, and sawClose says that it found its connection closed.
	events   int
	sawClose bool
}

// engine is a model engine that answers with a stream of events. It notices that its connection was closed only when
// it writes to it.
type engine struct {
	id     string
	server *http.Server

	mu   sync.Mutex
	runs []*engineRun
	// pause is how long a run without events of an earlier one pauses; every pauseEvery-th does so.
	pause      time.Duration
	pauseEvery int
	begun      int
}

// startEngine starts an engine of a service and registers it.
func (s *stage) startEngine(id, service string) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &engine{id: id}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: readyTimeout}
	go func() {
		// It ends with the process.
		_ = e.server.Serve(ln)
	}()
	return e, s.put("servers/"+id, map[string]any{
		"service": service, "address": ln.Addr().String(), "zone": endpointZone, "version": release, "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// setPause lets every n-th new run pause, or none if the pause is 0.
func (e *engine) setPause(d time.Duration, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause, e.pauseEvery, e.begun = d, n, 0
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Pomelotiller-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Pomelotiller-Attempt-Id", id)
	if r.Header.Get("Pomelotiller-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Pomelotiller-Weight-Versions", "1")
	w.Header().Set("Pomelotiller-Response-Seal", "seal-"+e.id+"-"+id)
	run, pause := e.beginRun(id, from)
	for n := from + 1; n <= streamEvents; n++ {
		if n == from+1+eventsBeforePause {
			time.Sleep(pause)
		}
		time.Sleep(eventGap)
		e.endRun(run, n-from, false)
		_, werr := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if ferr := http.NewResponseController(w).Flush(); werr != nil || ferr != nil {
			e.endRun(run, n-from, true)
			return
		}
	}
}

// beginRun records a run that begins, and returns how long it pauses.
func (e *engine) beginRun(id string, from int) (*engineRun, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	run := &engineRun{engine: e.id, id: id, from: from, begin: now, end: now}
	e.runs = append(e.runs, run)
	if from > 0 || e.pause == 0 {
		return run, 0
	}
	e.begun++
	if e.begun%e.pauseEvery != 0 {
		return run, 0
	}
	return run, e.pause
}

// endRun records how far a run is.
func (e *engine) endRun(run *engineRun, events int, sawClose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.end, run.events, run.sawClose = time.Now(), events, sawClose
}

// finishedRuns returns copies of all runs.
func (e *engine) finishedRuns() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engineRun
	for _, r := range e.runs {
		out = append(out, *r)
	}
	return out
}
