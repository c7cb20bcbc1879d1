package publisher

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/platform/storer"
)

const (
	// callKind is the kind of the call that asks a peer for its release.
	callKind     = "config"
	watchBackoff = 200 * time.Millisecond
	pullPeriod   = 100 * time.Millisecond
	pullTimeout  = time.Second
)

// Caller is the part of a messenger that a watcher needs.
type Caller interface {
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	Handle(kind string, h messenger.Handler)
}

// Peer is a daemon with the generation that it announced.
type Peer struct {
	Address    string
	Generation uint64
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
	Peers    func() []Peer
	Logger   log.Logger
	Registry metrics.Registry
}

// Watcher brings releases to this daemon, from the store and from peers.
type Watcher struct {
	cfg WatcherConfig
}

// NewWatcher returns a watcher that also answers peers who ask for the release
// in force here.
func NewWatcher(cfg WatcherConfig) *Watcher {
	w := &Watcher{cfg: cfg}
	cfg.Caller.Handle(callKind, func(context.Context, []byte) ([]byte, error) {
		return cbor.Marshal(w.cfg.Current())
	})
	return w
}

// RunStore watches the store until ctx ends.
func (w *Watcher) RunStore(ctx context.Context) error {
	var from uint64
	for ctx.Err() == nil {
		page, err := w.cfg.Store.Watch(ctx, Key, from)
		if err != nil {
			meter.Count(w.cfg.Registry, 1, "config_watch_failures_total")
			sleep(ctx, watchBackoff)
			continue
		}
		// A store that was set back has a lower revision; watch from there.
		from = page.Revision
		for _, e := range page.Entries {
			w.take(e)
		}
	}
	return nil
}

func (w *Watcher) take(e storer.Entry) {
	if e.Deleted {
		return
	}
	r, err := Decode(e)
	if err != nil {
		meter.Count(w.cfg.Registry, 1, "config_malformed_total")
		return
	}
	w.cfg.Adopt(r)
}

// RunPeers asks peers that announce a newer release for it, until ctx ends.
func (w *Watcher) RunPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, p := range w.cfg.Peers() {
			if p.Generation > w.cfg.Current().Generation {
				w.pull(ctx, p)
			}
		}
		sleep(ctx, pullPeriod)
	}
	return nil
}

func (w *Watcher) pull(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	b, err := w.cfg.Caller.Call(ctx, p.Address, callKind, nil)
	if err != nil {
		meter.Count(w.cfg.Registry, 1, "config_pull_failures_total")
		return
	}
	var r Release
	if err := cbor.Unmarshal(b, &r); err != nil {
		meter.Count(w.cfg.Registry, 1, "config_malformed_total")
		return
	}
	w.cfg.Adopt(r)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
