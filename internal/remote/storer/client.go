package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/remote/requester"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 2 * time.Second
	watchGrace         = 500 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the service.
	Address string
	// CallTimeout is the longest duration of one attempt of a call.
	CallTimeout time.Duration
	// WatchWait is how long the service may hold a watch open. It also bounds the time until a
	// watch on a stalled connection is detected.
	WatchWait time.Duration
	// Attempts is the number of attempts of a write before its result is reported as unknown.
	Attempts uint
}

// Client is a Store over HTTP and JSON.
type Client struct {
	cfg      ClientConfig
	platform *requester.Client
}

// NewClient returns a client of the service at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = defaultWatchWait
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = 3
	}
	return &Client{cfg: cfg, platform: requester.New(requester.Config{Address: cfg.Address})}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	status, err := c.call(ctx, http.MethodGet, "/kv?key="+url.QueryEscape(key), nil, &e)
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return Entry{}, fmt.Errorf("get %q: %w", key, ErrNotFound)
	}
	return e, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, w Write) (Entry, error) {
	return SwapWithRetry(ctx, w, c.cfg.Attempts, c.swapOnce)
}

func (c *Client) swapOnce(ctx context.Context, w Write) (Entry, error) {
	var e Entry
	status, err := c.attempt(ctx, http.MethodPost, "/kv", w, &e)
	if err != nil {
		return Entry{}, err
	}
	switch status {
	case http.StatusConflict:
		return Entry{}, &ConflictError{Key: w.Key, Expect: w.Expect, Current: e}
	case http.StatusGone:
		return Entry{}, fmt.Errorf("swap %q: %w", w.Key, ErrLeaseLapsed)
	}
	return e, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Page, error) {
	var p Page
	_, err := c.call(ctx, http.MethodGet, "/list?prefix="+url.QueryEscape(prefix), nil, &p)
	return p, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchWait+watchGrace)
	defer cancel()
	path := fmt.Sprintf("/watch?prefix=%s&from=%d&wait=%s", url.QueryEscape(prefix), from, c.cfg.WatchWait)
	var p Page
	_, err := c.send(ctx, http.MethodGet, path, nil, &p)
	if errors.Is(err, context.DeadlineExceeded) {
		c.platform.CloseIdle()
	}
	return p, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var l Lease
	_, err := c.call(ctx, http.MethodPost, "/leases", Lease{TTL: ttl, ID: uuid.NewString()}, &l)
	return l, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, id string) error {
	status, err := c.call(ctx, http.MethodPost, "/leases/"+url.PathEscape(id)+"/renew", nil, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return fmt.Errorf("renew %q: %w", id, ErrLeaseLapsed)
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/leases/"+url.PathEscape(id), nil, nil)
	return err
}

// call sends an idempotent call. If it times out, call sends it once more, since its connection may
// have stalled for good while a new one works.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (int, error) {
	status, err := c.attempt(ctx, method, path, in, out)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return c.attempt(ctx, method, path, in, out)
	}
	return status, err
}

// attempt sends a call once. If it times out, attempt also closes the idle connections, since the
// cause may have stalled all of them.
func (c *Client) attempt(ctx context.Context, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	status, err := c.send(ctx, method, path, in, out)
	if errors.Is(err, context.DeadlineExceeded) {
		c.platform.CloseIdle()
	}
	return status, err
}

// send sends a call, with ctx as its only time bound. It returns the status codes that callers
// interpret, and ErrUnavailable for all others.
func (c *Client) send(ctx context.Context, method, path string, in, out any) (int, error) {
	a, err := c.platform.Send(ctx, method, path, in)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch a.Status {
	case http.StatusOK, http.StatusConflict:
		if err := a.Decode(out); err != nil {
			return a.Status, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	case http.StatusNotFound, http.StatusGone, http.StatusNoContent:
	default:
		return a.Status, fmt.Errorf("%w: %w", ErrUnavailable, a.StatusError())
	}
	return a.Status, nil
}
