package assembler

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/quarantiner"
)

// crashTopic is the gossip topic of the crashes that daemons saw under their requests. The key of an item is
// the daemon's name.
const crashTopic = "crashes"

// newQuarantiner returns a quarantiner and subscribes it to the crashes that other daemons saw.
func (d *Daemon) newQuarantiner() *quarantiner.Quarantiner {
	q := quarantiner.New(quarantiner.Config{Announce: func() {}, Logger: d.logger, Registry: d.registry})
	d.gossiper.Subscribe(crashTopic, func(i gossiper.Item) {
		if i.Key == d.settings.Name {
			return
		}
		if err := applyCrashReport(q, i.Key, i.Value); err != nil {
			meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		}
	})
	return q
}

// runQuarantine updates the quarantines, and gossips the crashes that this daemon saw whenever they change,
// until ctx ends.
func (d *Daemon) runQuarantine(ctx context.Context) error {
	var published []byte
	return ticker.Every(ctx, ticker.BasePeriod, func(context.Context) {
		d.quarantiner.Tick()
		b := encodeCrashReport(d.quarantiner)
		if bytes.Equal(b, published) || published == nil && isEmptyReport(b) {
			return
		}
		published = b
		d.gossiper.Publish(gossiper.Item{Topic: crashTopic, Key: d.settings.Name, Version: uint64(time.Now().UnixNano()), Value: b})
	})
}

// isEmptyReport reports whether an encoded report tells nothing.
func isEmptyReport(b []byte) bool {
	var s sharer.Suspicions
	return cbor.Unmarshal(b, &s) == nil && s.IsZero()
}

// encodeCrashReport encodes the crashes that a daemon saw and the blocks that it had answers for, as many as
// fit a gossip item. Quarantines are left out: each daemon concludes them from
// the crashes, and the time that is left of them would change with each report.
func encodeCrashReport(q *quarantiner.Quarantiner) []byte {
	s := q.LocalReport()
	s.Quarantines = nil
	for {
		// Marshalling lists of strings and numbers cannot fail.
		b, err := cbor.Marshal(s)
		if err != nil || len(b) <= gossiper.MaxItemBytes {
			return b
		}
		s = halved(s)
	}
}

// halved returns the first half of what is reported, with fewer requests of the crash if there is one only.
func halved(s sharer.Suspicions) sharer.Suspicions {
	s.Cleared = s.Cleared[:len(s.Cleared)/2]
	if len(s.Crashes) != 1 {
		s.Crashes = s.Crashes[:len(s.Crashes)/2]
		return s
	}
	c := s.Crashes[0]
	c.Requests = c.Requests[:len(c.Requests)/2]
	s.Crashes = []sharer.Crash{c}
	return s
}

// applyCrashReport adds what another daemon saw to the crashes that a quarantiner knows.
func applyCrashReport(q *quarantiner.Quarantiner, daemon string, encoded []byte) error {
	var s sharer.Suspicions
	if err := cbor.Unmarshal(encoded, &s); err != nil {
		return err
	}
	q.RecordReport(daemon, s)
	return nil
}
