package sharer

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/messenger"
)

// statusMessage is one message between daemons: statuses of the sender and of others, and in a
// large fleet load reports, totals and usage reports.
type statusMessage struct {
	From string `cbor:"1,keyasint"`
	// WantsStatuses asks the receiver to send the statuses of other daemons in return.
	WantsStatuses bool          `cbor:"2,keyasint,omitempty"`
	Entries       []statusEntry `cbor:"3,keyasint,omitempty"`
	// LoadReport is the sender's load report for its hub.
	LoadReport *loadReport `cbor:"4,keyasint,omitempty"`
	// Totals is an encoded totalsFragment of the sender, which is a hub.
	Totals cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// IncludedReport is the number of the receiver's latest load report that Totals include, and
	// IncludedAttachment the attachment that this report belongs to.
	IncludedReport     uint64 `cbor:"6,keyasint,omitempty"`
	IncludedAttachment uint64 `cbor:"8,keyasint,omitempty"`
	// ConfirmedReport is the number of the sender's latest load report that the receiver's totals
	// included.
	ConfirmedReport uint64 `cbor:"9,keyasint,omitempty"`
	// Reports are either the sender's own, for its hub to forward, or those of other daemons, for
	// a receiver that may have the duty.
	Reports []cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	// Observations is an encoded observationBatch. Daemons that do not know it ignore it.
	Observations cbor.RawMessage `cbor:"10,keyasint,omitempty"`
}

// statusEntry is one status in a message, or a heartbeat instead of it.
type statusEntry struct {
	Status cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	// Age is the time since the status reached the first hub that relays it, in milliseconds.
	Age       int64      `cbor:"2,keyasint,omitempty"`
	Heartbeat *heartbeat `cbor:"3,keyasint,omitempty"`
}

// heartbeat reports that a daemon is alive and that its status has not changed.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Boot   int64
	Number uint64
	Clock  int64
}

const (
	// messageOverheadBytes is the encoded size of a message without its entries, and
	// entryOverheadBytes that of an entry without its status.
	messageOverheadBytes = 80
	entryOverheadBytes   = 10
)

// outgoingMessages are the encoded messages for one address.
type outgoingMessages struct {
	address string
	bodies  [][]byte
}

// messagesDue returns the messages that are to be sent now.
func (s *Sharer) messagesDue(now time.Time, o ownMessages) []outgoingMessages {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport == nil {
		return nil
	}
	reachable := make(map[string]bool, len(s.peers))
	for _, p := range s.peers {
		if !p.Unreachable {
			reachable[p.Address] = true
		}
		if c := s.contacts[p.Address]; c != nil {
			c.backoff = retryPeriod
		}
	}
	var out []outgoingMessages
	if s.overlay.large {
		out = s.messagesThroughHubs(now, o)
	} else {
		out = s.messagesToAll(o.status)
	}
	if o.status != nil {
		for _, a := range s.retryAddresses(now, reachable) {
			out = append(out, outgoingMessages{a, s.packStatuses(!s.overlay.large, now, o.status, nil)})
		}
	}
	s.overlay.forwarded = s.overlay.arrivals
	return out
}

// messagesToAll returns the daemon's own status for each reachable daemon.
func (s *Sharer) messagesToAll(own cbor.RawMessage) []outgoingMessages {
	if own == nil {
		return nil
	}
	bodies := s.packStatuses(false, time.Time{}, own, nil)
	var out []outgoingMessages
	for _, p := range s.peers {
		if !p.Unreachable {
			out = append(out, outgoingMessages{p.Address, bodies})
		}
	}
	return out
}

// messagesThroughHubs returns the messages that a daemon of a large fleet sends now.
func (s *Sharer) messagesThroughHubs(now time.Time, o ownMessages) []outgoingMessages {
	if !s.overlay.isHub {
		return append(s.messagesToHub(o), s.messagesToAttached(now, o, hubBatches{})...)
	}
	s.addReport(s.cfg.Name, o.report)
	observed := s.observations.takeDue(now)
	out := append(s.messagesToOtherHubs(now, o, observed.group), s.messagesToAttached(now, o, observed)...)
	return append(out, s.reportsToDuty()...)
}

