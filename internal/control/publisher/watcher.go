package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	watchRetryDelay = 200 * time.Millisecond
	// roleCheckPeriod is the time between two checks whether this daemon is to watch the store.
	roleCheckPeriod = 200 * time.Millisecond
	// watchesPerCheck is the number of watches without a change after which the stored release is
	// checked. With watches of 1 s and a write of 2 s at most, a store that was restored from older
	// data is repaired within the 4 s in which a configuration is to be in force.
	watchesPerCheck = 2
	// checksPerFullRead is the number of checks after which the release is read though its digest is
	// that of the release in force.
	checksPerFullRead = 15
	// checkTimeout limits each read of a check, and is short since the daemon does not watch then.
	checkTimeout = 500 * time.Millisecond
	// digestKey is the key of the digest of the stored release. Watchers write it once they have
	// read the release in force from the store, and a restored store holds an older one. So a check
	// costs few bytes, whatever the size of the configuration.
	digestKey = "config/digest"
)

// Caller is the part of a messenger that a watcher uses.
type Caller interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

// KeyFollower follows a key below ConfigKey, which the watch of the configuration includes.
type KeyFollower interface {
	// Key returns the key.
	Key() string
	// HandleEntry handles the entry of the key, which is deleted or zero if the store has none. It
	// reports whether the store holds the value in force.
	HandleEntry(ctx context.Context, e storer.Entry) bool
	// Digest returns a text that differs for each value in force; empty if there was never one.
	Digest() string
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Store storer.Store
	// Followed is a further key to watch; nil if there is none.
	Followed KeyFollower
	Caller   Caller
	// Current returns the release in force at this daemon.
	Current func() Release
	// OfferRelease offers a release that was read to this daemon, which ignores one that is not
	// newer.
	OfferRelease func(Release)
	// Peers returns the other daemons.
	Peers func() []Peer
	// IsStoreWatcher reports whether this daemon is one of those in its failure domain that watch the
	// store; nil means always.
	IsStoreWatcher func() bool
	Logger         log.Logger
	Registry       metrics.Registry
}

func (cfg WatcherConfig) withDefaults() WatcherConfig {
	if cfg.IsStoreWatcher == nil {
		cfg.IsStoreWatcher = func() bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return cfg
}

// Watcher fetches releases from the store and from peers and offers them to this daemon.
type Watcher struct {
	cfg          WatcherConfig
	peersChanged chan struct{}
	// lastPulled is the release that was last pulled from a peer; only PullFromPeers uses it.
	// behindDigest is the digest of the outdated release last found in the store, and checks counts
	// the checks of the stored release; only WatchStore uses them.
	lastPulled   Release
	behindDigest uint64
	checks       int
}

// releaseEncoding encodes times in full precision, since the order of releases depends on them.
var releaseEncoding = mustReleaseEncoding()

func mustReleaseEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options above are valid.
		panic(err)
	}
	return m
}

// NewWatcher returns a watcher and registers the handler by which peers pull the release in force
// at this daemon.
func NewWatcher(cfg WatcherConfig) *Watcher {
	w := &Watcher{cfg: cfg.withDefaults(), peersChanged: make(chan struct{}, 1)}
	cfg.Caller.Handle(releaseCallKind, func(context.Context, []byte) ([]byte, error) {
		return releaseEncoding.Marshal(w.cfg.Current())
	})
	return w
}

// WatchStore watches the store until ctx ends, whenever IsStoreWatcher returns true.
func (w *Watcher) WatchStore(ctx context.Context) error {
	var from uint64
	unchanged := 0
	for ctx.Err() == nil {
		if !w.cfg.IsStoreWatcher() {
			from = 0
			sleep(ctx, roleCheckPeriod)
			continue
		}
		page, err := w.cfg.Store.Watch(ctx, ConfigKey, from)
		if err != nil {
			meter.AddToCounter(w.cfg.Registry, 1, "config_watch_failures_total")
			sleep(ctx, watchRetryDelay)
			continue
		}
		w.handlePage(ctx, page)
		unchanged++
		if len(page.Entries) > 0 {
			unchanged = 0
		}
		if page.Revision < from {
			// The store was restored from older data.
			unchanged = watchesPerCheck
		}
		if unchanged >= watchesPerCheck && w.checkStored(ctx) {
			unchanged = 0
		}
		from = page.Revision
	}
	return nil
}

