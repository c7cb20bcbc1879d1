package carrier

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/refuser"
)

const (
	// maxBufferedAnswerBytes is the largest answer that is not a stream. The carrier
	// buffers it before sending any of it, so that it can still retry or refuse the
	// request if the endpoint breaks off.
	maxBufferedAnswerBytes = 1 << 20
	// endCheckTimeout bounds the check of the end of an answer without a length or chunks.
	endCheckTimeout = 250 * time.Millisecond
	// streamBufferBytes is the initial buffer size for the events of a stream.
	streamBufferBytes = rationer.FreeBytes
	// answerMemoryBytes bounds what the answers of all endpoints together hold beyond rationer.FreeBytes
	// each. A daemon has 128 MB (docs/CAPACITY.md).
	answerMemoryBytes = 16 << 20
	// maxEventBytes is the largest event of a stream.
	maxEventBytes = 1 << 20
)

// streamProgress is how much of a stream was sent to the caller.
type streamProgress struct {
	started bool
	// order is that of the events that the caller has, those of a stream that it resumes included.
	order eventOrder
	// writes counts the writes that held at least one event with an id.
	writes int
}

// deliverAnswer sends an answer to the caller, as a stream or in one piece. Of a stream that has begun it
// only sends a continuation.
func (c *Carrier) deliverAnswer(ctx context.Context, q *request, a *answer) error {
	if q.events.started {
		if err := a.checkContinuation(q); err != nil {
			return c.rejectContinuation(q, a, err)
		}
	}
	if q.route.Kind == registrar.KindStream && a.res.StatusCode == http.StatusOK {
		return c.relayStream(ctx, q, a)
	}
	return c.deliverBufferedAnswer(ctx, q, a)
}

// deliverBufferedAnswer reads an answer to its end before it sends any of it to the
// caller. It returns an error for an answer that reports a failure, which may be retried.
func (c *Carrier) deliverBufferedAnswer(ctx context.Context, q *request, a *answer) error {
	body, err := readAnswerBody(a, q.conn)
	a.recordFirstByte(q)
	if err != nil {
		a.holding.End()
		c.recordMissingAnswer(ctx, q, a, err)
		a.finish(resultOfError(ctx, err), false)
		err = &attemptError{maybeSent: true, reason: "answer broke off", err: err}
		c.logAttempt(q, a, err)
		return err
	}
	a.body = body
	c.recordAnswer(q, a)
	if !a.isFailure(q) {
		c.cfg.Quarantine.RecordAnswer(q.parts)
		a.finish(chooser.ResultGood, true)
		c.logAttempt(q, a, nil)
		return c.writeAnswer(q, a)
	}
	a.finish(chooser.ResultFailed, true)
	err = &attemptError{maybeSent: true, reason: fmt.Sprintf("status %d", a.res.StatusCode)}
	c.logAttempt(q, a, err)
	q.lastFailure = a
	return err
}

// isLate reports whether an answer that begins now misses the route's latency target.
func (q *request) isLate() bool {
	return q.route.Target > 0 && time.Since(q.start) > q.route.Target
}

// readAnswerBody reads the body of an answer for a caller until it ends or the request expires.
func readAnswerBody(a *answer, caller rationer.Receiver) ([]byte, error) {
	stop := a.interruptOnCancel()
	defer stop()
	if a.res.Body != http.NoBody && a.res.ContentLength > maxBufferedAnswerBytes {
		return nil, fmt.Errorf("answer of %d bytes: %w", a.res.ContentLength, rationer.ErrTooLarge)
	}
	b, err := rationer.ReadAll(a.res.Body, a.holding, maxBufferedAnswerBytes)
	if err != nil {
		return nil, a.explainEviction(err)
	}
	if err := a.holding.PinFor(caller); err != nil {
		return nil, err
	}
	return b, a.checkEnd()
}

// explainEviction says so if the attempt was ended to make room for other answers.
func (a *answer) explainEviction(err error) error {
	if a.holding.IsEvicted() {
		return errors.Join(rationer.ErrFull, err)
	}
	return err
}

// checkEnd returns an error if the end of the connection ended the answer and its endpoint refuses
// connections without having said that it leaves: a process that is killed closes its connections like one
// that has sent all. One that leaves may refuse connections while it sends its last answers.
func (a *answer) checkEnd() error {
	if framing(a.res) != framingClose || !a.isAnnounced() {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, endCheckTimeout)
	defer cancel()
	if !a.c.cfg.Pool.IsRefused(ctx, a.choice.Endpoint.Address) {
		return nil
	}
	return fmt.Errorf("endpoint ended with its answer: %w", io.ErrUnexpectedEOF)
}

// isAnnounced reports whether the incarnation of the endpoint is announced and not leaving. Its failure
// domain may be evacuated: the answers that run there end as elsewhere.
func (a *answer) isAnnounced() bool {
	e := a.choice.Endpoint
	other, ok := a.c.cfg.Endpoints().All[e.ID]
	return ok && !other.Leaving && other.Service == e.Service && other.Born == e.Born
}

// interruptOnCancel makes reads and writes on the connection fail once the attempt's
// context is done. The returned function stops that.
func (a *answer) interruptOnCancel() func() bool {
	return context.AfterFunc(a.ctx, a.conn.Interrupt)
}