// messagesToHub returns what a daemon sends to its hub: its status, its load report and its usage
// report.
func (s *Sharer) messagesToHub(o ownMessages) []outgoingMessages {
	hub := s.peers[s.overlay.hub]
	if hub == nil || o.status == nil && !o.totals {
		return nil
	}
	b := statusMessage{From: s.cfg.Name, WantsStatuses: true}
	if o.status != nil {
		b.Entries = []statusEntry{{Status: o.status}}
	}
	if o.totals {
		w := s.aggregator.ownLoadReport(s.cfg.Boot)
		b.LoadReport, b.ConfirmedReport = &w, s.aggregator.confirmedReport
	}
	out := outgoingMessages{hub.Address, s.encodeMessage(b)}
	var observed [][]byte
	if o.totals {
		observed = s.observationMessages(scopeDaemon, s.observations.takeOwn())
	}
	if o.report == nil {
		out.bodies = append(out.bodies, observed...)
		return []outgoingMessages{out}
	}
	if len(out.bodies) > 0 && len(out.bodies[0])+len(o.report)+entryOverheadBytes <= messenger.MaxDatagramBytes {
		b.Reports = []cbor.RawMessage{o.report}
		out.bodies = append(s.encodeMessage(b), observed...)
		return []outgoingMessages{out}
	}
	out.bodies = append(out.bodies, s.encodeMessage(statusMessage{From: s.cfg.Name, WantsStatuses: true, Reports: []cbor.RawMessage{o.report}})...)
	out.bodies = append(out.bodies, observed...)
	return []outgoingMessages{out}
}

// messagesToOtherHubs returns what a hub sends to the other hubs: the statuses, the totals and the
// observations of itself and of the daemons attached to it.
func (s *Sharer) messagesToOtherHubs(now time.Time, o ownMessages, observed []Observation) []outgoingMessages {
	bodies := s.packStatuses(false, now, o.status, s.updatedPeers(func(p *Peer) bool { return p.receivedDirectly }))
	if o.totals {
		for _, d := range fragmentTotals(s.cfg.Boot, false, sortedLoads(s.aggregator.groupLoads()), s.aggregator.groupAdmitted) {
			bodies = append(bodies, s.encodeMessage(statusMessage{From: s.cfg.Name, Totals: s.encodeCBOR(d)})...)
		}
	}
	bodies = append(bodies, s.observationMessages(scopeGroup, observed)...)
	if len(bodies) == 0 {
		return nil
	}
	var out []outgoingMessages
	for name, p := range s.peers {
		if p.Hub && !p.Unreachable || slices.Contains(s.overlay.hubs[p.Domain], name) {
			out = append(out, outgoingMessages{p.Address, bodies})
		}
	}
	return out
}

// messagesToAttached returns what a daemon sends to those attached to it: all statuses that are
// new, and the totals and observations of the fleet. It drops attachments that were not renewed within
// totalsTimeout.
func (s *Sharer) messagesToAttached(now time.Time, o ownMessages, observed hubBatches) []outgoingMessages {
	v := &s.overlay
	if len(v.attachments) == 0 {
		return nil
	}
	statuses := s.packStatuses(false, now, o.status, s.updatedPeers(func(*Peer) bool { return true }))
	var totals []cbor.RawMessage
	if o.totals && s.overlay.isHub {
		for _, d := range fragmentTotals(s.cfg.Boot, true, sortedLoads(s.aggregator.fleetLoads()), s.aggregator.fleetAdmitted) {
			totals = append(totals, s.encodeCBOR(d))
		}
	}
	var out []outgoingMessages
	for name, a := range v.attachments {
		p := s.peers[name]
		if p == nil || now.Sub(a.requested) > totalsTimeout {
			delete(v.attachments, name)
			continue
		}
		bodies := statuses
		if !a.synced {
			bodies = s.packFullStatuses(now, o.status, s.reachablePeers())
			v.attachments[name] = attachment{a.requested, true}
		}
		bodies = slices.Clone(bodies)
		for _, d := range totals {
			attachmentNumber, number := s.aggregator.latestReport(name)
			bodies = append(bodies, s.encodeMessage(statusMessage{From: s.cfg.Name, Totals: d, IncludedReport: number, IncludedAttachment: attachmentNumber})...)
		}
		bodies = append(bodies, s.observationMessages(scopeFleet, observed.forDaemon(name))...)
		out = append(out, outgoingMessages{p.Address, bodies})
	}
	return out
}

