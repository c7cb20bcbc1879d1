// Package rationer bounds the memory that the answers of endpoints occupy in one daemon. Each answer may hold
// FreeBytes without being counted. What it holds beyond counts against one limit for all answers. When the
// limit is reached, the answer that holds most ends first: one that is sent without end grows until then.
package rationer

import (
	"errors"
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

// Ration is the memory for all answers of a daemon. It is safe for concurrent use. A nil Ration has no limit.
type Ration struct {
	limit int

	mu sync.Mutex
	// used is the sum of the counted bytes of all holdings, and peak the largest sum so far.
	// ending is the part of used whose holdings were evicted and have not ended yet.
	used, peak, ending int
	holdings           map[*Holding]struct{}
	// freed is closed and replaced when room may have become free.
	freed chan struct{}
}

// New returns a ration with a limit in bytes.
func New(limit int) *Ration {
	return &Ration{limit: limit, holdings: make(map[*Holding]struct{}), freed: make(chan struct{})}
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
	// counted, evicted and pinned are guarded by the mutex of the ration.
	counted         int
	evicted, pinned bool
}

// Begin returns a holding without memory. evict is called at most once, in any goroutine, when the answer must
// end to make room; it must not call Resize.
func (r *Ration) Begin(evict func()) *Holding {
	if r == nil {
		return nil
	}
	return &Holding{ration: r, evict: evict}
}

// Resize sets the size of the holding in bytes. To make room it evicts larger holdings, the largest first, and
// waits until they end. It returns ErrFull if there are none, if they do not end within evictTimeout, or if the
// holding was itself evicted.
func (h *Holding) Resize(n int) error {
	if h == nil {
		return nil
	}
	timeout := time.NewTimer(evictTimeout)
	defer timeout.Stop()
	for {
		victim, freed, err := h.tryResize(max(n-FreeBytes, 0))
		if err != nil || freed == nil {
			return err
		}
		if victim != nil {
			victim.evict()
		}
		select {
		case <-freed:
		case <-timeout.C:
			return ErrFull
		}
	}
}

// tryResize changes the size if there is room. Otherwise it returns a channel that is closed when some holding
// has ended, and a holding to be evicted, if another one must be.
func (h *Holding) tryResize(counted int) (*Holding, <-chan struct{}, error) {
	r := h.ration
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.evicted {
		return nil, nil, ErrFull
	}
	if counted <= h.counted || r.used-h.counted+counted <= r.limit {
		r.count(h, counted)
		return nil, nil, nil
	}
	if r.used-r.ending-h.counted+counted <= r.limit {
		// Those that were evicted make enough room as they end.
		return nil, r.freed, nil
	}
	v := r.largest(counted)
	if v == nil {
		return nil, nil, ErrFull
	}
	v.evicted = true
	r.ending += v.counted
	// A victim that waits for room must notice that it was evicted.
	r.signal()
	return v, r.freed, nil
}

// signal wakes the holdings that wait for room. The caller must hold r.mu.
func (r *Ration) signal() {
	close(r.freed)
	r.freed = make(chan struct{})
}

// largest returns the largest holding above a size that may be evicted; nil if there is none. The caller must
// hold r.mu.
func (r *Ration) largest(above int) *Holding {
	var out *Holding
	for h := range r.holdings {
		if h.counted > above && !h.pinned && !h.evicted {
			out, above = h, h.counted
		}
	}
	return out
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
func (h *Holding) Pin() error {
	if h == nil {
		return nil
	}
	h.ration.mu.Lock()
	defer h.ration.mu.Unlock()
	h.pinned = true
	if h.evicted {
		return ErrFull
	}
	return nil
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
