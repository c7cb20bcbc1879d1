// Package checker validates a whole configuration: names, references, shares, times and bounds.
// It reports all faults, not only the first.
package checker

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"pomelotiller/internal/config/loader"
)

const (
	maxFirstSharePercent = 5.0
	totalSharePercent    = 100.0
	// shareTolerance is the rounding error, in percent, that a sum of shares may have.
	shareTolerance = 1e-6
	// maxSetBytes bounds the text of a configuration. In base64, as it is stored, 700 KiB fit
	// the store's limit of 1 MB.
	maxSetBytes = 700 << 10
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	keyPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Check parses and validates a configuration. It returns all faults together as a
// *loader.FaultsError.
func Check(text []byte) (loader.Set, error) {
	if len(text) > maxSetBytes {
		return loader.Set{}, &loader.FaultsError{Faults: []loader.Fault{{
			Object: "set", Problem: fmt.Sprintf("is %d bytes long", len(text)), Want: "at most 700 KiB",
		}}}
	}
	doc, err := loader.Parse(text)
	c := &setChecker{doc: doc}
	var faults *loader.FaultsError
	if errors.As(err, &faults) {
		c.faults = faults.Faults
	}
	if c.hasNoObjects() {
		return loader.Set{}, err
	}
	c.checkAllNames()
	c.checkOrganisations()
	c.checkPools()
	c.checkVersions()
	c.checkRoutes()
	c.checkMoves()
	if len(c.faults) > 0 {
		return loader.Set{}, &loader.FaultsError{Faults: c.faults}
	}
	return doc.Set, nil
}

// setChecker collects the faults of one configuration.
type setChecker struct {
	doc    loader.Document
	faults []loader.Fault
}

// hasNoObjects reports whether decoding failed without any object, so that there is nothing to check.
func (c *setChecker) hasNoObjects() bool {
	s := c.doc.Set
	return len(c.faults) > 0 && len(s.Organisations)+len(s.Pools)+len(s.Versions)+len(s.Routes)+len(s.Moves) == 0
}

// addFault records a fault of a field, unless the field already has one, such as from decoding.
func (c *setChecker) addFault(object, field, want, problem string, args ...any) {
	if slices.ContainsFunc(c.faults, func(f loader.Fault) bool {
		return f.Object == object && (f.Field == field || strings.HasPrefix(f.Field, field+"."))
	}) {
		return
	}
	c.faults = append(c.faults, loader.Fault{
		Object: object, Field: field, Line: c.doc.Line(object, field),
		Problem: fmt.Sprintf(problem, args...), Want: want,
	})
}

func (c *setChecker) checkAllNames() {
	s := c.doc.Set
	checkNames(c, "organisations", s.Organisations, func(o loader.Organisation) string { return o.Name })
	checkNames(c, "pools", s.Pools, func(p loader.Pool) string { return p.Name })
	checkNames(c, "versions", s.Versions, func(v loader.Version) string { return v.Name })
	checkNames(c, "routes", s.Routes, func(r loader.Route) string { return r.Name })
	checkNames(c, "moves", s.Moves, func(m loader.Move) string { return m.Name })
}

func checkNames[T any](c *setChecker, section string, all []T, nameOf func(T) string) {
	seen := make(map[string]bool)
	for i, v := range all {
		name := nameOf(v)
		object := section + "/" + name
		switch {
		case name == "":
			c.addFault(fmt.Sprintf("%s/#%d", section, i+1), "name", "a name of its own", "is missing")
		case !namePattern.MatchString(name):
			c.addFault(object, "name", "lower-case letters, digits, dots and hyphens, at most 63", "%q is not a valid name", name)
		case seen[name]:
			c.addFault(object, "name", "a name of its own", "%q stands twice", name)
		}
		seen[name] = true
	}
}

func (c *setChecker) checkOrganisations() {
	organisationByKey := make(map[string]string)
	for _, o := range c.doc.Set.Organisations {
		object := "organisations/" + o.Name
		if !keyPattern.MatchString(o.Key) {
			c.addFault(object, "key", "sha256: and 64 hexadecimal digits", "is not the hash of a key")
		} else if other := organisationByKey[o.Key]; other != "" {
			c.addFault(object, "key", "a key of its own", "is also the key of %q", other)
		}
		organisationByKey[o.Key] = o.Name
		if o.Weight < 1 {
			c.addFault(object, "weight", "1 or more", "is %d", o.Weight)
		}
		if o.Rate < 0 {
			c.addFault(object, "rate", "0 or more requests a second", "is %g", o.Rate)
		}
		switch o.Priority {
		case "", loader.PriorityHigh, loader.PriorityNormal, loader.PriorityLow:
		default:
			c.addFault(object, "priority", "one of high, normal, low", "is %q", o.Priority)
		}
	}
}

func (c *setChecker) checkPools() {
	for _, p := range c.doc.Set.Pools {
		object := "pools/" + p.Name
		if p.Domain == "" {
			c.addFault(object, "domain", "the failure domain of its hosts", "is missing")
		}
		if p.Class == "" {
			c.addFault(object, "class", "the platform's name of a host class", "is missing")
		}
		if p.Price < 0 {
			c.addFault(object, "price", "0 or more an hour", "is %g", p.Price)
		}
		if p.Reserve < 0 {
			c.addFault(object, "reserve", "0 or more hosts", "is %d", p.Reserve)
		}
	}
}

func (c *setChecker) checkVersions() {
	for _, v := range c.doc.Set.Versions {
		object := "versions/" + v.Name
		if len(v.Pools) == 0 {
			c.addFault(object, "pools", "one pool or more", "is empty")
		}
		for _, name := range v.Pools {
			if _, ok := c.doc.Set.Pool(name); !ok {
				c.addFault(object, "pools", "the name of a pool", "pool %q does not exist", name)
			}
		}
	}
}

func (c *setChecker) checkRoutes() {
	for _, r := range c.doc.Set.Routes {
		object := "routes/" + r.Name
		if r.Kind != loader.KindModel && r.Kind != loader.KindService {
			c.addFault(object, "kind", "one of model, service", "is %q", r.Kind)
		}
		if r.Kind == loader.KindModel && (r.Target.First <= 0 || r.Target.Token <= 0) {
			c.addFault(object, "target", "first and token above 0", "is missing or not above 0")
		}
		if r.Timeout < 0 {
			c.addFault(object, "timeout", "0 or more", "is %s", r.Timeout.Std())
		}
		c.checkShares(object, r)
	}
}

func (c *setChecker) checkShares(object string, r loader.Route) {
	var sum float64
	seen := make(map[string]bool)
	for _, s := range r.Versions {
		v, ok := c.doc.Set.Version(s.Version)
		switch {
		case !ok:
			c.addFault(object, "versions", "the name of a version", "version %q does not exist", s.Version)
		case r.Kind == loader.KindModel && v.Model == "":
			c.addFault(object, "versions", "a version with a model", "version %q has no model", s.Version)
		}
		if seen[s.Version] {
			c.addFault(object, "versions", "each version once", "version %q stands twice", s.Version)
		}
		seen[s.Version] = true
		if s.Share < 0 || s.Share > totalSharePercent {
			c.addFault(object, "versions", "from 0 to 100", "share of %q is %g", s.Version, s.Share)
		}
		sum += s.Share
	}
	if math.Abs(sum-totalSharePercent) > shareTolerance {
		c.addFault(object, "versions", "shares that add up to 100", "shares add up to %g", sum)
	}
}

func (c *setChecker) checkMoves() {
	moveByRoute := make(map[string]string)
	for _, m := range c.doc.Set.Moves {
		object := "moves/" + m.Name
		if r, ok := c.doc.Set.Route(m.Route); !ok {
			c.addFault(object, "route", "the name of a route", "route %q does not exist", m.Route)
		} else if other := moveByRoute[m.Route]; other != "" {
			c.addFault(object, "route", "one move a route", "route %q has move %q already", m.Route, other)
		} else if !servesVersion(r, m.From) {
			c.addFault(object, "from", "a version that the route serves", "version %q is not served by route %q", m.From, m.Route)
		}
		moveByRoute[m.Route] = m.Name
		c.checkMoveTarget(object, m)
		c.checkMoveBounds(object, m)
	}
}

func (c *setChecker) checkMoveTarget(object string, m loader.Move) {
	to, ok := c.doc.Set.Version(m.To)
	if !ok {
		c.addFault(object, "to", "the name of a version", "version %q does not exist", m.To)
		return
	}
	if r, ok := c.doc.Set.Route(m.Route); ok && r.Kind == loader.KindModel && to.Model == "" {
		c.addFault(object, "to", "a version with a model", "version %q has no model", m.To)
	}
	if m.From == m.To {
		c.addFault(object, "to", "another version than from", "is the version it moves from")
	}
}

func (c *setChecker) checkMoveBounds(object string, m loader.Move) {
	if m.By.IsZero() {
		c.addFault(object, "by", "an instant such as 2026-12-04T06:00:00Z", "is missing")
	}
	if m.First < 0 || m.First > maxFirstSharePercent {
		c.addFault(object, "first", "above 0 and at most 5 percent", "is %g", m.First)
	}
	if m.Bounds.Errors < 0 || m.Bounds.Errors >= 1 {
		c.addFault(object, "bounds", "errors from 0 to below 1", "errors is %g", m.Bounds.Errors)
	}
	if m.Bounds.Slow < 0 || m.Bounds.Slow >= 1 {
		c.addFault(object, "bounds", "slow from 0 to below 1", "slow is %g", m.Bounds.Slow)
	}
}

// servesVersion reports whether a version is among those of the route.
func servesVersion(r loader.Route, version string) bool {
	for _, s := range r.Versions {
		if s.Version == version {
			return true
		}
	}
	return false
}
