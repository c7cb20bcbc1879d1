package sharer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// observationPeriod is the time between two messages of a hub with observations. The speed of an engine
	// changes slowly, so that they may be older than loads and cost few bytes.
	observationPeriod = 2 * time.Second
	// observationSettleTime is how long a daemon takes no observations after it has changed its hub, became one
	// or ceased to be one. By then all that it received or reported before has passed through all hubs, so
	// that it counts nothing twice.
	observationSettleTime = 2*observationPeriod + time.Second
	// maxObservationBytes is the largest encoded size of a usual observation.
	maxObservationBytes = 13
	// maxObservedWeight and maxObservedSum limit what is observed of one engine between two messages.
	maxObservedWeight = 1 << 24
	maxObservedSum    = 1 << 32
)

// Observation is what daemons observed of the speed of one engine since they last reported it. It is encoded
// as an array, so the order of the fields matters. Each observation is in one message only, so that a lost
// message loses it and none counts twice.
type Observation struct {
	_ struct{} `cbor:",toarray"`
	// Engine is a hash of the engine's incarnation, Weight and LogSum are the number and the sum of the
	// observations in the units of traffic/estimator.
	Engine uint32
	Weight uint32
	LogSum int64
}

// observationScope tells whose observations a message has.
type observationScope int

const (
	// scopeDaemon is those of the sender, for its hub.
	scopeDaemon observationScope = iota + 1
	// scopeGroup is those of a hub and the daemons attached to it, for other hubs.
	scopeGroup
	// scopeFleet is those of all daemons but the receiver, which is attached to the sender.
	scopeFleet
)

// observationBatch is the part of a message that has observations.
type observationBatch struct {
	Scope   observationScope `cbor:"1,keyasint"`
	Entries []Observation    `cbor:"2,keyasint"`
}

// validate returns an error if a number of the batch is out of range.
func (b observationBatch) validate() error {
	if b.Scope < scopeDaemon || b.Scope > scopeFleet {
		return fmt.Errorf("scope %d of observations out of range: %w", b.Scope, errMalformed)
	}
	return validateObservations(b.Entries)
}

func validateObservations(observations []Observation) error {
	for _, o := range observations {
		if o.Weight == 0 || o.Weight > maxObservedWeight || o.LogSum > maxObservedSum || o.LogSum < -maxObservedSum {
			return fmt.Errorf("observations of engine %d out of range: %w", o.Engine, errMalformed)
		}
	}
	return nil
}

// observationSums adds up observations by engine.
type observationSums map[uint32]Observation

func (s observationSums) add(observations []Observation) {
	for _, o := range observations {
		old := s[o.Engine]
		s[o.Engine] = Observation{Engine: o.Engine, Weight: old.Weight + o.Weight, LogSum: old.LogSum + o.LogSum}
	}
}

// without returns the sums less those in remove, which are part of them, sorted by engine.
func (s observationSums) without(remove observationSums) []Observation {
	out := make([]Observation, 0, len(s))
	for _, key := range slices.Sorted(maps.Keys(s)) {
		o, r := s[key], remove[key]
		if o.Weight > r.Weight {
			out = append(out, Observation{Engine: key, Weight: o.Weight - r.Weight, LogSum: o.LogSum - r.LogSum})
		}
	}
	return out
}

// observationExchange holds the observations that this daemon is to send. The mutex of its Sharer guards it.
type observationExchange struct {
	// own holds what this daemon observed, group what the daemons attached to this hub reported, byDaemon the
	// same by daemon, and others what other hubs reported; all since they were last sent.
	own, group, others observationSums
	byDaemon           map[string]observationSums
	sentAt             time.Time
	// hub and isHub are the path by which this daemon exchanges observations. It takes none before settledAt.
	hub       string
	isHub     bool
	settledAt time.Time
	// active says that observations were exchanged by the present path or an earlier one.
	active bool
}

