// Package renter rents hosts from the platform's cloud: prices, starts with a
// client token, stops, and notices that a host is about to be reclaimed.
package renter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	defaultTimeout = 5 * time.Second
	maxAnswerBytes = 4 << 20
)

// Slot is what a host is rented as.
type Slot struct {
	Class       string `json:"class"`
	Domain      string `json:"domain"`
	Reclaimable bool   `json:"reclaimable"`
}

// Offer is the present price of a slot an hour.
type Offer struct {
	Slot
	Price float64 `json:"price"`
}

// Start asks for a host. A second call with the same token returns the host of
// the first, so that a lost answer rents no second host.
type Start struct {
	Slot
	Token string `json:"token"`
}

// Host is a rented host.
type Host struct {
	Slot
	Name  string `json:"name"`
	Token string `json:"token"`
	// Ready is set once the host has started.
	Ready bool `json:"ready"`
	// LeaveAt is when the host will be taken back; zero if there is no notice.
	LeaveAt time.Time `json:"leave_at,omitzero"`
}

// Renter is the narrow view of the cloud.
type Renter interface {
	Offers(ctx context.Context) ([]Offer, error)
	Hosts(ctx context.Context) ([]Host, error)
	// Start returns ErrRefused if the cloud has no such host to give. After any
	// other error the host may have been rented.
	Start(ctx context.Context, s Start) (Host, error)
	Stop(ctx context.Context, name string) error
}

// ErrRefused is returned for a start that the cloud refuses.
var ErrRefused = errors.New("start refused")

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the platform.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Client is a Renter over HTTP and JSON.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client of the cloud at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout, Transport: &http.Transport{}}}
}

// Offers implements Renter.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	err := c.call(ctx, http.MethodGet, "/cloud/offers", nil, &out)
	return out, err
}

// Hosts implements Renter.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out []Host
	err := c.call(ctx, http.MethodGet, "/cloud/hosts", nil, &out)
	return out, err
}

// Start implements Renter.
func (c *Client) Start(ctx context.Context, s Start) (Host, error) {
	var h Host
	err := c.call(ctx, http.MethodPost, "/cloud/hosts", s, &h)
	return h, err
}

// Stop implements Renter.
func (c *Client) Stop(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, "/cloud/hosts/"+url.PathEscape(name), nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, path, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	// The transport must not send a start again by itself.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer res.Body.Close()
	switch {
	case res.StatusCode == http.StatusConflict:
		return fmt.Errorf("cloud: %s %s: %w", method, path, ErrRefused)
	case res.StatusCode != http.StatusOK:
		return fmt.Errorf("cloud: %s %s: status %d", method, path, res.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(out); err != nil {
		return fmt.Errorf("cloud: %s %s: decode answer: %w", method, path, err)
	}
	return nil
}
