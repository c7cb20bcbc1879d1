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
	// maxWaitFraction is the fraction of the first-token target that a request may spend in the
	// queue.
	maxWaitFraction = 0.5
	// overshootFactor is the multiple of the total limit up to which organisations that use
	// less than half of their share may start requests.
	overshootFactor = 1.1
	// holdTimeSmoothing is the divisor of the moving average of hold times: one sample has a
	// weight of 1/32.
	holdTimeSmoothing = 32
)

// Usage is what a daemon reports to its peers about one route: its concurrency limit and the
// requests in flight by organisation.
type Usage struct {
	Limit    float64        `cbor:"1,keyasint"`
	InFlight map[string]int `cbor:"2,keyasint"`
}

// SlotRequest asks a ConcurrencyLimiter for a slot for one request.
type SlotRequest struct {
	Organisation string
	Weight       int
	Priority     loader.Priority
	// Deadline is when the caller needs the whole answer; zero means no deadline.
	Deadline time.Time
	// OnStart is called once when the request gets its slot, OnRefuse once if it gets none.
	// Neither is called with a lock held.
	OnStart  func()
	OnRefuse func(retryAfter time.Duration)

	arrivedAt time.Time
}

// ConcurrencyLimiter limits the requests in flight from this daemon on one route by adaptive
// concurrency limits, so that the endpoints meet the latency target. Queued requests get free
// slots by weighted fair queueing over organisations. It takes the time as a parameter, and is
// safe for concurrent use.
type ConcurrencyLimiter struct {
	target loader.Target

	mu                      sync.Mutex
	totalLimit, borrowLimit adaptiveLimit
	inFlight                int
	adaptedAt               time.Time
	latencyRatios           []float64
	// unloadedRatio is the ratio of latency to target with few requests in flight; 0 until
	// measured.
	unloadedRatio float64
	// meanHoldTime is the moving average of the time that a request holds its slot.
	meanHoldTime  time.Duration
	organisations map[string]*organisationState
	peerUsages    map[string]Usage
}

// organisationState is the queue and the load of one organisation at a ConcurrencyLimiter.
type organisationState struct {
	name     string
	weight   int
	inFlight int
	queue    []*SlotRequest
	// peerInFlight is the number of its requests in flight from other daemons.
	peerInFlight int
}

// NewConcurrencyLimiter returns a ConcurrencyLimiter for a latency target.
func NewConcurrencyLimiter(t loader.Target) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{
		target: t, totalLimit: newAdaptiveLimit(totalLimitBand), borrowLimit: newAdaptiveLimit(borrowLimitBand),
		organisations: make(map[string]*organisationState), peerUsages: make(map[string]Usage),
	}
}

// Acquire starts a request, queues it, or refuses it at once if its expected wait exceeds
// maxQueueWait or its deadline.
func (g *ConcurrencyLimiter) Acquire(now time.Time, e *SlotRequest) {
	g.mu.Lock()
	t := g.stateOf(e)
	e.arrivedAt = now
	if len(t.queue) == 0 && g.hasFreeSlot(t) {
		g.occupySlot(t)
		g.mu.Unlock()
		e.OnStart()
		return
	}
	g.markLimitsReached(t)
	expectedWait := g.expectedWait(t)
	tooLong := max(0, expectedWait-g.maxQueueWait())
	if !e.Deadline.IsZero() {
		tooLong = max(tooLong, now.Add(expectedWait+g.meanHoldTime).Sub(e.Deadline))
	}
	if tooLong > 0 {
		g.mu.Unlock()
		e.OnRefuse(refuser.ClampRetryAfter(tooLong))
		return
	}
	t.queue = append(t.queue, e)
	g.mu.Unlock()
}

