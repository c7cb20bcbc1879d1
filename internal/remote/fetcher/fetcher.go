// Package fetcher is a client of the platform's weight store, which limits the rate of loads. An
// engine downloads weights itself when it is ordered to load a version. Before that order is sent,
// this client asks the store for permission to begin the load.
package fetcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pomelotiller/internal/remote/requester"
)

// defaultRetryAfter is the retry delay when the store refuses a load without a valid Retry-After.
const defaultRetryAfter = time.Second

// Weights holds the name and size of the model weights of a version.
type Weights struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Fetcher is the interface of the weight store.
type Fetcher interface {
	// Fetch requests permission to begin one load of the weights. It returns a *LimitError if the
	// store's rate limit is reached, and ErrNotFound if the weights do not exist.
	Fetch(ctx context.Context, name string) (Weights, error)
}

// Errors of the weight store.
var (
	ErrNotFound    = errors.New("weights not found")
	ErrUnavailable = errors.New("weight store unavailable")
)

// LimitError says that the rate limit of the weight store is reached, and when to retry.
type LimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("weight store rate limit reached; retry after %s", e.RetryAfter)
}

// ClientConfig configures a Client.
type ClientConfig = requester.Config

// Client is a Fetcher over HTTP and JSON.
type Client struct {
	platform *requester.Client
}

// NewClient returns a client of the weight store of the platform at cfg.Address.
func NewClient(cfg ClientConfig) *Client { return &Client{platform: requester.New(cfg)} }

// Fetch implements Fetcher.
func (c *Client) Fetch(ctx context.Context, name string) (Weights, error) {
	var w Weights
	a, err := c.platform.Call(ctx, http.MethodGet, "/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return w, fmt.Errorf("fetch weights %q: %w: %w", name, ErrUnavailable, err)
	}
	switch a.Status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return w, &LimitError{RetryAfter: parseRetryAfter(a.Header.Get("Retry-After"))}
	case http.StatusNotFound:
		return w, fmt.Errorf("fetch weights %q: %w", name, ErrNotFound)
	default:
		return w, fmt.Errorf("fetch weights %q: %w: %w", name, ErrUnavailable, a.StatusError())
	}
	if err := a.Decode(&w); err != nil {
		return w, fmt.Errorf("fetch weights %q: %w: %w", name, ErrUnavailable, err)
	}
	return w, nil
}

// parseRetryAfter parses the seconds in a Retry-After header field.
func parseRetryAfter(v string) time.Duration {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(n * float64(time.Second))
}
