package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestRareItemInAFlood has every daemon publish more than the budget carries. A
// rare item must still be everywhere within two seconds, the budget must hold,
// and none of the frequent items may be left behind for good.
func TestRareItemInAFlood(t *testing.T) {
	for _, size := range []int{9, 27} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				f := newFabric(1)
				nodes := f.fleet(ctx, size)
				await(t, time.Minute, "all alive", func() bool { return settled(nodes) })
				flood(ctx, nodes)
				time.Sleep(30 * time.Second)
				before := f.bytes()
				for i := range 5 {
					key := fmt.Sprint("move-", i)
					nodes[i].g.Publish(Item{Topic: "latch", Key: key, Version: 1, Value: []byte("x")})
					took := await(t, 2*time.Second, "rare item everywhere", func() bool { return all(nodes, "latch", i+1) })
					t.Logf("rare item everywhere after %s", took)
					time.Sleep(4*time.Second - took)
				}
				// Besides changes there are the headers of the heartbeats and
				// the exchanges.
				if got, most := (f.bytes()-before)/size/20, defaultBytesRate+6<<10; got > most {
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

// flood has each node publish an item ten times a second.
func flood(ctx context.Context, nodes []*node) {
	for _, n := range nodes {
		go func() {
			for ctx.Err() == nil {
				n.g.Publish(Item{Topic: "load", Key: n.address, Version: uint64(time.Now().UnixNano()), Value: make([]byte, 100)})
				sleep(ctx, 100*time.Millisecond)
			}
		}()
	}
}

func all(nodes []*node, topic string, want int) bool {
	for _, n := range nodes {
		if len(n.g.Items(topic)) != want {
			return false
		}
	}
	return true
}
