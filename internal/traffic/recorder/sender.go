package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"pomelotiller/internal/platform/inferrer"
	"pomelotiller/internal/traffic/refuser"
)

const (
	sendDialTimeout = time.Second
	maxAnswerBytes  = 512 << 10
)

// SendError is a failed attempt to send an order, with what it means for it.
type SendError struct {
	Run refuser.RunState
	Err error
}

// Error implements error.
func (e *SendError) Error() string { return fmt.Sprintf("send order (%s): %v", e.Run, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Connection is a fresh connection to a service that carries one order.
type Connection struct {
	conn    net.Conn
	address string
}

// Connect connects to a service. Until Send nothing of an order goes over it, so
// that a failure to connect leaves the order free to go elsewhere.
func Connect(ctx context.Context, address string) (*Connection, error) {
	conn, err := (&net.Dialer{Timeout: sendDialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &SendError{Run: refuser.NotRun, Err: err}
	}
	return &Connection{conn: conn, address: address}, nil
}

// Close closes the connection.
func (c *Connection) Close() { c.conn.Close() }

// Send sends a dispatched order, once. Its connection and its body cannot be
// used again, because net/http silently repeats a request with an
// Idempotency-Key on a reused connection that breaks.
func (c *Connection) Send(ctx context.Context, o Order, header http.Header) (Answer, error) {
	t := &http.Transport{DisableKeepAlives: true, DialContext: onceDialer(c.conn)}
	req, err := http.NewRequestWithContext(ctx, o.Request.Method, "http://"+c.address+o.Request.Path, io.NopCloser(bytes.NewReader(o.Request.Body)))
	if err != nil {
		return Answer{}, &SendError{Run: refuser.NotRun, Err: err}
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
	if err != nil {
		return Answer{}, &SendError{Run: refuser.Unknown, Err: err}
	}
	defer res.Body.Close()
	return readAnswer(res, o)
}

var errDialedTwice = errors.New("an order is sent on one connection only")

// onceDialer hands out conn once, so that the transport cannot try again.
func onceDialer(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	used := false
	return func(context.Context, string, string) (net.Conn, error) {
		if used {
			return nil, errDialedTwice
		}
		used = true
		return conn, nil
	}
}

func readAnswer(res *http.Response, o Order) (Answer, error) {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &SendError{Run: refuser.Unknown, Err: fmt.Errorf("%w: %w", inferrer.ErrTruncated, err)}
	}
	if len(b) > maxAnswerBytes {
		return Answer{}, &SendError{Run: refuser.Unknown, Err: fmt.Errorf("answer is over %d bytes", maxAnswerBytes)}
	}
	if res.Header.Get(inferrer.HeaderRequest) != o.ID || res.Header.Get(inferrer.HeaderAttempt) != strconv.Itoa(o.Attempt) {
		return Answer{}, &SendError{Run: refuser.Unknown, Err: inferrer.ErrCrossed}
	}
	return Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: b}, nil
}
