package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/ranker"
	"pomelotiller/internal/fleet/viewer"
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

// bundle is one message: statuses of the sender and of others.
type bundle struct {
	From string `cbor:"1,keyasint"`
	// Wants asks for the statuses of others in return.
	Wants   bool     `cbor:"2,keyasint,omitempty"`
	Parcels []parcel `cbor:"3,keyasint,omitempty"`
}

// parcel is one status on its way.
type parcel struct {
	Status cbor.RawMessage `cbor:"1,keyasint"`
	// Age is how long the status has been on its way, in milliseconds.
	Age int64 `cbor:"2,keyasint,omitempty"`
}

const (
	// bundleMargin is what a bundle takes beside its parcels, and parcelMargin
	// what a parcel takes beside its status, in bytes.
	bundleMargin = 80
	parcelMargin = 10
)

// outgoing is what goes to one address.
type outgoing struct {
	address string
	bodies  [][]byte
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

// arrange works out who the hubs are and which one this daemon turns to.
func (s *Sharer) arrange(now time.Time) {
	o := &s.overlay
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
	s.choose(now)
}

// self returns this daemon in the form of a peer.
func (s *Sharer) self() *Peer {
	return &Peer{Status: Status{Name: s.cfg.Name, Domain: s.cfg.Domain, Size: s.cfg.Size}}
}

// smallHub is the size, as a share of the largest host of the failure domain,
// from which on a host carries others.
const smallHub = 0.5

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
	if o.isHub {
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

// outgoing returns the bundles that are due: own is the daemon's own status, or
// nothing where it is not due.
func (s *Sharer) outgoing(now time.Time, own cbor.RawMessage) []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport == nil {
		return nil
	}
	heard := make(map[string]bool, len(s.peers))
	for _, p := range s.peers {
		if !p.Silent {
			heard[p.Address] = true
		}
		if c := s.contacts[p.Address]; c != nil {
			c.pause = retryPeriod
		}
	}
	var out []outgoing
	if s.overlay.large {
		out = s.relayed(now, own)
	} else {
		out = s.toAll(own)
	}
	if own != nil {
		for _, a := range s.retries(now, heard) {
			out = append(out, outgoing{a, s.pack(!s.overlay.large, now, own, nil)})
		}
	}
	s.overlay.passed = s.overlay.arrivals
	return out
}

// toAll returns the daemon's own status for each daemon that is heard.
func (s *Sharer) toAll(own cbor.RawMessage) []outgoing {
	if own == nil {
		return nil
	}
	bodies := s.pack(false, time.Time{}, own, nil)
	var out []outgoing
	for _, p := range s.peers {
		if !p.Silent {
			out = append(out, outgoing{p.Address, bodies})
		}
	}
	return out
}

// relayed returns what goes through hubs: to each hub the own status and those
// of attached daemons, to each attached daemon all that is new.
func (s *Sharer) relayed(now time.Time, own cbor.RawMessage) []outgoing {
	o := &s.overlay
	var news, direct []*Peer
	for _, p := range s.peers {
		if p.arrival > o.passed {
			news = append(news, p)
			if p.direct {
				direct = append(direct, p)
			}
		}
	}
	var out []outgoing
	up := s.pack(!o.isHub, now, own, direct)
	for _, name := range s.hubsToTell() {
		if p := s.peers[name]; p != nil && len(up) > 0 {
			out = append(out, outgoing{p.Address, up})
		}
	}
	down := s.pack(false, now, own, news)
	limit := silence * s.period()
	for name, a := range o.attached {
		p := s.peers[name]
		if p == nil || now.Sub(a.asked) > limit {
			delete(o.attached, name)
			continue
		}
		if a.told {
			out = append(out, outgoing{p.Address, down})
			continue
		}
		out = append(out, outgoing{p.Address, s.pack(false, now, own, s.heardPeers())})
		o.attached[name] = attachment{a.asked, true}
	}
	return out
}

// heardPeers returns the daemons that are heard.
func (s *Sharer) heardPeers() []*Peer {
	var out []*Peer
	for _, p := range s.peers {
		if !p.Silent {
			out = append(out, p)
		}
	}
	return out
}

// hubsToTell returns the names of the hubs that this daemon sends to.
func (s *Sharer) hubsToTell() []string {
	o := &s.overlay
	if !o.isHub {
		if o.hub == "" {
			return nil
		}
		return []string{o.hub}
	}
	var names []string
	for _, hubs := range o.hubs {
		for _, h := range hubs {
			if h != s.cfg.Name {
				names = append(names, h)
			}
		}
	}
	return names
}

// pack puts statuses into bundles that fit a datagram each. A bundle without
// any says that the daemon is alive.
func (s *Sharer) pack(wants bool, now time.Time, own cbor.RawMessage, peers []*Peer) [][]byte {
	var parcels []parcel
	if own != nil {
		parcels = append(parcels, parcel{Status: own})
	}
	for _, p := range peers {
		parcels = append(parcels, parcel{Status: p.encoded, Age: now.Sub(p.Heard).Milliseconds()})
	}
	if len(parcels) == 0 && wants {
		return nil
	}
	var bodies [][]byte
	for first := true; first || len(parcels) > 0; first = false {
		n, size := 0, bundleMargin
		for n < len(parcels) && (n == 0 || size+len(parcels[n].Status) <= messenger.MaxDatagramBytes) {
			size += len(parcels[n].Status) + parcelMargin
			n++
		}
		b, err := cbor.Marshal(bundle{From: s.cfg.Name, Wants: wants, Parcels: parcels[:n]})
		if err != nil {
			s.log("msg", "statuses not sent", "error", err)
			return nil
		}
		bodies = append(bodies, b)
		parcels = parcels[n:]
	}
	return bodies
}
