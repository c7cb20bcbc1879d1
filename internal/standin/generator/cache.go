package generator

import "container/list"

// prefixCache is the prefix cache of an engine. Blocks that running jobs use are
// pinned; the least recently used of the others is evicted when memory is needed.
type prefixCache struct {
	sizeBlocks int
	// privateBlocks counts the blocks that belong to one job and have no hash yet.
	privateBlocks int
	blocks        map[uint64]*cachedBlock
	// idle is the LRU list of the unpinned blocks, least recently used first.
	idle *list.List
}

// cachedBlock is a cached block; idle is its element in the LRU list, or nil if it is pinned.
type cachedBlock struct {
	hash uint64
	pins int
	idle *list.Element
}

func newPrefixCache(sizeBlocks int) *prefixCache {
	return &prefixCache{sizeBlocks: sizeBlocks, blocks: make(map[uint64]*cachedBlock), idle: list.New()}
}

// usedBlocks returns the number of private and cached blocks.
func (c *prefixCache) usedBlocks() int { return c.privateBlocks + len(c.blocks) }

// matchPrefix returns the number of leading blocks that are in the cache.
func (c *prefixCache) matchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// reserve pins cached blocks and reserves private ones, and evicts idle blocks as
// needed. If the pinned blocks leave too little memory, it changes nothing and
// returns false.
func (c *prefixCache) reserve(heldHashes []uint64, privateBlocks int) (evicted []uint64, ok bool) {
	idle := c.idle.Len()
	for _, h := range heldHashes {
		if c.blocks[h].pins == 0 {
			idle--
		}
	}
	if c.usedBlocks()+privateBlocks-idle > c.sizeBlocks {
		return nil, false
	}
	for _, h := range heldHashes {
		c.pin(h)
	}
	for c.usedBlocks()+privateBlocks > c.sizeBlocks {
		b := c.idle.Remove(c.idle.Front()).(*cachedBlock)
		delete(c.blocks, b.hash)
		evicted = append(evicted, b.hash)
	}
	c.privateBlocks += privateBlocks
	return evicted, true
}

func (c *prefixCache) pin(hash uint64) {
	b := c.blocks[hash]
	if b.pins++; b.pins == 1 && b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
}

// storeBlocks turns private blocks of a job into pinned blocks with these hashes
// and returns the hashes that are new in the cache. If a block was computed twice,
// one copy is freed.
func (c *prefixCache) storeBlocks(hashes []uint64) (stored []uint64) {
	for _, h := range hashes {
		c.privateBlocks--
		if c.blocks[h] == nil {
			c.blocks[h] = &cachedBlock{hash: h}
			stored = append(stored, h)
		}
		c.pin(h)
	}
	return stored
}

// release unpins and frees a job's blocks. The last blocks of a prefix become idle
// before the first ones, so they are evicted first.
func (c *prefixCache) release(pinned []uint64, privateBlocks int) {
	c.privateBlocks -= privateBlocks
	for i := len(pinned) - 1; i >= 0; i-- {
		b := c.blocks[pinned[i]]
		if b.pins--; b.pins == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}
