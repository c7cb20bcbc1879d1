package chooser

import "time"

// Limits are the request limits that endpoints name, of which this daemon has a part each.
type Limits interface {
	// Wait returns how long requests to an incarnation of an endpoint have to wait; 0 if one may be sent.
	Wait(endpoint string, born int64) time.Duration
	// Take charges one request, and Return gives back one that was not sent.
	Take(endpoint string, born int64)
	Return(endpoint string, born int64)
}

// noLimits are the limits where no endpoint names one.
type noLimits struct{}

func (noLimits) Wait(string, int64) time.Duration { return 0 }
func (noLimits) Take(string, int64)               {}
func (noLimits) Return(string, int64)             {}

// takeLimit charges the request for which an endpoint was chosen.
func (c *Chooser) takeLimit(ch Choice) { c.cfg.Limits.Take(ch.Endpoint.ID, ch.Endpoint.Born) }

// Return gives a choice back for which no attempt is started.
func (c *Chooser) Return(ch Choice) { c.cfg.Limits.Return(ch.Endpoint.ID, ch.Endpoint.Born) }
