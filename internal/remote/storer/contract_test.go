package storer_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/keeper"
)

// addressVariable is the environment variable with the address of a store that is tested instead of
// the stand-in.
const addressVariable = "POMELOTILLER_STORE"

const (
	leaseTTL      = 500 * time.Millisecond
	watchWait     = 300 * time.Millisecond
	changeTimeout = 5 * time.Second
)

// contractTest runs one test against a store, below a key prefix that no other test uses.
type contractTest struct {
	storer.Store
	t      *testing.T
	prefix string
}

func newContractTest(t *testing.T) *contractTest {
	address := os.Getenv(addressVariable)
	if address == "" {
		s := httptest.NewServer(keeper.New().Handler())
		t.Cleanup(s.Close)
		address = s.Listener.Addr().String()
	}
	c := storer.NewClient(storer.ClientConfig{Address: address, WatchWait: watchWait})
	return &contractTest{Store: c, t: t, prefix: "contract/" + uuid.NewString() + "/"}
}

func (c *contractTest) key(name string) string { return c.prefix + name }

// mustSwap writes a key, or fails the test.
func (c *contractTest) mustSwap(w storer.Write) storer.Entry {
	c.t.Helper()
	e, err := c.Swap(c.t.Context(), w)
	if err != nil {
		c.t.Fatalf("swap %q: %v", w.Key, err)
	}
	return e
}

func (c *contractTest) wantConflict(w storer.Write, revision uint64, value string) {
	c.t.Helper()
	var conflict *storer.ConflictError
	_, err := c.Swap(c.t.Context(), w)
	if !errors.As(err, &conflict) || errors.Is(err, storer.ErrUnknownResult) {
		c.t.Fatalf("got error %v, want a conflict with a known result", err)
	}
	if got := conflict.Current; got.Revision != revision || string(got.Value) != value {
		c.t.Errorf("got current entry %+v, want %q at revision %d", got, value, revision)
	}
}

func (c *contractTest) wantNotFound(key string) {
	c.t.Helper()
	if e, err := c.Get(c.t.Context(), key); !errors.Is(err, storer.ErrNotFound) {
		c.t.Errorf("got entry %+v (%v), want %v", e, err, storer.ErrNotFound)
	}
}

func (c *contractTest) currentRevision() uint64 {
	c.t.Helper()
	p, err := c.List(c.t.Context(), c.prefix)
	if err != nil {
		c.t.Fatal(err)
	}
	return p.Revision
}

// awaitChange watches until a page with changes newer than from arrives, and returns it.
func (c *contractTest) awaitChange(from uint64) storer.Page {
	c.t.Helper()
	for deadline := time.Now().Add(changeTimeout); time.Now().Before(deadline); {
		p, err := c.Watch(c.t.Context(), c.prefix, from)
		if err != nil {
			c.t.Fatal(err)
		}
		if len(p.Entries) > 0 {
			return p
		}
	}
	c.t.Fatalf("no change within %s", changeTimeout)
	return storer.Page{}
}

