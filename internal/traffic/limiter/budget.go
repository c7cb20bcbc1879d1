package limiter

import (
	"sync"
	"time"
)

// windowSlots is the number of time slots into which the sliding window is divided.
const windowSlots = 20

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Extra is the number of retries that all daemons together may make in a window in addition
	// to the ratio.
	Extra float64
	// AssumedMembers is the least number of daemons that is assumed in the first window, in which a
	// daemon may not have heard of the others, nor know the retries that it made before a restart.
	AssumedMembers int
}

// Budget is a retry budget per service over a sliding window. Each daemon allows retries in
// proportion to its own requests, and an equal share of the extra, so that the fleet stays
// within its budget without coordination.
type Budget struct {
	cfg BudgetConfig

	mu sync.Mutex
	// start is the time of the first call. Slots are counted from it by the monotonic clock, so
	// steps of the wall clock do not move them.
	start    time.Time
	members  int
	services map[string]*slidingWindow
}

// slidingWindow counts the requests and retries of a service in a ring of time slots. slot is the
// latest one.
type slidingWindow struct {
	slot              int64
	requests, retries [windowSlots]int
}

// NewBudget returns a budget for a fleet of one daemon.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, members: 1, services: make(map[string]*slidingWindow)}
}

// Configure replaces the configuration. The counts are kept unless the window changes.
func (b *Budget) Configure(cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// SetMembers sets how many daemons share the extra retries.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(n, 1)
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.slidingWindow(service, now)
	h.requests[h.slot%windowSlots]++
}

// TakeRetry reports whether the budget of the service allows one more retry, and counts it if so.
func (b *Budget) TakeRetry(service string, now time.Time) bool { return b.TakeRetries(service, 1, now) }

// ReturnRetry gives back a retry that was taken at a time and not made.
func (b *Budget) ReturnRetry(service string, taken, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.slidingWindow(service, now)
	slot := int64(taken.Sub(b.start) / (b.cfg.Window / windowSlots))
	if n := &h.retries[slot%windowSlots]; slot > h.slot-windowSlots && *n > 0 {
		*n--
	}
}

// TakeRetries is TakeRetry for n retries, all or none of which are counted.
func (b *Budget) TakeRetries(service string, n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.slidingWindow(service, now)
	members := b.members
	if now.Sub(b.start) < b.cfg.Window {
		members = max(members, b.cfg.AssumedMembers)
	}
	limit := b.cfg.Ratio*float64(sumCounts(h.requests)) + b.cfg.Extra/float64(members)
	if float64(sumCounts(h.retries)+n) > limit {
		return false
	}
	h.retries[h.slot%windowSlots] += n
	return true
}

// slidingWindow returns the window of a service after clearing the slots that expired by now.
func (b *Budget) slidingWindow(service string, now time.Time) *slidingWindow {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start) / (b.cfg.Window / windowSlots))
	h := b.services[service]
	if h == nil {
		h = &slidingWindow{slot: slot}
		b.services[service] = h
	}
	for n := 0; h.slot < slot && n < windowSlots; n++ {
		h.slot++
		h.requests[h.slot%windowSlots], h.retries[h.slot%windowSlots] = 0, 0
	}
	h.slot = max(h.slot, slot)
	return h
}

func sumCounts(counts [windowSlots]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
