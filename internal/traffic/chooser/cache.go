package chooser

import "time"

const (
	// cachedBlockLifetime is how long a prompt block is expected to stay in an engine's prefix
	// cache after its last use.
	cachedBlockLifetime = 15 * time.Second
	// maxCachedBlocks is the number of blocks above which expired ones are dropped.
	maxCachedBlocks = 4096
)

// prefixCache estimates the content of an engine's prefix cache from the prompt blocks that it was
// sent lately.
type prefixCache struct {
	lastUse map[string]time.Time
}

func newPrefixCache() prefixCache { return prefixCache{lastUse: make(map[string]time.Time)} }

// add records that an engine is sent a prompt. The last block is left out, since no other request
// shares it.
func (c *prefixCache) add(parts []PromptBlock, now time.Time) {
	for i := range len(parts) - 1 {
		c.lastUse[parts[i].ID] = now
	}
	if len(c.lastUse) <= maxCachedBlocks {
		return
	}
	for id, at := range c.lastUse {
		if now.Sub(at) > cachedBlockLifetime {
			delete(c.lastUse, id)
		}
	}
}

// cachedTokens returns how many tokens at the start of a prompt are probably cached.
func (c *prefixCache) cachedTokens(parts []PromptBlock, now time.Time) int {
	n := 0
	for i := range len(parts) - 1 {
		at, ok := c.lastUse[parts[i].ID]
		if !ok || now.Sub(at) > cachedBlockLifetime {
			break
		}
		n += parts[i].Tokens
	}
	return n
}
