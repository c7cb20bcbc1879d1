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
	// callKind is the kind of the call that asks a peer for its release.
	callKind    = "config"
	pullTimeout = 500 * time.Millisecond
	// pullPeriod is the time between looks at the peers when nothing is heard.
	pullPeriod = time.Second
	// retryPeriod is the time to the next look while a peer is ahead.
	retryPeriod = 100 * time.Millisecond
	// maxPulls is the number of peers asked in turn at one look.
	maxPulls = 3
	// watchersPerDomain is the number of daemons of a failure domain that watch
	// the store.
	watchersPerDomain = 2
)

// Peer is a daemon with the release that it announced.
type Peer struct {
	Address    string
	Generation uint64
	Digest     uint64
	// Near is set for a daemon that is heard directly. Near ones are asked
	// first, so that a release spreads from neighbour to neighbour and not all
	// daemons ask the one that has it first.
	Near bool
}

// ahead reports whether the peer may hold a newer release than r.
func (p Peer) ahead(r Release) bool {
	if p.Generation != r.Generation {
		return p.Generation > r.Generation
	}
	return p.Digest != 0 && p.Digest != r.Digest()
}

// Watchers returns the names of the daemons of a failure domain that are to
// watch the store. Each daemon works it out from the members that it knows.
func Watchers(domain string, members []viewer.Member) []string {
	var names []string
	for _, m := range ranker.Rank(Key, members) {
		if m.Domain == domain && len(names) < watchersPerDomain {
			names = append(names, m.Name)
		}
	}
	return names
}

// Notify has the peers looked at now, because what they announce has changed.
func (w *Watcher) Notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// RunPeers asks peers that announce a newer release for it, until ctx ends.
func (w *Watcher) RunPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := pullPeriod
		if ahead := w.ahead(w.pulled); len(ahead) > 0 {
			if r, ok := w.pullFirst(ctx, ahead); ok {
				w.pulled = r
				w.cfg.Adopt(r)
			}
			wait = retryPeriod
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(wait):
		}
	}
	return nil
}

// ahead returns the peers that announce a newer release than the one in force,
// near ones first. One that announces what was pulled already is left out: that
// release is on its way into force, or was refused.
func (w *Watcher) ahead(pulled Release) []Peer {
	current := w.cfg.Current()
	var out []Peer
	for _, p := range w.cfg.Peers() {
		known := p.Generation == pulled.Generation && p.Digest == pulled.Digest()
		if p.ahead(current) && !known {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Peer) int {
		switch {
		case a.Near == b.Near:
			return 0
		case a.Near:
			return -1
		}
		return 1
	})
	return out
}

func (w *Watcher) pullFirst(ctx context.Context, peers []Peer) (Release, bool) {
	for _, p := range peers[:min(len(peers), maxPulls)] {
		if r, err := w.pull(ctx, p); err == nil {
			return r, true
		}
		meter.Count(w.cfg.Registry, 1, "config_pull_failures_total")
	}
	return Release{}, false
}

func (w *Watcher) pull(ctx context.Context, p Peer) (Release, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var r Release
	b, err := w.cfg.Caller.Call(ctx, p.Address, callKind, nil)
	if err != nil {
		return r, err
	}
	return r, cbor.Unmarshal(b, &r)
}

// Known returns the newest release known to this daemon or to a peer that
// answers, and the highest generation that any daemon announces.
func (w *Watcher) Known(ctx context.Context) (Release, uint64) {
	known := w.cfg.Current()
	highest := known.Generation
	for _, p := range w.cfg.Peers() {
		highest = max(highest, p.Generation)
	}
	ahead := w.ahead(Release{})
	slices.SortStableFunc(ahead, func(a, b Peer) int { return cmp.Compare(b.Generation, a.Generation) })
	if r, ok := w.pullFirst(ctx, ahead); ok && r.Newer(known) {
		w.cfg.Adopt(r)
		known = r
	}
	return known, highest
}
