package chooser

import (
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
)

// SetPeerLoads replaces the loads of another daemon; nil removes them when it is unreachable.
func (c *Chooser) SetPeerLoads(name string, loads []sharer.Load) {
	if !c.cfg.Policies.IsOn(switcher.Others) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addPeerLoads(c.peerLoads[name], -1)
	if loads == nil {
		delete(c.peerLoads, name)
		return
	}
	c.peerLoads[name] = loads
	c.addPeerLoads(loads, 1)
}

// addPeerLoads adds loads of another daemon to the known endpoints, or subtracts them if sign is -1.
func (c *Chooser) addPeerLoads(loads []sharer.Load, sign int) {
	for _, l := range loads {
		if s := c.states[l.Endpoint]; s != nil {
			s.peerLoad.Running += sign * l.Running
			s.peerLoad.PromptTokens += sign * l.PromptTokens
		}
	}
}

// Loads returns what this daemon has in flight at each endpoint, to report to other daemons.
func (c *Chooser) Loads() []sharer.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []sharer.Load
	for id, s := range c.states {
		if s.running > 0 || s.queuedTokens > 0 {
			out = append(out, sharer.Load{Endpoint: id, Running: s.running, PromptTokens: s.queuedTokens})
		}
	}
	return out
}

// CountRunning counts the requests that all daemons have in flight at the given endpoints.
func (c *Chooser) CountRunning(endpoints []tracker.Endpoint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range endpoints {
		if s := c.states[e.ID]; s != nil && s.born == e.Born {
			n += s.running + s.peerLoad.Running
		}
	}
	return n
}
