// Package responder simulates the users' endpoints for tests: plain services, and
// engines that answer with streams of events, over the users' HTTP protocol. Tests
// inject faults and read the recorded runs of requests.
package responder

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a kind of fault that one request meets at an endpoint. An endpoint "runs"
// a request once it has accepted and recorded it.
type Fault int

const (
	// FaultNone answers correctly.
	FaultNone Fault = iota
	// FaultRefuse answers 503 without running the request, as an endpoint without free
	// capacity does.
	FaultRefuse
	// FaultStalledRefusal is like FaultRefuse, and the body that the refusal announces never comes.
	FaultStalledRefusal
	// FaultError runs the request and answers 500.
	FaultError
	// FaultReset runs the request and resets the connection without an answer.
	FaultReset
	// FaultNoAnswer runs the request and never answers.
	FaultNoAnswer
	// FaultCut runs the request and closes the connection in the middle of the body.
	FaultCut
	// FaultForeign sends an answer to another request before its own.
	FaultForeign
	// FaultExtra sends a second answer after the first.
	FaultExtra
	// FaultUnframed answers without a length; the end of the connection ends the body.
	FaultUnframed
	// FaultUnframedReset answers without a length and resets the connection in the
	// middle of the body.
	FaultUnframedReset
	// FaultRepeatedRefusal runs the request and sends the refusal of another request before its
	// answer.
	FaultRepeatedRefusal
	// FaultUnnamedRefusal is like FaultRepeatedRefusal with a refusal that names no request.
	FaultUnnamedRefusal
	// FaultUnframedCut answers without a length and closes the connection in the middle of an event
	// of a stream.
	FaultUnframedCut
	// FaultUnframedKill answers without a length, and the endpoint ends in the middle of the body, between
	// two events of a stream: it closes its listener and all connections, as a killed process does.
	FaultUnframedKill
	// FaultUnframedEmpty answers with the header of a stream without a length, and closes the
	// connection before its first event.
	FaultUnframedEmpty
	// FaultEarly answers 413 before it has read the request body.
	FaultEarly
	// FaultSplit resets the connection in the middle of an event of a stream.
	FaultSplit
	// FaultEndlessHead sends header fields without end until the caller closes the
	// connection.
	FaultEndlessHead
	// FaultEndlessInterim sends interim answers without end.
	FaultEndlessInterim
	// FaultEndlessForeign sends an answer to another request without end.
	FaultEndlessForeign
	// FaultEndlessEvent sends one event of a stream without end.
	FaultEndlessEvent
	// FaultReject runs the request and answers 409 with a body.
	FaultReject
	// FaultOtherAnswer runs the request and answers 200 with a body that is not a stream.
	FaultOtherAnswer
	// FaultErrorInside sends a stream without a length, and in its middle a whole answer with status 500.
	FaultErrorInside
	// FaultWrongLength states a length that one more event than it sends has, and closes the connection
	// in the middle of the stream.
	FaultWrongLength
	// FaultRestart streams from the first event on, also to a caller that has some already.
	FaultRestart
	// FaultSkip leaves out the first event that a caller who resumes a stream does not have.
	FaultSkip
	// FaultHeadCut runs the request, sends Config.HeadBytes bytes of an answer's head and closes the
	// connection.
	FaultHeadCut
	// FaultOddStatus runs the request and answers with status 000, and a whole answer after that head.
	FaultOddStatus
	// FaultOddName runs the request and answers with a blank in the name of the field that states the length.
	FaultOddName
	// FaultTrickle stalls a stream in the middle and then sends single bytes that never
	// complete an event.
	FaultTrickle
	// FaultFalsePromise runs the request and answers one of falsePromises, without saying that it ran nothing.
	FaultFalsePromise
)

// falsePromises are statuses that callers take for a promise that a request was not run.
var falsePromises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// Run records one run of a request.
type Run struct {
	// At is the time at which the run began.
	At     time.Time
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	// From is the ID of the last event that the caller already has, from the header
	// Last-Event-Id.
	From int
	// CallerClosed is set if the caller closed the connection during the run.
	CallerClosed bool
	// CallerReset is set if the caller reset the connection, which drops data in flight.
	CallerReset bool
	// FillerBytes is the number of bytes that one of the FaultEndless faults sent.
	FillerBytes int
}

