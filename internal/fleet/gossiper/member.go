package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/viewer"
)

const (
	// minRefreshPeriod and refreshPeriodPerMember set how often a daemon spreads its record again.
	// The period grows with the fleet, so that the refreshes of all daemons together cost the same
	// in a fleet of any size.
	minRefreshPeriod       = 10 * time.Second
	refreshPeriodPerMember = 150 * time.Millisecond
	// maxMissedRefreshes is the number of refresh periods without an update after which a member
	// is suspected. It finds dead members whose heartbeats no living daemon received.
	maxMissedRefreshes = 4
)

// stateRank orders the states of a member in one incarnation: the higher one prevails.
type stateRank uint8

const (
	rankAlive stateRank = iota
	rankSuspected
	rankLeaving
	rankGone
)

var rankStates = [...]viewer.State{viewer.StateAlive, viewer.StateSuspected, viewer.StateLeaving, viewer.StateGone}

func rankOf(s viewer.State) stateRank { return stateRank(max(0, slices.Index(rankStates[:], s))) }

func (r stateRank) state() viewer.State { return rankStates[min(r, rankGone)] }

// record is the state of one member as daemons send it to each other. A sender may leave out the
// domain and the addresses if the receivers know them.
type record struct {
	Name        string    `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	State       stateRank `cbor:"3,keyasint,omitempty"`
	Generation  uint64    `cbor:"4,keyasint,omitempty"`
	Digest      uint64    `cbor:"5,keyasint,omitempty"`
	// Revision grows with each change that the member itself makes and with each refresh.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Boot is the incarnation at the start of the member's process. It identifies the process,
	// whereas Incarnation also grows by refutations.
	Boot      uint64 `cbor:"7,keyasint,omitempty"`
	Domain    string `cbor:"8,keyasint,omitempty"`
	Peers     string `cbor:"9,keyasint,omitempty"`
	Operators string `cbor:"10,keyasint,omitempty"`
	// Evacuations is the generation of the evacuations that the member follows.
	Evacuations uint64 `cbor:"11,keyasint,omitempty"`
}

func newRecord(m viewer.Member) record {
	return record{
		Name: m.Name, Incarnation: m.Incarnation, State: rankOf(m.State), Generation: m.Generation, Digest: m.Digest,
		Boot: m.Incarnation, Domain: m.Domain, Peers: m.Peers, Operators: m.Operators,
	}
}

func (r record) viewerMember() viewer.Member {
	return viewer.Member{
		Name: r.Name, Domain: r.Domain, Peers: r.Peers, Operators: r.Operators, State: r.State.state(),
		Incarnation: r.Incarnation, Boot: r.Boot, Generation: r.Generation, Digest: r.Digest, Evacuations: r.Evacuations,
	}
}

// withoutAddresses returns the record without the domain and the addresses, which do not change
// while the member's process runs.
func (r record) withoutAddresses() record {
	r.Domain, r.Peers, r.Operators = "", "", ""
	return r
}

// isNewerThan reports whether r contains an update that old lacks.
func (r record) isNewerThan(old record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State || r.Revision > old.Revision
}

// merge returns the newest values of two records of one member, of which r is the newer one.
func (r record) merge(old record) record {
	if r.Domain == "" {
		r.Domain, r.Peers, r.Operators = old.Domain, old.Peers, old.Operators
	}
	if r.Incarnation > old.Incarnation {
		return r
	}
	r.State = max(r.State, old.State)
	if r.Revision < old.Revision {
		r.Revision, r.Generation, r.Digest, r.Evacuations = old.Revision, old.Generation, old.Digest, old.Evacuations
	}
	return r
}

// sameButRevision reports whether next differs from r at most in its revision, so that it only shows
// that the member is alive.
func (r record) sameButRevision(next record) bool {
	r.Revision = next.Revision
	return r == next
}

// member is another daemon, with its record and what this daemon observed of it.
type member struct {
	record
	// sendsHeartbeats is set while the member sends its heartbeats to this daemon, or is assumed
	// to begin soon.
	sendsHeartbeats bool
	// heartbeatsAssumed is set while sendsHeartbeats is an estimate of the member's choice of
	// neighbours. Such a member is pinged before it is suspected.
	heartbeatsAssumed bool
	// lastHeartbeat is when the last packet of the member arrived here.
	lastHeartbeat time.Time
	// connectFailed is set after a connection to the member failed, until a packet of it arrives.
	connectFailed bool
	// stateSince is when the member's state last changed.
	stateSince time.Time
	// lastAlive is when this daemon last received evidence that the member is alive.
	lastAlive time.Time
	// processFirstSeen is when the member's current process was first seen.
	processFirstSeen time.Time
	// addressesSpread is set once the member's addresses have been sent in enough rounds, so that
	// later changes leave them out.
	addressesSpread bool
}

// present reports whether the member is alive or suspected.
func (m *member) present() bool { return m.State == rankAlive || m.State == rankSuspected }

// Members returns all known members, this daemon among them, sorted by name.
func (g *Gossiper) Members() []viewer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []viewer.Member{g.self.viewerMember()}
	for _, m := range g.members {
		out = append(out, m.viewerMember())
	}
	slices.SortFunc(out, func(a, b viewer.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// mergeRecord merges a received record of a member. The caller holds g.mu.
func (g *Gossiper) mergeRecord(r record, now time.Time) {
	if r.Name == g.self.Name {
		g.refute(r)
		return
	}
	old := g.members[r.Name]
	if old == nil {
		// A member that is gone, or whose address is not known, is not added.
		if r.State != rankGone && r.Peers != "" {
			g.addMember(r, now)
		}
		return
	}
	if !r.isNewerThan(old.record) {
		if !old.record.isNewerThan(r) {
			g.rumors.countDuplicate(rumorKey{member: r.Name})
		}
		return
	}
	if r.Boot != old.Boot && r.Peers == "" {
		return
	}
	next := r.merge(old.record)
	if next.Incarnation != old.Incarnation || next.Revision != old.Revision {
		old.lastAlive = now
	}
	if next.Boot != old.Boot {
		old.processFirstSeen, old.addressesSpread, old.connectFailed = now, false, false
		old.sendsHeartbeats, old.lastHeartbeat = g.expectsHeartbeats(next, now), now
		old.heartbeatsAssumed = old.sendsHeartbeats
		g.restartedAddrs = append(g.restartedAddrs, next.Peers)
	}
	if next.State != old.State {
		g.logState(r.Name, old.State.state(), next.State.state())
		old.stateSince = now
	}
	isRefresh := old.record.sameButRevision(next)
	old.record = next
	if isRefresh {
		g.rumors.addRefresh(rumorKey{member: r.Name})
		return
	}
	g.spreadChange(rumorKey{member: r.Name})
}

func (g *Gossiper) addMember(r record, now time.Time) {
	m := &member{record: r, stateSince: now, lastAlive: now, processFirstSeen: now, lastHeartbeat: now}
	g.members[r.Name] = m
	m.sendsHeartbeats = g.expectsHeartbeats(r, now)
	m.heartbeatsAssumed = m.sendsHeartbeats
	g.logState(r.Name, "unknown", r.State.state())
	g.spreadChange(rumorKey{member: r.Name})
}

// refute answers a record that shows this daemon in a worse state than its own, or of a later
// incarnation, by announcing a higher incarnation. The caller holds g.mu.
func (g *Gossiper) refute(r record) {
	if r.Incarnation < g.self.Incarnation || r.Incarnation == g.self.Incarnation && r.State <= g.self.State {
		return
	}
	if r.Boot != g.self.Boot && r.State == rankAlive {
		// An earlier process of this daemon, or a second one of the same name.
		g.addToCounter("gossip_name_conflicts_total", 1)
	}
	g.addToCounter("gossip_refutations_total", 1)
	g.self.Incarnation = r.Incarnation + 1
	g.announceSelf()
}

// ageMembers suspects members that are unreachable, and sets them gone and forgets them as time
// passes. The caller holds g.mu.
func (g *Gossiper) ageMembers(now time.Time) {
	stale := maxMissedRefreshes * g.refreshPeriod()
	counts := [len(rankStates)]int64{}
	counts[g.self.State]++
	for name, m := range g.members {
		unreachable := m.sendsHeartbeats && now.Sub(m.lastHeartbeat) > g.cfg.SuspectAfter || now.Sub(m.lastAlive) > stale
		lasted := now.Sub(m.stateSince)
		if m.heartbeatsAssumed && now.Sub(m.lastHeartbeat) > g.cfg.SuspectAfter/2 {
			g.pingAddrs = append(g.pingAddrs, m.Peers)
		}
		switch {
		case m.State == rankGone && lasted > g.cfg.ForgetAfter:
			delete(g.members, name)
			g.rumors.drop(rumorKey{member: name})
			g.changed = true
			continue
		case m.State == rankSuspected && lasted > g.cfg.GoneAfter, m.State == rankLeaving && unreachable:
			g.setState(m, rankGone, now)
		case m.State == rankAlive && unreachable:
			// Suspected once only: if the member refutes, heartbeats get lost just between it
			// and this daemon, and other daemons detect its death.
			m.sendsHeartbeats = false
			g.setState(m, rankSuspected, now)
		}
		counts[m.State]++
	}
	for i, n := range counts {
		metrics.GetOrRegisterGauge("gossip_members;state="+string(rankStates[i]), g.cfg.Registry).Update(n)
	}
	g.ageItems(now)
}

// connectFailed suspects the member at an address to which no connection could be made, unless its
// heartbeats still arrive. When most of a fleet dies at once, the daemons that would miss the
// heartbeats of a dead member may be dead too, so missing heartbeats alone do not detect all deaths.
func (g *Gossiper) connectFailed(addr string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.Peers != addr || m.State != rankAlive || m.connectFailed || m.sendsHeartbeats && now.Sub(m.lastHeartbeat) < g.cfg.SuspectAfter {
			continue
		}
		// Suspected once only, as for missing heartbeats: the link may fail in one direction.
		m.connectFailed = true
		g.setState(m, rankSuspected, now)
	}
}

func (g *Gossiper) setState(m *member, r stateRank, now time.Time) {
	g.logState(m.Name, m.State.state(), r.state())
	m.State, m.stateSince, m.lastAlive = r, now, now
	g.spreadChange(rumorKey{member: m.Name})
}

func (g *Gossiper) logState(name string, from, to viewer.State) {
	// A failure of the logger cannot be logged.
	_ = level.Info(g.cfg.Logger).Log("msg", "member changed", "member", name, "from", from, "to", to)
}

func (g *Gossiper) refreshPeriod() time.Duration {
	return max(minRefreshPeriod, time.Duration(len(g.members)+1)*refreshPeriodPerMember)
}

// refreshSelf spreads this daemon's own record again once per refreshPeriod. When the refreshes stop,
// all daemons detect its death, even if none of them receives its heartbeats. The caller holds g.mu.
func (g *Gossiper) refreshSelf(now time.Time) {
	if now.Sub(g.lastRefresh) > g.refreshPeriod() {
		g.lastRefresh = now
		g.self.Revision++
		g.rumors.addRefresh(rumorKey{member: g.self.Name})
	}
}
