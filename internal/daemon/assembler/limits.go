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
	// usageTopic is the topic under which daemons tell one another what they
	// have in flight; a key is a daemon's name.
	usageTopic  = "usage"
	usagePeriod = time.Second
)

// runLimits tells the other daemons what this one has in flight, whenever that
// has changed much, until ctx ends.
func (d *Daemon) runLimits(ctx context.Context) error {
	tick := time.NewTicker(usagePeriod)
	defer tick.Stop()
	var told map[string]admitter.Usage
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			d.dropPeers()
			usages := d.admitter.Usages()
			if !admitter.HaveUsagesChanged(told, usages) {
				continue
			}
			b, err := cbor.Marshal(usages)
			if err != nil {
				return err
			}
			told = usages
			d.gossiper.Publish(gossiper.Item{Topic: usageTopic, Key: d.settings.Name, Version: uint64(now.UnixNano()), Value: b})
		}
	}
}

func (d *Daemon) dropPeers() {
	alive := make(map[string]bool)
	for _, m := range d.holder.Load().Members {
		alive[m.Name] = m.State != viewer.StateGone
	}
	d.admitter.RetainPeers(alive)
}

func (d *Daemon) learnUsage(i gossiper.Item) {
	if i.Key == d.settings.Name {
		return
	}
	var usages map[string]admitter.Usage
	if err := cbor.Unmarshal(i.Value, &usages); err != nil {
		meter.Count(d.registry, 1, "gossip_malformed_total")
		return
	}
	d.admitter.SetPeerUsages(i.Key, usages)
}
