package router

import (
	"container/list"
	"slices"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

const (
	// maxIndexEntries bounds the entries of the prefix index; one entry takes about 200 bytes.
	maxIndexEntries = 150_000
	// evictionGrace is the time after this daemon sent a block to an endpoint in which a
	// reported eviction of the block is ignored as older than that request.
	evictionGrace = 10 * time.Second
)

// prefixIndex records which prompt blocks each endpoint is believed to have in its prefix
// cache. It applies the endpoints' least-recently-used eviction itself, so that a lost cache
// event has no lasting effect. It is not safe for concurrent use.
type prefixIndex struct {
	maxEntries int
	entryCount int
	blocks     map[uint64]*prefixBlock
	endpoints  map[string]*endpointCache
}

// prefixBlock is one block of a known prompt prefix and the endpoints that cache it.
type prefixBlock struct {
	holders []*cachedBlock
	// successors holds the hashes of blocks seen after this one, at most minSharedSuccessors.
	successors []uint64
}

// minSharedSuccessors is the number of different blocks that must have followed a block for it
// to count as the end of a prefix that many prompts share.
const minSharedSuccessors = 4

func (n *prefixBlock) addSuccessor(hash uint64) {
	if len(n.successors) < minSharedSuccessors && !slices.Contains(n.successors, hash) {
		n.successors = append(n.successors, hash)
	}
}

// endpointCache is the modelled prefix cache of one endpoint.
type endpointCache struct {
	// capacityBlocks is the number of blocks that the endpoint can cache; 0 if unknown.
	capacityBlocks int
	// lru holds the *cachedBlock entries, the least recently used first.
	lru *list.List
}

// cachedBlock is one block in the cache of one endpoint.
type cachedBlock struct {
	endpoint   string
	hash       uint64
	sentAt     time.Time
	lruElement *list.Element
}

func newPrefixIndex(maxEntries int) *prefixIndex {
	return &prefixIndex{maxEntries: maxEntries, blocks: make(map[uint64]*prefixBlock), endpoints: make(map[string]*endpointCache)}
}

func (x *prefixIndex) cacheOf(endpoint string) *endpointCache {
	s := x.endpoints[endpoint]
	if s == nil {
		s = &endpointCache{lru: list.New()}
		x.endpoints[endpoint] = s
	}
	return s
}

func (x *prefixIndex) findBlock(endpoint string, hash uint64) *cachedBlock {
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

// addBlocks records that an endpoint caches the blocks of a prompt, and evicts the least
// recently used ones beyond the bounds. Later blocks of the prompt count as less recently used
// than earlier ones. sentAt is the time if this daemon sent the prompt, else zero.
func (x *prefixIndex) addBlocks(endpoint string, hashes []uint64, sentAt time.Time) {
	s := x.cacheOf(endpoint)
	for i := len(hashes) - 1; i >= 0; i-- {
		h := x.findBlock(endpoint, hashes[i])
		if h == nil {
			h = &cachedBlock{endpoint: endpoint, hash: hashes[i]}
			h.lruElement = s.lru.PushBack(h)
			x.insert(h)
		} else {
			s.lru.MoveToBack(h.lruElement)
		}
		if !sentAt.IsZero() {
			h.sentAt = sentAt
		}
		if i+1 < len(hashes) {
			x.blocks[h.hash].addSuccessor(hashes[i+1])
		}
	}
	for s.lru.Len() > 0 && (x.entryCount > x.maxEntries || s.capacityBlocks > 0 && s.lru.Len() > s.capacityBlocks) {
		x.remove(s, s.lru.Front().Value.(*cachedBlock))
	}
}

func (x *prefixIndex) insert(h *cachedBlock) {
	n := x.blocks[h.hash]
	if n == nil {
		n = &prefixBlock{}
		x.blocks[h.hash] = n
	}
	n.holders = append(n.holders, h)
	x.entryCount++
}

func (x *prefixIndex) remove(s *endpointCache, h *cachedBlock) {
	s.lru.Remove(h.lruElement)
	x.entryCount--
	n := x.blocks[h.hash]
	n.holders = slices.DeleteFunc(n.holders, func(one *cachedBlock) bool { return one == h })
	if len(n.holders) == 0 {
		delete(x.blocks, h.hash)
	}
}

// applyEvent applies a cache event that an endpoint reported.
func (x *prefixIndex) applyEvent(endpoint string, e inferrer.Event, now time.Time) {
	if e.Kind == inferrer.EventStored {
		x.addBlocks(endpoint, e.Blocks, time.Time{})
		return
	}
	for _, hash := range e.Blocks {
		if h := x.findBlock(endpoint, hash); h != nil && now.Sub(h.sentAt) > evictionGrace {
			x.remove(x.endpoints[endpoint], h)
		}
	}
}

// removeEndpoint removes all blocks of an endpoint.
func (x *prefixIndex) removeEndpoint(endpoint string) {
	s := x.endpoints[endpoint]
	if s == nil {
		return
	}
	for s.lru.Len() > 0 {
		x.remove(s, s.lru.Front().Value.(*cachedBlock))
	}
	delete(x.endpoints, endpoint)
}

// cachedPrefixes returns the number of leading blocks that each endpoint caches, and the number
// of leading blocks that many prompts share.
func (x *prefixIndex) cachedPrefixes(hashes []uint64) (depth map[string]int, sharedPrefix int) {
	depth = make(map[string]int)
	for i, hash := range hashes {
		n := x.blocks[hash]
		if n == nil {
			break
		}
		if len(n.successors) == minSharedSuccessors {
			sharedPrefix = i + 1
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
	return depth, sharedPrefix
}