// CancelQueued removes a request from the queue after its caller has disconnected. It returns
// false if the request is no longer queued.
func (g *ConcurrencyLimiter) CancelQueued(e *SlotRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.organisations[e.Organisation]
	i := slices.Index(t.queue, e)
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

// Release frees a slot after the given hold time, adapts the limits, and starts or refuses
// queued requests.
func (g *ConcurrencyLimiter) Release(now time.Time, organisation string, held time.Duration) {
	g.mu.Lock()
	g.organisations[organisation].inFlight--
	g.inFlight--
	if g.meanHoldTime == 0 {
		g.meanHoldTime = held
	}
	g.meanHoldTime += (held - g.meanHoldTime) / holdTimeSmoothing
	g.adaptLimits(now)
	started, refused := g.admitQueued(now)
	retry := refuser.ClampRetryAfter(time.Duration(float64(g.meanHoldTime) / g.totalLimit.value))
	g.mu.Unlock()
	for _, e := range started {
		e.OnStart()
	}
	for _, e := range refused {
		e.OnRefuse(retry)
	}
}

// ObserveLatencyRatio records the ratio of a measured latency to its target.
func (g *ConcurrencyLimiter) ObserveLatencyRatio(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latencyRatios = append(g.latencyRatios, ratio)
}

// SetPeerUsage stores the usage that another daemon reported.
func (g *ConcurrencyLimiter) SetPeerUsage(daemon string, u Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerUsages[daemon] = u
	g.updatePeerInFlight()
}

// RemovePeer discards the usage of a daemon that has left.
func (g *ConcurrencyLimiter) RemovePeer(daemon string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peerUsages, daemon)
	g.updatePeerInFlight()
}

func (g *ConcurrencyLimiter) updatePeerInFlight() {
	for name, t := range g.organisations {
		t.peerInFlight = 0
		for _, u := range g.peerUsages {
			t.peerInFlight += u.InFlight[name]
		}
	}
}

// Usage returns this daemon's limit and its requests in flight.
func (g *ConcurrencyLimiter) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := Usage{Limit: g.totalLimit.value, InFlight: make(map[string]int)}
	for name, t := range g.organisations {
		if t.inFlight > 0 {
			u.InFlight[name] = t.inFlight
		}
	}
	return u
}

// stateOf returns the state of the request's organisation, creating it on first use. The caller
// holds the lock, as for all methods below.
func (g *ConcurrencyLimiter) stateOf(e *SlotRequest) *organisationState {
	t := g.organisations[e.Organisation]
	if t == nil {
		t = &organisationState{name: e.Organisation}
		g.organisations[e.Organisation] = t
		for _, u := range g.peerUsages {
			t.peerInFlight += u.InFlight[e.Organisation]
		}
	}
	t.weight = max(1, e.Weight)
	return t
}

func (g *ConcurrencyLimiter) occupySlot(t *organisationState) {
	t.inFlight++
	g.inFlight++
	g.totalLimit.peakInFlight = max(g.totalLimit.peakInFlight, g.inFlight)
	g.borrowLimit.peakInFlight = max(g.borrowLimit.peakInFlight, g.inFlight)
}

// hasFreeSlot reports whether a request of an organisation may start now. An organisation that
// uses less than half of its share may exceed the total limit slightly, so that it does not
// wait for slots that others borrowed while it was idle.
func (g *ConcurrencyLimiter) hasFreeSlot(t *organisationState) bool {
	if t.loadPerWeight() < g.sharePerWeight()/2 {
		return float64(g.inFlight+1) <= overshootFactor*g.totalLimit.value
	}
	return float64(g.inFlight+1) <= min(g.totalLimit.value, g.limitFor(t).value)
}

// markLimitsReached marks the limits that keep a request from starting, so that they may grow.
// A limit that blocks a borrower does not raise the total limit unless that organisation is the
// only active one: otherwise a daemon with one greedy organisation would take its peers'
// capacity.
func (g *ConcurrencyLimiter) markLimitsReached(t *organisationState) {
	l := g.limitFor(t)
	if float64(g.inFlight+1) > l.value {
		l.wasReached = true
	}
	if float64(g.inFlight+1) > g.totalLimit.value && g.isOnlyActive(t) {
		g.totalLimit.wasReached = true
	}
}

