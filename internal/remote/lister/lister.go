// Package lister reads the platform's list of hosts. The list lags: a host may
// be leaving or gone for some time before the list says so.
package lister

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pomelotiller/internal/remote/requester"
)

// Role says what runs on a host.
type Role string

// Roles of hosts.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleEntry   Role = "entry"
)

// State is the platform's view of a host.
type State string

// States of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Pool   string `json:"pool,omitempty"`
	Class  string `json:"class,omitempty"`
	Role   Role   `json:"role"`
	// Address is where the host serves: an endpoint its callers, an entry host
	// other daemons, over UDP.
	Address     string    `json:"address"`
	State       State     `json:"state"`
	Reclaimable bool      `json:"reclaimable,omitempty"`
	LeaveAt     time.Time `json:"leave_at,omitzero"`
}

// Lister returns the hosts that the platform knows of.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrUnavailable says that the list could not be read in full.
var ErrUnavailable = errors.New("host list unavailable")

// ClientConfig configures a Client.
type ClientConfig = requester.Config

// Client is a Lister over HTTP and JSON.
type Client struct {
	platform *requester.Client
}

// NewClient returns a client of the list that the platform at cfg.Address keeps.
func NewClient(cfg ClientConfig) *Client { return &Client{platform: requester.New(cfg)} }

// Hosts implements Lister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	hosts, err := c.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return hosts, nil
}

func (c *Client) read(ctx context.Context) ([]Host, error) {
	a, err := c.platform.Call(ctx, http.MethodGet, "/hosts", nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, a.StatusError()
	}
	var hosts []Host
	if err := a.Decode(&hosts); err != nil {
		return nil, err
	}
	if hosts == nil {
		// An empty list is [], and would drop all hosts.
		return nil, errors.New("answer holds no list")
	}
	return hosts, nil
}
