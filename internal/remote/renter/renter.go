// Package renter is a client of the platform's cloud. It lists offers with prices, starts hosts
// idempotently with a client token, stops them, and lists them with notices of reclaims.
package renter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"pomelotiller/internal/remote/requester"
)

// HostType is a type of host that the cloud offers: class, failure domain, and whether the cloud may
// reclaim it.
type HostType struct {
	Class       string `json:"class"`
	Domain      string `json:"domain"`
	Reclaimable bool   `json:"reclaimable"`
}

// Offer is the current price of a slot per hour.
type Offer struct {
	HostType
	Price float64 `json:"price"`
}

// Start is a request to rent a host. The token makes it idempotent: a repeated request with the
// same token returns the same host, so that a retry after a lost answer rents no second one.
type Start struct {
	HostType
	Token string `json:"token"`
}

// Host is a rented host.
type Host struct {
	HostType
	Name  string `json:"name"`
	Token string `json:"token"`
	// Ready is true once the host has started.
	Ready bool `json:"ready"`
	// LeaveAt is when the cloud will reclaim the host; zero if there is no notice.
	LeaveAt time.Time `json:"leave_at,omitzero"`
}

// Renter is the interface of the cloud.
type Renter interface {
	Offers(ctx context.Context) ([]Offer, error)
	Hosts(ctx context.Context) ([]Host, error)
	// Start returns ErrRefused if no such host is available. After any other error the host may
	// have been rented.
	Start(ctx context.Context, s Start) (Host, error)
	Stop(ctx context.Context, name string) error
}

// ErrRefused is the error of a start that the cloud refuses, since no such host is available.
var ErrRefused = errors.New("start refused")

// ClientConfig configures a Client.
type ClientConfig = requester.Config

// Client is a Renter over HTTP and JSON.
type Client struct {
	platform *requester.Client
}

// NewClient returns a client of the cloud of the platform at cfg.Address.
func NewClient(cfg ClientConfig) *Client { return &Client{platform: requester.New(cfg)} }

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
	a, err := c.platform.Call(ctx, method, path, in)
	switch {
	case err != nil:
	case a.Status == http.StatusConflict:
		err = ErrRefused
	case a.Status != http.StatusOK:
		err = a.StatusError()
	default:
		err = a.Decode(out)
	}
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, path, err)
	}
	return nil
}
