package gossiper

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// MaxItemBytes is the size of a value that still rides on a heartbeat. Larger
// ones spread by exchanges only, which takes much longer.
const MaxItemBytes = 700

// Item is a small fact that spreads to all daemons. Of two items with the same
// topic and key the one with the higher version wins; equal versions never
// differ in value, so that their order of arrival does not matter.
//
// An item is kept as long as the daemon that published it is known: once that
// daemon is forgotten, or its process was replaced for as long, it is dropped.
type Item struct {
	Topic   string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Value   []byte `cbor:"4,keyasint,omitempty"`
	// Origin and Boot name the daemon, and its process, that published the
	// item. Publish sets them.
	Origin string `cbor:"5,keyasint,omitempty"`
	Boot   uint64 `cbor:"6,keyasint,omitempty"`
}

// newer reports whether i takes the place of old.
func (i Item) newer(old Item) bool {
	if i.Version != old.Version {
		return i.Version > old.Version
	}
	return bytes.Compare(i.Value, old.Value) > 0
}

type itemKey struct{ topic, key string }

// item is a known item.
type item struct {
	Item
	// strange is since when the origin is not known; zero if it is.
	strange time.Time
	// changed is when this version came.
	changed time.Time
}

// strangeAfter is how long an item waits for the record of its origin.
const strangeAfter = time.Minute

// Subscribe calls f for each new item of a topic, without a lock held.
func (g *Gossiper) Subscribe(topic string, f func(Item)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subs[topic] = append(g.subs[topic], f)
}

// Publish spreads an item, unless a newer one is known.
func (g *Gossiper) Publish(i Item) {
	if len(i.Value) > MaxItemBytes {
		g.count("gossip_oversize_items_total", 1)
	}
	g.mu.Lock()
	if i.Origin == "" {
		i.Origin, i.Boot = g.self.Name, g.self.Boot
	}
	subs := g.mergeItem(i)
	g.mu.Unlock()
	for _, f := range subs {
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

// mergeItem takes in an item and returns the subscribers to tell. The caller
// holds the lock.
func (g *Gossiper) mergeItem(i Item) []func(Item) {
	k := itemKey{i.Topic, i.Key}
	old := g.items[k]
	if old != nil && !i.newer(old.Item) {
		if !old.newer(i) {
			g.rumors.heardAgain(rumorKey{item: k})
		}
		return nil
	}
	now := time.Now()
	g.items[k] = &item{Item: i, changed: now}
	g.changed = true
	if old != nil && now.Sub(old.changed) < frequentPeriod {
		g.rumors.addFrequent(rumorKey{item: k})
	} else {
		g.note(rumorKey{item: k})
	}
	return g.subs[i.Topic]
}

// originKnown reports whether an item's origin lives or was known lately.
func (g *Gossiper) originKnown(i Item, now time.Time) bool {
	if i.Origin == g.self.Name {
		return i.Boot == g.self.Boot || now.Sub(g.started) < g.cfg.ForgetAfter
	}
	m := g.members[i.Origin]
	return m != nil && (m.Boot == i.Boot || now.Sub(m.booted) < g.cfg.ForgetAfter)
}

// ageItems drops items whose origin is forgotten. An item of an origin that was
// never known here waits for it, but is not passed on, so that a daemon that
// was away for long does not bring back what the others have dropped.
func (g *Gossiper) ageItems(now time.Time) {
	for k, i := range g.items {
		switch {
		case g.originKnown(i.Item, now):
			i.strange = time.Time{}
		case i.strange.IsZero():
			i.strange = now
		case now.Sub(i.strange) > strangeAfter:
			delete(g.items, k)
			g.rumors.drop(rumorKey{item: k})
			g.changed = true
		}
	}
}
