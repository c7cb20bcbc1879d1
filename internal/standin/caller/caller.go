// Package caller simulates the users' callers for tests: it sends requests over the
// users' HTTP protocol on persistent connections.
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

// AttemptIDHeader is the header field that identifies one attempt of a caller.
const AttemptIDHeader = "Pomelotiller-Attempt-Id"

// Config configures a Caller.
type Config struct {
	// Address is the address of the daemon to send requests to.
	Address string
	// Host and Key are the host name and the API key that each request has.
	Host, Key string
	// Timeout is the timeout for a complete answer.
	Timeout time.Duration
}

// Caller sends one request at a time.
type Caller struct {
	cfg    Config
	client *http.Client
}

// Request is one request of a caller.
type Request struct {
	// ID is the attempt ID that the request has in its header.
	ID     string
	Method string
	Path   string
	Body   string
	// BodyPause is the time between the header and the body; 0 sends them together.
	BodyPause time.Duration
}

// slowBody is a reader of a body that pauses before its first byte. It is of a type that the HTTP client
// does not know, so that the client sends the header before it reads the body.
type slowBody struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	b.pause = 0
	return b.Reader.Read(p)
}

// body returns the body of the request.
func (r Request) body() io.Reader {
	if r.BodyPause > 0 {
		return &slowBody{strings.NewReader(r.Body), r.BodyPause}
	}
	return strings.NewReader(r.Body)
}

// Answer is the answer that a caller received. Status is 0 if there was none; Err is
// set if the answer is incomplete.
type Answer struct {
	Status int
	Body   string
	// RetryAfter is the value of the header Retry-After, or negative if there is none.
	RetryAfter time.Duration
	Err        error
}

// New returns a caller that has no open connection yet.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: cfg.Timeout}}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request and reads the complete answer.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.cfg.Address+r.Path, r.body())
	if err != nil {
		return Answer{Err: err}
	}
	req.ContentLength = int64(len(r.Body))
	req.Host = c.cfg.Host
	// Without GetBody the HTTP client cannot read the body again, so it never sends a
	// request twice.
	req.GetBody = nil
	req.Header.Set(AttemptIDHeader, r.ID)
	req.Header.Set("Pomelotiller-Deadline-Ms", strconv.FormatInt(c.cfg.Timeout.Milliseconds(), 10))
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
	return Answer{Status: res.StatusCode, Body: string(b), RetryAfter: parseRetryAfter(res.Header.Get("Retry-After")), Err: err}
}

func parseRetryAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return -1
	}
	return time.Duration(s * float64(time.Second))
}
