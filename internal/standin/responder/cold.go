package responder

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// healthPath is the path at which an endpoint says how much longer it stays cold.
	healthPath = "/healthz"
	// coldWindow is the sliding window over which the requests at a cold endpoint are counted.
	coldWindow = time.Second
	// coldCrashFactor is the multiple of ColdLimit.Bound above which a cold endpoint crashes.
	coldCrashFactor = 2
)

// ColdLimit is the number of requests that a cold endpoint takes in any one second.
type ColdLimit struct {
	// PerSecond is the rate named in the configuration; 0 means no limit.
	PerSecond float64
	// Overrun is the factor and Allowance the number of requests by which the rate may be exceeded.
	Overrun   float64
	Allowance float64
}

// Bound returns the largest number of requests that may arrive in one second.
func (l ColdLimit) Bound() int { return int(math.Floor(l.PerSecond*l.Overrun + l.Allowance)) }

// Arrival records the arrival of one request that was not answered with 421.
type Arrival struct {
	// At is the time at which the header of the request was complete.
	At time.Time
	ID string
	// Cold is set if the endpoint was cold.
	Cold bool
}

// BecomeCold makes the endpoint cold for a time from now on, or longer if it already is.
func (e *Endpoint) BecomeCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(d); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// ColdRemaining returns how much longer the endpoint stays cold, 0 if it is not cold.
func (e *Endpoint) ColdRemaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.coldUntil), 0)
}

// Arrivals returns a copy of the arrivals recorded so far, in the order of their times.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// recordArrival records the arrival of a request and reports whether it crashes the endpoint.
func (e *Endpoint) recordArrival(req *http.Request) (crashes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	a := Arrival{At: now, ID: req.Header.Get("Pomelotiller-Attempt-Id"), Cold: now.Before(e.coldUntil)}
	e.arrivals = append(e.arrivals, a)
	if !a.Cold || e.cfg.ColdLimit.PerSecond <= 0 {
		return false
	}
	n := 0
	for _, old := range slices.Backward(e.arrivals) {
		if now.Sub(old.At) >= coldWindow || !old.Cold {
			break
		}
		n++
	}
	return n > coldCrashFactor*e.cfg.ColdLimit.Bound()
}

// serveHealth answers a health request. It counts neither as an arrival nor as a run.
func (e *Endpoint) serveHealth(c net.Conn) bool {
	return writeString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nPomelotiller-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", e.ColdRemaining().Milliseconds()))
}

// isMisdirected reports whether a request names another endpoint as the one that must answer.
func (e *Endpoint) isMisdirected(req *http.Request) bool {
	want := req.Header.Get("Pomelotiller-Expect-Instance")
	return want != "" && want != e.cfg.ID
}
