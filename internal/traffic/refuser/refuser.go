// Package refuser writes refusals as problem documents (RFC 9457). A refusal
// says whether the request may have run, and when another try can help.
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

// RunState says whether a request may have run. It only ever moves forward:
// from NotRun to Unknown before the first byte of it is sent to an endpoint,
// and to Ran once an endpoint has answered for it.
type RunState int

// Run states.
const (
	NotRun RunState = iota
	Unknown
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

// Refusal is an error that ends a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Title names the kind of refusal in one word, such as "overloaded".
	Title string
	// Detail says what is wrong and what would be right.
	Detail string
	// Run says whether the request may have run.
	Run RunState
	// RetryAfter is when another try can help; 0 where it cannot.
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

// Write sends err as a refusal. An error of another type is a fault of this
// daemon, after which it is not known whether the request ran.
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

// WriteBody sends a refusal whose Retry-After field, if any, is set already.
func WriteBody(w http.ResponseWriter, r *Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(r.Status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(r.Problem())
}

func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
