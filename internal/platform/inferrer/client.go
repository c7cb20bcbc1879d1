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
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	maxErrorBytes  = 4 << 10
	maxCacheBytes  = 256 << 20
	endMark        = "[DONE]"
	dataPrefix     = "data: "
	dialTimeout    = time.Second
	idleConnsLimit = 64
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the engine.
	Address string
	// CallTimeout bounds a call that is not a completion.
	CallTimeout time.Duration
	// HTTP is shared by the clients of one process; nil makes one.
	HTTP *http.Client
}

// Client is an Engine over HTTP.
type Client struct {
	cfg ClientConfig
}

// NewHTTP returns the HTTP client that the engine clients of a process share.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsLimit,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

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
	path := a.Path
	if a.From > 0 {
		path = fmt.Sprintf("/requests/%s/resume?from=%d", url.PathEscape(a.Request), a.From)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+path, bytes.NewReader(a.Body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start attempt: %w", err)
	}
	for k, v := range a.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, a.Request)
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.Header.Set(HeaderPriority, a.Priority)
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		cancel()
		return nil, connectionError(err)
	}
	if err := checkAnswer(res, a); err != nil {
		res.Body.Close()
		cancel()
		return nil, err
	}
	return &stream{cancel: cancel, body: res.Body, lines: bufio.NewReader(res.Body), request: a.Request}, nil
}

// connectionError marks a failure to connect, after which nothing was sent.
func connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return err
}

func checkAnswer(res *http.Response, a Attempt) error {
	if res.StatusCode != http.StatusOK {
		return statusError(res)
	}
	if res.Header.Get(HeaderRequest) != a.Request || res.Header.Get(HeaderAttempt) != strconv.Itoa(a.Number) {
		return fmt.Errorf("%w: got request %q attempt %q, want %q %d", ErrCrossed,
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

type stream struct {
	cancel  context.CancelFunc
	body    io.ReadCloser
	lines   *bufio.Reader
	request string
}

// Next implements Stream.
func (s *stream) Next() (Chunk, error) {
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			return Chunk{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		if data == endMark {
			return Chunk{}, io.EOF
		}
		var c Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return Chunk{}, fmt.Errorf("%w: decode chunk: %w", ErrTruncated, err)
		}
		if c.ID != s.request {
			return Chunk{}, fmt.Errorf("%w: got chunk of %q, want %q", ErrCrossed, c.ID, s.request)
		}
		return c, nil
	}
}

// Close implements Stream.
func (s *stream) Close() {
	s.cancel()
	s.body.Close()
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
	return c.call(ctx, http.MethodPost, "/orders", b, nil)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, request string) ([]byte, error) {
	var raw json.RawMessage
	err := c.call(ctx, http.MethodGet, "/kv/"+url.PathEscape(request), nil, &raw)
	return raw, err
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, request string, cache []byte) error {
	return c.call(ctx, http.MethodPut, "/kv/"+url.PathEscape(request), cache, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return connectionError(err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return statusError(res)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxCacheBytes)).Decode(out); err != nil {
		return fmt.Errorf("%s %s: decode answer: %w", method, path, err)
	}
	return nil
}
