package carrier

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/traffic/refuser"
)

// StopTimes are the times of a planned stop of the daemon.
type StopTimes struct {
	// Refuse is the time from which the carrier refuses new requests.
	Refuse time.Time
	// End is the time after which requests in flight may be cut off.
	End time.Time
}

// allows reports whether a request may be passed on to an endpoint now. A request that must not run twice
// has to reach its time limit before the end. Others are passed on while new requests are accepted: a
// stream mostly ends long before its time limit, and a repeatable request can be sent again. One that may
// have run can no longer be refused as not run, so it is tried again until the end.
func (s *StopTimes) allows(q *request, now time.Time) bool {
	switch {
	case q.runState != refuser.NotRun, !q.expiry.After(s.End):
		return true
	case q.route.Kind == registrar.KindOnce:
		return false
	}
	return now.Before(s.Refuse)
}

// BeginStop begins a planned stop: from now on the carrier closes each caller's connection after its
// current answer, and passes a request on only if the stop leaves time for it. A later call changes the
// times.
func (c *Carrier) BeginStop(t StopTimes) { c.stop.Store(&t) }

// EndRequests ends the requests in flight, at the end of a planned stop. Those whose answer has not begun
// get a refusal or a failure.
func (c *Carrier) EndRequests() { c.endRequests() }

// isRefusing reports whether a planned stop refuses new requests.
func (c *Carrier) isRefusing() bool {
	s := c.stop.Load()
	return s != nil && !time.Now().Before(s.Refuse)
}

// checkStop returns a refusal if a planned stop leaves no time to pass the request on.
func (c *Carrier) checkStop(q *request) error {
	s := c.stop.Load()
	if s == nil || s.allows(q, time.Now()) {
		return nil
	}
	return newStopRefusal(nil)
}

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
