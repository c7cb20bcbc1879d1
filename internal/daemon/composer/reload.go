package composer

import (
	"bytes"
	"context"
	"os"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/ticker"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal.
const reloadPeriod = time.Second

// settings returns the settings in force.
func (d *Daemon) settings() loader.Settings { return *d.current.Load() }

// runReload takes in changes of the settings file, on a signal at once.
func (d *Daemon) runReload(ctx context.Context) error {
	if d.cfg.Path == "" {
		return nil
	}
	last, err := os.ReadFile(d.cfg.Path)
	if err != nil {
		d.log("msg", "settings not readable", "path", d.cfg.Path, "error", err)
	}
	tick := ticker.NewTimer(reloadPeriod)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.cfg.Hangups:
			signalled = true
		case <-tick.C:
			tick.Next()
		}
		text, err := os.ReadFile(d.cfg.Path)
		if err != nil {
			d.log("msg", "settings not readable", "path", d.cfg.Path, "signalled", signalled, "error", err)
			continue
		}
		if signalled || !bytes.Equal(text, last) {
			last = text
			d.reload(text, signalled)
		}
	}
}

// reload brings new settings into force. Addresses and the name stay, since
// others know the daemon by them.
func (d *Daemon) reload(text []byte, signalled bool) {
	s, err := loader.ParseSettings(text)
	if err != nil {
		d.log("msg", "settings refused", "signalled", signalled, "outcome", "former kept", "error", err)
		return
	}
	if s.Edge == nil {
		d.log("msg", "settings refused", "signalled", signalled, "outcome", "former kept", "error", "the edge part is missing")
		return
	}
	d.current.Store(&s)
	d.budget.Configure(budgetOf(s))
	d.allowances.SetTolerance(toleranceOf(s))
	d.sharer.AddContacts(d.seeds()...)
	d.log("msg", "settings reloaded", "signalled", signalled, "seeds", len(s.Seeds))
}
