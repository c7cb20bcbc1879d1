// Package rationer bounds the memory that the answers of endpoints occupy in one daemon. Each answer may hold
// FreeBytes without being counted. What it holds beyond counts against one limit for all answers. When the
// limit is reached, the answer that holds most ends first: one that is sent without end grows until then.
package rationer

import (
	"errors"
	"sync"
)

// FreeBytes is what an answer may hold without being counted.
const FreeBytes = 16 << 10

// MaxHeaderBytes bounds the header of an answer, interim answers included.
const MaxHeaderBytes = 64 << 10

// ErrFull is the error of an answer for which there is no memory left.
var ErrFull = errors.New("no memory left for the answer")

// Ration is the memory for all answers of a daemon. It is safe for concurrent use. A nil Ration has no limit.
type Ration struct {
	limit int

	mu sync.Mutex
	// used is the sum of the counted bytes of all holdings, and peak the largest sum so far.
	used, peak int
	holdings   map[*Holding]struct{}
}

// New returns a ration with a limit in bytes.
func New(limit int) *Ration {
	return &Ration{limit: limit, holdings: make(map[*Holding]struct{})}
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
// end to make room; it must not call the holding.
func (r *Ration) Begin(evict func()) *Holding {
	if r == nil {
		return nil
	}
	return &Holding{ration: r, evict: evict}
}

// Resize sets the size of the holding in bytes. To make room it evicts larger holdings, the largest first. It
// returns ErrFull if there are none, or if the holding was itself evicted.
func (h *Holding) Resize(n int) error {
	if h == nil {
		return nil
	}
	victims, err := h.resize(max(n-FreeBytes, 0))
	for _, v := range victims {
		v.evict()
	}
	return err
}

func (h *Holding) resize(counted int) ([]*Holding, error) {
	r := h.ration
	r.mu.Lock()
	defer r.mu.Unlock()
	var victims []*Holding
	if h.evicted {
		return nil, ErrFull
	}
	for counted > h.counted && r.used-h.counted+counted > r.limit {
		v := r.largest(counted)
		if v == nil {
			return victims, ErrFull
		}
		v.evicted = true
		r.count(v, 0)
		victims = append(victims, v)
	}
	r.count(h, counted)
	return victims, nil
}

// largest returns the largest holding above a size that may be evicted; nil if there is none. The caller must
// hold r.mu.
func (r *Ration) largest(above int) *Holding {
	var out *Holding
	for h := range r.holdings {
		if h.counted > above && !h.pinned {
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
	h.ration.count(h, 0)
}
