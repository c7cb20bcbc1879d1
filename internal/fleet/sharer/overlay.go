package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
)

const (
	// hubPeriod is the time between two bundles of a hub, and workPeriod that
	// between two messages of a daemon to its hub. They add to the age of what
	// others know; news do not wait for them.
	hubPeriod  = 200 * time.Millisecond
	workPeriod = 2 * hubPeriod
	// hubSilence is how long a daemon waits for the bundles of its hub before it
	// turns to another.
	hubSilence = 6 * hubPeriod
	// shunTime is how long a hub that was silent is not turned to again.
	shunTime = 5 * time.Second
	// smallHub is the size, as a share of the largest host of the failure domain,
	// from which on a host carries others.
	smallHub = 0.5
)

// overlay is who sends to whom.
type overlay struct {
	// large says that statuses go through hubs.
	large bool
	// hubs are the names of all hubs, by failure domain.
	hubs map[string][]string
	// isHub says that this daemon is one of them.
	isHub bool
	// hub is the one that this daemon is attached to, if it is not one itself,
	// and since when.
	hub   string
	since time.Time
	// bundles is when each daemon's latest bundle came.
	bundles map[string]time.Time
	// attached are the daemons that ask for the statuses of others.
	attached map[string]attachment
	// shunned is until when a hub that was silent is not turned to.
	shunned map[string]time.Time
	// arrivals counts statuses that came; passed is the count up to which they
	// were passed on.
	arrivals, passed uint64
}

// attachment is one daemon that asks for the statuses of others.
type attachment struct {
	// asked is when it last did so.
	asked time.Time
	// told says that it was sent all there is, so that news suffice.
	told bool
}

func newOverlay() overlay {
	return overlay{bundles: make(map[string]time.Time), attached: make(map[string]attachment), shunned: make(map[string]time.Time)}
}

// heard notes where a bundle came from.
func (o *overlay) heard(b bundle, now time.Time) {
	o.bundles[b.From] = now
	if !b.Wants {
		delete(o.attached, b.From)
		return
	}
	a := o.attached[b.From]
	a.asked = now
	o.attached[b.From] = a
}

// isDirect reports whether a status came from the daemon that it is about while
// that one is not a hub, so that other hubs get it from this daemon alone.
func (o *overlay) isDirect(b bundle, st Status) bool {
	return b.From == st.Name && (b.Wants || !slices.Contains(o.hubs[st.Domain], st.Name))
}

// arrange works out who the hubs are.
func (s *Sharer) arrange() {
	o := &s.overlay
	clear(s.turns)
	domains := map[string][]*Peer{s.cfg.Domain: {s.self()}}
	n := 1
	for _, p := range s.peers {
		if !p.Silent && !p.Stopping {
			domains[p.Domain] = append(domains[p.Domain], p)
			n++
		}
	}
	o.large = n > baseSize+1
	o.isHub, o.hubs = false, nil
	if !o.large {
		o.hub = ""
		return
	}
	group := int(math.Ceil(math.Sqrt(float64(n))))
	o.hubs = make(map[string][]string, len(domains))
	for d, members := range domains {
		o.hubs[d] = largest(members, (len(members)+group-1)/group)
	}
	o.isHub = slices.Contains(o.hubs[s.cfg.Domain], s.cfg.Name)
}

// self returns this daemon in the form of a peer.
func (s *Sharer) self() *Peer {
	return &Peer{Status: Status{Name: s.cfg.Name, Domain: s.cfg.Domain, Size: s.cfg.Size}}
}

// largest returns the names of up to n members with the largest hosts.
func largest(members []*Peer, n int) []string {
	slices.SortFunc(members, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, p := range members[:n] {
		if p.Size < smallHub*members[0].Size {
			break
		}
		names = append(names, p.Name)
	}
	return names
}

// choose turns to a hub: the daemons of a failure domain spread over its hubs,
// and a hub that is silent is left for another.
func (s *Sharer) choose(now time.Time) {
	o := &s.overlay
	if o.isHub || !o.large {
		o.hub = ""
		return
	}
	last := o.bundles[o.hub]
	if last.Before(o.since) {
		last = o.since
	}
	if o.hub != "" && now.Sub(last) > hubSilence {
		o.shunned[o.hub] = now.Add(shunTime)
		if p := s.peers[o.hub]; p != nil && s.transport != nil {
			// The connection may be silent for good while a new one works.
			s.transport.Forget(p.Address)
		}
		s.log("msg", "hub silent", "hub", o.hub, "quiet", now.Sub(last))
	}
	next := o.next(s.cfg.Name, s.cfg.Domain, now)
	if next != o.hub {
		o.hub, o.since = next, now
	}
}

// next returns the hub that a daemon turns to: one of its own failure domain if
// any is not shunned.
func (o *overlay) next(name, domain string, now time.Time) string {
	var near, all []viewer.Member
	for d, hubs := range o.hubs {
		for _, h := range hubs {
			if now.Before(o.shunned[h]) {
				continue
			}
			m := viewer.Member{Name: h, State: viewer.StateAlive}
			all = append(all, m)
			if d == domain {
				near = append(near, m)
			}
		}
	}
	if len(near) > 0 {
		return ranker.First(name, near)
	}
	return ranker.First(name, all)
}