// isOnlyActive reports whether no other organisation has requests in flight or queued.
func (g *ConcurrencyLimiter) isOnlyActive(t *organisationState) bool {
	for _, o := range g.organisations {
		if o != t && o.inFlight+o.peerInFlight+len(o.queue) > 0 {
			return false
		}
	}
	return true
}

// admitQueued starts queued requests while slots are free. It returns them, and those that it
// refuses since they waited too long or would miss their deadline.
func (g *ConcurrencyLimiter) admitQueued(now time.Time) (started, refused []*SlotRequest) {
	for t := g.nextOrganisation(); t != nil; t = g.nextOrganisation() {
		e := t.queue[0]
		t.queue = t.queue[1:]
		if now.Sub(e.arrivedAt) > 2*g.maxQueueWait() || !e.Deadline.IsZero() && now.Add(g.meanHoldTime).After(e.Deadline) {
			refused = append(refused, e)
			continue
		}
		g.occupySlot(t)
		started = append(started, e)
	}
	return started, refused
}

// adaptLimits adjusts both limits to the 90th percentile of the latency ratios, at most once
// per minAdaptInterval or mean hold time, whichever is longer.
func (g *ConcurrencyLimiter) adaptLimits(now time.Time) {
	if now.Sub(g.adaptedAt) < max(minAdaptInterval, g.meanHoldTime) || len(g.latencyRatios) < minLatencySamples {
		return
	}
	slices.Sort(g.latencyRatios)
	high := g.latencyRatios[len(g.latencyRatios)*9/10]
	g.updateUnloadedRatio(high)
	sum := g.totalLimit.value
	for _, u := range g.peerUsages {
		sum += u.Limit
	}
	g.totalLimit.adapt(high, g.unloadedRatio, sum/float64(len(g.peerUsages)+1))
	g.borrowLimit.adapt(high, g.unloadedRatio, g.borrowLimit.value)
	g.adaptedAt, g.latencyRatios = now, g.latencyRatios[:0]
}

// updateUnloadedRatio measures the latency ratio with few requests in flight. If it is above
// the band at the first measurement, the target is out of reach without load, and the limits
// return to slow start.
func (g *ConcurrencyLimiter) updateUnloadedRatio(high float64) {
	if g.totalLimit.peakInFlight <= unloadedPeakInFlight && high > g.totalLimit.band.high && g.unloadedRatio == 0 {
		g.totalLimit.inSlowStart, g.borrowLimit.inSlowStart = true, true
	}
	if g.totalLimit.peakInFlight <= unloadedPeakInFlight {
		g.unloadedRatio = high
	}
	g.unloadedRatio = min(g.unloadedRatio, high)
}

// LatencyRatio returns the larger of the ratios of the time to the first token and of the gap
// between tokens to their targets.
func LatencyRatio(t loader.Target, first, gap time.Duration) float64 {
	return max(float64(first)/float64(firstTokenTarget(t)), float64(gap)/float64(tokenGapTarget(t)))
}

// HaveUsagesChanged reports whether usages have changed enough to report them to peers: a number by
// more than an eighth and by more than two, or the set of routes or organisations.
func HaveUsagesChanged(old, now map[string]Usage) bool {
	if len(old) != len(now) {
		return true
	}
	for route, u := range now {
		was := old[route]
		if isLargeChange(was.Limit, u.Limit) || len(was.InFlight) != len(u.InFlight) {
			return true
		}
		for name, n := range u.InFlight {
			if isLargeChange(float64(was.InFlight[name]), float64(n)) {
				return true
			}
		}
	}
	return false
}

func isLargeChange(old, now float64) bool { return math.Abs(now-old) > max(2, old/8) }
