package composer

import (
	"bytes"
	"context"
	"os"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/ticker"
)

// settingsPollPeriod is the time between two checks of the settings file, which may change without
// a signal.
const settingsPollPeriod = time.Second

// currentSettings returns the settings in force.
func (d *Daemon) currentSettings() loader.Settings { return *d.activeSettings.Load() }

// runSettingsReload applies the settings file whenever it changes, and on each signal.
func (d *Daemon) runSettingsReload(ctx context.Context) error {
	if d.cfg.SettingsPath == "" {
		return nil
	}
	last, err := os.ReadFile(d.cfg.SettingsPath)
	if err != nil {
		d.log("msg", "cannot read settings file", "path", d.cfg.SettingsPath, "error", err)
	}
	tick := ticker.NewTimer(settingsPollPeriod)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.cfg.ReloadSignals:
			signalled = true
		case <-tick.C:
			tick.ScheduleNext()
		}
		text, err := os.ReadFile(d.cfg.SettingsPath)
		if err != nil {
			d.log("msg", "cannot read settings file", "path", d.cfg.SettingsPath, "signalled", signalled, "error", err)
			continue
		}
		if signalled || !bytes.Equal(text, last) {
			last = text
			d.applySettings(text, signalled)
		}
	}
}

// applySettings brings new settings into force, except for addresses and the name, by which other
// daemons know this one. Settings with an error are refused.
func (d *Daemon) applySettings(text []byte, signalled bool) {
	s, err := loader.ParseSettings(text)
	if err != nil {
		d.log("msg", "settings refused", "signalled", signalled, "outcome", "former kept", "error", err)
		return
	}
	if s.Edge == nil {
		d.log("msg", "settings refused", "signalled", signalled, "outcome", "former kept", "error", "the edge section is missing")
		return
	}
	d.activeSettings.Store(&s)
	d.retryBudget.Configure(retryBudgetConfig(s))
	d.allowances.SetTolerance(allowanceTolerance(s))
	d.sharer.AddContacts(d.seedPeerAddresses()...)
	d.log("msg", "settings reloaded", "signalled", signalled, "seeds", len(s.Seeds))
}
