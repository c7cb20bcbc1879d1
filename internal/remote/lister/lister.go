// Package lister is a client of the platform's list of hosts. The list is eventually consistent: it
// may show a host as live for some time after the host began to leave or has gone.
package lister

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pomelotiller/internal/remote/requester"
)

// Role is the kind of process that runs on a host.
type Role string

// Roles of hosts.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleEntry   Role = "entry"
)

// State is the state of a host according to the platform.
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
	// Address is the address at which an endpoint serves requests, or, for an entry host, at which
	// its daemon receives messages of other daemons over UDP.
	Address     string    `json:"address"`
	State       State     `json:"state"`
	Reclaimable bool      `json:"reclaimable,omitempty"`
	LeaveAt     time.Time `json:"leave_at,omitzero"`
}

// Lister is the interface of the platform's host list.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrUnavailable is the error when the complete list could not be read.
var ErrUnavailable = errors.New("host list unavailable")

// ClientConfig configures a Client.
type ClientConfig = requester.Config

// Client is a Lister over HTTP and JSON.
type Client struct {
	platform *requester.Client
}

// NewClient returns a client of the host list of the platform at cfg.Address.
func NewClient(cfg ClientConfig) *Client { return &Client{platform: requester.New(cfg)} }

// Hosts implements Lister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	hosts, err := c.readHosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return hosts, nil
}

func (c *Client) readHosts(ctx context.Context) ([]Host, error) {
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
		// A valid empty list is []. Accepting null as an empty list would drop all hosts.
		return nil, errors.New("answer is null, want a list of hosts")
	}
	return hosts, nil
}
