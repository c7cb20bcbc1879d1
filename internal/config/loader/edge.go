package loader

import (
	"math"
	"time"

	"pomelotiller/internal/config/switcher"
)

// Edge holds the additional settings of a daemon on a platform that keeps the configuration
// and the list of endpoints in its store.
type Edge struct {
	// Ready is the listen address of the readiness check that load balancers call.
	Ready string `yaml:"ready"`
	// Cloud is the address of the platform's API that holders of duties call.
	Cloud string `yaml:"cloud"`
	// Metrics is the listen address for metrics. If it is empty, metrics are served only at the
	// operators' address.
	Metrics string `yaml:"metrics,omitempty"`
	// Domains are the failure domains in which endpoints may be ordered.
	Domains []string `yaml:"domains"`
	// Host describes the capacity of this daemon's host.
	Host Host `yaml:"host,omitempty"`
	// First says that this is the first start of the whole fleet.
	First bool `yaml:"first"`
	// Duties are the names of the duties that the platform asks the fleet to perform.
	Duties []string `yaml:"duties"`
	// Grace is the time between the signal to stop and the forced end of the process.
	Grace Duration `yaml:"grace"`
	// Lease is the time after the last call of a duty's holder until another daemon may replace
	// it.
	Lease Duration `yaml:"lease"`
	// Watch is how long the store may hold a watch open; 0 derives it from Apply, Drain and
	// Evacuate.
	Watch Duration `yaml:"watch,omitempty"`
	// Apply is the time within which a published configuration must be in force. Drain is the
	// time within which a leaving endpoint must stop receiving requests, and Evacuate that for the
	// endpoints of an evacuated failure domain. 0 is no bound.
	Apply    Duration `yaml:"apply,omitempty"`
	Drain    Duration `yaml:"drain,omitempty"`
	Evacuate Duration `yaml:"evacuate,omitempty"`
	// Usage configures the counting and reporting of usage.
	Usage Usage `yaml:"usage"`
	// Retries limits the requests that are sent to a second endpoint.
	Retries Retries `yaml:"retries"`
	// Quota limits by how much organisations may exceed their allowances.
	Quota Quota `yaml:"quota,omitempty"`
	// Callers bounds what the requests of all callers hold together.
	Callers Callers `yaml:"callers,omitempty"`
	// Cold bounds the requests to cold endpoints.
	Cold Cold `yaml:"cold,omitempty"`
	// Leave keeps requests in the daemon's failure domain unless leaving it pays. Without it an endpoint of
	// another domain costs a few milliseconds.
	Leave bool `yaml:"leave,omitempty"`
	// Order admits the more urgent of competing callers first when capacity is short. Without it callers are
	// admitted alike.
	Order bool `yaml:"order,omitempty"`
	// Exposure limits the traffic of a new release until it has passed its tests.
	Exposure Exposure `yaml:"exposure"`
	// Off lists the policies that are switched off, to measure the effect of each.
	Off []string `yaml:"off,omitempty"`
}

// Host describes the capacity of a daemon's host.
type Host struct {
	// Cores is the number of processor cores that the daemon may use.
	Cores float64 `yaml:"cores,omitempty"`
	// Link is the network bandwidth of the host in Mbit/s.
	Link float64 `yaml:"link,omitempty"`
	// Memory is the memory of the host in MB, and Descriptors the most descriptors of a process.
	Memory      float64 `yaml:"memory,omitempty"`
	Descriptors int     `yaml:"descriptors,omitempty"`
}

// fullLinkMbps is the bandwidth in Mbit/s from which on the processor alone limits the capacity
// of a daemon.
const fullLinkMbps = 100

// Capacity returns the capacity of the host to work for other daemons, in cores. A link below
// fullLinkMbps reduces it in proportion.
func (h Host) Capacity() float64 { return h.Cores * min(h.Link/fullLinkMbps, 1) }

// Usage configures the counting and reporting of usage.
type Usage struct {
	// Window is the period that one report covers.
	Window Duration `yaml:"window"`
	// ReportDeadline is the longest time after the end of a window at which its report may be sent.
	ReportDeadline Duration `yaml:"late"`
}

// Retries is a retry budget: it limits the requests that are sent to a second endpoint.
type Retries struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64 `yaml:"ratio"`
	// Window is the period over which retries and requests are counted.
	Window Duration `yaml:"window"`
	// Extra is the number of retries allowed in a window in addition to the ratio, over all
	// daemons.
	Extra float64 `yaml:"extra"`
}

