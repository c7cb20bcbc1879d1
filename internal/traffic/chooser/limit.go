package chooser

// takeLimit charges the request for which an endpoint was chosen.
func (c *Chooser) takeLimit(ch Choice) { c.cfg.Limits.Take(ch.Endpoint.ID, ch.Endpoint.Born) }

// Return gives a choice back for which no attempt is started.
func (c *Chooser) Return(ch Choice) { c.cfg.Limits.Return(ch.Endpoint.ID, ch.Endpoint.Born) }
