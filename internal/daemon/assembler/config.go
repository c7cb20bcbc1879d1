package assembler

import (
	"slices"
	"time"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// watchWait is how long one watch of the configuration is held open. It bounds
// how long a connection that is silent for good goes unnoticed.
const watchWait = time.Second

// newWatcher returns the part that brings releases to this daemon. It has a
// client of its own, whose watches are shorter than others'.
func (d *Daemon) newWatcher() *publisher.Watcher {
	return publisher.NewWatcher(publisher.WatcherConfig{
		Store:  storer.NewClient(storer.ClientConfig{Address: d.settings.Platform, WatchWait: watchWait}),
		Caller: d.messenger, Current: d.current, Adopt: d.adopt, Peers: d.peers, Watching: d.watching,
		Logger: d.logger, Registry: d.registry,
	})
}

func (d *Daemon) newPublisher(store storer.Store) *publisher.Publisher {
	return publisher.New(publisher.Config{Store: store, Known: d.watcher.Known, Published: d.adopt})
}

func (d *Daemon) adopt(r publisher.Release) { d.control.Adopt(d.ctx, r) }

// watching reports whether this daemon is one of the watchers of its failure
// domain.
func (d *Daemon) watching() bool {
	return slices.Contains(publisher.Watchers(d.settings.Domain, d.holder.Load().Members), d.settings.Name)
}

// seeds returns the peer addresses of the settings and of the host list.
func (d *Daemon) seeds() []string {
	return append(slices.Clone(d.settings.Seeds), d.holder.Load().Entries...)
}

func (d *Daemon) membersChanged() {
	d.watcher.Notify()
	d.control.SetMembers(d.ctx, d.gossiper.Members())
}

// members returns the daemons of the current view.
func (d *Daemon) members() []viewer.Member { return d.holder.Load().Members }

// peers returns the other daemons with the releases that they announce.
func (d *Daemon) peers() []publisher.Peer {
	near := d.gossiper.Near()
	var peers []publisher.Peer
	for _, m := range d.holder.Load().Members {
		if m.Name != d.settings.Name && m.State != viewer.StateGone {
			peers = append(peers, publisher.Peer{
				Address: m.Peers, Generation: m.Generation, Digest: m.Digest, Near: near[m.Name],
			})
		}
	}
	return peers
}

// materialFailed counts key material that cannot be read; the last that could
// stays in force.
func (d *Daemon) materialFailed(error) { meter.Count(d.registry, 1, "key_material_failures_total") }