// Quota limits by how much organisations may exceed their allowances.
type Quota struct {
	// Window is the period over which the use of an allowance is counted.
	Window Duration `yaml:"window"`
	// Overrun is the allowed excess in a window, as a fraction, from 0 to 1, of what rate and
	// burst allow in it.
	Overrun float64 `yaml:"overrun"`
	// Extra is the allowed excess in addition to Overrun, in the unit of the allowance.
	Extra float64 `yaml:"extra"`
}

// Cold bounds the requests to cold endpoints.
type Cold struct {
	// Overrun is how many times the requests a second that a cold endpoint takes it may get in any second.
	Overrun float64 `yaml:"overrun"`
	// Extra is the number of requests allowed in a second in addition to Overrun.
	Extra float64 `yaml:"extra"`
}

// Bound returns the most requests in any second to a cold endpoint that takes a number of them. Without
// settings it is that number.
func (c Cold) Bound(perSecond float64) float64 {
	if c == (Cold{}) {
		return perSecond
	}
	return perSecond*c.Overrun + c.Extra
}

// Exposure limits the traffic of a new release until it has passed its tests.
type Exposure struct {
	// Share is the largest fraction of a service's requests, from 0 to 1.
	Share float64 `yaml:"share"`
	// Extra is the number of requests allowed in addition to Share.
	Extra float64 `yaml:"extra"`
}

// watchWaitFraction is the fraction of a time bound for which the store may hold a watch open.
// It is below one half, so that a watch on a stalled connection is repeated within the bound.
const watchWaitFraction = 0.45

// WatchWait returns how long the store may hold a watch open: Watch, or a fraction of the smallest
// of Apply, Drain and Evacuate.
func (e *Edge) WatchWait() time.Duration {
	if e.Watch > 0 {
		return e.Watch.Std()
	}
	tightest := e.Apply.Std()
	for _, d := range []time.Duration{e.Drain.Std(), e.Evacuate.Std()} {
		if d > 0 && (tightest <= 0 || d < tightest) {
			tightest = d
		}
	}
	return time.Duration(watchWaitFraction * float64(tightest))
}

// check returns a fault for each edge setting that is missing or invalid.
func (e *Edge) check() []Fault {
	var faults []Fault
	missing := func(field, want string) {
		faults = append(faults, Fault{Object: "settings", Field: "edge." + field, Problem: "is missing", Want: want})
	}
	if e.Ready == "" {
		missing("ready", "an address such as 10.0.0.1:8084")
	}
	if e.Grace <= 0 {
		missing("grace", "a duration such as 8s")
	}
	if e.WatchWait() <= 0 {
		missing("watch", "a duration such as 10s, or apply and drain")
	}
	if e.Usage.Window <= 0 {
		missing("usage.window", "a duration such as 5s")
	}
	if e.Retries.Window <= 0 {
		missing("retries.window", "a duration such as 10s")
	}
	if _, err := switcher.Parse(e.Off); err != nil {
		faults = append(faults, Fault{Object: "settings", Field: "edge.off", Problem: err.Error(), Want: "some of " + switcher.Names()})
	}
	return append(faults, e.checkAmounts()...)
}

// checkAmounts returns a fault for each amount that is negative or not a number.
func (e *Edge) checkAmounts() []Fault {
	var faults []Fault
	for _, f := range []struct {
		field string
		value float64
	}{
		{"quota.window", e.Quota.Window.Std().Seconds()},
		{"quota.overrun", e.Quota.Overrun},
		{"quota.extra", e.Quota.Extra},
		{"cold.overrun", e.Cold.Overrun},
		{"cold.extra", e.Cold.Extra},
		{"host.memory", e.Host.Memory},
		{"host.descriptors", float64(e.Host.Descriptors)},
		{"callers.memory", e.Callers.Memory},
		{"callers.connections", float64(e.Callers.Connections)},
		{"callers.header_lines", float64(e.Callers.HeaderLines)},
		{"callers.header_memory", float64(e.Callers.HeaderMemory)},
	} {
		switch {
		case f.value < 0:
			faults = append(faults, Fault{Object: "settings", Field: "edge." + f.field, Problem: "is negative", Want: "0 or more"})
		case math.IsNaN(f.value) || math.IsInf(f.value, 0):
			faults = append(faults, Fault{Object: "settings", Field: "edge." + f.field, Problem: "is not a number", Want: "0 or more"})
		}
	}
	return faults
}
