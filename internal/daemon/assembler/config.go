package assembler

import (
	"slices"
	"time"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// storeWatchTimeout is how long the store holds one watch of the configuration open. It bounds the
// time until a connection that is stalled for good is noticed.
const storeWatchTimeout = time.Second

// newWatcher returns the component that obtains releases from the store and from peers. It has its
// own store client, whose watches are shorter than those of other clients.
func (d *Daemon) newWatcher() *publisher.Watcher {
	store := storer.NewClient(storer.ClientConfig{Address: d.settings.Platform, WatchWait: storeWatchTimeout})
	return publisher.NewWatcher(publisher.WatcherConfig{
		Store: store, Followed: d.newEvacuationFollower(store),
		Caller: d.messenger, Current: d.loadRelease, OfferRelease: d.offerRelease, Peers: d.peerReleases, IsStoreWatcher: d.isStoreWatcher,
		Logger: d.logger, Registry: d.registry,
	})
}

func (d *Daemon) newPublisher(store storer.Store) *publisher.Publisher {
	return publisher.New(publisher.Config{Store: store, NewestKnown: d.releaseWatcher.NewestKnown, OnPublished: d.offerRelease})
}

// offerRelease offers a release to the controller, which brings it into force if it is newer.
func (d *Daemon) offerRelease(r publisher.Release) { d.control.OfferRelease(d.ctx, r) }

// isStoreWatcher reports whether this daemon is one of those in its failure domain that watch the
// store.
func (d *Daemon) isStoreWatcher() bool {
	return slices.Contains(publisher.StoreWatchers(d.settings.Domain, d.viewHolder.Load().Members), d.settings.Name)
}

// seedAddresses returns the peer addresses in the settings and in the host list.
func (d *Daemon) seedAddresses() []string {
	return append(slices.Clone(d.settings.Seeds), d.viewHolder.Load().EntryPeers...)
}

// updateMembers passes changed members and their releases on to the watcher and the controller.
func (d *Daemon) updateMembers() {
	d.releaseWatcher.NotifyPeersChanged()
	d.control.SetMembers(d.ctx, d.gossiper.Members())
}

// listMembers returns the daemons of the current view.
func (d *Daemon) listMembers() []viewer.Member { return d.viewHolder.Load().Members }

// peerReleases returns the other daemons, except those that are gone, with the releases that they
// announce.
func (d *Daemon) peerReleases() []publisher.Peer {
	neighbours := d.gossiper.HeartbeatSenders()
	var peerReleases []publisher.Peer
	for _, m := range d.viewHolder.Load().Members {
		if m.Name != d.settings.Name && m.State != viewer.StateGone {
			peerReleases = append(peerReleases, publisher.Peer{
				Address: m.Peers, Generation: m.Generation, Digest: m.Digest, IsNeighbor: neighbours[m.Name],
			})
		}
	}
	return peerReleases
}

// countKeyMaterialFailure counts key material that cannot be read. The key material that was read
// last stays in force.
func (d *Daemon) countKeyMaterialFailure(error) {
	meter.AddToCounter(d.registry, 1, "key_material_failures_total")
}
