package composer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/quarantiner"
)

const (
	// quarantinePrefix is the prefix of the store keys of quarantines. They outlive a restart of all
	// daemons.
	quarantinePrefix = "fleet/quarantine/"
	// quarantineTickPeriod is the time between two looks at new crashes, and quarantineRetryDelay
	// the time between two attempts to read or write the store.
	quarantineTickPeriod = 50 * time.Millisecond
	quarantineRetryDelay = 300 * time.Millisecond
)

// storedQuarantine is the value of a quarantine in the store. The lease of the entry ends with it.
type storedQuarantine struct {
	Blocks []string `json:"blocks"`
}

// runQuarantine restores the quarantines in the store, and then updates them until ctx ends.
func (d *Daemon) runQuarantine(ctx context.Context) error {
	go d.restoreQuarantines(ctx)
	go d.saveQuarantines(ctx)
	return ticker.Every(ctx, quarantineTickPeriod, func(context.Context) { d.quarantiner.Tick() })
}

// restoreQuarantines reads the quarantines in the store once, unless the fleet starts for the first
// time.
func (d *Daemon) restoreQuarantines(ctx context.Context) {
	if d.cfg.Settings.Edge.First {
		return
	}
	for {
		page, err := d.cfg.Adapter.Store.List(ctx, quarantinePrefix)
		if err == nil {
			for _, e := range page.Entries {
				d.restoreQuarantine(e)
			}
			return
		}
		if !ticker.Sleep(ctx, quarantineRetryDelay) {
			return
		}
	}
}

func (d *Daemon) restoreQuarantine(e storer.Entry) {
	var v storedQuarantine
	if err := json.Unmarshal(e.Value, &v); err != nil {
		d.log("msg", "quarantine in the store cannot be read", "key", e.Key, "error", err)
		return
	}
	d.quarantiner.Add(v.Blocks, quarantiner.Duration)
}

// saveQuarantines writes new quarantines to the store while this daemon holds the platform duty.
func (d *Daemon) saveQuarantines(ctx context.Context) {
	saved := make(map[string]time.Time)
	for ticker.Sleep(ctx, quarantineRetryDelay) {
		if !d.holdsPlatformDuty() {
			continue
		}
		maps.DeleteFunc(saved, func(_ string, until time.Time) bool { return time.Now().After(until) })
		for _, q := range d.quarantiner.Active() {
			key := quarantineKey(q.Blocks)
			if until, ok := saved[key]; ok && !q.Until.After(until) {
				continue
			}
			if err := d.saveQuarantine(ctx, key, q); err != nil {
				d.log("msg", "quarantine not saved", "key", key, "error", err)
				continue
			}
			saved[key] = q.Until
		}
	}
}

// saveQuarantine writes one quarantine under a lease that ends with it.
func (d *Daemon) saveQuarantine(ctx context.Context, key string, q quarantiner.Quarantine) error {
	value, err := json.Marshal(storedQuarantine{q.Blocks})
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	l, err := d.cfg.Adapter.Store.Grant(ctx, min(max(time.Until(q.Until), minQuarantineLease), maxQuarantineLease))
	if err != nil {
		return err
	}
	e, err := d.cfg.Adapter.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if _, err := d.cfg.Adapter.Store.Swap(ctx, storer.Write{Key: key, Value: value, Expect: e.Revision, Lease: l.ID}); err != nil {
		return fmt.Errorf("write quarantine to the store: %w", err)
	}
	return nil
}

// The lease of a quarantine lasts as long as the quarantine, within what a store grants.
const (
	minQuarantineLease = time.Second
	maxQuarantineLease = 10 * time.Minute
)

// quarantineKey returns the store key of the quarantine of some blocks.
func quarantineKey(blocks []string) string {
	return fmt.Sprintf("%s%016x", quarantinePrefix, xxhash.Sum64String(strings.Join(blocks, ",")))
}
