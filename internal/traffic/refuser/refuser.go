// Package refuser writes refusals of requests as problem documents (RFC 9457). A refusal states
// whether the request may have run, and when to retry.
package refuser

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RunState is whether a request ran at an endpoint. It only moves forward: from NotRun to Unknown
// before the first byte of the request is sent to an endpoint, and to Ran once an endpoint has
// answered it.
type RunState int

const (
	// NotRun is a request of which nothing was sent to an endpoint.
	NotRun RunState = iota
	// Unknown is a request that may have run.
	Unknown
	// Ran is a request that an endpoint has answered.
	Ran
)

// String returns the name of the state in problem documents.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// PromisesNotRun reports whether callers take an answer with a status for a promise that their request was
// not run and never will be, so that they may send it again (RFC 9110, 15.5.9, 15.5.20 and 15.6.4; RFC 6585, 4).
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Refusal is an error that ends a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Title names the kind of refusal in one word, such as "overloaded".
	Title string
	// Detail describes what is wrong and how to correct it.
	Detail string
	// Run is whether the request may have run.
	Run RunState
	// RetryAfter is the time after which to retry; 0 if a retry cannot succeed.
	RetryAfter time.Duration
	// Err is the cause, for the log.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s: %s: %v", r.Title, r.Detail, r.Err)
	}
	return r.Title + ": " + r.Detail
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Problem is the body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retry_after,omitempty"`
}

// Problem returns the refusal as a problem document.
func (r *Refusal) Problem() Problem {
	return Problem{
		Type: "about:blank", Title: r.Title, Status: r.Status, Detail: r.Detail,
		Run: r.Run.String(), RetryAfter: wholeSeconds(r.RetryAfter),
	}
}

// Write sends err as a refusal. An error of another type is an internal fault of this daemon, after
// which it is not known whether the request ran.
func Write(w http.ResponseWriter, err error) {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Status: http.StatusInternalServerError, Title: "internal", Detail: "the request failed", Run: Unknown, Err: err}
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wholeSeconds(r.RetryAfter)))
	}
	WriteBody(w, r)
}

// WriteBody sends a refusal without setting the Retry-After header, which the caller sets if needed.
func WriteBody(w http.ResponseWriter, r *Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(r.Status)
	// A failed write means that the caller has disconnected, so nobody can receive the error.
	_ = json.NewEncoder(w).Encode(r.Problem())
}

// wholeSeconds rounds up, so that a retry does not come too early.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
