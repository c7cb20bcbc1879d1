package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/fleet/tracker"
)

const (
	// sampleSize is the number of random endpoints that are compared in a large fleet (power of two
	// choices). Reported loads are older there than the prefill of a prompt takes, so that with all
	// endpoints compared all daemons would choose those that seemed free.
	sampleSize = 2
	// sampledHomes is the number of home endpoints of a prompt that are compared in addition.
	sampledHomes = 1
)

// hubReportAge is the age of loads that reach a daemon of a large fleet through two hubs.
const hubReportAge = 400 * time.Millisecond

// peerLoadAge returns the age of the loads that other daemons reported.
func peerLoadAge(large bool) time.Duration {
	if large {
		return hubReportAge
	}
	return 0
}

// sampleEndpoints returns random endpoints and the home endpoints of a query. A large fleet compares
// only these.
func (c *Chooser) sampleEndpoints(endpoints []tracker.Endpoint, q Query) []tracker.Endpoint {
	var out []tracker.Endpoint
	for range sampleSize {
		out = append(out, endpoints[rand.IntN(len(endpoints))])
	}
	remaining := q
	for range sampledHomes {
		home := c.homeEndpoint(remaining, endpoints)
		i := slices.IndexFunc(endpoints, func(e tracker.Endpoint) bool { return e.ID == home })
		if i < 0 {
			break
		}
		out = append(out, endpoints[i])
		remaining.Excluded = append(slices.Clone(remaining.Excluded), home)
	}
	return append(out, c.sampleGranted(endpoints)...)
}

// sampleGranted returns random ones of the cold endpoints to which this daemon may send a request now. All but a
// few daemons may not, so without these a cold endpoint would get much less than it takes.
func (c *Chooser) sampleGranted(endpoints []tracker.Endpoint) []tracker.Endpoint {
	granted := c.cfg.Limits.Granted()
	var out []tracker.Endpoint
	for _, i := range rand.Perm(len(granted)) {
		e := slices.IndexFunc(endpoints, func(e tracker.Endpoint) bool { return e.ID == granted[i] })
		if e >= 0 {
			out = append(out, endpoints[e])
		}
		if len(out) == sampleSize {
			break
		}
	}
	return out
}

// homeEndpoint returns the endpoint that rendezvous hashing assigns to the shared prefix of a
// prompt, by the id of the last shared block. Requests with the same prefix go there, so that it is
// cached. It is empty if the prompt shares nothing.
func (c *Chooser) homeEndpoint(q Query, endpoints []tracker.Endpoint) string {
	if len(q.PromptBlocks) < 2 || !c.cfg.Policies.IsOn(switcher.Home) {
		return ""
	}
	shared := q.PromptBlocks[len(q.PromptBlocks)-2].ID
	home, best := "", uint64(0)
	for _, e := range endpoints {
		if !isUsable(q, e) {
			continue
		}
		if h := xxhash.Sum64String(shared + " " + e.ID); home == "" || h > best {
			home, best = e.ID, h
		}
	}
	return home
}
