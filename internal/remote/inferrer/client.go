package inferrer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/remote/validator"
)

const (
	maxErrorBytes  = 4 << 10
	maxReportBytes = 16 << 20
	maxLineBytes   = 4 << 20
	doneMarker     = "[DONE]"
	dialTimeout    = time.Second
	maxIdleConns   = 512
)

var (
	dataPrefix = []byte("data: ")
	chunkEnd   = []byte("}\n\n")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the engine.
	Address string
	// CallTimeout is the longest duration of a call that is not a completion.
	CallTimeout time.Duration
	// HTTP is the HTTP client that the engine clients of one process share; nil creates one.
	HTTP *http.Client
	// FreshHTTP is the HTTP client for attempts that ask for a new connection; nil uses HTTP.
	FreshHTTP *http.Client
	// Memory is the memory for the lines of all streams; nil sets no limit.
	Memory *rationer.Ration
	// OnConnected, if set, is called with the time at which the connection of an attempt was opened.
	OnConnected func(openedAt time.Time)
	// OnAnswer, if set, is called with the header of each answer to an attempt.
	OnAnswer func(res *http.Response)
}

// Client is an Engine over HTTP.
type Client struct {
	cfg ClientConfig
}

// NewHTTP returns the HTTP client that the engine clients of a process share.
func NewHTTP() *http.Client { return newHTTP(false) }

// NewUnpooledHTTP returns an HTTP client that opens a new connection for each call.
func NewUnpooledHTTP() *http.Client { return newHTTP(true) }

func newHTTP(fresh bool) *http.Client {
	return &http.Client{
		// Do not follow redirects, since that would send an attempt twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: validator.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,

			MaxResponseHeaderBytes: rationer.MaxHeaderBytes,
		}),
	}
}

// keepAlive detects a broken connection within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// NewClient returns a client of the engine at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.HTTP == nil {
		cfg.HTTP = NewHTTP()
	}
	return &Client{cfg: cfg}
}

// Start implements Engine.
func (c *Client) Start(ctx context.Context, a Attempt) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	req, err := c.newAttemptRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			c.reportConnection(i.Conn)
		},
	}), a)
	if err != nil {
		cancel()
		return nil, err
	}
	client := c.cfg.HTTP
	if a.NewConnection && c.cfg.FreshHTTP != nil {
		client = c.cfg.FreshHTTP
	}
	res, err := client.Do(req)
	if err != nil {
		cancel()
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
		}
		return nil, err
	}
	if c.cfg.OnAnswer != nil {
		c.cfg.OnAnswer(res)
	}
	if err := checkResponse(res, a); err != nil {
		res.Body.Close()
		cancel()
		return nil, err
	}
	return &stream{cancel: cancel, body: res.Body, lines: bufio.NewReader(res.Body), request: a.Request, holding: c.cfg.Memory.Begin(cancel)}, nil
}

// reportConnection calls OnConnected for a connection that an attempt gets.
func (c *Client) reportConnection(conn net.Conn) {
	if v, ok := conn.(*validator.Conn); ok && c.cfg.OnConnected != nil {
		c.cfg.OnConnected(v.OpenedAt)
	}
}

func (c *Client) newAttemptRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	path := a.Path
	if a.FromToken > 0 {
		path = fmt.Sprintf("/requests/%s/resume?from=%d", url.PathEscape(a.Request), a.FromToken)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("start attempt: %w", err)
	}
	for k, v := range a.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, a.Request)
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.Header.Set(HeaderPriority, a.Priority)
	return req, nil
}

func checkResponse(res *http.Response, a Attempt) error {
	if res.StatusCode != http.StatusOK {
		return statusError(res)
	}
	if res.Header.Get(HeaderRequest) != a.Request || res.Header.Get(HeaderAttempt) != strconv.Itoa(a.Number) {
		return fmt.Errorf("%w: got request %q attempt %q, want %q %d", ErrForeignAnswer,
			res.Header.Get(HeaderRequest), res.Header.Get(HeaderAttempt), a.Request, a.Number)
	}
	return nil
}

func statusError(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		b = []byte(err.Error())
	}
	e := &StatusError{Status: res.StatusCode, Body: strings.TrimSpace(string(b))}
	switch res.StatusCode {
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", ErrLeaving, e)
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrOverloaded, e)
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrNotLoaded, e)
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %w", ErrFenced, e)
	}
	return e
}

// stream implements Stream for one HTTP response of server-sent events.
type stream struct {
	cancel  context.CancelFunc
	body    io.ReadCloser
	lines   *bufio.Reader
	request string
	// holding is the memory for a line that is longer than the buffer of lines.
	holding *rationer.Holding
}

// Next implements Stream.
func (s *stream) Next() (Piece, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		if string(data) == doneMarker {
			return Piece{}, io.EOF
		}
		c := Piece{Raw: data}
		if err := json.Unmarshal(data, &c); err != nil {
			return Piece{}, fmt.Errorf("%w: decode chunk: %w", ErrTruncated, err)
		}
		if c.Error != nil {
			return Piece{}, fmt.Errorf("%w: engine reports an error: %s", ErrTruncated, *c.Error)
		}
		if c.ID != s.request {
			return Piece{}, fmt.Errorf("%w: got chunk of %q, want %q", ErrForeignAnswer, c.ID, s.request)
		}
		return c, nil
	}
}

// readLine returns the next line, which is valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLineBytes {
		line, err = s.lines.ReadSlice('\n')
		if rerr := s.holding.Resize(2 * (len(long) + len(line))); rerr != nil {
			return nil, rerr
		}
		long = append(long, line...)
	}
	// A whole line is soon passed on.
	return long, errors.Join(err, s.holding.Resize(0))
}

// HasBufferedChunk implements Stream.
func (s *stream) HasBufferedChunk() bool {
	b, err := s.lines.Peek(s.lines.Buffered())
	return err == nil && bytes.Contains(b, chunkEnd)
}

// Close implements Stream.
func (s *stream) Close() {
	s.cancel()
	s.body.Close()
	s.holding.End()
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, request string) error {
	return c.call(ctx, http.MethodPost, "/requests/"+url.PathEscape(request)+"/cancel", nil, nil)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, from uint64) ([]Event, error) {
	var events []Event
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/events?from=%d", from), nil, &events)
	return events, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return c.call(ctx, http.MethodPost, "/orders", bytes.NewReader(b), nil)
}

// call sends a call that is not a completion and decodes its answer into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in io.Reader, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	res, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(out); err != nil {
		return fmt.Errorf("%s %s: decode answer: %w", method, path, err)
	}
	return nil
}

// send sends a call and returns its answer, whose body the caller must close.
func (c *Client) send(ctx context.Context, method, path string, in io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, in)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, wrapDialError(err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		defer res.Body.Close()
		return nil, statusError(res)
	}
	return res, nil
}

// IsFramed reports whether an answer marks the end of its body or has none. An answer that ends with
// its connection looks complete wherever it is cut.
func IsFramed(res *http.Response) bool {
	return res.Body == http.NoBody || res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}

// wrapDialError wraps a failure to connect in ErrNotConnected, which says that nothing was sent.
func wrapDialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return err
}
