package assembler

import (
	"context"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/traffic/quarantiner"
)

// newQuarantiner returns a quarantiner that knows the crashes of this daemon's requests only.
func (d *Daemon) newQuarantiner() *quarantiner.Quarantiner {
	return quarantiner.New(quarantiner.Config{Announce: func() {}, Logger: d.logger, Registry: d.registry})
}

// runQuarantine updates the quarantines of prompts until ctx ends.
func (d *Daemon) runQuarantine(ctx context.Context) error {
	return ticker.Every(ctx, ticker.BasePeriod, func(context.Context) { d.quarantiner.Tick() })
}