// writeAnswer sends a complete answer to the caller. In place of a false promise it returns a refusal that makes
// none, without the Retry-After and the other fields of the answer.
func (c *Carrier) writeAnswer(q *request, a *answer) error {
	if a.isFalsePromise(q) {
		return &refuser.Refusal{
			Status: http.StatusBadGateway, Title: "failed", Run: q.runState,
			Detail: fmt.Sprintf("the endpoint ran the request and answered with status %d", a.res.StatusCode),
		}
	}
	copyHeader(q.w.Header(), a.res)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.status = a.res.StatusCode
	q.w.WriteHeader(a.res.StatusCode)
	if _, err := q.w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return fmt.Errorf("%w: %w", errAborted, err)
	}
	return nil
}

// copyHeader copies the header fields of an answer except hop-by-hop fields.
func copyHeader(h http.Header, res *http.Response) {
	if _, ok := res.Header["Content-Type"]; !ok {
		// Keeps the HTTP server from guessing a content type.
		h["Content-Type"] = nil
	}
	dropped := ConnectionFields(res.Header)
	for name, values := range res.Header {
		if !dropped[name] {
			h[name] = values
		}
	}
}

// relayStream sends the events of a stream to the caller as they arrive.
func (c *Carrier) relayStream(ctx context.Context, q *request, a *answer) error {
	stop := a.interruptOnCancel()
	err := c.relayEvents(q, a)
	stop()
	switch {
	case err == nil:
		c.cfg.Quarantine.RecordAnswer(q.parts)
		a.finish(chooser.ResultGood, true)
		c.logAttempt(q, a, nil)
		return nil
	case errors.Is(err, errAborted):
		a.finish(chooser.ResultNoEvidence, false)
		c.logAttempt(q, a, err)
		return err
	}
	c.recordMissingAnswer(ctx, q, a, err)
	a.finish(resultOfError(ctx, err), false)
	err = &attemptError{maybeSent: true, reason: "stream broke off", err: err}
	c.logAttempt(q, a, err)
	return err
}

// relayEvents copies whole events to the caller. It buffers an incomplete event until
// its end arrives, so that another endpoint can resume the stream. It returns an error unless the
// stream is complete.
func (c *Carrier) relayEvents(q *request, a *answer) error {
	// The first event may take longer by the latency target.
	if err := a.watchSilence(q, a.eventPatience(q, q.route.Target)); err != nil {
		return err
	}
	defer a.holding.End()
	buf := rationer.NewBuffer(a.holding, streamBufferBytes)
	// scanned is the length of the part of the buffer that holds no end of an event.
	scanned := 0
	for {
		_, err := buf.ReadOnce(a.res.Body, maxEventBytes)
		if len(buf.Bytes()) > 0 {
			a.recordFirstByte(q)
		}
		whole := endOfEvents(buf.Bytes(), scanned)
		if whole > 0 {
			a.attempt.RecordSign()
			if werr := c.admitEvents(q, a, buf.Bytes()[:whole]); werr != nil {
				return werr
			}
			// Only whole events end a silence, not the bytes of an incomplete one. The time in which the
			// caller takes them is not the endpoint's.
			if werr := a.waitOn(a.eventPatience(q, 0)); werr != nil {
				return werr
			}
			if derr := buf.Drop(whole); derr != nil {
				return derr
			}
		}
		scanned = len(buf.Bytes())
		if errors.Is(err, io.EOF) {
			return c.endStream(q, a, buf.Bytes())
		}
		if err != nil {
			return a.explainEviction(err)
		}
	}
}

// endStream ends a stream whose answer has ended with the bytes of rest after its last whole event. It
// returns an error if the answer was broken off: inside an event, or before its first one. Without a
// length and chunks the end of the connection ends the answer, also if the endpoint broke off.
func (c *Carrier) endStream(q *request, a *answer, rest []byte) error {
	if len(rest) > 0 || framing(a.res) == framingClose && !a.hasEvents {
		return fmt.Errorf("stream ended inside an event: %w", io.ErrUnexpectedEOF)
	}
	if err := a.checkEnd(); err != nil {
		return err
	}
	if q.events.started {
		if a.from != "" && a.lastID == "" {
			// The caller may have the last event, and can find that out itself.
			return fmt.Errorf("continuation after event %q holds no event: %w", a.from, io.ErrUnexpectedEOF)
		}
		return nil
	}
	// A stream that the caller resumes after its last event has a header and no events.
	return c.forwardEvents(q, a, nil, admission{})
}

// admitEvents forwards the events that may follow those that the caller has, and returns an error if one
// may not.
func (c *Carrier) admitEvents(q *request, a *answer, events []byte) error {
	done, err := q.events.order.admit(events, q.route.IsRepeatable(), a.from != "" && a.lastID == "")
	if done.length > 0 {
		if werr := c.forwardEvents(q, a, events[:done.length], done); werr != nil {
			return werr
		}
	}
	return err
}

// forwardEvents writes events to the caller and flushes them.
func (c *Carrier) forwardEvents(q *request, a *answer, events []byte, done admission) error {
	if !q.events.started {
		q.events.started = true
		q.status = a.res.StatusCode
		copyHeader(q.w.Header(), a.res)
		if a.res.ContentLength >= 0 && !q.route.IsRepeatable() {
			// What another endpoint goes on with may have another length.
			q.w.Header().Set("Content-Length", strconv.FormatInt(a.res.ContentLength, 10))
		}
		q.w.WriteHeader(a.res.StatusCode)
		c.recordFirstEvent(q)
	}
	a.hasEvents = true
	c.recordOutcome(q, a, OutcomeGood, nil)
	if done.lastID != "" {
		q.events.writes++
		a.firstID, a.lastID = cmp.Or(a.firstID, done.firstID), done.lastID
		a.writes++
	}
	if _, err := q.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errAborted, err)
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}
