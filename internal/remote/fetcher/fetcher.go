// Package fetcher asks the platform's weight store for weights. The store is
// limited in rate; engines fetch from it by themselves once they are ordered to
// load a version, so a load is ordered only when the store lets it begin.
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

// defaultRetryAfter is the wait after a refusal that names none.
const defaultRetryAfter = time.Second

// Weights describe the weights of a version.
type Weights struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Fetcher is the narrow view of the weight store.
type Fetcher interface {
	// Fetch lets one load of the weights begin. It returns a *LimitError if the
	// store's rate does not allow it yet, and ErrNotFound if there are no such
	// weights.
	Fetch(ctx context.Context, name string) (Weights, error)
}

// Errors of the weight store.
var (
	ErrNotFound    = errors.New("weights not found")
	ErrUnavailable = errors.New("weight store unavailable")
)

// LimitError says that the store's rate is used up.
type LimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("weight store is at its rate; try again in %s", e.RetryAfter)
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
		return w, &LimitError{RetryAfter: retryAfter(a.Header.Get("Retry-After"))}
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

func retryAfter(v string) time.Duration {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(n * float64(time.Second))
}
