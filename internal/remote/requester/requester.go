// Package requester is the HTTP and JSON client that the clients of the platform's services share.
// They interpret the status of an answer themselves.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/remote/validator"
)

const (
	defaultTimeout        = 2 * time.Second
	defaultMaxAnswerBytes = 64 << 20
	maxIdleConns          = 16
	// idleConnTimeout is short, since an idle connection may have stalled unnoticed.
	idleConnTimeout = 5 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is the host and port of the platform.
	Address string
	// Timeout is the longest duration of one call; 0 is 2 s.
	Timeout time.Duration
	// MaxAnswerBytes is the size of the largest body of an answer; 0 is 64 MB.
	MaxAnswerBytes int
}

// Client calls one service of the platform.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of the service at cfg.Address.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	t := validator.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: rationer.MaxHeaderBytes,
	})
	return &Client{cfg: cfg, http: &http.Client{
		Transport: t,
		// A redirect would send a call again, to an address that the settings do not name.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Answer is a complete HTTP response of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends in as JSON, or no body if in is nil, and reads the complete answer within the client's
// timeout. After an error the call may still have taken effect.
func (c *Client) Call(ctx context.Context, method, path string, in any) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.Send(ctx, method, path, in)
}

// CloseIdle closes idle connections, so that later calls open new ones.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Send is like Call, but only ctx bounds its duration.
func (c *Client) Send(ctx context.Context, method, path string, in any) (Answer, error) {
	return c.SendWithHeader(ctx, method, path, nil, in)
}

// SendWithHeader is like Send and adds the header fields h.
func (c *Client) SendWithHeader(ctx context.Context, method, path string, h http.Header, in any) (Answer, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Answer{}, fmt.Errorf("encode %s %s: %w", method, path, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, body)
	if err != nil {
		return Answer{}, err
	}
	for name, values := range h {
		req.Header[name] = values
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	b, err := rationer.ReadAll(res.Body, (*rationer.Holding)(nil), c.cfg.MaxAnswerBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: b}, nil
}

// Decode decodes the body from JSON into out. It does nothing if out is nil.
func (a Answer) Decode(out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// StatusError returns an error with the status and body, for a status that the caller did not expect.
func (a Answer) StatusError() error {
	return fmt.Errorf("status %d: %s", a.Status, bytes.TrimSpace(a.Body))
}