// updatedPeers returns the peers with a status that arrived since the last messages and that keep
// accepts.
func (s *Sharer) updatedPeers(keep func(p *Peer) bool) []*Peer {
	var out []*Peer
	for _, p := range s.peers {
		if p.arrivalNumber > s.overlay.forwarded && keep(p) {
			out = append(out, p)
		}
	}
	return out
}

// reachablePeers returns the peers that are reachable.
func (s *Sharer) reachablePeers() []*Peer {
	var out []*Peer
	for _, p := range s.peers {
		if !p.Unreachable {
			out = append(out, p)
		}
	}
	return out
}

// packStatuses packs statuses into messages that fit a datagram each. It replaces an unchanged
// status by a heartbeat, but sends every fourth one in full.
func (s *Sharer) packStatuses(wantsStatuses bool, now time.Time, own cbor.RawMessage, peers []*Peer) [][]byte {
	var entries []statusEntry
	if own != nil {
		entries = append(entries, statusEntry{Status: own})
	}
	for _, p := range peers {
		if p.unchanged && p.Number%fullStatusInterval != 0 {
			entries = append(entries, p.heartbeatEntry(now))
			continue
		}
		entries = append(entries, p.fullEntries(now)...)
	}
	return s.packEntries(wantsStatuses, entries)
}

// packFullStatuses packs the full statuses of peers into messages.
func (s *Sharer) packFullStatuses(now time.Time, own cbor.RawMessage, peers []*Peer) [][]byte {
	var entries []statusEntry
	if own != nil {
		entries = append(entries, statusEntry{Status: own})
	}
	for _, p := range peers {
		entries = append(entries, p.fullEntries(now)...)
	}
	return s.packEntries(false, entries)
}

func (s *Sharer) packEntries(wantsStatuses bool, entries []statusEntry) [][]byte {
	var bodies [][]byte
	for len(entries) > 0 {
		n, size := 0, messageOverheadBytes
		for n < len(entries) && (n == 0 || size+entries[n].maxBytes() <= messenger.MaxDatagramBytes) {
			size += entries[n].maxBytes()
			n++
		}
		bodies = append(bodies, s.encodeMessage(statusMessage{From: s.cfg.Name, WantsStatuses: wantsStatuses, Entries: entries[:n]})...)
		entries = entries[n:]
	}
	return bodies
}

// heartbeatBytes is the largest encoded size of a heartbeat without the name.
const heartbeatBytes = 34

// maxBytes returns the largest encoded size of an entry.
func (p statusEntry) maxBytes() int {
	if p.Heartbeat != nil {
		return heartbeatBytes + len(p.Heartbeat.Name)
	}
	return entryOverheadBytes + len(p.Status)
}

// fullStatusInterval is how many statuses of a daemon lie between two that hubs forward in full
// although nothing has changed.
const fullStatusInterval = 4

// fullEntries returns a peer's latest status, followed by a heartbeat if one arrived since.
func (p *Peer) fullEntries(now time.Time) []statusEntry {
	out := []statusEntry{{Status: p.encoded, Age: now.Sub(p.statusReceived).Milliseconds()}}
	if p.Received != p.statusReceived {
		out = append(out, p.heartbeatEntry(now))
	}
	return out
}

func (p *Peer) heartbeatEntry(now time.Time) statusEntry {
	return statusEntry{Age: now.Sub(p.Received).Milliseconds(), Heartbeat: &heartbeat{Name: p.Name, Boot: p.Boot, Number: p.Number, Clock: p.Clock}}
}

// encodeMessage returns one encoded message, or none if it cannot be encoded.
func (s *Sharer) encodeMessage(b statusMessage) [][]byte {
	if out := s.encodeCBOR(b); out != nil {
		return [][]byte{out}
	}
	return nil
}
