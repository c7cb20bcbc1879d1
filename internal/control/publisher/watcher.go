package publisher

import (
	"context"
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
	// watchesPerFullRead is the number of watch calls after which the configuration is read in
	// full. This detects a store that was restored from older data and has since passed the
	// revision at which the watch stands.
	watchesPerFullRead = 30
)

// Caller is the part of a messenger that a watcher uses.
type Caller interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Store  storer.Store
	Caller Caller
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
	// behindDigest is the digest of the outdated release last found in the store; only WatchStore
	// uses it.
	lastPulled   Release
	behindDigest uint64
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
	for n := 0; ctx.Err() == nil; n++ {
		if !w.cfg.IsStoreWatcher() {
			from = 0
			sleep(ctx, roleCheckPeriod)
			continue
		}
		if n%watchesPerFullRead == 0 {
			from = 0
		}
		page, err := w.cfg.Store.Watch(ctx, ConfigKey, from)
		if err != nil {
			meter.AddToCounter(w.cfg.Registry, 1, "config_watch_failures_total")
			sleep(ctx, watchRetryDelay)
			continue
		}
		if page.Revision < from {
			// The store was restored from older data: read the configuration in full.
			page.Revision = 0
		}
		if from == 0 && len(page.Entries) == 0 && w.cfg.Current().Generation > 0 {
			w.repairStore(ctx, storer.Entry{}, Release{})
		}
		from = page.Revision
		for _, e := range page.Entries {
			w.handleEntry(ctx, e)
		}
	}
	return nil
}

func (w *Watcher) handleEntry(ctx context.Context, e storer.Entry) {
	if e.Deleted {
		w.repairStore(ctx, storer.Entry{}, Release{})
		return
	}
	r, err := Decode(e)
	if err != nil {
		meter.AddToCounter(w.cfg.Registry, 1, "config_malformed_total")
		return
	}
	if w.cfg.Current().IsNewer(r) {
		w.repairStore(ctx, e, r)
		return
	}
	w.cfg.OfferRelease(r)
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
