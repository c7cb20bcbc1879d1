package gossiper

import (
	"context"
	"flag"
	"testing"
	"time"
)

// sentBytesPerSecond returns the bytes that one daemon of a fleet sends per second while nothing
// changes.
func sentBytesPerSecond(t *testing.T, size int) int {
	t.Helper()
	const window = 20 * time.Second
	var got int
	runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
		f := newNetwork(1)
		nodes := f.startFleet(ctx, size)
		await(t, time.Minute, "all alive", func() bool { return allAlive(nodes) })
		time.Sleep(time.Minute)
		before := f.totalSentBytes()
		time.Sleep(window)
		got = (f.totalSentBytes() - before) / size / int(window/time.Second)
	})
	return got
}

// TestCostIndependentOfSize checks that the bytes sent by each daemon do not grow in proportion to
// the size of the fleet. Exchanges send a little more in a larger fleet, which the bound allows for.
func TestCostIndependentOfSize(t *testing.T) {
	small, large := sentBytesPerSecond(t, 27), sentBytesPerSecond(t, 81)
	if 2*large > 3*small {
		t.Errorf("got %d bytes a second at 81 daemons, want at most half above the %d at 27", large, small)
	}
}

var largeFleets = flag.Bool("large", false, "measure the bytes sent in large fleets too")

// TestBytes logs and bounds the bytes that a daemon sends per second while nothing changes. Gossip
// must leave most of the 26 KB/s for all control traffic to the other components.
func TestBytes(t *testing.T) {
	const limit = 4 << 10
	sizes := []int{3, 9, 27}
	if *largeFleets {
		sizes = append(sizes, 81, 162, 420)
	}
	for _, size := range sizes {
		n := sentBytesPerSecond(t, size)
		t.Logf("%d daemons: %d bytes a second sent by each", size, n)
		if n > limit {
			t.Errorf("got %d bytes a second at %d daemons, want at most %d", n, size, limit)
		}
	}
}

func TestItemsOfDeadOriginAgeOut(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, ctx context.Context) {
		f := newNetwork(1)
		nodes := f.startFleet(ctx, 3)
		await(t, time.Minute, "all alive", func() bool { return allAlive(nodes) })
		nodes[2].g.Publish(Item{Topic: "load", Key: "entry-002/1", Version: 1, Value: []byte("x")})
		await(t, time.Minute, "item at another daemon", func() bool { return len(nodes[0].g.Items("load")) == 1 })
		f.stop(nodes[2])
		time.Sleep(4 * forgetAfter)
		if got := nodes[0].g.Items("load"); len(got) != 0 {
			t.Errorf("got %d items of a daemon dead for long, want none", len(got))
		}
		if got := len(nodes[0].g.Members()); got != 2 {
			t.Errorf("got %d members long after a death, want 2", got)
		}
	})
}
