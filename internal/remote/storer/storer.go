// Package storer talks to the platform's key-value service, which holds all
// state that must outlive a daemon: configuration, orders, moves and leases.
//
// Safety rests on compare-and-swap alone. Each write carries an identifier of
// its own, so that a write whose answer was lost can be repeated and is
// recognised as already applied.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Entry is one stored key at one revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Write    string `json:"write,omitempty"`
	Lease    string `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Write is a compare-and-swap of one key. Expect is the revision that the
// caller last saw, or 0 when the key must not exist.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease,omitempty"`
	ID     string `json:"id"`
	Delete bool   `json:"delete,omitempty"`
}

// Lease is a grant that lapses unless renewed; keys attached to it go with it.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Page is a consistent listing of a prefix at one revision of the store.
type Page struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// Store is the narrow view of the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes if the key is still at the expected revision. It returns a
	// *ConflictError with the current entry if not, and an error that wraps
	// ErrUnsettled if it is not known whether the write took effect.
	Swap(ctx context.Context, w Write) (Entry, error)
	// List returns all entries whose key starts with prefix.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch waits until an entry below prefix is newer than revision from, or
	// until the service's wait is over, and returns what changed.
	Watch(ctx context.Context, prefix string, from uint64) (Page, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease by its time to live, or returns ErrLeaseLapsed.
	Renew(ctx context.Context, id string) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id string) error
}

// Errors of the key-value service.
var (
	ErrNotFound    = errors.New("key not found")
	ErrLeaseLapsed = errors.New("lease lapsed")
	ErrUnavailable = errors.New("store unavailable")
	ErrUnsettled   = errors.New("write not settled")
	// ErrCompacted says that a watch asks for changes that the service no
	// longer knows.
	ErrCompacted = errors.New("history compacted")
)

// ConflictError says that a key had another revision than the one expected.
type ConflictError struct {
	Key     string
	Expect  uint64
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d, not at %d", e.Key, e.Current.Revision, e.Expect)
}
