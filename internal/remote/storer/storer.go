// Package storer is a client of the platform's key-value service, which stores all state that must
// outlive a daemon: configuration, orders, moves and leases.
//
// All writes are compare-and-swap, which alone ensures their safety. Each write has a unique
// identifier, so that a write whose answer was lost can be repeated and the service recognises one
// that it has already applied.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Entry is a key with its value at one revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Write    string `json:"write,omitempty"`
	Lease    string `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Write is a compare-and-swap of one key. Expect is the revision at which the caller last read the
// key, or 0 if the key must not exist.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease,omitempty"`
	ID     string `json:"id"`
	Delete bool   `json:"delete,omitempty"`
}

// Lease is a time-limited grant that lapses unless it is renewed in time. The service then deletes the keys that
// are attached to it.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Page holds the entries below a prefix, consistent at one revision of the store.
type Page struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// Store is the interface of the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes a key by compare-and-swap. If the key is not at the expected revision, it returns
	// a *ConflictError with the current entry. If it is unknown whether the write took effect, it
	// returns an error that wraps ErrUnknownResult.
	Swap(ctx context.Context, w Write) (Entry, error)
	// List returns all entries whose key starts with prefix.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch is a long poll: it waits until an entry below prefix is newer than revision from, or
	// until the service ends the wait, and returns the changed entries.
	Watch(ctx context.Context, prefix string, from uint64) (Page, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its time to live. It returns ErrLeaseLapsed if the lease has ended.
	Renew(ctx context.Context, id string) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id string) error
}

// Errors of the key-value service.
var (
	ErrNotFound      = errors.New("key not found")
	ErrLeaseLapsed   = errors.New("lease lapsed")
	ErrUnavailable   = errors.New("store unavailable")
	ErrUnknownResult = errors.New("write not settled")
	// ErrCompacted is the error of a watch from a revision whose later changes the service no
	// longer stores.
	ErrCompacted = errors.New("history compacted")
)

// ConflictError is the error of a compare-and-swap whose key is not at the expected revision.
type ConflictError struct {
	Key     string
	Expect  uint64
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d, not at %d", e.Key, e.Current.Revision, e.Expect)
}
