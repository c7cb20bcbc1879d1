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
	// minRefresh and refreshPerMember set how often a daemon spreads its record
	// anew: rarely enough that a large fleet's refreshes cost as much in all as
	// a small one's.
	minRefresh       = 10 * time.Second
	refreshPerMember = 150 * time.Millisecond
	// staleRefreshes is the number of refreshes missed by a member that no
	// longer has neighbours who would notice its silence.
	staleRefreshes = 4
)

// rank orders the states of one incarnation: a higher one prevails.
type rank uint8

const (
	rankAlive rank = iota
	rankSuspected
	rankLeaving
	rankGone
)

var states = [...]viewer.State{viewer.StateAlive, viewer.StateSuspected, viewer.StateLeaving, viewer.StateGone}

func rankOf(s viewer.State) rank { return rank(max(0, slices.Index(states[:], s))) }

func (r rank) state() viewer.State { return states[min(r, rankGone)] }

// record is what spreads about one member. The addresses are left out of a
// change that leaves them as they were.
type record struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	State       rank   `cbor:"3,keyasint,omitempty"`
	Generation  uint64 `cbor:"4,keyasint,omitempty"`
	Digest      uint64 `cbor:"5,keyasint,omitempty"`
	// Beat grows with each change by the member itself and each refresh.
	Beat uint64 `cbor:"6,keyasint,omitempty"`
	// Boot is the incarnation with which the member's process started.
	Boot      uint64 `cbor:"7,keyasint,omitempty"`
	Domain    string `cbor:"8,keyasint,omitempty"`
	Peers     string `cbor:"9,keyasint,omitempty"`
	Operators string `cbor:"10,keyasint,omitempty"`
}

func newRecord(m viewer.Member) record {
	return record{
		Name: m.Name, Incarnation: m.Incarnation, State: rankOf(m.State), Generation: m.Generation, Digest: m.Digest,
		Boot: m.Incarnation, Domain: m.Domain, Peers: m.Peers, Operators: m.Operators,
	}
}

func (r record) view() viewer.Member {
	return viewer.Member{
		Name: r.Name, Domain: r.Domain, Peers: r.Peers, Operators: r.Operators, State: r.State.state(),
		Incarnation: r.Incarnation, Boot: r.Boot, Generation: r.Generation, Digest: r.Digest,
	}
}

// short returns the record without what a receiver that knows the member's
// process has already.
func (r record) short() record {
	r.Domain, r.Peers, r.Operators = "", "", ""
	return r
}

// newer reports whether r holds something that old lacks.
func (r record) newer(old record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State || r.Beat > old.Beat
}

// merge returns the union of two records of one member, of which r is newer.
func (r record) merge(old record) record {
	if r.Domain == "" {
		r.Domain, r.Peers, r.Operators = old.Domain, old.Peers, old.Operators
	}
	if r.Incarnation > old.Incarnation {
		return r
	}
	r.State = max(r.State, old.State)
	if r.Beat < old.Beat {
		r.Beat, r.Generation, r.Digest = old.Beat, old.Generation, old.Digest
	}
	return r
}

// sameButBeat reports whether next only shows that the member still lives.
func (r record) sameButBeat(next record) bool {
	r.Beat = next.Beat
	return r == next
}

// member is what a daemon knows of another.
type member struct {
	record
	// direct is set while the member's heartbeats come here, the last at heard,
	// or are about to.
	direct bool
	// expected is set while direct rests on a guess at the member's choice of
	// neighbours. It is asked before its silence counts.
	expected bool
	heard    time.Time
	// unreached is set once no connection could be made to the member, until it
	// is heard again.
	unreached bool
	// since is when the state was taken up.
	since time.Time
	// advanced is when the member last showed that it lives.
	advanced time.Time
	// booted is when the member's present process was first seen.
	booted time.Time
	// spread is set once the member's addresses have spread, so that further
	// changes go without them.
	spread bool
}

func (m *member) present() bool { return m.State == rankAlive || m.State == rankSuspected }

