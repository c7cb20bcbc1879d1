package limiter

import (
	"sync"
	"time"
)

// budgetSlots is the number of parts that a window of the budget is counted in.
const budgetSlots = 20

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the retries allowed for each request.
	Ratio float64
	// Window is the span that the budget is counted over.
	Window time.Duration
	// Extra is the retries allowed in a window beside the ratio, over all
	// daemons.
	Extra float64
}

// Budget bounds the retries of each service. A daemon's part follows from its
// own requests and an equal part of the extra, so that the parts add up to no
// more than the whole without any message.
type Budget struct {
	cfg BudgetConfig

	mu sync.Mutex
	// start is the first instant seen; spans from it are not disturbed by steps
	// of the clock.
	start    time.Time
	members  int
	services map[string]*history
}

// history counts requests and retries by parts of the window.
type history struct {
	slot              int64
	requests, retries [budgetSlots]int
}

// NewBudget returns a budget of one daemon.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, members: 1, services: make(map[string]*history)}
}

// Configure replaces the bounds. What was counted so far still counts unless the
// window changes.
func (b *Budget) Configure(cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// SetMembers says how many daemons share the extra.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(n, 1)
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	h.requests[h.slot%budgetSlots]++
}

// Take allows one retry, or refuses it.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	limit := b.cfg.Ratio*float64(sum(h.requests)) + b.cfg.Extra/float64(b.members)
	if float64(sum(h.retries)+1) > limit {
		return false
	}
	h.retries[h.slot%budgetSlots]++
	return true
}

func (b *Budget) history(service string, now time.Time) *history {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start) / (b.cfg.Window / budgetSlots))
	h := b.services[service]
	if h == nil {
		h = &history{slot: slot}
		b.services[service] = h
	}
	for n := 0; h.slot < slot && n < budgetSlots; n++ {
		h.slot++
		h.requests[h.slot%budgetSlots], h.retries[h.slot%budgetSlots] = 0, 0
	}
	h.slot = max(h.slot, slot)
	return h
}

func sum(counts [budgetSlots]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
