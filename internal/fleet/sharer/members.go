package sharer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

// hubPullDelay is how long a daemon waits for its hub to get a new revision before it asks other
// daemons.
const hubPullDelay = 300 * time.Millisecond

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

// IsLargeFleet reports whether statuses go through hubs.
func (s *Sharer) IsLargeFleet() bool {
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

// CountMembers returns the number of daemons there may be, including this one, and how many of them
// are unreachable. An address that never answered counts for ForgetTime, because a daemon that has
// just started knows no more of the others, unless it is closed or no longer listed in the store.
func (s *Sharer) CountMembers() (members, unreachable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberCount, s.unreachableCount
}

// MemberAddresses returns the addresses of all daemons that may serve requests, this one included: those
// that CountMembers counts, but for daemons that are about to end.
func (s *Sharer) MemberAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	if !s.stopping {
		out = append(out, s.cfg.Address)
	}
	for _, p := range s.peers {
		if !p.Stopping {
			out = append(out, p.Address)
		}
	}
	return append(out, s.unansweredContacts(s.peerAddresses())...)
}

// unansweredContacts returns the addresses that are not among the known ones and may be those of daemons.
func (s *Sharer) unansweredContacts(known map[string]bool) []string {
	var out []string
	for a, c := range s.contacts {
		if !known[a] && s.mayServe(a, c) {
			out = append(out, a)
		}
	}
	return out
}

// recountMembers computes the results of CountMembers.
func (s *Sharer) recountMembers() {
	s.memberCount, s.unreachableCount = 1, 0
	for _, p := range s.peers {
		s.memberCount++
		if p.Unreachable {
			s.unreachableCount++
		}
	}
	n := len(s.unansweredContacts(s.peerAddresses()))
	s.memberCount += n
	s.unreachableCount += n
}

// ClockOffset returns what to add to this daemon's clock to get the median clock of all reachable
// daemons, so that one stepped clock has no effect.
func (s *Sharer) ClockOffset() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []time.Duration{0}
	for _, p := range s.peers {
		if !p.Unreachable {
			all = append(all, p.ClockAhead)
		}
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Members returns this daemon and the others in the form that duty assignment uses. Daemons that
// cannot reach the store are marked suspected if any other daemon can. The caller must not change
// the list.
func (s *Sharer) Members() []viewer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersLocked()
}

func (s *Sharer) membersLocked() []viewer.Member {
	if s.memberList == nil {
		s.memberList = s.listMembers()
	}
	return s.memberList
}

func (s *Sharer) listMembers() []viewer.Member {
	anyReachesStore := !s.storeUnreachable
	for _, p := range s.peers {
		anyReachesStore = anyReachesStore || !p.StoreUnreachable && !p.Unreachable && !p.Stopping
	}
	state := func(unreachable, stopping, storeUnreachable bool) viewer.State {
		switch {
		case stopping:
			return viewer.StateLeaving
		case unreachable, storeUnreachable && anyReachesStore:
			return viewer.StateSuspected
		}
		return viewer.StateAlive
	}
	out := []viewer.Member{{Name: s.cfg.Name, Domain: s.cfg.Domain, Peers: s.cfg.Address, State: state(false, s.stopping, s.storeUnreachable)}}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		out = append(out, viewer.Member{Name: name, Domain: p.Domain, Peers: p.Address, State: state(p.Unreachable, p.Stopping, p.StoreUnreachable)})
	}
	return out
}

// PeerAhead implements syncer.Peers. It returns the address of a daemon that knows a later revision
// of the part, or an empty string.
func (s *Sharer) PeerAhead(part string, revision uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.newestRevisions[part]
	if latest.revision <= revision {
		return ""
	}
	if hub := s.peers[s.overlay.hub]; hub != nil && !hub.Unreachable {
		// The connection to the hub is open already, and the hub gets the revision soon.
		if hub.Revisions[part] > revision {
			return hub.Address
		}
		if time.Since(latest.received) < hubPullDelay {
			return ""
		}
	}
	best := revision
	var near, all []string
	for _, p := range s.peers {
		r := p.Revisions[part]
		if p.Unreachable || r <= revision || r < best {
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
	// Prefer daemons of the same failure domain; a random choice spreads the requests.
	for _, list := range [][]string{near, all} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))]
		}
	}
	return ""
}

// RecordStoreAnswer implements syncer.Peers. It records that the store answered about a part.
func (s *Sharer) RecordStoreAnswer(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAnswered[part] = time.Now()
}

// IsStoreFollower implements syncer.Peers. In each failure domain one daemon follows a part of the
// store; the others do so only if no reachable daemon got an answer from the store in time.
func (s *Sharer) IsStoreFollower(part string, within time.Duration) bool {
	if s.storeFollower(part) == s.cfg.Name {
		return true
	}
	return !s.HasStoreAnswer(part, within)
}

// storeFollower returns the daemon of this failure domain that follows a part of the store: one
// of the domain's hubs if any is alive.
func (s *Sharer) storeFollower(part string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name, ok := s.storeFollowers[part]; ok {
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
	s.storeFollowers[part] = ranker.HighestRanked(part, near)
	return s.storeFollowers[part]
}

// HasStoreAnswer implements syncer.Peers. It reports whether a reachable peer got an answer from the
// store about a part within the given time.
func (s *Sharer) HasStoreAnswer(part string, within time.Duration) bool {
	within += maxDelayedPeriods * s.Period()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		age, ok := p.StoreAnswerAges[part]
		if ok && !p.Unreachable && time.Since(p.Received)+time.Duration(age)*time.Millisecond < within {
			return true
		}
	}
	return false
}
