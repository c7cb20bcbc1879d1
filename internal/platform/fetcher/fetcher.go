// Package fetcher asks the platform's weight store for weights. The store is
// limited in rate; engines fetch from it by themselves once they are ordered to
// load a version, so a load is ordered only when the store lets it begin.
package fetcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	defaultTimeout    = 2 * time.Second
	defaultRetryAfter = time.Second
	maxAnswerBytes    = 64 << 10
)

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
type ClientConfig struct {
	// Address is the host and port of the platform.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Client is a Fetcher over HTTP and JSON.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client of the weight store at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout, Transport: &http.Transport{}}}
}

// Fetch implements Fetcher.
func (c *Client) Fetch(ctx context.Context, name string) (Weights, error) {
	var w Weights
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+"/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return w, fmt.Errorf("fetch weights %q: %w", name, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return w, fmt.Errorf("fetch weights %q: %w: %w", name, ErrUnavailable, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return w, &LimitError{RetryAfter: retryAfter(res.Header.Get("Retry-After"))}
	case http.StatusNotFound:
		return w, fmt.Errorf("fetch weights %q: %w", name, ErrNotFound)
	default:
		return w, fmt.Errorf("fetch weights %q: %w: status %d", name, ErrUnavailable, res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&w); err != nil {
		return w, fmt.Errorf("fetch weights %q: %w: decode answer: %w", name, ErrUnavailable, err)
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
