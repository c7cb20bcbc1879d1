package gossiper

import (
	"context"
	"flag"
	"testing"
	"time"
)

// bytesPerSecond returns what a daemon of a fleet sends a second at rest.
func bytesPerSecond(t *testing.T, size int) int {
	t.Helper()
	const window = 20 * time.Second
	var got int
	bubble(t, func(t *testing.T, ctx context.Context) {
		f := newFabric(1)
		nodes := f.fleet(ctx, size)
		await(t, time.Minute, "all alive", func() bool { return settled(nodes) })
		time.Sleep(time.Minute)
		before := f.bytes()
		time.Sleep(window)
		got = (f.bytes() - before) / size / int(window/time.Second)
	})
	return got
}

// TestCostIndependentOfSize allows for the exchanges, which carry a little more
// in a larger fleet, but not for a cost in proportion to the size.
func TestCostIndependentOfSize(t *testing.T) {
	small, large := bytesPerSecond(t, 27), bytesPerSecond(t, 81)
	if 2*large > 3*small {
		t.Errorf("got %d bytes a second at 81 daemons, want at most half above the %d at 27", large, small)
	}
}

var largeFleets = flag.Bool("large", false, "measure the bytes sent in large fleets too")

// TestBytes prints what a daemon sends a second at rest, which must leave most
// of the 26 KB/s of all control to others.
func TestBytes(t *testing.T) {
	const limit = 4 << 10
	sizes := []int{3, 9, 27}
	if *largeFleets {
		sizes = append(sizes, 81, 162, 420)
	}
	for _, size := range sizes {
		n := bytesPerSecond(t, size)
		t.Logf("%d daemons: %d bytes a second sent by each", size, n)
		if n > limit {
			t.Errorf("got %d bytes a second at %d daemons, want at most %d", n, size, limit)
		}
	}
}

func TestItemsOfDeadOriginAgeOut(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		f := newFabric(1)
		nodes := f.fleet(ctx, 3)
		await(t, time.Minute, "all alive", func() bool { return settled(nodes) })
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
