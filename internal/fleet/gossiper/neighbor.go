package gossiper

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// localNeighbours and remoteNeighbours are the numbers of neighbours in this daemon's own and
	// in other failure domains; the rest of the fanout is random.
	localNeighbours  = 3
	remoteNeighbours = 2
	// rotationPeriod is the time after which the random neighbours are chosen again.
	rotationPeriod = time.Minute
	// contactPeriod is the time between attempts to reach an address at which no live member is
	// known.
	contactPeriod = time.Second
	// joinContactCount is the number of contacts that a daemon without neighbours tries at once.
	joinContactCount = 3
)

// neighbours holds the addresses to which this daemon sends heartbeats.
type neighbours struct {
	addresses []string
	// pendingNotices is the number of packets still to be sent to each former neighbour, by
	// address, to inform it that no more heartbeats follow.
	pendingNotices map[string]int
	// stale is set when members have changed since the neighbours were chosen.
	stale bool
	// epoch is the number of the rotation period in which the neighbours were chosen.
	epoch int64
}

// formerNeighbourNotices is the number of packets that inform a former neighbour that no more
// heartbeats follow.
const formerNeighbourNotices = 2

// chooseTargets returns the addresses for this round's heartbeat, and the addresses that receive a
// packet without changes: former neighbours and contacts. The caller holds g.mu.
func (g *Gossiper) chooseTargets(now time.Time) (targets, others []string) {
	next := g.chooseNeighbours(now)
	n := &g.neighbours
	if n.pendingNotices == nil {
		n.pendingNotices = make(map[string]int)
	}
	for _, a := range n.addresses {
		if !slices.Contains(next, a) {
			n.pendingNotices[a] = formerNeighbourNotices
		}
	}
	for a, left := range n.pendingNotices {
		if left == 0 || slices.Contains(next, a) {
			delete(n.pendingNotices, a)
			continue
		}
		n.pendingNotices[a]--
		others = append(others, a)
	}
	n.addresses = next
	return slices.Clone(next), append(others, g.chooseContacts(now)...)
}

// chooseNeighbours returns the addresses of the members that receive this daemon's heartbeats: those
// chosen by fixedNeighbours, and random ones that change each rotationPeriod. It ranks the members
// again only after a change, since the cost grows with the fleet.
func (g *Gossiper) chooseNeighbours(now time.Time) []string {
	epoch := now.UnixNano() / int64(rotationPeriod)
	if !g.neighbours.stale && epoch == g.neighbours.epoch {
		return g.neighbours.addresses
	}
	g.neighbours.stale, g.neighbours.epoch = false, epoch
	var present []record
	for _, m := range g.members {
		if m.present() {
			present = append(present, m.record)
		}
	}
	var out []string
	for _, r := range fixedNeighbours(g.self, present) {
		out = append(out, r.Peers)
	}
	for _, r := range rankMembers(g.self, strconv.FormatInt(epoch, 10), present) {
		if len(out) < g.cfg.Fanout && !slices.Contains(out, r.Peers) {
			out = append(out, r.Peers)
		}
	}
	return out[:min(len(out), g.cfg.Fanout)]
}

// fixedNeighbours returns the neighbours that a daemon keeps while the membership does not change:
// some of its own failure domain and some of others.
func fixedNeighbours(self record, present []record) []record {
	var out []record
	seen := map[string]bool{self.Domain: true}
	local, remote := 0, 0
	for _, r := range rankMembers(self, "", present) {
		switch {
		case r.Domain == self.Domain && local < localNeighbours:
			local++
		case !seen[r.Domain] && remote < remoteNeighbours:
			seen[r.Domain] = true
			remote++
		default:
			continue
		}
		out = append(out, r)
	}
	return out
}

// rankMembers sorts members by rendezvous hashing, so that the first ones change little when members
// join and leave.
func rankMembers(self record, salt string, present []record) []record {
	type scored struct {
		record
		score uint64
	}
	all := make([]scored, 0, len(present))
	for _, r := range present {
		all = append(all, scored{r, xxhash.Sum64String(self.Name + "\x00" + salt + "\x00" + r.Name)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out := make([]record, len(all))
	for i, s := range all {
		out[i] = s.record
	}
	return out
}

// expectsHeartbeats reports whether a member that has just started probably chooses this daemon as a
// neighbour, so that it is suspected even if it dies before its first heartbeat. It is false if this
// daemon is leaving, since nobody chooses it then. In a large fleet it is also false if this daemon
// has just started, since it does not know enough members to predict the choice.
func (g *Gossiper) expectsHeartbeats(r record, now time.Time) bool {
	if g.self.State != rankAlive {
		return false
	}
	if len(g.members) <= g.cfg.Fanout {
		return true
	}
	if now.Sub(g.startedAt) < g.cfg.SuspectAfter {
		return false
	}
	present := []record{g.self}
	for _, m := range g.members {
		if m.present() && m.Name != r.Name {
			present = append(present, m.record)
		}
	}
	return slices.ContainsFunc(fixedNeighbours(r, present), func(n record) bool { return n.Name == g.self.Name })
}

// chooseContacts returns addresses at which no live member is known: seeds, and members that are
// regarded as gone but may be on the other side of a network partition.
func (g *Gossiper) chooseContacts(now time.Time) []string {
	if len(g.neighbours.addresses) > 0 && now.Sub(g.lastContact) < contactPeriod {
		return nil
	}
	g.lastContact = now
	live := map[string]bool{g.self.Peers: true}
	var unknown []string
	for _, m := range g.members {
		if m.State != rankGone {
			live[m.Peers] = true
		}
	}
	for _, m := range g.members {
		if m.State == rankGone && !live[m.Peers] {
			unknown = append(unknown, m.Peers)
		}
	}
	if g.cfg.Seeds != nil {
		for _, a := range g.cfg.Seeds() {
			if !live[a] {
				unknown = append(unknown, a)
			}
		}
	}
	slices.Sort(unknown)
	unknown = slices.Compact(unknown)
	g.rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	n := 1
	if len(g.neighbours.addresses) == 0 {
		n = joinContactCount
	}
	return unknown[:min(len(unknown), n)]
}

// HeartbeatSenders returns the names of the live members that send their heartbeats to this daemon.
func (g *Gossiper) HeartbeatSenders() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	near := make(map[string]bool)
	for name, m := range g.members {
		if m.sendsHeartbeats && m.State == rankAlive {
			near[name] = true
		}
	}
	return near
}
