package admitter

import (
	"math"
	"slices"
	"sync"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/refuser"
)

const (
	// waitPart is the part of the target for the first token that a request may
	// spend in the queue.
	waitPart = 0.5
	// overPart is how far, in parts of the limit, organisations with little in
	// flight may go over it.
	overPart = 1.1
	// meanSteps is the number of requests over which a mean is smoothed.
	meanSteps = 32
)

// Usage is what a daemon has in flight on one route.
type Usage struct {
	Limit         float64        `cbor:"1,keyasint"`
	Organisations map[string]int `cbor:"2,keyasint"`
}

// Entry is a request that asks for a place.
type Entry struct {
	Organisation string
	Weight       int
	Priority     loader.Priority
	// Deadline is when the caller wants the whole answer; zero is never.
	Deadline time.Time
	// Start is called once when the request gets its place, Refuse once if it
	// does not. Neither is called with a lock held.
	Start  func()
	Refuse func(retryAfter time.Duration)

	arrived time.Time
}

// Gate bounds what a daemon has in flight on one route, so that the endpoints
// meet the latency target, and shares it out by weight. Its limit follows the
// latencies seen. It reads no clock, and is safe for concurrent use.
type Gate struct {
	target loader.Target

	mu        sync.Mutex
	own, lent limit
	inFlight  int
	changed   time.Time
	ratios    []float64
	// least is the latency with little in flight, as a part of its target; 0
	// while it is not known.
	least float64
	// mean is the mean time that a request holds its place.
	mean  time.Duration
	orgs  map[string]*tenant
	peers map[string]Usage
}

// tenant is the state of one organisation at a gate.
type tenant struct {
	name     string
	weight   int
	inFlight int
	queue    []*Entry
	// peers is what other daemons have in flight for it.
	peers int
}

// NewGate returns a gate for a latency target.
func NewGate(t loader.Target) *Gate {
	return &Gate{target: t, own: newLimit(ownBand), lent: newLimit(lentBand), orgs: make(map[string]*tenant), peers: make(map[string]Usage)}
}

// Enter starts a request, queues it, or refuses it at once if it would wait too
// long.
func (g *Gate) Enter(now time.Time, e *Entry) {
	g.mu.Lock()
	t := g.tenant(e)
	e.arrived = now
	if len(t.queue) == 0 && g.hasPlace(t) {
		g.start(t)
		g.mu.Unlock()
		e.Start()
		return
	}
	g.noteShort(t)
	wait := g.wait(t)
	tooLong := max(0, wait-g.maxWait())
	if !e.Deadline.IsZero() {
		tooLong = max(tooLong, now.Add(wait+g.mean).Sub(e.Deadline))
	}
	if tooLong > 0 {
		g.mu.Unlock()
		e.Refuse(refuser.BoundRetry(tooLong))
		return
	}
	t.queue = append(t.queue, e)
	g.mu.Unlock()
}

// Leave takes a request out of the queue whose caller is gone. It reports false
// if the request has a place already.
func (g *Gate) Leave(e *Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.orgs[e.Organisation]
	i := slices.Index(t.queue, e)
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

// End gives back a place that was held for some time.
func (g *Gate) End(now time.Time, organisation string, held time.Duration) {
	g.mu.Lock()
	g.orgs[organisation].inFlight--
	g.inFlight--
	if g.mean == 0 {
		g.mean = held
	}
	g.mean += (held - g.mean) / meanSteps
	g.adapt(now)
	started, refused := g.next(now)
	retry := refuser.BoundRetry(time.Duration(float64(g.mean) / g.own.value))
	g.mu.Unlock()
	for _, e := range started {
		e.Start()
	}
	for _, e := range refused {
		e.Refuse(retry)
	}
}

// Observe notes a latency as a part of its target.
func (g *Gate) Observe(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ratios = append(g.ratios, ratio)
}

// SetPeer takes in what another daemon has in flight.
func (g *Gate) SetPeer(daemon string, u Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[daemon] = u
	g.sumPeers()
}

// DropPeer forgets a daemon that is gone.
func (g *Gate) DropPeer(daemon string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, daemon)
	g.sumPeers()
}

func (g *Gate) sumPeers() {
	for name, t := range g.orgs {
		t.peers = 0
		for _, u := range g.peers {
			t.peers += u.Organisations[name]
		}
	}
}

