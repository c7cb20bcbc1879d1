package router

import (
	"container/list"
	"slices"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

const (
	// maxHoldings bounds the index; one holding takes about 200 bytes.
	maxHoldings = 150_000
	// evictionGrace is the time after a daemon sent a block in which a report
	// that it was evicted is taken to be from before.
	evictionGrace = 10 * time.Second
)

// index knows which cache blocks each endpoint is believed to hold. It mirrors
// the endpoints' least-recently-used eviction, so that a lost event does no
// lasting harm. It is not safe for concurrent use.
type index struct {
	limit     int
	count     int
	blocks    map[uint64]*node
	endpoints map[string]*shelf
}

// node is one block of known prefixes.
type node struct {
	holders []*holding
	// next holds the blocks seen to follow this one, up to branches of them.
	next []uint64
}

// branches is the number of blocks that must have followed a block for it to
// count as the end of a preface that many prompts share.
const branches = 4

func (n *node) follow(hash uint64) {
	if len(n.next) < branches && !slices.Contains(n.next, hash) {
		n.next = append(n.next, hash)
	}
}

// shelf is what one endpoint holds.
type shelf struct {
	// size is the number of blocks that the endpoint has room for; 0 is
	// unknown.
	size int
	// used orders the holdings, the least recently used in front.
	used *list.List
}

// holding is one block at one endpoint.
type holding struct {
	endpoint string
	hash     uint64
	sent     time.Time
	place    *list.Element
}

func newIndex(limit int) *index {
	return &index{limit: limit, blocks: make(map[uint64]*node), endpoints: make(map[string]*shelf)}
}

func (x *index) shelf(endpoint string) *shelf {
	s := x.endpoints[endpoint]
	if s == nil {
		s = &shelf{used: list.New()}
		x.endpoints[endpoint] = s
	}
	return s
}

func (x *index) find(endpoint string, hash uint64) *holding {
	n := x.blocks[hash]
	if n == nil {
		return nil
	}
	for _, h := range n.holders {
		if h.endpoint == endpoint {
			return h
		}
	}
	return nil
}

// add notes that an endpoint holds blocks. The end of a prefix counts as less
// recently used than its beginning. sent is the time if this daemon sent them,
// else zero.
func (x *index) add(endpoint string, hashes []uint64, sent time.Time) {
	s := x.shelf(endpoint)
	for i := len(hashes) - 1; i >= 0; i-- {
		h := x.find(endpoint, hashes[i])
		if h == nil {
			h = &holding{endpoint: endpoint, hash: hashes[i]}
			h.place = s.used.PushBack(h)
			x.hold(h)
		} else {
			s.used.MoveToBack(h.place)
		}
		if !sent.IsZero() {
			h.sent = sent
		}
		if i+1 < len(hashes) {
			x.blocks[h.hash].follow(hashes[i+1])
		}
	}
	for s.used.Len() > 0 && (x.count > x.limit || s.size > 0 && s.used.Len() > s.size) {
		x.drop(s, s.used.Front().Value.(*holding))
	}
}

func (x *index) hold(h *holding) {
	n := x.blocks[h.hash]
	if n == nil {
		n = &node{}
		x.blocks[h.hash] = n
	}
	n.holders = append(n.holders, h)
	x.count++
}

func (x *index) drop(s *shelf, h *holding) {
	s.used.Remove(h.place)
	x.count--
	n := x.blocks[h.hash]
	n.holders = slices.DeleteFunc(n.holders, func(one *holding) bool { return one == h })
	if len(n.holders) == 0 {
		delete(x.blocks, h.hash)
	}
}

// apply takes in a cache event.
func (x *index) apply(endpoint string, e inferrer.Event, now time.Time) {
	if e.Kind == inferrer.EventStored {
		x.add(endpoint, e.Blocks, time.Time{})
		return
	}
	for _, hash := range e.Blocks {
		if h := x.find(endpoint, hash); h != nil && now.Sub(h.sent) > evictionGrace {
			x.drop(x.endpoints[endpoint], h)
		}
	}
}

// forget drops all that is known of an endpoint.
func (x *index) forget(endpoint string) {
	s := x.endpoints[endpoint]
	if s == nil {
		return
	}
	for s.used.Len() > 0 {
		x.drop(s, s.used.Front().Value.(*holding))
	}
	delete(x.endpoints, endpoint)
}

// held returns for each endpoint the number of leading blocks that it holds, and
// the number of leading blocks that many prompts share.
func (x *index) held(hashes []uint64) (depth map[string]int, preface int) {
	depth = make(map[string]int)
	for i, hash := range hashes {
		n := x.blocks[hash]
		if n == nil {
			break
		}
		if len(n.next) == branches {
			preface = i + 1
		}
		further := false
		for _, h := range n.holders {
			if depth[h.endpoint] == i {
				depth[h.endpoint] = i + 1
				further = true
			}
		}
		if !further {
			break
		}
	}
	return depth, preface
}
