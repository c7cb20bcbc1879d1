package generator

import "container/list"

// cache holds the blocks of an engine's memory. Blocks in use are pinned; of
// the others the least recently used is evicted when memory is needed.
type cache struct {
	size int
	// private counts blocks that belong to one job and have no hash.
	private int
	blocks  map[uint64]*block
	// idle holds the unpinned blocks, the least recently used in front.
	idle *list.List
}

type block struct {
	hash uint64
	pins int
	idle *list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, blocks: make(map[uint64]*block), idle: list.New()}
}

// used returns the number of blocks that hold anything.
func (c *cache) used() int { return c.private + len(c.blocks) }

// match returns the number of leading blocks that are held.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// reserve pins the held prefix of hashes and takes private blocks, evicting as
// needed. It changes nothing and reports false if pinned blocks leave too
// little memory.
func (c *cache) reserve(held []uint64, private int) (evicted []uint64, ok bool) {
	idle := c.idle.Len()
	for _, h := range held {
		if c.blocks[h].pins == 0 {
			idle--
		}
	}
	if c.used()+private-idle > c.size {
		return nil, false
	}
	for _, h := range held {
		c.pin(h)
	}
	for c.used()+private > c.size {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.blocks, b.hash)
		evicted = append(evicted, b.hash)
	}
	c.private += private
	return evicted, true
}

func (c *cache) pin(hash uint64) {
	b := c.blocks[hash]
	if b.pins++; b.pins == 1 && b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
}

// store names private blocks of a job by their hashes, pinned, and returns those
// that were not held already. Of a block computed twice one copy is freed.
func (c *cache) store(hashes []uint64) (stored []uint64) {
	for _, h := range hashes {
		c.private--
		if c.blocks[h] == nil {
			c.blocks[h] = &block{hash: h}
			stored = append(stored, h)
		}
		c.pin(h)
	}
	return stored
}

// release gives back a job's blocks. The end of a prefix becomes idle before
// its beginning, so that it is evicted first.
func (c *cache) release(pinned []uint64, private int) {
	c.private -= private
	for i := len(pinned) - 1; i >= 0; i-- {
		b := c.blocks[pinned[i]]
		if b.pins--; b.pins == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}
