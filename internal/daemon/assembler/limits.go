package assembler

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/traffic/admitter"
)

const (
	// usageTopic is the gossip topic of the requests that daemons have in flight by route and
	// organisation, for the concurrency limits. The key of an item is the daemon's name.
	usageTopic = "usage"
	// usageReportPeriod is the time between two checks whether the usages changed.
	usageReportPeriod = time.Second
)

// publishUsages gossips this daemon's usages of the concurrency limits whenever they have changed
// enough, until ctx ends. It also discards the usages of daemons that are gone.
func (d *Daemon) publishUsages(ctx context.Context) error {
	tick := time.NewTicker(usageReportPeriod)
	defer tick.Stop()
	var published map[string]admitter.Usage
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			d.dropGonePeers()
			usages := d.admitter.Usages()
			if !admitter.HaveUsagesChanged(published, usages) {
				continue
			}
			b, err := cbor.Marshal(usages)
			if err != nil {
				return err
			}
			published = usages
			d.gossiper.Publish(gossiper.Item{Topic: usageTopic, Key: d.settings.Name, Version: uint64(now.UnixNano()), Value: b})
		}
	}
}

// dropGonePeers discards the usages of daemons that are gone or unknown.
func (d *Daemon) dropGonePeers() {
	alive := make(map[string]bool)
	for _, m := range d.viewHolder.Load().Members {
		alive[m.Name] = m.State != viewer.StateGone
	}
	d.admitter.RetainPeers(alive)
}

// applyPeerUsages stores the usages that another daemon published.
func (d *Daemon) applyPeerUsages(i gossiper.Item) {
	if i.Key == d.settings.Name {
		return
	}
	var usages map[string]admitter.Usage
	if err := cbor.Unmarshal(i.Value, &usages); err != nil {
		meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		return
	}
	d.admitter.SetPeerUsages(i.Key, usages)
}