// Members returns all known members, this daemon among them, sorted by name.
func (g *Gossiper) Members() []viewer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []viewer.Member{g.self.view()}
	for _, m := range g.members {
		out = append(out, m.view())
	}
	slices.SortFunc(out, func(a, b viewer.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// mergeRecord takes in what spreads about a member. The caller holds the lock.
func (g *Gossiper) mergeRecord(r record, now time.Time) {
	if r.Name == g.self.Name {
		g.refute(r)
		return
	}
	old := g.members[r.Name]
	if old == nil {
		// A member that is gone or was never introduced is not taken up.
		if r.State != rankGone && r.Peers != "" {
			g.addMember(r, now)
		}
		return
	}
	if !r.newer(old.record) {
		if !old.record.newer(r) {
			g.rumors.heardAgain(rumorKey{member: r.Name})
		}
		return
	}
	if r.Boot != old.Boot && r.Peers == "" {
		return
	}
	next := r.merge(old.record)
	if next.Incarnation != old.Incarnation || next.Beat != old.Beat {
		old.advanced = now
	}
	if next.Boot != old.Boot {
		old.booted, old.spread, old.unreached = now, false, false
		old.direct, old.heard = g.expects(next, now), now
		old.expected = old.direct
		g.restarted = append(g.restarted, next.Peers)
	}
	if next.State != old.State {
		g.logState(r.Name, old.State.state(), next.State.state())
		old.since = now
	}
	faint := old.record.sameButBeat(next)
	old.record = next
	if faint {
		g.rumors.addFaint(rumorKey{member: r.Name})
		return
	}
	g.note(rumorKey{member: r.Name})
}

func (g *Gossiper) addMember(r record, now time.Time) {
	m := &member{record: r, since: now, advanced: now, booted: now, heard: now}
	g.members[r.Name] = m
	m.direct = g.expects(r, now)
	m.expected = m.direct
	g.logState(r.Name, "unknown", r.State.state())
	g.note(rumorKey{member: r.Name})
}

// refute contradicts what others say of this daemon by a higher incarnation.
func (g *Gossiper) refute(r record) {
	if r.Incarnation < g.self.Incarnation || r.Incarnation == g.self.Incarnation && r.State <= g.self.State {
		return
	}
	if r.Boot != g.self.Boot && r.State == rankAlive {
		// An earlier process of this daemon, or a second one of the same name.
		g.count("gossip_name_conflicts_total", 1)
	}
	g.count("gossip_refutations_total", 1)
	g.self.Incarnation = r.Incarnation + 1
	g.announce()
}

// age moves members on whose silence has lasted. The caller holds the lock.
func (g *Gossiper) age(now time.Time) {
	stale := staleRefreshes * g.refreshPeriod()
	counts := [len(states)]int64{}
	counts[g.self.State]++
	for name, m := range g.members {
		silent := m.direct && now.Sub(m.heard) > g.cfg.SuspectAfter || now.Sub(m.advanced) > stale
		lasted := now.Sub(m.since)
		if m.expected && now.Sub(m.heard) > g.cfg.SuspectAfter/2 {
			g.asked = append(g.asked, m.Peers)
		}
		switch {
		case m.State == rankGone && lasted > g.cfg.ForgetAfter:
			delete(g.members, name)
			g.rumors.drop(rumorKey{member: name})
			g.changed = true
			continue
		case m.State == rankSuspected && lasted > g.cfg.GoneAfter, m.State == rankLeaving && silent:
			g.setState(m, rankGone, now)
		case m.State == rankAlive && silent:
			// Judged once: if the member refutes, heartbeats are lost between
			// it and this daemon only, and others notice its death.
			m.direct = false
			g.setState(m, rankSuspected, now)
		}
		counts[m.State]++
	}
	for i, n := range counts {
		metrics.GetOrRegisterGauge("gossip_members;state="+string(states[i]), g.cfg.Registry).Update(n)
	}
	g.ageItems(now)
}

// unreached suspects the member at an address to which no connection could be
// made, unless its heartbeats still come here. Most of a fleet may be lost at
// once, and with it all that would have noticed a death by its silence.
func (g *Gossiper) unreached(addr string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.Peers != addr || m.State != rankAlive || m.unreached || m.direct && now.Sub(m.heard) < g.cfg.SuspectAfter {
			continue
		}
		// Judged once, as silence is: the link may be cut one way only.
		m.unreached = true
		g.setState(m, rankSuspected, now)
	}
}

func (g *Gossiper) setState(m *member, r rank, now time.Time) {
	g.logState(m.Name, m.State.state(), r.state())
	m.State, m.since, m.advanced = r, now, now
	g.note(rumorKey{member: m.Name})
}

func (g *Gossiper) logState(name string, from, to viewer.State) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(g.cfg.Logger).Log("msg", "member changed", "member", name, "from", from, "to", to)
}

func (g *Gossiper) refreshPeriod() time.Duration {
	return max(minRefresh, time.Duration(len(g.members)+1)*refreshPerMember)
}

// refresh spreads this daemon's own record anew from time to time, so that a
// member of which nobody is a neighbour any more is found out.
func (g *Gossiper) refresh(now time.Time) {
	if now.Sub(g.refreshed) > g.refreshPeriod() {
		g.refreshed = now
		g.self.Beat++
		g.rumors.addFaint(rumorKey{member: g.self.Name})
	}
}
