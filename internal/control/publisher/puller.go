package publisher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
)

const (
	// releaseCallKind is the kind of the call that asks a peer for its release.
	releaseCallKind = "config"
	pullTimeout     = 500 * time.Millisecond
	// peerCheckPeriod is the time between two checks of what the peers announce, unless
	// NotifyPeersChanged starts one sooner.
	peerCheckPeriod = time.Second
	// pullRetryPeriod is the time until the next check while a peer announces a newer release.
	pullRetryPeriod = 100 * time.Millisecond
	// maxPullAttempts is the number of peers asked one after the other in one check.
	maxPullAttempts = 3
	// watchersPerDomain is the number of daemons in a failure domain that watch the store.
	watchersPerDomain = 2
)

// Peer is a daemon with the release that it announced.
type Peer struct {
	Address    string
	Generation uint64
	Digest     uint64
	// IsNeighbor is set for a gossip neighbour, whose heartbeats come here directly. Neighbours are
	// asked first, so that a release spreads from neighbour to neighbour and not all daemons
	// ask the first one that has it.
	IsNeighbor bool
}

// mayBeNewer reports whether the peer may hold a newer release than r. A peer that announces a
// different digest for the same generation may hold one.
func (p Peer) mayBeNewer(r Release) bool {
	if p.Generation != r.Generation {
		return p.Generation > r.Generation
	}
	return p.Digest != 0 && p.Digest != r.Digest()
}

// StoreWatchers returns the names of the daemons of a failure domain that watch the store. Each
// daemon computes them by rendezvous hashing over the members that it knows.
func StoreWatchers(domain string, members []viewer.Member) []string {
	var names []string
	for _, m := range ranker.Rank(ConfigKey, members) {
		if m.Domain == domain && len(names) < watchersPerDomain {
			names = append(names, m.Name)
		}
	}
	return names
}

// NotifyPeersChanged makes PullFromPeers check the peers now, because their announcements have
// changed.
func (w *Watcher) NotifyPeersChanged() {
	select {
	case w.peersChanged <- struct{}{}:
	default:
	}
}

// PullFromPeers pulls newer releases from the peers that announce them, until ctx ends.
func (w *Watcher) PullFromPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := peerCheckPeriod
		if newerPeers := w.newerPeers(w.lastPulled); len(newerPeers) > 0 {
			if r, ok := w.pullFromAny(ctx, newerPeers); ok {
				w.lastPulled = r
				w.cfg.OfferRelease(r)
			}
			wait = pullRetryPeriod
		}
		select {
		case <-ctx.Done():
		case <-w.peersChanged:
		case <-time.After(wait):
		}
	}
	return nil
}

// newerPeers returns the peers that announce a newer release than the one in force, neighbours
// first. It leaves out those that announce the release pulled, since that one was already offered
// to this daemon: it will come into force, or was refused.
func (w *Watcher) newerPeers(pulled Release) []Peer {
	current := w.cfg.Current()
	var out []Peer
	for _, p := range w.cfg.Peers() {
		known := p.Generation == pulled.Generation && p.Digest == pulled.Digest()
		if p.mayBeNewer(current) && !known {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Peer) int {
		switch {
		case a.IsNeighbor == b.IsNeighbor:
			return 0
		case a.IsNeighbor:
			return -1
		}
		return 1
	})
	return out
}

func (w *Watcher) pullFromAny(ctx context.Context, peers []Peer) (Release, bool) {
	for _, p := range peers[:min(len(peers), maxPullAttempts)] {
		if r, err := w.pullRelease(ctx, p); err == nil {
			return r, true
		}
		meter.AddToCounter(w.cfg.Registry, 1, "config_pull_failures_total")
	}
	return Release{}, false
}

func (w *Watcher) pullRelease(ctx context.Context, p Peer) (Release, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var r Release
	b, err := w.cfg.Caller.Call(ctx, p.Address, releaseCallKind, nil)
	if err != nil {
		return r, err
	}
	return r, cbor.Unmarshal(b, &r)
}

// NewestKnown returns the newest release known to this daemon or to a peer that
// answers, and the highest generation that any daemon announces.
func (w *Watcher) NewestKnown(ctx context.Context) (Release, uint64) {
	known := w.cfg.Current()
	highest := known.Generation
	for _, p := range w.cfg.Peers() {
		highest = max(highest, p.Generation)
	}
	newerPeers := w.newerPeers(Release{})
	slices.SortStableFunc(newerPeers, func(a, b Peer) int { return cmp.Compare(b.Generation, a.Generation) })
	if r, ok := w.pullFromAny(ctx, newerPeers); ok && r.IsNewer(known) {
		w.cfg.OfferRelease(r)
		known = r
	}
	return known, highest
}