// TestStoreContract checks what every store must do. POMELOTILLER_STORE is the address of the tested
// one.
func TestStoreContract(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(c *contractTest)
	}{
		{"a missing key is not found", func(c *contractTest) { c.wantNotFound(c.key("none")) }},
		{"a written key is read back", checkReadBack},
		{"a key is created once", func(c *contractTest) {
			e := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
			c.wantConflict(storer.Write{Key: c.key("a"), Value: []byte("2")}, e.Revision, "1")
		}},
		{"a stale revision conflicts", func(c *contractTest) {
			first := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
			second := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("2"), Expect: first.Revision})
			if second.Revision <= first.Revision {
				c.t.Errorf("got revision %d, want above %d", second.Revision, first.Revision)
			}
			c.wantConflict(storer.Write{Key: c.key("a"), Value: []byte("3"), Expect: first.Revision}, second.Revision, "2")
			c.wantConflict(storer.Write{Key: c.key("a"), Delete: true, Expect: first.Revision}, second.Revision, "2")
		}},
		{"a missing key has no revision", func(c *contractTest) {
			c.wantConflict(storer.Write{Key: c.key("a"), Value: []byte("1"), Expect: 7}, 0, "")
		}},
		{"a deleted key can be created again", func(c *contractTest) {
			e := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
			c.mustSwap(storer.Write{Key: c.key("a"), Delete: true, Expect: e.Revision})
			c.wantNotFound(c.key("a"))
			c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("2")})
		}},
		{"the same write twice takes effect once", func(c *contractTest) {
			w := storer.Write{Key: c.key("a"), Value: []byte("1"), ID: uuid.NewString()}
			first, second := c.mustSwap(w), c.mustSwap(w)
			if first.Revision != second.Revision {
				c.t.Errorf("got revisions %d and %d, want the same", first.Revision, second.Revision)
			}
		}},
		{"one of many writers at once wins", checkOneWriterWins},
		{"a list holds what is below its prefix", checkList},
		{"a watch reports an earlier change", func(c *contractTest) {
			from := c.currentRevision()
			e := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
			if p := c.awaitChange(from); p.Revision < e.Revision || p.Entries[0].Key != e.Key {
				c.t.Errorf("got page %+v, want key %q at revision %d", p, e.Key, e.Revision)
			}
		}},
		{"a watch reports a later change", func(c *contractTest) {
			from := c.currentRevision()
			time.AfterFunc(watchWait/2, func() {
				_, _ = c.Swap(context.WithoutCancel(c.t.Context()), storer.Write{Key: c.key("a"), Value: []byte("1")})
			})
			if p := c.awaitChange(from); string(p.Entries[0].Value) != "1" {
				c.t.Errorf("got page %+v, want value 1", p)
			}
		}},
		{"a watch reports a delete", func(c *contractTest) {
			e := c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
			c.mustSwap(storer.Write{Key: c.key("a"), Delete: true, Expect: e.Revision})
			if p := c.awaitChange(e.Revision); !p.Entries[0].Deleted {
				c.t.Errorf("got page %+v, want a deleted key", p)
			}
		}},
		{"a watch ends without a change", func(c *contractTest) {
			from := c.currentRevision()
			if p, err := c.Watch(c.t.Context(), c.prefix, from); err != nil || len(p.Entries) > 0 || p.Revision < from {
				c.t.Errorf("got page %+v (%v), want none at revision %d", p, err, from)
			}
		}},
		{"a value of a megabyte", func(c *contractTest) {
			value := bytes.Repeat([]byte("x"), 1<<20-1024)
			c.mustSwap(storer.Write{Key: c.key("a"), Value: value})
			if e, err := c.Get(c.t.Context(), c.key("a")); err != nil || !bytes.Equal(e.Value, value) {
				c.t.Errorf("got %d bytes (%v), want %d", len(e.Value), err, len(value))
			}
		}},
		{"a lapsed lease deletes its keys", checkLeaseLapses},
		{"a lease lasts while it is renewed", checkLeaseRenewed},
		{"a revoked lease deletes its keys", func(c *contractTest) {
			l := c.mustGrant()
			c.mustSwap(storer.Write{Key: c.key("a"), Lease: l.ID})
			if err := c.Revoke(c.t.Context(), l.ID); err != nil {
				c.t.Fatal(err)
			}
			c.wantNotFound(c.key("a"))
		}},
		{"a call ends with its context", func(c *contractTest) {
			ctx, cancel := context.WithCancel(c.t.Context())
			cancel()
			if _, err := c.Get(ctx, c.key("a")); err == nil {
				c.t.Error("got no error, want one")
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.run(newContractTest(t))
		})
	}
}

