package carrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/dialer"
	"pomelotiller/internal/traffic/refuser"
)

const (
	// maxIdleNonRepeatable and maxIdleRepeatable bound how long a reused
	// connection may have been idle. The bound is shorter for a request that must
	// not run twice: it is lost if the connection has died unnoticed.
	maxIdleNonRepeatable = 500 * time.Millisecond
	maxIdleRepeatable    = 1500 * time.Millisecond
	// maxInlineBodyBytes is the largest request body that is written before the
	// answer is read, and bounds what drainBody reads.
	maxInlineBodyBytes = 4 << 10
)

// answer is an attempt at one endpoint and the header of its answer. The body is
// still to be read.
type answer struct {
	res     *http.Response
	verdict Verdict
	choice  chooser.Choice
	// body is set once deliverBufferedAnswer has read all of it.
	body []byte

	c    *Carrier
	ctx  context.Context
	conn *dialer.Conn
	// reused says that conn carried a request before. It is kept here since conn may carry another one
	// once the attempt is finished.
	reused bool
	// rested is how long conn was idle before.
	rested      time.Duration
	attempt     *chooser.Attempt
	writeResult chan error
	cancel      context.CancelFunc
	span        trace.Span
	sentAt      time.Time
	// isRequestSent says that the request was written to the connection, or that its write has begun if it is long.
	isRequestSent bool
	// from is the id of the event after which the endpoint was asked to resume the stream, firstID and
	// lastID are those of the first and the last event of this attempt that were sent to the caller.
	from, firstID, lastID string
	firstByteAt           time.Time
	finished              bool
	// hasEvents says that an event of the answer was sent to the caller.
	hasEvents bool
	// writes counts the writes to the caller that held an event.
	writes   int
	patience patience
	// holding is the memory for the body of the answer.
	holding *rationer.Holding
	// silences counts the times at which the endpoint was silent for long and the attempt went on, since
	// noNext was missing for another one.
	silences int
	noNext   string
	// outcomeRecorded says that the outcome of the attempt was recorded.
	outcomeRecorded bool
}

// tryEndpoint sends a request to one endpoint and reads the header of its answer.
func (c *Carrier) tryEndpoint(ctx context.Context, q *request, ch chooser.Choice) (*answer, error) {
	spanCtx, span := c.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.Int("n", q.attempts), attribute.String("endpoint", ch.Endpoint.ID)))
	actx, cancel := context.WithCancel(spanCtx)
	a := &answer{c: c, ctx: actx, cancel: cancel, span: span, choice: ch, sentAt: time.Now(), from: q.events.order.lastID}
	a.attempt = c.cfg.Chooser.Start(q.query, ch)
	a.holding = c.answerMemory.Begin(a.evict)
	q.holdings = append(q.holdings, a.holding)
	err := a.connect(q)
	if err == nil {
		err = a.roundTrip(q)
	}
	if err != nil {
		span.RecordError(err)
		c.recordMissingAnswer(ctx, q, a, err)
		a.finish(resultOfError(ctx, err), false)
		c.logAttempt(q, a, err)
		return nil, err
	}
	return a, nil
}

// evict ends the attempt to make room for other answers.
func (a *answer) evict() {
	meter.AddToCounter(a.c.cfg.Registry, 1, "evicted_answers_total", "service", a.choice.Endpoint.Service)
	a.cancel()
}

// connect gets a connection to the endpoint. If it fails, nothing has been sent.
func (a *answer) connect(q *request) error {
	e := a.choice.Endpoint
	idle := maxIdleRepeatable
	if !q.route.IsRepeatable() {
		idle = maxIdleNonRepeatable
	}
	t := dialer.Target{Address: e.Address, Instance: e.ID}
	if n := q.service.Connections; n > 0 {
		t.Limit = max(n/max(a.c.cfg.Members(), 1), 2)
	}
	conn, err := a.c.cfg.Pool.Get(a.ctx, t, idle)
	if err != nil {
		return &attemptError{reason: "no connection", err: err}
	}
	if a.c.cfg.Endpoints().IsEvacuated(e.Domain) {
		// The evacuation became known after the endpoint was chosen.
		a.c.cfg.Pool.Discard(conn)
		return &attemptError{reason: "not sent", err: errEvacuated}
	}
	a.conn, a.reused, a.rested = conn, conn.Reused, conn.Rested
	return nil
}

// errEvacuated means that the failure domain of an endpoint is evacuated. It does not count against the
// endpoint's health.
var errEvacuated = errors.New("failure domain is evacuated")

