package sharer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

// hubPullTime is how long a daemon leaves it to its hub to get news first.
const hubPullTime = 300 * time.Millisecond

// Peers returns the other daemons, sorted by name.
func (s *Sharer) Peers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Peer, 0, len(s.peers))
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		out = append(out, *s.peers[name])
	}
	return out
}

// Large reports whether statuses go through hubs.
func (s *Sharer) Large() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlay.large
}

// IsHub reports whether this daemon is a hub.
func (s *Sharer) IsHub() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlay.isHub
}

// Count returns how many daemons there may be, with this one, and how many of
// them are not heard. An address that was never heard from counts for some time,
// since a daemon that has just started knows no more of the others.
func (s *Sharer) Count() (members, silent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members, s.silent
}

// recount works out what Count returns.
func (s *Sharer) recount() {
	s.members, s.silent = 1, 0
	known := make(map[string]bool, len(s.peers))
	for _, p := range s.peers {
		known[p.Address] = true
		s.members++
		if p.Silent {
			s.silent++
		}
	}
	for a, c := range s.contacts {
		if !known[a] && time.Since(c.since) < forgetTime {
			s.members++
			s.silent++
		}
	}
}

// Offset is what must be added to this daemon's time of day to get the median of
// all that are heard, so that a clock that was stepped does not count.
func (s *Sharer) Offset() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []time.Duration{0}
	for _, p := range s.peers {
		if !p.Silent {
			all = append(all, p.Ahead)
		}
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Members returns this daemon and the others in the form that duties are dealt
// out by. Those that the store does not answer are passed over while it answers
// any. The list must not be changed.
func (s *Sharer) Members() []viewer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersLocked()
}

func (s *Sharer) membersLocked() []viewer.Member {
	if s.listed == nil {
		s.listed = s.list()
	}
	return s.listed
}

func (s *Sharer) list() []viewer.Member {
	reached := !s.away
	for _, p := range s.peers {
		reached = reached || !p.Away && !p.Silent && !p.Stopping
	}
	state := func(silent, stopping, away bool) viewer.State {
		switch {
		case stopping:
			return viewer.StateLeaving
		case silent, away && reached:
			return viewer.StateSuspected
		}
		return viewer.StateAlive
	}
	out := []viewer.Member{{Name: s.cfg.Name, Domain: s.cfg.Domain, Peers: s.cfg.Address, State: state(false, s.stopping, s.away)}}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		out = append(out, viewer.Member{Name: name, Domain: p.Domain, Peers: p.Address, State: state(p.Silent, p.Stopping, p.Away)})
	}
	return out
}

// Ahead implements syncer.Peers.
func (s *Sharer) Ahead(part string, revision uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.newest[part]
	if latest.revision <= revision {
		return ""
	}
	if hub := s.peers[s.overlay.hub]; hub != nil && !hub.Silent {
		// The connection to it is there, and it will have the news soon.
		if hub.Revisions[part] > revision {
			return hub.Address
		}
		if time.Since(latest.at) < hubPullTime {
			return ""
		}
	}
	best := revision
	var near, all []string
	for _, p := range s.peers {
		r := p.Revisions[part]
		if p.Silent || r <= revision || r < best {
			continue
		}
		if r > best {
			best, near, all = r, nil, nil
		}
		all = append(all, p.Address)
		if p.Domain == s.cfg.Domain {
			near = append(near, p.Address)
		}
	}
	// Daemons of the own failure domain go first, and no single one is asked by
	// all others.
	for _, list := range [][]string{near, all} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))]
		}
	}
	return ""
}

// Answered implements syncer.Peers.
func (s *Sharer) Answered(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[part] = time.Now()
}

// Follows implements syncer.Peers. In each failure domain one daemon follows a
// part of the store; the others do so only while they hear of nobody whom the
// store answers.
func (s *Sharer) Follows(part string, within time.Duration) bool {
	if s.turn(part) == s.cfg.Name {
		return true
	}
	return !s.Answers(part, within)
}

// turn returns the daemon of the own failure domain that follows a part of the
// store: one of its hubs, if there are any that can.
func (s *Sharer) turn(part string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name, ok := s.turns[part]; ok {
		return name
	}
	var near, hubs []viewer.Member
	for _, m := range s.membersLocked() {
		if m.Domain != s.cfg.Domain || m.State != viewer.StateAlive {
			continue
		}
		near = append(near, m)
		if slices.Contains(s.overlay.hubs[m.Domain], m.Name) {
			hubs = append(hubs, m)
		}
	}
	if len(hubs) > 0 {
		near = hubs
	}
	s.turns[part] = ranker.First(part, near)
	return s.turns[part]
}

// Answers implements syncer.Peers.
func (s *Sharer) Answers(part string, within time.Duration) bool {
	within += statusDelays * s.Period()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		age, ok := p.Ages[part]
		if ok && !p.Silent && time.Since(p.Heard)+time.Duration(age)*time.Millisecond < within {
			return true
		}
	}
	return false
}