func checkReadBack(c *contractTest) {
	w := storer.Write{Key: c.key("a b/ü?&"), Value: []byte("\x00\xff"), ID: uuid.NewString()}
	written := c.mustSwap(w)
	read, err := c.Get(c.t.Context(), w.Key)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, e := range []storer.Entry{written, read} {
		if e.Key != w.Key || !bytes.Equal(e.Value, w.Value) || e.Write != w.ID || e.Revision == 0 || e.Revision != written.Revision {
			c.t.Errorf("got entry %+v, want that of %+v", e, w)
		}
	}
}

func checkOneWriterWins(c *contractTest) {
	const writers = 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for i := range writers {
		wg.Go(func() {
			_, err := c.Swap(c.t.Context(), storer.Write{Key: c.key("a"), Value: []byte(strconv.Itoa(i))})
			var conflict *storer.ConflictError
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
			} else if !errors.As(err, &conflict) {
				c.t.Error(err)
			}
		})
	}
	wg.Wait()
	if won != 1 {
		c.t.Errorf("got %d writers that won, want 1", won)
	}
}

func checkList(c *contractTest) {
	c.mustSwap(storer.Write{Key: c.key("b"), Value: []byte("2")})
	c.mustSwap(storer.Write{Key: c.key("a"), Value: []byte("1")})
	gone := c.mustSwap(storer.Write{Key: c.key("c")})
	c.mustSwap(storer.Write{Key: c.key("c"), Delete: true, Expect: gone.Revision})
	p, err := c.List(c.t.Context(), c.prefix)
	if err != nil {
		c.t.Fatal(err)
	}
	if len(p.Entries) != 2 || p.Entries[0].Key != c.key("a") || p.Entries[1].Key != c.key("b") || p.Revision <= gone.Revision {
		c.t.Errorf("got page %+v, want a and b in order", p)
	}
	if p, err := c.List(c.t.Context(), c.prefix+"none"); err != nil || len(p.Entries) != 0 {
		c.t.Errorf("got page %+v (%v), want an empty one", p, err)
	}
}

func (c *contractTest) mustGrant() storer.Lease {
	c.t.Helper()
	l, err := c.Grant(c.t.Context(), leaseTTL)
	if err != nil || l.ID == "" || l.TTL != leaseTTL {
		c.t.Fatalf("got lease %+v (%v), want one of %s", l, err, leaseTTL)
	}
	return l
}

func checkLeaseLapses(c *contractTest) {
	l := c.mustGrant()
	e := c.mustSwap(storer.Write{Key: c.key("a"), Lease: l.ID})
	if e.Lease != l.ID {
		c.t.Errorf("got lease %q of the key, want %q", e.Lease, l.ID)
	}
	if p := c.awaitChange(e.Revision); !p.Entries[0].Deleted {
		c.t.Errorf("got page %+v, want a deleted key", p)
	}
	c.wantNotFound(c.key("a"))
	if err := c.Renew(c.t.Context(), l.ID); !errors.Is(err, storer.ErrLeaseLapsed) {
		c.t.Errorf("got error %v of a renewal, want %v", err, storer.ErrLeaseLapsed)
	}
	if _, err := c.Swap(c.t.Context(), storer.Write{Key: c.key("b"), Lease: l.ID}); !errors.Is(err, storer.ErrLeaseLapsed) {
		c.t.Errorf("got error %v of a write, want %v", err, storer.ErrLeaseLapsed)
	}
}

func checkLeaseRenewed(c *contractTest) {
	l := c.mustGrant()
	c.mustSwap(storer.Write{Key: c.key("a"), Lease: l.ID})
	for range 6 {
		time.Sleep(leaseTTL / 3)
		if err := c.Renew(c.t.Context(), l.ID); err != nil {
			c.t.Fatal(err)
		}
	}
	if _, err := c.Get(c.t.Context(), c.key("a")); err != nil {
		c.t.Errorf("got error %v, want the key of a lease that was renewed", err)
	}
}