// handlePage handles the entries of a watch. The followed key comes first, so that a daemon that starts
// knows the evacuations before it has the configuration with which it serves.
func (w *Watcher) handlePage(ctx context.Context, page storer.Page) {
	for _, e := range page.Entries {
		if w.cfg.Followed != nil && e.Key == w.cfg.Followed.Key() {
			w.cfg.Followed.HandleEntry(ctx, e)
		}
	}
	for _, e := range page.Entries {
		if e.Key == ConfigKey {
			w.handleEntry(ctx, e)
		}
	}
}

// checkStored checks that the store holds the release in force, and reports whether the store
// answered. A store that was restored from older data shows no change to a watch, and its revision
// tells nothing once other writes have brought it to that of the watch.
func (w *Watcher) checkStored(ctx context.Context) bool {
	digest, err := w.read(ctx, digestKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	w.checks++
	if string(digest.Value) == w.digestInForce() && w.checks%checksPerFullRead != 0 {
		return true
	}
	isFollowedCurrent, ok := w.checkFollowed(ctx)
	if !ok {
		return false
	}
	e, err := w.read(ctx, ConfigKey)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		w.repairStore(ctx, storer.Entry{}, Release{})
	case err != nil:
		return false
	case w.handleEntry(ctx, e) && isFollowedCurrent:
		w.writeDigest(ctx, digest)
	}
	return true
}

// checkFollowed reads the followed key. It reports whether the store holds the value in force, and
// whether the store answered.
func (w *Watcher) checkFollowed(ctx context.Context) (isCurrent, ok bool) {
	if w.cfg.Followed == nil {
		return true, true
	}
	e, err := w.read(ctx, w.cfg.Followed.Key())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false, false
	}
	return w.cfg.Followed.HandleEntry(ctx, e), true
}

// digestInForce returns the value of digestKey for the release and the followed value in force.
func (w *Watcher) digestInForce() string {
	digest := encodeDigest(w.cfg.Current())
	if w.cfg.Followed == nil || w.cfg.Followed.Digest() == "" {
		return digest
	}
	return digest + " " + w.cfg.Followed.Digest()
}

func (w *Watcher) read(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	e, err := w.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		meter.AddToCounter(w.cfg.Registry, 1, "config_watch_failures_total")
	}
	return e, err
}

// writeDigest writes the digest of the release in force over an older one. If another watcher was
// first, the write conflicts and the next check finds the digest.
func (w *Watcher) writeDigest(ctx context.Context, old storer.Entry) {
	want := w.digestInForce()
	if string(old.Value) == want {
		return
	}
	var conflict *storer.ConflictError
	_, err := w.cfg.Store.Swap(ctx, storer.Write{Key: digestKey, Value: []byte(want), Expect: old.Revision})
	if err != nil && !errors.As(err, &conflict) {
		meter.AddToCounter(w.cfg.Registry, 1, "config_watch_failures_total")
	}
}

// encodeDigest returns the value of digestKey for a release.
func encodeDigest(r Release) string { return fmt.Sprintf("%d %x", r.Generation, r.Digest()) }

// handleEntry offers a newer release to this daemon, and repairs a store that holds an older one. It
// reports whether the entry holds the release in force.
func (w *Watcher) handleEntry(ctx context.Context, e storer.Entry) bool {
	if e.Deleted {
		w.repairStore(ctx, storer.Entry{}, Release{})
		return false
	}
	r, err := Decode(e)
	if err != nil {
		meter.AddToCounter(w.cfg.Registry, 1, "config_malformed_total")
		return false
	}
	switch current := w.cfg.Current(); {
	case current.IsNewer(r):
		w.repairStore(ctx, e, r)
		return false
	case r.IsNewer(current):
		w.cfg.OfferRelease(r)
		return false
	}
	return true
}

// repairStore writes the release in force back to a store that holds an older one or none. The
// write is a compare-and-swap on the outdated entry, so it never overwrites a later publish.
func (w *Watcher) repairStore(ctx context.Context, e storer.Entry, stored Release) {
	current := w.cfg.Current()
	if current.Generation == 0 {
		return
	}
	if d := stored.Digest(); d != w.behindDigest {
		w.behindDigest = d
		meter.AddToCounter(w.cfg.Registry, 1, "config_store_behind_total")
		// There is nowhere to report that logging fails.
		_ = level.Warn(w.cfg.Logger).Log("msg", "store holds an older configuration, not adopted",
			"generation", stored.Generation, "in_force", current.Generation)
	}
	current.Repaired = true
	p := New(Config{Store: w.cfg.Store})
	if err := p.writeRelease(ctx, current, e.Revision); err != nil {
		meter.AddToCounter(w.cfg.Registry, 1, "config_repair_failures_total")
		return
	}
	meter.AddToCounter(w.cfg.Registry, 1, "config_repairs_total")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
