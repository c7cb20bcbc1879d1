package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/remote/validator"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/throttler"
)

const (
	sendDialTimeout = time.Second
	statusTimeout   = time.Second
	// maxAnswerBytes is the maximum size of an answer. An answer that exceeds MaxRecordBytes is
	// returned to the waiting caller but not recorded.
	maxAnswerBytes = 4 << 20
)

// SendError is the error of a failed attempt to send an order. RunState states whether the order may
// have run.
type SendError struct {
	RunState refuser.RunState
	Err      error
}

// Error implements error.
func (e *SendError) Error() string { return fmt.Sprintf("send order (%s): %v", e.RunState, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Services connects to endpoints of services to send orders and to look up their status.
type Services interface {
	// Connect opens a connection to an endpoint. No part of an order is sent before Send, so after
	// a failed Connect the order may go to another endpoint.
	Connect(ctx context.Context, address string) (Sender, error)
	// Status queries an endpoint for the outcome of an order.
	Status(ctx context.Context, address, path string) (Report, error)
}

// Sender is a new connection to an endpoint. It sends one order.
type Sender interface {
	// Send sends a dispatched order. Its error is a *SendError.
	Send(ctx context.Context, o Order, header http.Header) (Answer, error)
	Close() error
}

// HTTPServices implements Services over HTTP.
type HTTPServices struct {
	// Memory is the memory for the answers of services; nil sets no limit.
	Memory *rationer.Ration
}

// Connect implements Services.
func (s HTTPServices) Connect(ctx context.Context, address string) (Sender, error) {
	c, err := Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.memory = s.Memory
	return c, nil
}

// Status implements Services. Each look-up opens a new connection, since an older one may have
// stopped responding.
func (HTTPServices) Status(ctx context.Context, address, path string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Report{}, fmt.Errorf("status look-up: %w", err)
	}
	res, err := newTransport(nil).RoundTrip(req)
	if err != nil {
		return Report{}, fmt.Errorf("status look-up: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("status look-up: status %d", res.StatusCode)
	}
	var p Report
	if err := json.NewDecoder(io.LimitReader(res.Body, 2*maxAnswerBytes)).Decode(&p); err != nil {
		return Report{}, fmt.Errorf("status look-up: %w", err)
	}
	if p.Status != 0 && !isFinalStatus(p.Status) {
		return Report{}, fmt.Errorf("status look-up: %w: %d", errNotFinalStatus, p.Status)
	}
	return p, nil
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport for one call. A nil dial is that of net/http.
func newTransport(dial dialFunc) http.RoundTripper {
	return validator.NewTransport(&http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: rationer.MaxHeaderBytes, DialContext: dial,
	})
}

// Connection is a new TCP connection to an endpoint that sends one order over HTTP.
type Connection struct {
	conn    net.Conn
	address string
	// writeStarted is set before the first byte is written.
	writeStarted atomic.Bool
	memory       *rationer.Ration
}

// Connect opens a connection to the endpoint at address.
func Connect(ctx context.Context, address string) (*Connection, error) {
	conn, err := (&net.Dialer{Timeout: sendDialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &SendError{RunState: refuser.NotRun, Err: err}
	}
	return &Connection{conn: conn, address: address}, nil
}

// writeTrackingConn is a connection that records whether anything may have been written to it.
type writeTrackingConn struct {
	net.Conn
	writeStarted *atomic.Bool
}

// Write implements net.Conn.
func (c writeTrackingConn) Write(b []byte) (int, error) {
	c.writeStarted.Store(true)
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *Connection) Close() error { return c.conn.Close() }

// Send sends a dispatched order once. It uses a connection and a body that cannot be reused,
// because net/http silently repeats a request with an Idempotency-Key when a reused connection
// breaks.
func (c *Connection) Send(ctx context.Context, o Order, header http.Header) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTransport(singleUseDialer(writeTrackingConn{c.conn, &c.writeStarted}))
	req, err := http.NewRequestWithContext(ctx, o.Request.Method, "http://"+c.address+o.Request.Path, io.NopCloser(bytes.NewReader(o.Request.Body)))
	if err != nil {
		return Answer{}, &SendError{RunState: refuser.NotRun, Err: err}
	}
	req.GetBody = nil
	req.ContentLength = int64(len(o.Request.Body))
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", o.Request.ContentType)
	req.Header.Set("Idempotency-Key", o.Key)
	req.Header.Set(inferrer.HeaderRequest, o.ID)
	req.Header.Set(inferrer.HeaderAttempt, strconv.Itoa(o.Attempt))
	res, err := t.RoundTrip(req)
	if err != nil && !c.writeStarted.Load() {
		return Answer{}, &SendError{RunState: refuser.NotRun, Err: err}
	}
	if err != nil {
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: err}
	}
	defer res.Body.Close()
	h := c.memory.Begin(cancel)
	defer h.End()
	return readAnswer(res, o, h)
}

var errDialedTwice = errors.New("an order is sent on one connection only")

// singleUseDialer returns a dial function that returns conn on the first call and fails afterwards,
// so that the transport cannot retry.
func singleUseDialer(conn net.Conn) dialFunc {
	used := false
	return func(context.Context, string, string) (net.Conn, error) {
		if used {
			return nil, errDialedTwice
		}
		used = true
		return conn, nil
	}
}

// errUnframed is the error of an answer that ends with its connection. A cut one looks the same.
var errUnframed = errors.New("answer has neither a length nor chunks")

// errNotFinalStatus is the error of a report with a status that no caller can be sent.
var errNotFinalStatus = errors.New("status is not that of a final answer")

func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= 999 }

// readAnswer reads the answer to an order. One that is too large, or for which there is no memory, comes without
// its body.
func readAnswer(res *http.Response, o Order, h *rationer.Holding) (Answer, error) {
	if !inferrer.IsFramed(res) {
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: fmt.Errorf("%w: %w", inferrer.ErrTruncated, errUnframed)}
	}
	b, err := rationer.ReadAll(res.Body, h, maxAnswerBytes)
	isOmitted := errors.Is(err, rationer.ErrTooLarge) || errors.Is(err, rationer.ErrFull) || err != nil && h.IsEvicted()
	if err != nil && !isOmitted {
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: fmt.Errorf("%w: %w", inferrer.ErrTruncated, err)}
	}
	if res.Header.Get(inferrer.HeaderRequest) != o.ID || res.Header.Get(inferrer.HeaderAttempt) != strconv.Itoa(o.Attempt) {
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: inferrer.ErrForeignAnswer}
	}
	limit := throttler.ParseLimit(res.Header[inferrer.HeaderLimit])
	if isOmitted {
		return Answer{Status: res.StatusCode, Omitted: true, Limit: limit}, nil
	}
	return Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: b, Limit: limit}, nil
}
