package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestRareItemInAFlood has every daemon publish frequent items beyond the send budget. A rare item
// must still reach all daemons within two seconds, the bytes sent must stay within the budget, and
// each frequent item must keep being updated everywhere.
func TestRareItemInAFlood(t *testing.T) {
	for _, size := range []int{9, 27} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
				f := newNetwork(1)
				nodes := f.startFleet(ctx, size)
				await(t, time.Minute, "all alive", func() bool { return allAlive(nodes) })
				publishFlood(ctx, nodes)
				time.Sleep(30 * time.Second)
				before := f.totalSentBytes()
				for i := range 5 {
					key := fmt.Sprint("move-", i)
					nodes[i].g.Publish(Item{Topic: "latch", Key: key, Version: 1, Value: []byte("x")})
					took := await(t, 2*time.Second, "rare item everywhere", func() bool { return allHaveItems(nodes, "latch", i+1) })
					t.Logf("rare item everywhere after %s", took)
					time.Sleep(4*time.Second - took)
				}
				// The headers of the heartbeats and the exchanges add to the changes.
				if got, most := (f.totalSentBytes()-before)/size/20, defaultMaxBytesPerSecond+6<<10; got > most {
					t.Errorf("got %d bytes a second sent by each, want at most %d", got, most)
				}
				for _, n := range nodes {
					for _, i := range n.g.Items("load") {
						if age := time.Since(time.Unix(0, int64(i.Version))); age > 30*time.Second {
							t.Errorf("got item %s of %s ago at %s", i.Key, age, n.address)
						}
					}
				}
			})
		})
	}
}

// publishFlood has each node publish a new version of an item ten times per second until ctx ends.
func publishFlood(ctx context.Context, nodes []*node) {
	for _, n := range nodes {
		go func() {
			for ctx.Err() == nil {
				n.g.Publish(Item{Topic: "load", Key: n.address, Version: uint64(time.Now().UnixNano()), Value: make([]byte, 100)})
				sleep(ctx, 100*time.Millisecond)
			}
		}()
	}
}

// allHaveItems reports whether all nodes have the wanted number of items of a topic.
func allHaveItems(nodes []*node, topic string, want int) bool {
	for _, n := range nodes {
		if len(n.g.Items(topic)) != want {
			return false
		}
	}
	return true
}
