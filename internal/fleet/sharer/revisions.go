package sharer

import "time"

// newestRevision is the latest known revision of a part of the store, and when this daemon first
// received it.
type newestRevision struct {
	revision uint64
	received time.Time
}

// RecordRevision implements syncer.Peers. In a large fleet a daemon that got the revision from its
// hub does not send it on.
func (s *Sharer) RecordRevision(part string, revision uint64) {
	s.mu.Lock()
	isNew := s.recordRevision(part, revision) || !s.overlay.large || s.overlay.isHub
	s.revisions[part] = max(s.revisions[part], revision)
	s.mu.Unlock()
	if isNew {
		s.SendNow()
	}
}

// recordRevisions stores the revisions of another daemon. A hub forwards new ones at once.
func (s *Sharer) recordRevisions(revisions map[string]uint64) {
	for part, r := range revisions {
		if s.recordRevision(part, r) {
			s.sendNowIfHub()
		}
	}
}

// recordRevision stores a revision if it is the latest that any daemon knows, and reports whether
// it is.
func (s *Sharer) recordRevision(part string, revision uint64) bool {
	if revision <= s.newestRevisions[part].revision {
		return false
	}
	s.newestRevisions[part] = newestRevision{revision, time.Now()}
	return true
}
