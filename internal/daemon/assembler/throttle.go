package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

// limitTopic is the gossip topic of the request limits that endpoints name. The key of an item is the
// endpoint's, so that the latest answer to any daemon replaces earlier ones.
const limitTopic = "limits"

// newThrottler returns a throttler and subscribes it to the limits that other daemons learned.
func (d *Daemon) newThrottler() *throttler.Throttler {
	t := throttler.New(throttler.Config{
		Self: d.advertisedAddress(), Members: func() []string { return senderAddresses(d.viewHolder.Load()) },
		Announce: func() {}, Logger: d.logger, Registry: d.registry,
	})
	d.gossiper.Subscribe(limitTopic, func(i gossiper.Item) {
		if i.Origin == d.settings.Name {
			return
		}
		if err := applyLimit(t, i.Value, time.Now()); err != nil {
			meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		}
	})
	return t
}

// senderAddresses returns the addresses of the daemons that may send requests: all members but those that
// leave or are gone, and the hosts of the platform's list that no member is known of yet.
func senderAddresses(v viewer.View) []string {
	var out, known []string
	for _, m := range v.Members {
		known = append(known, m.Peers)
		if m.State == viewer.StateAlive || m.State == viewer.StateSuspected {
			out = append(out, m.Peers)
		}
	}
	for _, a := range v.EntryPeers {
		if !slices.Contains(known, a) {
			out = append(out, a)
		}
	}
	return out
}

// publishRequestLimits gossips the limits that endpoints named in answers to this daemon whenever they change,
// until ctx ends.
func (d *Daemon) publishRequestLimits(ctx context.Context) error {
	published := make(map[string]sharer.RequestLimit)
	return ticker.Every(ctx, ticker.BasePeriod, func(context.Context) {
		for _, l := range changedLimits(d.throttler.LocalReport(), published) {
			b, err := cbor.Marshal(l)
			if err != nil {
				continue
			}
			d.gossiper.Publish(gossiper.Item{Topic: limitTopic, Key: l.Endpoint, Version: uint64(time.Now().UnixNano()), Value: b})
		}
		d.throttler.Retain(d.isLimitKeyKnown)
	})
}

// isLimitKeyKnown reports whether the endpoint of a limit is in the view.
func (d *Daemon) isLimitKeyKnown(key string, _ int64) bool {
	return slices.ContainsFunc(d.viewHolder.Load().Endpoints, func(e viewer.Endpoint) bool { return router.LimitKey(e) == key })
}

// changedLimits returns the limits that differ from the published ones in more than the age, and records them
// as published.
func changedLimits(limits []sharer.RequestLimit, published map[string]sharer.RequestLimit) []sharer.RequestLimit {
	var out []sharer.RequestLimit
	for _, l := range limits {
		if old, ok := published[l.Endpoint]; ok && sharer.IsSameLimit(old, l) {
			continue
		}
		published[l.Endpoint] = l
		out = append(out, l)
	}
	return out
}

// applyLimit applies a limit that another daemon learned, and that arrived at a time.
func applyLimit(t *throttler.Throttler, encoded []byte, received time.Time) error {
	var l sharer.RequestLimit
	if err := cbor.Unmarshal(encoded, &l); err != nil {
		return err
	}
	if err := l.Validate(); err != nil {
		return err
	}
	t.RecordReport([]sharer.RequestLimit{l}, received)
	return nil
}
