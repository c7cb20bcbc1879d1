// Package switcher defines the feature flags of a daemon's optional policies. Settings can switch
// each policy off, to measure its effect (ablation). Mechanisms that are needed for correctness
// cannot be switched off and have no flag here.
package switcher

import (
	"fmt"
	"slices"
	"strings"
)

// Policy is the name of an optional policy, as written in the settings.
type Policy string

// The policies.
const (
	// Home sends prompts with a shared prefix to the same home endpoint.
	Home Policy = "home"
	// Failures adds to the cost of endpoints that failed recently, so that they are chosen less.
	Failures Policy = "failures"
	// Eject excludes endpoints for some time after connections to them failed.
	Eject Policy = "eject"
	// Near prefers endpoints in the daemon's own failure domain.
	Near Policy = "near"
	// Leave sends requests outside the daemon's failure domain only where that pays, and only a share of them.
	// Without it, an endpoint of another domain has a fixed extra cost.
	Leave Policy = "leave"
	// Crowd adds to the cost of endpoints whose batches are full.
	Crowd Policy = "crowd"
	// Others includes the requests that other daemons have in flight in the load of an endpoint.
	Others Policy = "others"
	// Model predicts the wait at an engine from its own prefill speed and not from the mean of its service.
	Model Policy = "model"
	// Sample compares only a random sample of the endpoints in a large fleet.
	Sample Policy = "sample"
	// Late refuses requests that would be answered too late.
	Late Policy = "late"
	// Patience ends an attempt at an endpoint that does not answer in time.
	Patience Policy = "patience"
	// Grant lets the daemons admit a fraction of each allowance after the whole fleet restarted.
	Grant Policy = "grant"
	// Spot lets the autoscaler order reclaimable endpoints.
	Spot Policy = "spot"
	// Spare makes the autoscaler order enough endpoints to carry the load after one failure domain
	// loses its reclaimable ones.
	Spare Policy = "spare"
	// Settle delays the autoscaler's first order until all endpoints have announced themselves.
	Settle Policy = "settle"
	// Trend makes the autoscaler order for the load expected when the ordered endpoints are ready.
	Trend Policy = "trend"
	// Hold makes the autoscaler keep endpoints for a load that may return, and release others in steps.
	Hold Policy = "hold"
	// Elsewhere makes the autoscaler order in other domains what one refuses, in the same step, and keep
	// on-demand endpoints that are starting.
	Elsewhere Policy = "elsewhere"
	// Pace makes the autoscaler learn quickly that engines are slower than assumed.
	Pace Policy = "pace"
	// Returns bounds the demand of callers that return after a refusal, as the autoscaler counts it.
	Returns Policy = "returns"
	// Order admits the more urgent of competing callers first when capacity is short.
	Order Policy = "order"
	// Save saves the counts of usage in the store.
	Save Policy = "save"
)

// AllPolicies returns the names of all policies.
func AllPolicies() []Policy {
	return []Policy{Home, Failures, Eject, Near, Leave, Crowd, Others, Model, Sample, Late, Patience, Grant, Spot, Spare, Settle, Trend, Hold, Elsewhere, Pace, Returns, Order, Save}
}

// Policies is the set of policies that are on. In the zero value all are on.
type Policies struct{ off []Policy }

// Parse returns Policies in which the policies named in off are switched off.
func Parse(off []string) (Policies, error) {
	var p Policies
	for _, name := range off {
		if !slices.Contains(AllPolicies(), Policy(name)) {
			return Policies{}, fmt.Errorf("%q is no policy", name)
		}
		p = p.Without(Policy(name))
	}
	return p, nil
}

// Names returns the names of all policies, separated by commas, for error messages.
func Names() string {
	var names []string
	for _, p := range AllPolicies() {
		names = append(names, string(p))
	}
	return strings.Join(names, ", ")
}

// Without returns a copy of p in which the policy off is switched off.
func (p Policies) Without(off Policy) Policies {
	return Policies{append(slices.Clone(p.off), off)}
}

// IsOn reports whether the policy on is switched on.
func (p Policies) IsOn(on Policy) bool { return !slices.Contains(p.off, on) }