// roundTrip writes the request and reads the header of its answer.
func (a *answer) roundTrip(q *request) error {
	stop := a.interruptOnCancel()
	a.c.cfg.Trials.RecordSent(q.service.Name, q.route.Name, a.choice.Endpoint.Version)
	err := a.sendRequest(q)
	reason := "request was not sent completely"
	if err == nil {
		a.isRequestSent, reason = true, "no answer"
		err = a.watchSilence(q, a.headerPatience(q))
	}
	if err == nil {
		err = a.readHeader(q)
	}
	stop()
	if err == nil {
		a.attempt.ExpectBy(time.Time{})
		err = a.conn.StopWatch()
	}
	if err != nil {
		q.runState = max(q.runState, refuser.Unknown)
		return &attemptError{maybeSent: true, reason: reason, err: err}
	}
	return a.checkVerdict(q)
}

// sendRequest writes the request to the connection. It writes a long body in the
// background, because an endpoint may answer before it has read the whole body.
func (a *answer) sendRequest(q *request) error {
	requestHeader := a.requestHeader(q)
	a.writeResult = make(chan error, 1)
	if len(q.body) <= maxInlineBodyBytes {
		_, err := a.conn.Write(append(requestHeader, q.body...))
		a.writeResult <- err
		return err
	}
	go func() {
		_, err := a.conn.Write(append(requestHeader, q.body...))
		a.writeResult <- err
	}()
	return nil
}

// requestHeader returns the request line and header fields, with spare capacity for
// the body.
func (a *answer) requestHeader(q *request) []byte {
	g := Grant{TimeLeft: time.Until(q.expiry), Organisation: q.org.Name, Instance: a.choice.Endpoint.ID, LastEvent: q.events.order.lastID, Priority: q.grantedPriority()}
	h := a.c.cfg.Codec.Encode(q.Call, g)
	a.c.cfg.Tracer.Propagation.Inject(a.ctx, propagation.HeaderCarrier(h))
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(q.body)))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.target, q.host)
	for _, name := range sortedNames(h) {
		for _, v := range h[name] {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(q.body) > 0 || q.method != http.MethodGet && q.method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func sortedNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// recordFirstByte records when the body of the answer began, and counts the request
// in the usage of its organisation.
func (a *answer) recordFirstByte(q *request) {
	if !a.firstByteAt.IsZero() {
		return
	}
	a.firstByteAt = time.Now()
	if q.route.Kind == registrar.KindStream && a.res.StatusCode == http.StatusOK {
		a.attempt.RecordFirstEvent()
	} else {
		a.attempt.RecordFirstByte()
	}
	if q.ticket != nil {
		a.c.cfg.Prioritizer.RecordAnswer(q.ticket)
	}
	if !q.usageRecorded {
		// Retries at other endpoints do not count again.
		q.usageRecorded = true
		a.c.cfg.Usage.RecordStart(q.org.Name, a.firstByteAt)
	}
}

// finish ends the attempt and reports its result to the chooser. It returns the
// connection to the pool only if the request was written and the answer read
// completely.
func (a *answer) finish(r chooser.Result, complete bool) {
	if a.finished {
		return
	}
	a.finished = true
	a.span.End()
	a.attempt.RecordResult(r)
	alive := a.ctx.Err() == nil
	a.cancel()
	if a.conn == nil {
		return
	}
	if !complete || !alive {
		a.c.cfg.Pool.Abort(a.conn)
		return
	}
	if a.res.Close || !a.isRequestWritten() {
		a.c.cfg.Pool.Discard(a.conn)
		return
	}
	if err := errors.Join(a.conn.StopWatch(), a.conn.SetDeadline(time.Time{})); err != nil {
		a.c.cfg.Pool.Discard(a.conn)
		return
	}
	a.c.cfg.Pool.PutIdle(a.conn, a.verdict.Idle)
}

// isRequestWritten reports whether the whole request has been written without error.
func (a *answer) isRequestWritten() bool {
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// resultOfError classifies the error of a failed attempt for the endpoint's health.
func resultOfError(ctx context.Context, err error) chooser.Result {
	var a *attemptError
	switch {
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return chooser.ResultNoEvidence
	case errors.Is(err, errPaused), errors.Is(err, errEvacuated):
		return chooser.ResultNoEvidence
	case errors.Is(err, errNotRun):
		return chooser.ResultBusy
	case errors.Is(err, dialer.ErrConnLimit):
		return chooser.ResultBusy
	case errors.As(err, &a) && !a.maybeSent:
		return chooser.ResultUnreachable
	}
	return chooser.ResultBroken
}
