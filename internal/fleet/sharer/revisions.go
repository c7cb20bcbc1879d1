package sharer

import "time"

// newest is a revision of a part of the store, and when it was first heard of.
type newest struct {
	revision uint64
	at       time.Time
}

// Revised implements syncer.Peers. Where statuses go through hubs, a daemon that
// got the revision from its hub has no news for others.
func (s *Sharer) Revised(part string, revision uint64) {
	s.mu.Lock()
	fresh := s.noteNews(part, revision) || !s.overlay.large || s.overlay.isHub
	s.revisions[part] = max(s.revisions[part], revision)
	s.mu.Unlock()
	if fresh {
		s.Hasten()
	}
}

// noteRevisions takes in what another daemon knows. A hub passes on news at
// once.
func (s *Sharer) noteRevisions(revisions map[string]uint64) {
	for part, r := range revisions {
		if s.noteNews(part, r) {
			s.hastenHub()
		}
	}
}

// noteNews reports whether a revision is the latest that any daemon knows.
func (s *Sharer) noteNews(part string, revision uint64) bool {
	if revision <= s.newest[part].revision {
		return false
	}
	s.newest[part] = newest{revision, time.Now()}
	return true
}
