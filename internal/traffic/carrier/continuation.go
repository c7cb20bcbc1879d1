package carrier

import (
	"fmt"
	"mime"
	"net/http"

	"pomelotiller/internal/traffic/chooser"
)

// checkContinuation returns an error if an answer cannot continue the stream whose header the caller
// has: only another stream of the same media type and content coding can.
func (a *answer) checkContinuation(q *request) error {
	if a.res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.res.StatusCode)
	}
	sent := q.w.Header()
	if got, want := mediaType(a.res.Header), mediaType(sent); got != want {
		return fmt.Errorf("media type %q after %q", got, want)
	}
	if got, want := a.res.Header.Get("Content-Encoding"), sent.Get("Content-Encoding"); got != want {
		return fmt.Errorf("content coding %q after %q", got, want)
	}
	return nil
}

// mediaType returns the media type of a message without its parameters.
func mediaType(h http.Header) string {
	v := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(v); err == nil {
		return t
	}
	return v
}

// rejectContinuation ends an attempt whose answer cannot continue the stream, and returns why.
func (c *Carrier) rejectContinuation(q *request, a *answer, err error) error {
	c.recordOutcome(q, a, OutcomeFailed, err)
	a.drainBody(chooser.ResultFailed)
	a.finish(chooser.ResultFailed, false)
	err = &attemptError{maybeSent: true, reason: "answer does not continue the stream", err: err}
	c.logAttempt(q, a, err)
	return err
}
