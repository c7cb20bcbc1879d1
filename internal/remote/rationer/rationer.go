// Package rationer bounds what many holders occupy together in one daemon: the memory of the answers of endpoints,
// and the memory and connections of callers. Each answer may hold FreeBytes without being counted. What it holds
// beyond counts against one limit for all answers. When the limit is reached, a policy chooses which holding ends.
// Without one it is the largest: an answer that is sent without end grows until then.
package rationer

import (
	"errors"
	"iter"
	"sync"
	"time"
)

// FreeBytes is what an answer may hold without being counted.
const FreeBytes = 16 << 10

// MaxHeaderBytes bounds the header of an answer, interim answers included.
const MaxHeaderBytes = 64 << 10

// evictTimeout bounds the wait for answers that were evicted. They end at once unless their callers are slow.
const evictTimeout = 250 * time.Millisecond

// ErrFull is the error of an answer for which there is no memory left.
var ErrFull = errors.New("no memory left for the answer")

// Policy chooses which holding ends when a ration is full.
type Policy interface {
	// Choose returns the holding that must end so that another one may count n, nil if none must. The others are
	// those that may be evicted, with what each counts. The ration is locked meanwhile.
	Choose(asking *Holding, n int, others iter.Seq2[*Holding, int]) *Holding
}

// Config configures a Ration.
type Config struct {
	Limit int
	// FreeBytes is what each holding may hold without being counted.
	FreeBytes int
	Policy    Policy
}

// Ration is what all holdings of a daemon may count together. It is safe for concurrent use. A nil Ration has no
// limit.
type Ration struct {
	cfg Config

	mu sync.Mutex
	// used is the sum of the counted bytes of all holdings, and peak the largest sum so far.
	// ending is the part of used whose holdings were evicted and have not ended yet.
	used, peak, ending int
	holdings           map[*Holding]struct{}
	// freed is closed and replaced when room may have become free.
	freed chan struct{}
}

// New returns a ration for the answers of endpoints, with a limit in bytes.
func New(limit int) *Ration {
	return NewWithConfig(Config{Limit: limit, FreeBytes: FreeBytes, Policy: largestFirst{}})
}

// NewWithConfig returns a ration.
func NewWithConfig(cfg Config) *Ration {
	return &Ration{cfg: cfg, holdings: make(map[*Holding]struct{}), freed: make(chan struct{})}
}

// Used returns what all holdings count.
func (r *Ration) Used() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Peak returns the largest number of bytes that was counted at one time.
func (r *Ration) Peak() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

// Holding is the memory of one answer. A nil Holding has no limit.
type Holding struct {
	ration *Ration
	evict  func()
	// owner is what a policy knows the holding by.
	owner any
	// receiver takes the answer of a pinned holding; nil if it does not matter. It, counted, evicted and pinned are
	// guarded by the mutex of the ration.
	receiver        Receiver
	counted         int
	evicted, pinned bool
}

// Receiver takes an answer that is complete.
type Receiver interface {
	// IsStalled reports whether it does not take the answer.
	IsStalled() bool
	// Abort ends the answer.
	Abort()
}

// Begin returns a holding without memory. evict is called at most once, in any goroutine, when the answer must
// end to make room; it must not call Resize.
func (r *Ration) Begin(evict func()) *Holding {
	if r == nil {
		return nil
	}
	return &Holding{ration: r, evict: evict}
}

// WithOwner returns the holding, of which a policy sees the owner. It must be called before the first Resize.
func (h *Holding) WithOwner(owner any) *Holding {
	h.owner = owner
	return h
}

// Owner returns what WithOwner set.
func (h *Holding) Owner() any { return h.owner }

// Resize sets the size of the holding. To make room it evicts holdings that the policy chooses, without one larger
// holdings, the largest first, and waits until they end. It returns ErrFull if there are none, if they do not end within evictTimeout, or if the
// holding was itself evicted.
func (h *Holding) Resize(n int) error {
	if h == nil {
		return nil
	}
	var timeout *time.Timer
	for {
		evict, freed, err := h.tryResize(max(n-h.ration.cfg.FreeBytes, 0))
		if err != nil || freed == nil {
			return err
		}
		if timeout == nil {
			timeout = time.NewTimer(evictTimeout)
			defer timeout.Stop()
		}
		if evict != nil {
			evict()
		}
		select {
		case <-freed:
		case <-timeout.C:
			return ErrFull
		}
	}
}

