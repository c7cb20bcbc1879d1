package sharer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
)

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

// due returns the bundles that go out now: own is the daemon's own status, or
// nothing where it is not due.
func (s *Sharer) due(now time.Time, own cbor.RawMessage) []outgoing {
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
	if len(down) == 0 {
		down = s.nothingNew()
	}
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

// nothingNew is the bundle that tells attached daemons that their hub lives.
func (s *Sharer) nothingNew() [][]byte { return s.encode(false, nil) }

// pack puts statuses into bundles that fit a datagram each.
func (s *Sharer) pack(wants bool, now time.Time, own cbor.RawMessage, peers []*Peer) [][]byte {
	var parcels []parcel
	if own != nil {
		parcels = append(parcels, parcel{Status: own})
	}
	for _, p := range peers {
		parcels = append(parcels, parcel{Status: p.encoded, Age: now.Sub(p.Heard).Milliseconds()})
	}
	var bodies [][]byte
	for len(parcels) > 0 {
		n, size := 0, bundleMargin
		for n < len(parcels) && (n == 0 || size+len(parcels[n].Status) <= messenger.MaxDatagramBytes) {
			size += len(parcels[n].Status) + parcelMargin
			n++
		}
		bodies = append(bodies, s.encode(wants, parcels[:n])...)
		parcels = parcels[n:]
	}
	return bodies
}

// encode returns one bundle, or nothing where it cannot be encoded.
func (s *Sharer) encode(wants bool, parcels []parcel) [][]byte {
	b, err := cbor.Marshal(bundle{From: s.cfg.Name, Wants: wants, Parcels: parcels})
	if err != nil {
		s.log("msg", "statuses not sent", "error", err)
		return nil
	}
	return [][]byte{b}
}