// Usage returns what this daemon has in flight.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := Usage{Limit: g.own.value, Organisations: make(map[string]int)}
	for name, t := range g.orgs {
		if t.inFlight > 0 {
			u.Organisations[name] = t.inFlight
		}
	}
	return u
}

// tenant returns an organisation's state. The caller holds the lock, as for all
// methods below.
func (g *Gate) tenant(e *Entry) *tenant {
	t := g.orgs[e.Organisation]
	if t == nil {
		t = &tenant{name: e.Organisation}
		g.orgs[e.Organisation] = t
		for _, u := range g.peers {
			t.peers += u.Organisations[e.Organisation]
		}
	}
	t.weight = max(1, e.Weight)
	return t
}

func (g *Gate) start(t *tenant) {
	t.inFlight++
	g.inFlight++
	g.own.peak = max(g.own.peak, g.inFlight)
	g.lent.peak = max(g.lent.peak, g.inFlight)
}

// hasPlace reports whether a request of an organisation may start now. One that
// has less than half of its share need not wait for places that others took
// while it wanted none.
func (g *Gate) hasPlace(t *tenant) bool {
	if t.load() < g.unit()/2 {
		return float64(g.inFlight+1) <= overPart*g.own.value
	}
	return float64(g.inFlight+1) <= min(g.own.value, g.limitOf(t).value)
}

// noteShort notes which limits keep a request from its place. The own limit
// grows only for organisations within their shares, or for one that is alone:
// otherwise a daemon with a greedy one would take its peers' capacity.
func (g *Gate) noteShort(t *tenant) {
	l := g.limitOf(t)
	if float64(g.inFlight+1) > l.value {
		l.short = true
	}
	if float64(g.inFlight+1) > g.own.value && g.isAlone(t) {
		g.own.short = true
	}
}

// isAlone reports whether no other organisation wants places.
func (g *Gate) isAlone(t *tenant) bool {
	for _, o := range g.orgs {
		if o != t && o.inFlight+o.peers+len(o.queue) > 0 {
			return false
		}
	}
	return true
}

// next starts as many queued requests as there are places, and returns them
// with those that have waited too long.
func (g *Gate) next(now time.Time) (started, refused []*Entry) {
	for t := g.neediest(); t != nil; t = g.neediest() {
		e := t.queue[0]
		t.queue = t.queue[1:]
		if now.Sub(e.arrived) > 2*g.maxWait() || !e.Deadline.IsZero() && now.Add(g.mean).After(e.Deadline) {
			refused = append(refused, e)
			continue
		}
		g.start(t)
		started = append(started, e)
	}
	return started, refused
}

// adapt moves the limits so that the latencies come to lie in their bands.
func (g *Gate) adapt(now time.Time) {
	if now.Sub(g.changed) < max(window, g.mean) || len(g.ratios) < minSamples {
		return
	}
	slices.Sort(g.ratios)
	high := g.ratios[len(g.ratios)*9/10]
	g.learnLeast(high)
	sum := g.own.value
	for _, u := range g.peers {
		sum += u.Limit
	}
	g.own.adapt(high, g.least, sum/float64(len(g.peers)+1))
	g.lent.adapt(high, g.least, g.lent.value)
	g.changed, g.ratios = now, g.ratios[:0]
}

// learnLeast learns what latency there is without load. Where that alone misses
// the target, the limits grow anew.
func (g *Gate) learnLeast(high float64) {
	if g.own.peak <= smallPeak && high > g.own.band.high && g.least == 0 {
		g.own.growing, g.lent.growing = true, true
	}
	if g.own.peak <= smallPeak {
		g.least = high
	}
	g.least = min(g.least, high)
}

// Ratio returns the latencies of an answer as a part of their targets, the
// worse of the two.
func Ratio(t loader.Target, first, gap time.Duration) float64 {
	return max(float64(first)/float64(firstTarget(t)), float64(gap)/float64(tokenTarget(t)))
}

// Differ reports whether usages have changed so much that other daemons should
// know: by more than an eighth and more than two.
func Differ(old, now map[string]Usage) bool {
	if len(old) != len(now) {
		return true
	}
	for route, u := range now {
		was := old[route]
		if isFar(was.Limit, u.Limit) || len(was.Organisations) != len(u.Organisations) {
			return true
		}
		for name, n := range u.Organisations {
			if isFar(float64(was.Organisations[name]), float64(n)) {
				return true
			}
		}
	}
	return false
}

func isFar(old, now float64) bool { return math.Abs(now-old) > max(2, old/8) }
