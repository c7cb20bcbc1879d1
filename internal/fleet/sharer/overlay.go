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
	// hubPeriod is the time between two messages of a hub, and loadReportPeriod that between two
	// load reports of a daemon to its hub. Both add to the age of what others know; urgent
	// updates are sent at once.
	hubPeriod        = 200 * time.Millisecond
	loadReportPeriod = 2 * hubPeriod
	// hubTimeout is how long a daemon waits for messages of its hub before it attaches to
	// another.
	hubTimeout = 6 * hubPeriod
	// hubAvoidTime is how long a daemon does not choose a hub again that was unreachable.
	hubAvoidTime = 5 * time.Second
	// minHubSizeFraction is the smallest host size, as a fraction of the largest host in the
	// failure domain, with which a daemon becomes a hub.
	minHubSizeFraction = 0.5
)

// overlay is the relay topology of the fleet: which daemons are hubs, and who is attached to
// whom.
type overlay struct {
	// large reports whether statuses go through hubs.
	large bool
	// hubs holds the names of all hubs, by failure domain.
	hubs map[string][]string
	// isHub reports whether this daemon is one of them.
	isHub bool
	// hub is the hub that this daemon is attached to, unless it is a hub itself, and
	// attachedSince when it attached.
	hub           string
	attachedSince time.Time
	// lastMessages holds the time of each daemon's latest message.
	lastMessages map[string]time.Time
	// attachments holds the daemons that ask this one for the statuses of others.
	attachments map[string]attachment
	// avoidedUntil holds, for each hub that was unreachable, until when it is not chosen again.
	avoidedUntil map[string]time.Time
	// arrivals counts received statuses; forwarded is the count up to which they were forwarded.
	arrivals, forwarded uint64
}

// attachment is the state of one daemon that asks for the statuses of others.
type attachment struct {
	// requested is the time of its latest request.
	requested time.Time
	// synced reports whether it was sent all known statuses once, so that updates are enough.
	synced bool
}

func newOverlay() overlay {
	return overlay{lastMessages: make(map[string]time.Time), attachments: make(map[string]attachment), avoidedUntil: make(map[string]time.Time)}
}

// recordSender records the sender of a message, and whether it attaches to this daemon.
func (o *overlay) recordSender(b statusMessage, now time.Time) {
	o.lastMessages[b.From] = now
	if !b.WantsStatuses {
		delete(o.attachments, b.From)
		return
	}
	a := o.attachments[b.From]
	a.requested = now
	o.attachments[b.From] = a
}

// isDirectStatus reports whether a status came straight from a daemon that is not a hub, in which
// case this daemon alone forwards it to the other hubs.
func (o *overlay) isDirectStatus(b statusMessage, st Status) bool {
	return b.From == st.Name && (b.WantsStatuses || !slices.Contains(o.hubs[st.Domain], st.Name))
}

// selectHubs computes which daemons are the hubs: about the square root of the fleet's size,
// shared out among the failure domains by their size.
func (s *Sharer) selectHubs() {
	o := &s.overlay
	clear(s.storeFollowers)
	domains := map[string][]*Peer{s.cfg.Domain: {s.selfPeer()}}
	n := 1
	for _, p := range s.peers {
		if !p.Unreachable && !p.Stopping {
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
		o.hubs[d] = largestHosts(members, (len(members)+group-1)/group)
	}
	o.isHub = slices.Contains(o.hubs[s.cfg.Domain], s.cfg.Name)
}

// selfPeer returns this daemon as a Peer.
func (s *Sharer) selfPeer() *Peer {
	return &Peer{Status: Status{Name: s.cfg.Name, Domain: s.cfg.Domain, Size: s.cfg.Size}}
}

// largestHosts returns the names of up to n members with the largest hosts, without those below
// minHubSizeFraction.
func largestHosts(members []*Peer, n int) []string {
	slices.SortFunc(members, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, p := range members[:n] {
		if p.Size < minHubSizeFraction*members[0].Size {
			break
		}
		names = append(names, p.Name)
	}
	return names
}

// chooseHub selects the hub that this daemon attaches to, and leaves a hub that is unreachable.
// Hashing spreads the daemons of a failure domain over its hubs.
func (s *Sharer) chooseHub(now time.Time) {
	o := &s.overlay
	if o.isHub || !o.large {
		o.hub = ""
		return
	}
	last := o.lastMessages[o.hub]
	if last.Before(o.attachedSince) {
		last = o.attachedSince
	}
	if o.hub != "" && now.Sub(last) > hubTimeout {
		o.avoidedUntil[o.hub] = now.Add(hubAvoidTime)
		if p := s.peers[o.hub]; p != nil && s.transport != nil {
			// The connection may be dead while a new one would work.
			s.transport.CloseConn(p.Address)
		}
		s.log("msg", "hub unreachable", "hub", o.hub, "quiet", now.Sub(last))
	}
	next := o.nextHub(s.cfg.Name, s.cfg.Domain, now)
	if next != o.hub {
		o.hub, o.attachedSince = next, now
	}
}

// nextHub returns the hub for a daemon by rendezvous hashing, among those of its own failure
// domain unless all of them are avoided.
func (o *overlay) nextHub(name, domain string, now time.Time) string {
	var near, all []viewer.Member
	for d, hubs := range o.hubs {
		for _, h := range hubs {
			if now.Before(o.avoidedUntil[h]) {
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
		return ranker.HighestRanked(name, near)
	}
	return ranker.HighestRanked(name, all)
}
