package publisher

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/keeper"
)

// noPeers is a Caller without peers.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }
func (noPeers) Handle(string, messenger.Handler)                             {}

// callCounter counts the watches of a store that have ended, and the reads of the configuration. began
// gets the revision of a watch that begins.
type callCounter struct {
	storer.Store
	watches, reads atomic.Int64
	began          chan uint64
}

func newCallCounter(s storer.Store) *callCounter {
	return &callCounter{Store: s, began: make(chan uint64)}
}

func (c *callCounter) Watch(ctx context.Context, prefix string, from uint64) (storer.Page, error) {
	select {
	case c.began <- from:
	default:
	}
	defer c.watches.Add(1)
	return c.Store.Watch(ctx, prefix, from)
}

func (c *callCounter) Get(ctx context.Context, key string) (storer.Entry, error) {
	if key == ConfigKey {
		c.reads.Add(1)
	}
	return c.Store.Get(ctx, key)
}

// awaitWatches waits until n more watches have ended.
func (c *callCounter) awaitWatches(n int64) {
	for end := c.watches.Load() + n; c.watches.Load() < end; {
		time.Sleep(time.Millisecond)
	}
}

// awaitDigest waits until the store holds the digest of a release.
func awaitDigest(t *testing.T, s storer.Store, r Release) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if e, err := s.Get(t.Context(), digestKey); err == nil && string(e.Value) == encodeDigest(r) {
			return
		}
	}
	t.Fatalf("the store does not hold the digest of generation %d", r.Generation)
}

// watchRelease watches the store until the test ends, with the release that it returns in force.
func watchRelease(t *testing.T, s storer.Store, r Release) *atomic.Pointer[Release] {
	t.Helper()
	var inForce atomic.Pointer[Release]
	inForce.Store(&r)
	w := NewWatcher(WatcherConfig{
		Store: s, Caller: noPeers{},
		Current: func() Release { return *inForce.Load() }, OfferRelease: func(Release) {},
	})
	go func() { _ = w.WatchStore(t.Context()) }()
	return &inForce
}

// TestRestoredStoreIsRepairedThoughItHasPassedTheWatch guards against a store that keeps an older
// release for 30 watches: it was restored from older data, and writes of other keys have brought its
// revision to that of the waiting watch before the watch ends, so its revision shows nothing.
func TestRestoredStoreIsRepairedThoughItHasPassedTheWatch(t *testing.T) {
	// watches is the number of watches, of 1 s in a daemon, after which the store must be repaired.
	const watches = 3
	for _, tc := range []struct {
		name string
		lose func(k *keeper.Keeper)
	}{
		{"restored", (*keeper.Keeper).Restore},
		{"emptied", (*keeper.Keeper).Clear},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k, c := startPlatform(t)
			p := New(Config{Store: c})
			first := mustPublish(t, p, 1, 0)
			calls := newCallCounter(c)
			inForce := watchRelease(t, calls, first)
			awaitDigest(t, c, first)
			k.Save()
			second := mustPublish(t, p, 2, 1)
			inForce.Store(&second)
			awaitDigest(t, c, second)
			from := <-calls.began
			tc.lose(k)
			for revision, n := uint64(0), 0; revision < from; n++ {
				e, err := c.Swap(t.Context(), storer.Write{Key: strings.Repeat("x", n+1), Value: []byte("1")})
				if err != nil {
					t.Fatal(err)
				}
				revision = e.Revision
			}
			calls.awaitWatches(watches)
			if r, _, err := p.readStored(t.Context()); err != nil || r.Generation != 2 {
				t.Errorf("got generation %d (%v) in the store after %d watches, want 2", r.Generation, err, watches)
			}
		})
	}
}

// TestUnchangedReleaseIsNotReadAgain guards against checks that cost as many bytes as the
// configuration has.
func TestUnchangedReleaseIsNotReadAgain(t *testing.T) {
	_, c := startPlatform(t)
	r := mustPublish(t, New(Config{Store: c}), 1, 0)
	calls := newCallCounter(c)
	watchRelease(t, calls, r)
	awaitDigest(t, c, r)
	before := calls.reads.Load()
	calls.awaitWatches(3 * watchesPerCheck)
	if got := calls.reads.Load() - before; got > 0 {
		t.Errorf("got %d reads of the configuration in %d watches without a change, want 0", got, 3*watchesPerCheck)
	}
}
