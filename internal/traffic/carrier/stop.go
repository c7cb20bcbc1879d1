package carrier

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"pomelotiller/internal/traffic/refuser"
)

// EndRequests ends the requests in flight, at the end of a planned stop. Those whose answer has not begun
// get a refusal or a failure.
func (c *Carrier) EndRequests() { c.endRequests() }

func newStopRefusal(err error) error {
	return &refuser.Refusal{Status: http.StatusServiceUnavailable, Title: "stopping", Detail: "the daemon stops", RetryAfter: minRetryAfter, Err: err}
}

// readBodyUntilEnd is readBody, which EndRequests interrupts.
func (c *Carrier) readBodyUntilEnd(q *request, r *http.Request, limit int64) error {
	stop := context.AfterFunc(c.ending, func() {
		// An error means that the connection is closed already.
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	var err error
	q.body, err = readBody(r, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newStopRefusal(err)
	}
	return err
}