// tryResize changes the size if there is room. Otherwise it returns a channel that is closed when some holding
// has ended, and what evicts another holding, if one must be.
func (h *Holding) tryResize(counted int) (evict func(), freed <-chan struct{}, err error) {
	r := h.ration
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.evicted {
		return nil, nil, ErrFull
	}
	if counted <= h.counted || r.used-h.counted+counted <= r.cfg.Limit {
		r.count(h, counted)
		return nil, nil, nil
	}
	if r.used-r.ending-h.counted+counted <= r.cfg.Limit {
		// Those that were evicted make enough room as they end.
		return nil, r.freed, nil
	}
	v := r.cfg.Policy.Choose(h, counted, r.evictable(h))
	if v == nil {
		return nil, nil, ErrFull
	}
	v.evicted = true
	r.ending += v.counted
	// A victim that waits for room must notice that it was evicted.
	r.signal()
	return v.ender(), r.freed, nil
}

// signal wakes the holdings that wait for room. The caller must hold r.mu.
func (r *Ration) signal() {
	close(r.freed)
	r.freed = make(chan struct{})
}

// evictable returns the holdings that may be evicted for another one. The caller must hold r.mu.
func (r *Ration) evictable(asking *Holding) iter.Seq2[*Holding, int] {
	return func(yield func(*Holding, int) bool) {
		for h := range r.holdings {
			if h != asking && !h.evicted && (!h.pinned || h.isStalled()) && !yield(h, h.counted) {
				return
			}
		}
	}
}

// largestFirst is the policy for answers: the largest holding above the size that is asked for ends, but before it any
// answer that its receiver does not take.
type largestFirst struct{}

func (largestFirst) Choose(_ *Holding, n int, others iter.Seq2[*Holding, int]) *Holding {
	var large, stalled *Holding
	most := 0
	for h, counted := range others {
		switch {
		case h.pinned && counted > most:
			stalled, most = h, counted
		case !h.pinned && counted > n:
			large, n = h, counted
		}
	}
	if stalled != nil {
		return stalled
	}
	return large
}

// count sets the counted bytes of a holding. The caller must hold r.mu.
func (r *Ration) count(h *Holding, n int) {
	r.used += n - h.counted
	r.peak = max(r.peak, r.used)
	h.counted = n
	if n > 0 {
		r.holdings[h] = struct{}{}
	} else {
		delete(r.holdings, h)
	}
}

// Pin keeps the holding of an answer that is complete from being evicted.
func (h *Holding) Pin() error { return h.PinFor(nil) }

// PinFor is like Pin, but the answer ends if room is needed while its receiver does not take it.
func (h *Holding) PinFor(r Receiver) error {
	if h == nil {
		return nil
	}
	h.ration.mu.Lock()
	defer h.ration.mu.Unlock()
	if h.evicted {
		return ErrFull
	}
	h.pinned, h.receiver = true, r
	return nil
}

// isStalled reports whether the answer is not taken. The caller must hold the mutex of the ration.
func (h *Holding) isStalled() bool { return h.receiver != nil && h.receiver.IsStalled() }

// ender returns what ends the answer. The caller must hold the mutex of the ration.
func (h *Holding) ender() func() {
	if h.pinned {
		return h.receiver.Abort
	}
	return h.evict
}

// IsEvicted reports whether the answer had to make room.
func (h *Holding) IsEvicted() bool {
	if h == nil {
		return false
	}
	h.ration.mu.Lock()
	defer h.ration.mu.Unlock()
	return h.evicted
}

// End gives all memory back. It may be called several times.
func (h *Holding) End() {
	if h == nil {
		return
	}
	h.ration.mu.Lock()
	defer h.ration.mu.Unlock()
	if h.counted == 0 {
		return
	}
	if h.evicted {
		h.ration.ending -= h.counted
	}
	h.ration.count(h, 0)
	h.ration.signal()
}
