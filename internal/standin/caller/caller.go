// Package caller is a small stand-in for the users' callers: it sends requests
// over the users' wire on connections that it keeps open.
package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Config configures a Caller.
type Config struct {
	// Address is the daemon that the caller is connected to.
	Address string
	// Host and Key are sent with each request.
	Host, Key string
	// Patience is how long the caller waits for a whole answer.
	Patience time.Duration
}

// Caller sends one request at a time.
type Caller struct {
	cfg    Config
	client *http.Client
}

// Request is what a caller asks for.
type Request struct {
	// ID names the request.
	ID     string
	Method string
	Path   string
	Body   string
}

// Answer is what a caller got. Status is 0 where there was none; Err says why
// the answer is not whole.
type Answer struct {
	Status int
	Body   string
	// RetryAfter is when the caller is told to come back; negative if it is not.
	RetryAfter time.Duration
	Err        error
}

// New returns a caller without connections.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: cfg.Patience}}
}

// Close ends the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request and reads its whole answer.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.cfg.Address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = c.cfg.Host
	// A request without a way to read its body again is never sent twice.
	req.GetBody = nil
	req.Header.Set("Pomelotiller-Attempt-Id", r.ID)
	req.Header.Set("Pomelotiller-Deadline-Ms", strconv.FormatInt(c.cfg.Patience.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	res, err := c.client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		err = fmt.Errorf("read answer: %w", err)
	}
	return Answer{Status: res.StatusCode, Body: string(b), RetryAfter: retryAfter(res.Header.Get("Retry-After")), Err: err}
}

func retryAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return -1
	}
	return time.Duration(s * float64(time.Second))
}
