package gossiper

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// localNeighbours and remoteNeighbours are the numbers of neighbours in the
	// own and in other failure domains; the rest of the fan-out is random.
	localNeighbours  = 3
	remoteNeighbours = 2
	// rotation is how long a random neighbour stays one.
	rotation = time.Minute
	// contactPeriod is the time between attempts to reach an address at which
	// no live member is known.
	contactPeriod = time.Second
	// joinContacts is the number of seeds tried at once by a daemon that knows
	// nobody.
	joinContacts = 3
)

// neighbours are the members to which heartbeats go.
type neighbours struct {
	addresses []string
	// dropped are former neighbours that are still to be told so.
	dropped map[string]int
	// stale is set when members changed since they were chosen, in the period
	// of rotation epoch.
	stale bool
	epoch int64
}

// farewells is the number of times that a former neighbour is told.
const farewells = 2

// chooseTargets returns the addresses for this round's heartbeat, and those of
// others that only hear of this daemon: former neighbours and contacts. The
// caller holds the lock.
func (g *Gossiper) chooseTargets(now time.Time) (targets, others []string) {
	next := g.chooseNeighbours(now)
	n := &g.neighbours
	if n.dropped == nil {
		n.dropped = make(map[string]int)
	}
	for _, a := range n.addresses {
		if !slices.Contains(next, a) {
			n.dropped[a] = farewells
		}
	}
	for a, left := range n.dropped {
		if left == 0 || slices.Contains(next, a) {
			delete(n.dropped, a)
			continue
		}
		n.dropped[a]--
		others = append(others, a)
	}
	n.addresses = next
	return slices.Clone(next), append(others, g.chooseContacts(now)...)
}

// chooseNeighbours returns the addresses of the members that heartbeats go to:
// those chosen by fixedNeighbours, and some that change from time to time. It
// ranks anew only after a change, since the work grows with the fleet.
func (g *Gossiper) chooseNeighbours(now time.Time) []string {
	epoch := now.UnixNano() / int64(rotation)
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
	for _, r := range ranked(g.self, strconv.FormatInt(epoch, 10), present) {
		if len(out) < g.cfg.Fanout && !slices.Contains(out, r.Peers) {
			out = append(out, r.Peers)
		}
	}
	return out[:min(len(out), g.cfg.Fanout)]
}

// fixedNeighbours returns the neighbours that a daemon keeps while members stay:
// some of its own failure domain and some of others.
func fixedNeighbours(self record, present []record) []record {
	var out []record
	seen := map[string]bool{self.Domain: true}
	local, remote := 0, 0
	for _, r := range ranked(self, "", present) {
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

// ranked sorts members by rendezvous hashing, so that a choice of the first ones
// changes little when members come and go.
func ranked(self record, salt string, present []record) []record {
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

// expects reports whether a member that has just started chooses this daemon as
// a neighbour, so that its silence counts before its first heartbeat has come. A
// leaving daemon is nobody's neighbour. In a large fleet a daemon that has itself
// just started cannot tell.
func (g *Gossiper) expects(r record, now time.Time) bool {
	if g.self.State != rankAlive {
		return false
	}
	if len(g.members) <= g.cfg.Fanout {
		return true
	}
	if now.Sub(g.started) < g.cfg.SuspectAfter {
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

// chooseContacts returns addresses at which no live member is known: seeds, and
// members held for gone, from which this daemon may just have been cut off.
func (g *Gossiper) chooseContacts(now time.Time) []string {
	if len(g.neighbours.addresses) > 0 && now.Sub(g.contacted) < contactPeriod {
		return nil
	}
	g.contacted = now
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
		n = joinContacts
	}
	return unknown[:min(len(unknown), n)]
}

// Near returns the names of the members whose heartbeats come here.
func (g *Gossiper) Near() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	near := make(map[string]bool)
	for name, m := range g.members {
		if m.direct && m.State == rankAlive {
			near[name] = true
		}
	}
	return near
}
