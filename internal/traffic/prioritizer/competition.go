package prioritizer

import (
	"slices"
	"time"

	"pomelotiller/internal/config/registrar"
)

// maxPriority is the largest number, and so the least urgent priority, that engines know.
const maxPriority = 9

// Priority returns the priority of an organisation's requests to a route, from 0, the most urgent, to 9.
func Priority(r registrar.Route, o registrar.Organisation) int {
	p := r.Priority
	if o.Priority != nil {
		p = *o.Priority
	}
	return min(max(p, 0), maxPriority)
}

// Competition holds the priorities of the callers of one service, the most urgent first. It is immutable.
type Competition struct{ classes []class }

// class is what a service's callers of one priority have in common.
type class struct {
	priority int
	// target is the least latency target of all routes that are at least as urgent; 0 if none has one.
	target time.Duration
}

// NewCompetition returns the priorities of the callers of a service.
func NewCompetition(cat *registrar.Catalog, service string) Competition {
	var c Competition
	for _, r := range cat.Routes {
		if !r.UsesService(service) {
			continue
		}
		if r.Open || !cat.RequiresKey() {
			c.add(Priority(r, registrar.Organisation{}), r.Target)
			continue
		}
		for _, o := range cat.Organisations {
			c.add(Priority(r, o), r.Target)
		}
	}
	slices.SortFunc(c.classes, func(a, b class) int { return a.priority - b.priority })
	for i := 1; i < len(c.classes); i++ {
		c.classes[i].target = leastTarget(c.classes[i].target, c.classes[i-1].target)
	}
	return c
}

// add adds a caller's priority and the target of its route.
func (c *Competition) add(priority int, target time.Duration) {
	i := c.Rank(priority)
	if i < 0 {
		c.classes = append(c.classes, class{priority, target})
		return
	}
	c.classes[i].target = leastTarget(c.classes[i].target, target)
}

// leastTarget returns the smaller of two targets, of which 0 is none.
func leastTarget(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Exists reports whether callers of different priorities share the service.
func (c Competition) Exists() bool { return len(c.classes) > 1 }

// Rank returns the place of a priority, of which 0 is the most urgent, or -1 if no caller has it.
func (c Competition) Rank(priority int) int {
	return slices.IndexFunc(c.classes, func(k class) bool { return k.priority == priority })
}

// equals reports whether both competitions have the same classes.
func (c Competition) equals(other Competition) bool { return slices.Equal(c.classes, other.classes) }
