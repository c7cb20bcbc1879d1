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
	watchBackoff = 200 * time.Millisecond
	// rolePeriod is the time between looks at whether this daemon is to watch.
	rolePeriod = 200 * time.Millisecond
	// fullReads is the number of watches after which the store is read anew,
	// which finds a store that was set back and then overtook itself.
	fullReads = 30
)

// Caller is the part of a messenger that a watcher needs.
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
	// Adopt offers a release that was read; it ignores one that is not newer.
	Adopt func(Release)
	// Peers returns the other daemons.
	Peers func() []Peer
	// Watching reports whether this daemon is one of those of its failure
	// domain that watch the store; nil means that it is.
	Watching func() bool
	Logger   log.Logger
	Registry metrics.Registry
}

func (cfg WatcherConfig) withDefaults() WatcherConfig {
	if cfg.Watching == nil {
		cfg.Watching = func() bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return cfg
}

// Watcher brings releases to this daemon, from the store and from peers.
type Watcher struct {
	cfg  WatcherConfig
	wake chan struct{}
	// pulled is the release that a peer gave last, and behind is the digest of
	// the older one that the store was last seen to hold. Each belongs to one
	// goroutine.
	pulled Release
	behind uint64
}

// releaseEncoding keeps the full precision of times, on which the order of
// releases depends.
var releaseEncoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options above are valid.
		panic(err)
	}
	return m
}

// NewWatcher returns a watcher that also answers peers who ask for the release
// in force here.
func NewWatcher(cfg WatcherConfig) *Watcher {
	w := &Watcher{cfg: cfg.withDefaults(), wake: make(chan struct{}, 1)}
	cfg.Caller.Handle(callKind, func(context.Context, []byte) ([]byte, error) {
		return releaseEncoding.Marshal(w.cfg.Current())
	})
	return w
}

// RunStore watches the store until ctx ends, while it is this daemon's turn.
func (w *Watcher) RunStore(ctx context.Context) error {
	var from uint64
	for n := 0; ctx.Err() == nil; n++ {
		if !w.cfg.Watching() {
			from = 0
			sleep(ctx, rolePeriod)
			continue
		}
		if n%fullReads == 0 {
			from = 0
		}
		page, err := w.cfg.Store.Watch(ctx, Key, from)
		if err != nil {
			meter.Count(w.cfg.Registry, 1, "config_watch_failures_total")
			sleep(ctx, watchBackoff)
			continue
		}
		if page.Revision < from {
			// The store was set back: read what it holds now.
			page.Revision = 0
		}
		if from == 0 && len(page.Entries) == 0 && w.cfg.Current().Generation > 0 {
			w.repair(ctx, storer.Entry{}, Release{})
		}
		from = page.Revision
		for _, e := range page.Entries {
			w.take(ctx, e)
		}
	}
	return nil
}

func (w *Watcher) take(ctx context.Context, e storer.Entry) {
	if e.Deleted {
		w.repair(ctx, storer.Entry{}, Release{})
		return
	}
	r, err := Decode(e)
	if err != nil {
		meter.Count(w.cfg.Registry, 1, "config_malformed_total")
		return
	}
	if w.cfg.Current().Newer(r) {
		w.repair(ctx, e, r)
		return
	}
	w.cfg.Adopt(r)
}

// repair puts the release in force back into a store that holds an older one.
// The write replaces just that entry, so it never undoes a publish.
func (w *Watcher) repair(ctx context.Context, e storer.Entry, stored Release) {
	current := w.cfg.Current()
	if current.Generation == 0 {
		return
	}
	if d := stored.Digest(); d != w.behind {
		w.behind = d
		meter.Count(w.cfg.Registry, 1, "config_store_behind_total")
		// A logger that fails has nowhere to say so.
		_ = level.Warn(w.cfg.Logger).Log("msg", "store holds an older configuration, not adopted",
			"generation", stored.Generation, "in_force", current.Generation)
	}
	current.Repaired = true
	p := New(Config{Store: w.cfg.Store})
	if err := p.write(ctx, current, e.Revision); err != nil {
		meter.Count(w.cfg.Registry, 1, "config_repair_failures_total")
		return
	}
	meter.Count(w.cfg.Registry, 1, "config_repairs_total")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
