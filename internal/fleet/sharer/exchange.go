package sharer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/observe/meter"
)

// send sends bundles to one address. Those that follow a failed one are not
// tried.
func (s *Sharer) send(ctx context.Context, out outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, b := range out.bodies {
		var err error
		if len(b) <= messenger.MaxDatagramBytes {
			err = s.transport.Send(ctx, out.address, kind, b)
		} else {
			_, err = s.transport.Call(ctx, out.address, kind, b)
		}
		s.noteSend(out.address, err)
		if err != nil {
			return
		}
	}
}

// noteSend counts a failed send, and logs the first of several in a row.
func (s *Sharer) noteSend(addr string, err error) {
	s.mu.Lock()
	c := s.contacts[addr]
	changed := c != nil && c.failing != (err != nil)
	if changed {
		c.failing = err != nil
	}
	s.mu.Unlock()
	if err != nil {
		meter.Count(s.cfg.Registry, 1, "status_send_failures_total")
	}
	if changed {
		s.log("msg", "sending to peer", "address", addr, "fails", err != nil, "error", err)
	}
}

// receive takes in a bundle of statuses.
func (s *Sharer) receive(body []byte) {
	var b bundle
	if err := cbor.Unmarshal(body, &b); err != nil {
		s.log("msg", "statuses not readable", "error", err)
		return
	}
	if b.From == s.cfg.Name {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.overlay.heard(b, now)
	s.mu.Unlock()
	for _, p := range b.Parcels {
		var st Status
		if err := cbor.Unmarshal(p.Status, &st); err != nil {
			s.log("msg", "status not readable", "from", b.From, "error", err)
			continue
		}
		s.take(b, Peer{Status: st, Heard: now.Add(-time.Duration(p.Age) * time.Millisecond), encoded: p.Status})
	}
}

// take takes in the status of another daemon, which came with a bundle.
func (s *Sharer) take(b bundle, p Peer) {
	if p.Name == s.cfg.Name {
		return
	}
	s.Contact(append(p.Peers, p.Address)...)
	s.mu.Lock()
	old := s.peers[p.Name]
	if old != nil && (p.Boot < old.Boot || p.Boot == old.Boot && p.Number <= old.Number) {
		s.mu.Unlock()
		return
	}
	p.Ahead = time.Duration(p.Clock-p.Heard.UnixMilli()) * time.Millisecond
	p.direct = s.overlay.isDirect(b, p.Status)
	s.overlay.arrivals++
	p.arrival = s.overlay.arrivals
	s.peers[p.Name] = &p
	if s.transport != nil && (old == nil || old.Boot != p.Boot) {
		// A connection made earlier led to a former process.
		s.transport.Forget(p.Address)
	}
	s.mu.Unlock()
	if old == nil || old.Boot != p.Boot || old.Silent {
		s.log("msg", "peer heard", "peer", p.Name, "address", p.Address, "domain", p.Domain, "boot", p.Boot)
	}
	s.cfg.Heard(old, &p)
}