// Config configures an Endpoint.
type Config struct {
	// ID is the instance ID. The endpoint refuses a request whose header
	// Pomelotiller-Expect-Instance has another one.
	ID string
	// Events is the number of events of a stream; 0 means a plain service.
	Events int
	// Extra is the number of bytes after Plain in an answer of a plain service.
	Extra int
	// Pause is the time before the answer and after each event.
	Pause time.Duration
	// DeadlyBody is the body of requests that crash the endpoint as it runs them; empty for none.
	DeadlyBody string
	// HeadBytes is the number of bytes that FaultHeadCut sends.
	HeadBytes int
	// Cold is how long the endpoint is cold after its start.
	Cold time.Duration
	// ColdLimit is the number of requests that the endpoint takes while it is cold.
	ColdLimit ColdLimit
}

// Endpoint is one simulated endpoint with its listener and its record of runs.
type Endpoint struct {
	cfg Config
	ln  net.Listener

	mu           sync.Mutex
	requestCount int
	faults       []Fault
	runs         []Run
	arrivals     []Arrival
	// coldUntil is the time until which the endpoint is cold.
	coldUntil time.Time
	conns     map[net.Conn]bool
	// crashed is closed once a request crashed the endpoint.
	crashed   chan struct{}
	crashOnce sync.Once
	// extraHeader holds header lines that are added to each answer, and interimAnswer
	// an interim answer that is sent before each.
	extraHeader, interimAnswer string
}

// Start listens on a free loopback port and serves until Close.
func Start(cfg Config) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Endpoint{cfg: cfg, ln: ln, conns: make(map[net.Conn]bool), crashed: make(chan struct{}), coldUntil: time.Now().Add(cfg.Cold)}
	go e.acceptConns()
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// QueueFaults queues faults; each of the next requests meets one.
func (e *Endpoint) QueueFaults(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// SetExtraHeader adds header lines to each later answer.
func (e *Endpoint) SetExtraHeader(lines ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extraHeader = joinLines(lines)
}

// SetInterimAnswer sends an interim answer (103 Early Hints) with header lines before each later
// answer.
func (e *Endpoint) SetInterimAnswer(lines ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interimAnswer = "HTTP/1.1 103 Early Hints\r\n" + joinLines(lines) + "\r\n"
}

// ClearFaults removes the queued faults that no request has met.
func (e *Endpoint) ClearFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = nil
}

// Runs returns a copy of the runs recorded so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Close closes the listener and all connections.
func (e *Endpoint) Close() error {
	err := e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range maps.Keys(e.conns) {
		err = errors.Join(err, c.Close())
	}
	return err
}

// Crashed returns a channel that is closed once a request crashed the endpoint.
func (e *Endpoint) Crashed() <-chan struct{} { return e.crashed }

// isDeadly reports whether a recorded run crashes the endpoint.
func (e *Endpoint) isDeadly(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.DeadlyBody != "" && e.runs[n].Body == e.cfg.DeadlyBody
}

// crash closes the listener and all connections, as the end of the process does.
func (e *Endpoint) crash() {
	e.crashOnce.Do(func() {
		// Errors mean that the endpoint is closed already.
		_ = e.Close()
		close(e.crashed)
	})
}

func (e *Endpoint) acceptConns() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

// serveConn serves the requests of one connection one after the other.
func (e *Endpoint) serveConn(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		// The connection may be closed already; then this only returns an error.
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !e.serveRequest(c, r, req) {
			return
		}
	}
}

// RequestCount returns the number of requests that arrived, whether run or refused.
func (e *Endpoint) RequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestCount
}

func (e *Endpoint) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestCount++
	if len(e.faults) == 0 {
		return FaultNone
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

// recordRun records a run and returns its index in e.runs.
func (e *Endpoint) recordRun(req *http.Request, body string) int {
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{
		At: time.Now(), ID: req.Header.Get("Pomelotiller-Attempt-Id"), Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: body, From: from,
	})
	return len(e.runs) - 1
}

// trickleInterval is the time between two bytes of FaultTrickle.
const trickleInterval = 20 * time.Millisecond

func (e *Endpoint) recordLeft(n int, left bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].CallerClosed = left
}
