package syncer

import (
	"context"
	"time"

	"pomelotiller/internal/remote/storer"
)

// rewriteTimeout is how long entries that a restored store lacks are kept, so that their
// writers can write them again.
const rewriteTimeout = 2 * time.Second

// undeleteDelay is how long an entry that was deleted, but is back in a restored store, stays
// deleted if its writer neither writes nor deletes it again.
const undeleteDelay = 6 * time.Second

// unconfirmedEntry is an entry whose state in the restored store differs from the replica, so
// that it is unknown which of the two its writer wrote last.
type unconfirmedEntry struct {
	// fallback, the state in the store, replaces the entry of the replica at the deadline
	// unless the entry is written or deleted before.
	fallback storer.Entry
	deadline time.Time
}

// reconcileRestore returns the changes to merge at once when a page has a later era, which
// means that the store was restored from older data. p comes from the store or from a daemon
// that saw the new era first. Entries that p lacks are kept for rewriteTimeout, and entries
// that were deleted but are in p stay deleted for undeleteDelay, so that their writers can
// write them again. The caller holds s.mu.
func (s *Syncer) reconcileRestore(p storer.Page) storer.Page {
	listed := make(map[string]bool, len(p.Entries))
	out := storer.Page{Revision: p.Revision}
	now := time.Now()
	kept, missing := 0, 0
	clear(s.unconfirmedEntries)
	for _, e := range p.Entries {
		listed[e.Key] = true
		old, known := s.entries[e.Key]
		if !known || !old.Deleted || e.Deleted {
			out.Entries = append(out.Entries, e)
			continue
		}
		s.entries[e.Key] = storer.Entry{Key: e.Key, Revision: e.Revision, Deleted: true}
		s.unconfirmedEntries[e.Key] = unconfirmedEntry{e, now.Add(undeleteDelay)}
		kept++
	}
	for key, e := range s.entries {
		if !listed[key] && !e.Deleted {
			s.unconfirmedEntries[key] = unconfirmedEntry{storer.Entry{Key: key, Revision: p.Revision, Deleted: true}, now.Add(rewriteTimeout)}
			missing++
		}
	}
	s.log("msg", "store restored", "part", s.cfg.Prefix, "from", s.revision, "revision", p.Revision, "era", storer.EraOf(p.Revision),
		"missing", missing, "deleted_before", kept)
	return out
}

// expireUnconfirmed applies the state in the store for unconfirmed entries whose deadline has
// passed. An entry that was written again in the meantime keeps its new value.
func (s *Syncer) expireUnconfirmed() {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	now := time.Now()
	var changed []storer.Entry
	for key, d := range s.unconfirmedEntries {
		if s.entries[key].Revision > d.fallback.Revision {
			delete(s.unconfirmedEntries, key)
			continue
		}
		if now.Before(d.deadline) {
			continue
		}
		delete(s.unconfirmedEntries, key)
		s.entries[key] = d.fallback
		changed = append(changed, d.fallback)
	}
	lastUnreachable := s.lastUnreachable
	s.mu.Unlock()
	if len(changed) > 0 {
		s.log("msg", "entries not written again", "part", s.cfg.Prefix, "entries", len(changed))
		s.cfg.Apply(changed, lastUnreachable)
	}
}

// repullAll pulls all entries from another daemon when repullAt has passed. Until then the
// daemon from which this one learned of a restore may have unconfirmed entries. It applies
// their fallbacks without a new revision, so a pull of later revisions would miss them.
func (s *Syncer) repullAll(ctx context.Context) {
	s.mu.Lock()
	due := !s.repullAt.IsZero() && time.Now().After(s.repullAt)
	s.mu.Unlock()
	if !due {
		return
	}
	addr := s.cfg.Peers.PeerAhead(s.cfg.Prefix, 0)
	if addr == "" {
		return
	}
	p, err := s.fetchChanges(ctx, addr, 0)
	if err != nil {
		s.log("msg", "pull failed", "part", s.cfg.Prefix, "peer", addr, "from", 0, "error", err)
		return
	}
	s.mu.Lock()
	s.repullAt = time.Time{}
	for _, e := range p.Entries {
		if old := s.entries[e.Key]; old.Deleted && !e.Deleted && old.Revision == e.Revision {
			delete(s.entries, e.Key)
		}
	}
	s.mu.Unlock()
	s.mergeChangeSet(p)
}
