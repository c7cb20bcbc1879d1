package assembler

import (
	"context"
	"time"

	"pomelotiller/internal/control/evacuator"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// evacuationTopic is the gossip topic of evacuations, and evacuationKey the key of its only item.
	// The version of the item is the generation of the set.
	evacuationTopic = "evacuations"
	evacuationKey   = "current"
	// evacuationCheckPeriod is the time between two checks that gossip still holds the item. It is
	// dropped when its origin is forgotten, and a daemon that then starts without the store needs it.
	evacuationCheckPeriod = time.Second
)

// newEvacuator returns the component that writes operators' requests for evacuations to the store.
func (d *Daemon) newEvacuator(store storer.Store) *evacuator.Evacuator {
	return evacuator.New(evacuator.Config{
		Store: store, Current: d.loadEvacuations, OnChanged: d.offerEvacuations,
		Domains: func() []string { return d.viewHolder.Load().Domains() },
	})
}

// newEvacuationFollower returns the component that compares the evacuations in the store with those in
// force.
func (d *Daemon) newEvacuationFollower(store storer.Store) *evacuator.Follower {
	return evacuator.NewFollower(evacuator.FollowerConfig{
		Store: store, Current: d.loadEvacuations, Offer: d.offerEvacuations, Logger: d.logger, Registry: d.registry,
	})
}

// loadEvacuations returns the evacuations in force.
func (d *Daemon) loadEvacuations() evacuator.Set { return *d.currentEvacuations.Load() }

// offerEvacuations offers evacuations to the controller, which brings them into force if they are newer.
func (d *Daemon) offerEvacuations(s evacuator.Set) { d.control.OfferEvacuations(d.ctx, s) }

// recordEvacuations records evacuations that came into force, and announces them by gossip.
func (d *Daemon) recordEvacuations(s evacuator.Set) {
	d.currentEvacuations.Store(&s)
	d.gossiper.SetEvacuations(s.Generation)
	d.publishEvacuations(s)
}

func (d *Daemon) publishEvacuations(s evacuator.Set) {
	d.gossiper.Publish(gossiper.Item{Topic: evacuationTopic, Key: evacuationKey, Version: s.Generation, Value: s.Encode()})
}

// receiveEvacuations offers the evacuations that a peer sent to the controller.
func (d *Daemon) receiveEvacuations(i gossiper.Item) {
	s, err := evacuator.DecodeGossip(i.Value)
	if err != nil {
		meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		return
	}
	d.offerEvacuations(s)
}

// spreadEvacuations publishes the evacuations in force again whenever gossip has dropped them, until ctx
// ends.
func (d *Daemon) spreadEvacuations(ctx context.Context) error {
	return ticker.Every(ctx, evacuationCheckPeriod, func(context.Context) {
		if s := d.loadEvacuations(); s.Generation > 0 && len(d.gossiper.Items(evacuationTopic)) == 0 {
			d.publishEvacuations(s)
		}
	})
}
