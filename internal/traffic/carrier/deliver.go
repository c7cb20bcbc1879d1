package carrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/dialer"
)

const (
	// wholeBytes is the largest answer that is read whole before it is passed
	// on, so that a break can still be answered for.
	wholeBytes  = 1 << 20
	streamBytes = 16 << 10
	// eventBytes is the largest event of a stream.
	eventBytes = 1 << 20
)

// progress is what was passed on of a stream.
type progress struct {
	started bool
	// last is the id of the last whole event.
	last string
	n    int
}

// deliver passes an answer on to the caller.
func (c *Carrier) deliver(ctx context.Context, q *request, a *answer) error {
	if q.route.Kind == registrar.KindStream && a.res.StatusCode == http.StatusOK {
		return c.relay(ctx, q, a)
	}
	return c.deliverWhole(ctx, q, a)
}

// deliverWhole reads an answer to its end before it passes any of it on.
func (c *Carrier) deliverWhole(ctx context.Context, q *request, a *answer) error {
	body, err := readWhole(a)
	a.began(q)
	if err != nil {
		a.end(resultOf(ctx, err), false)
		err = &attemptError{sent: true, why: "answer broke off", err: err}
		c.logAttempt(q, a, err)
		return err
	}
	a.body = body
	failed := a.res.StatusCode >= http.StatusInternalServerError
	c.cfg.Trials.Answered(q.service.Name, a.choice.Endpoint.Version, !failed, q.late())
	if !failed {
		a.end(chooser.ResultGood, true)
		c.logAttempt(q, a, nil)
		return c.write(q, a)
	}
	a.end(chooser.ResultFailed, true)
	err = &attemptError{sent: true, why: fmt.Sprintf("status %d", a.res.StatusCode)}
	c.logAttempt(q, a, err)
	q.last = a
	return err
}

// late reports whether an answer that begins now is past the route's target.
func (q *request) late() bool {
	return q.route.Target > 0 && time.Since(q.start) > q.route.Target
}

// readWhole reads the body of an answer. The deadline of the request ends it.
func readWhole(a *answer) ([]byte, error) {
	stop := a.watch()
	defer stop()
	b, err := io.ReadAll(io.LimitReader(a.res.Body, wholeBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > wholeBytes {
		return nil, errors.New("answer is too long")
	}
	return b, nil
}

// watch ends reads of the connection with the attempt's context.
func (a *answer) watch() func() bool {
	return context.AfterFunc(a.ctx, func() {
		// An error means that the connection is closed already.
		_ = a.conn.SetDeadline(time.Unix(1, 0))
	})
}

// write sends a whole answer to the caller.
func (c *Carrier) write(q *request, a *answer) error {
	copyHeader(q.w.Header(), a.res)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.status = a.res.StatusCode
	q.w.WriteHeader(a.res.StatusCode)
	if _, err := q.w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return fmt.Errorf("%w: %w", errAborted, err)
	}
	return nil
}

// copyHeader copies the fields of an answer that do not concern one connection.
func copyHeader(h http.Header, res *http.Response) {
	if _, ok := res.Header["Content-Type"]; !ok {
		// Keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	dropped := ConnectionFields(res.Header)
	for name, values := range res.Header {
		if !dropped[name] {
			h[name] = values
		}
	}
}

// relay passes on a stream event by event as they arrive.
func (c *Carrier) relay(ctx context.Context, q *request, a *answer) error {
	stop := a.watch()
	complete, err := c.relayEvents(q, a)
	stop()
	switch {
	case err == nil && complete:
		a.end(chooser.ResultGood, true)
		c.logAttempt(q, a, nil)
		return nil
	case errors.Is(err, errAborted):
		a.end(chooser.ResultNone, false)
		c.logAttempt(q, a, err)
		return err
	}
	a.end(resultOf(ctx, err), false)
	c.cfg.Trials.Answered(q.service.Name, a.choice.Endpoint.Version, false, false)
	err = &attemptError{sent: true, why: "stream broke off", err: err}
	c.logAttempt(q, a, err)
	return err
}

// relayEvents copies whole events. Part of an event is kept back until its end
// is there, so that a stream can go on from another endpoint.
func (c *Carrier) relayEvents(q *request, a *answer) (complete bool, err error) {
	gap := time.AfterFunc(q.gap()+q.route.Target, a.cancel)
	defer gap.Stop()
	buf := make([]byte, 0, streamBytes)
	for {
		if len(buf) == cap(buf) {
			if len(buf) > eventBytes {
				return false, fmt.Errorf("event is over %d bytes: %w", eventBytes, dialer.ErrEndless)
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := a.res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			a.began(q)
		}
		whole := bytes.LastIndex(buf, []byte("\n\n")) + 2
		if errors.Is(err, io.EOF) {
			whole = len(buf)
		}
		if whole >= 2 || errors.Is(err, io.EOF) {
			// Bytes that make up no event are no sign that the stream goes on.
			gap.Reset(q.gap())
			if werr := c.pass(q, a, buf[:whole]); werr != nil {
				return false, werr
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// pass sends events to the caller at once.
func (c *Carrier) pass(q *request, a *answer, events []byte) error {
	if !q.events.started {
		q.events.started = true
		q.status = a.res.StatusCode
		copyHeader(q.w.Header(), a.res)
		if a.res.ContentLength >= 0 {
			q.w.Header().Set("Content-Length", strconv.FormatInt(a.res.ContentLength, 10))
		}
		q.w.WriteHeader(a.res.StatusCode)
		c.cfg.Trials.Answered(q.service.Name, a.choice.Endpoint.Version, true, q.late())
		c.timeFirst(q)
	}
	if id := lastEventID(events); id != "" {
		q.events.last = id
		q.events.n++
	}
	if _, err := q.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errAborted, err)
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// lastEventID returns the id of the last event in whole events, or nothing.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		events = events[i+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
