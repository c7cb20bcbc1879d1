package gossiper

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// MaxItemBytes is the largest value of an item that fits into a heartbeat. Larger ones spread by
// exchanges only, which takes much longer.
const MaxItemBytes = 700

// Item is a small versioned value that spreads to all daemons. Of two items with the same topic and
// key the one with the higher version wins. Publishers use a new version for each value; should equal
// versions differ all the same, the greater value wins, so that the order of arrival does not matter.
//
// An item is dropped when the daemon that published it is forgotten, or when the process that
// published it was replaced longer ago than Config.ForgetAfter.
type Item struct {
	Topic   string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Value   []byte `cbor:"4,keyasint,omitempty"`
	// Origin is the name of the daemon that published the item, and Boot the incarnation of its
	// process. Publish sets both if Origin is empty.
	Origin string `cbor:"5,keyasint,omitempty"`
	Boot   uint64 `cbor:"6,keyasint,omitempty"`
}

// isNewerThan reports whether i replaces old: by version, then by value.
func (i Item) isNewerThan(old Item) bool {
	if i.Version != old.Version {
		return i.Version > old.Version
	}
	return bytes.Compare(i.Value, old.Value) > 0
}

type itemKey struct{ topic, key string }

// item is an item with what this daemon stores about it.
type item struct {
	Item
	// originUnknownSince is when the origin was first found to be unknown; zero if it is known.
	originUnknownSince time.Time
	// changed is when this version arrived.
	changed time.Time
}

// maxOriginWait is how long an item is kept while the record of its origin is missing.
const maxOriginWait = time.Minute

// Subscribe registers f, which is called with each new item of a topic, with no lock held.
func (g *Gossiper) Subscribe(topic string, f func(Item)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[topic] = append(g.subscribers[topic], f)
}

// Publish spreads an item unless a newer version is known.
func (g *Gossiper) Publish(i Item) {
	if len(i.Value) > MaxItemBytes {
		g.addToCounter("gossip_oversize_items_total", 1)
	}
	g.mu.Lock()
	if i.Origin == "" {
		i.Origin, i.Boot = g.self.Name, g.self.Boot
	}
	subscribers := g.mergeItem(i)
	g.mu.Unlock()
	for _, f := range subscribers {
		f(i)
	}
}

// Items returns the known items of a topic, sorted by key.
func (g *Gossiper) Items(topic string) []Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	var items []Item
	for k, i := range g.items {
		if k.topic == topic {
			items = append(items, i.Item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// mergeItem stores an item if it is new and returns the subscribers to call with it. The caller
// holds g.mu.
func (g *Gossiper) mergeItem(i Item) []func(Item) {
	k := itemKey{i.Topic, i.Key}
	old := g.items[k]
	if old != nil && !i.isNewerThan(old.Item) {
		if !old.isNewerThan(i) {
			g.rumors.countDuplicate(rumorKey{item: k})
		}
		return nil
	}
	now := time.Now()
	g.items[k] = &item{Item: i, changed: now}
	g.changed = true
	if old != nil && now.Sub(old.changed) < frequentItemPeriod {
		g.rumors.addFrequent(rumorKey{item: k})
	} else {
		g.spreadChange(rumorKey{item: k})
	}
	return g.subscribers[i.Topic]
}

// originKnown reports whether the process that published an item is known, or was replaced less
// than Config.ForgetAfter ago.
func (g *Gossiper) originKnown(i Item, now time.Time) bool {
	if i.Origin == g.self.Name {
		return i.Boot == g.self.Boot || now.Sub(g.startedAt) < g.cfg.ForgetAfter
	}
	m := g.members[i.Origin]
	return m != nil && (m.Boot == i.Boot || now.Sub(m.processFirstSeen) < g.cfg.ForgetAfter)
}

// ageItems drops items whose origin has been unknown for maxOriginWait. Until then they are kept
// but not sent, so that a daemon that was partitioned for long does not spread items again that the
// others have dropped.
func (g *Gossiper) ageItems(now time.Time) {
	for k, i := range g.items {
		switch {
		case g.originKnown(i.Item, now):
			i.originUnknownSince = time.Time{}
		case i.originUnknownSince.IsZero():
			i.originUnknownSince = now
		case now.Sub(i.originUnknownSince) > maxOriginWait:
			delete(g.items, k)
			g.rumors.drop(rumorKey{item: k})
			g.changed = true
		}
	}
}
