package syncer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// changeSet is the answer to a pull: entries of the answering daemon's replica.
type changeSet struct {
	storer.Page
	// Whole reports that Entries is the complete content; the receiver deletes all other entries.
	Whole bool
}

// RunPull periodically pulls changes from other daemons with a newer replica, until ctx ends.
// It thereby updates this replica when the store does not answer this daemon.
func (s *Syncer) RunPull(ctx context.Context) error {
	tick := ticker.NewTimer(pullPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			tick.ScheduleNext()
		case <-s.wakeup:
		}
		s.pullFromPeer(ctx)
		s.expireUnconfirmed()
		s.repullAll(ctx)
	}
}

// PullNow makes RunPull check for newer replicas at once.
func (s *Syncer) PullNow() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// pullFromPeer pulls the changes since the known revision from a daemon with a later one, if
// there is one. It waits for pullDelay first if this daemon watches the store itself.
func (s *Syncer) pullFromPeer(ctx context.Context) {
	from := s.knownRevision()
	addr := s.cfg.Peers.PeerAhead(s.cfg.Prefix, from)
	if addr == "" {
		s.behindSince = time.Time{}
		return
	}
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	if time.Since(s.behindSince) < pullDelay && s.cfg.Peers.IsStoreFollower(s.cfg.Prefix, s.cfg.MaxAnswerAge) {
		return
	}
	s.behindSince = time.Time{}
	p, err := s.fetchChanges(ctx, addr, from)
	if err != nil {
		meter.AddToCounter(s.cfg.Registry, 1, "peer_pull_failures_total", "part", s.cfg.Prefix)
		s.log("msg", "pull failed", "part", s.cfg.Prefix, "peer", addr, "from", from, "error", err)
		return
	}
	meter.AddToCounter(s.cfg.Registry, 1, "peer_pulls_total", "part", s.cfg.Prefix)
	if from > 0 && storer.EraOf(p.Revision) > storer.EraOf(from) {
		s.mu.Lock()
		s.repullAt = time.Now().Add(undeleteDelay + rewriteTimeout)
		s.mu.Unlock()
	}
	s.mergeChangeSet(p)
}

// mergeChangeSet merges the answer to a pull into the replica.
func (s *Syncer) mergeChangeSet(p changeSet) {
	if p.Whole {
		p.Entries = append(p.Entries, s.missingEntries(p.Page)...)
	}
	s.merge(p.Page, false)
}

// fetchChanges calls the daemon at addr for the changes after revision from.
func (s *Syncer) fetchChanges(ctx context.Context, addr string, from uint64) (changeSet, error) {
	var p changeSet
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	in, err := cbor.Marshal(from)
	if err != nil {
		return p, err
	}
	out, err := s.cfg.Peers.Call(ctx, addr, s.PullKind(), in)
	if err != nil {
		return p, err
	}
	return p, cbor.Unmarshal(out, &p)
}

// ServePull handles the call of another daemon for the changes after a revision. It returns the
// complete content if entries may have been deleted after that revision but before this
// replica was first complete, and an error if the replica has never been complete.
func (s *Syncer) ServePull(_ context.Context, body []byte) ([]byte, error) {
	var from uint64
	if err := cbor.Unmarshal(body, &from); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return nil, errors.New("copy is not complete")
	}
	p := changeSet{Page: storer.Page{Revision: s.revision}, Whole: from < s.firstRevision}
	for _, e := range s.entries {
		if p.Whole || e.Revision > from {
			p.Entries = append(p.Entries, e)
		}
	}
	slices.SortFunc(p.Entries, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return cbor.Marshal(p)
}