func newObservationExchange() observationExchange {
	return observationExchange{own: make(observationSums), group: make(observationSums), others: make(observationSums), byDaemon: make(map[string]observationSums)}
}

// setPath sets by which path observations are exchanged. After a change nothing is taken for some time, and
// what was received for others under the former path is dropped.
func (x *observationExchange) setPath(hub string, isHub bool, now time.Time) {
	if hub == x.hub && isHub == x.isHub {
		return
	}
	x.hub, x.isHub = hub, isHub
	if x.active {
		x.settledAt = now.Add(observationSettleTime)
	}
	x.clearReceived()
}

func (x *observationExchange) clearReceived() {
	clear(x.group)
	clear(x.others)
	clear(x.byDaemon)
}

// receive stores a batch for those to whom this daemon forwards it. It returns the observations that this
// daemon itself takes.
func (x *observationExchange) receive(from string, b observationBatch, now time.Time) []Observation {
	switch {
	case b.Scope == scopeDaemon && x.isHub:
		x.group.add(b.Entries)
		if x.byDaemon[from] == nil {
			x.byDaemon[from] = make(observationSums)
		}
		x.byDaemon[from].add(b.Entries)
	case now.Before(x.settledAt):
		return nil
	case b.Scope == scopeGroup && x.isHub:
		x.others.add(b.Entries)
	case b.Scope != scopeFleet || x.isHub || from != x.hub:
		return nil
	}
	x.active = true
	return b.Entries
}

// takeOwn returns what this daemon observed, for its hub.
func (x *observationExchange) takeOwn() []Observation {
	out := x.own.without(nil)
	clear(x.own)
	x.active = x.active || len(out) > 0
	return out
}

// hubBatches are what a hub sends in one round.
type hubBatches struct {
	// group is for the other hubs, all for the attached daemons, less what they reported themselves.
	group    []Observation
	all      observationSums
	byDaemon map[string]observationSums
}

// takeDue returns what a hub sends now, or nothing if its latest batches are less than observationPeriod old.
func (x *observationExchange) takeDue(now time.Time) hubBatches {
	if now.Sub(x.sentAt) < observationPeriod-hubPeriod/2 {
		return hubBatches{}
	}
	x.sentAt = now
	x.group.add(x.takeOwn())
	out := hubBatches{group: x.group.without(nil), all: x.group, byDaemon: x.byDaemon}
	out.all.add(x.others.without(nil))
	x.group, x.others, x.byDaemon = make(observationSums), make(observationSums), make(map[string]observationSums)
	return out
}

// forDaemon returns what a hub sends to an attached daemon.
func (b hubBatches) forDaemon(name string) []Observation { return b.all.without(b.byDaemon[name]) }

// observationMessages returns messages with observations that fit a datagram each.
func (s *Sharer) observationMessages(scope observationScope, observations []Observation) [][]byte {
	var bodies [][]byte
	for part := range slices.Chunk(observations, maxTotalsBytes/maxObservationBytes) {
		b := s.encodeCBOR(observationBatch{Scope: scope, Entries: part})
		bodies = append(bodies, s.encodeMessage(statusMessage{From: s.cfg.Name, WantsStatuses: scope == scopeDaemon, Observations: b})...)
	}
	return bodies
}

// receiveObservations decodes the observations of a message and passes them on.
func (s *Sharer) receiveObservations(m statusMessage, now time.Time) {
	if len(m.Observations) == 0 {
		return
	}
	var b observationBatch
	if err := errors.Join(cbor.Unmarshal(m.Observations, &b), b.validate()); err != nil {
		s.log("msg", "decode observations of peer", "from", m.From, "error", err)
		return
	}
	s.mu.Lock()
	out := s.observations.receive(m.From, b, now)
	s.mu.Unlock()
	if len(out) > 0 && s.cfg.ObservationsReceived != nil {
		s.cfg.ObservationsReceived(out)
	}
}
