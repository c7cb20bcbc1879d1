package composer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// usageCountsKind is the kind of message by which the holder of the platform duty asks another
	// daemon for its usage counts.
	usageCountsKind = "counts"
	// usageCountsTimeout bounds the calls to all daemons together, and maxUsageCountsCalls is the
	// number of concurrent calls.
	usageCountsTimeout  = 400 * time.Millisecond
	maxUsageCountsCalls = 16
)

// answerUsageCounts answers another daemon with all usage counts that this one knows: its own and
// those reported by others.
func (d *Daemon) answerUsageCounts(context.Context, []byte) ([]byte, error) {
	return cbor.Marshal(d.usageCounter.Export(0))
}

// fetchUsageCounts asks each reachable daemon for the usage counts of all daemons, and returns one
// result for each that answers.
func (d *Daemon) fetchUsageCounts(ctx context.Context) [][]sharer.Report {
	ctx, cancel := context.WithTimeout(ctx, usageCountsTimeout)
	defer cancel()
	var mu sync.Mutex
	var out [][]sharer.Report
	var g errgroup.Group
	g.SetLimit(maxUsageCountsCalls)
	for _, p := range d.sharer.Peers() {
		if p.Unreachable {
			continue
		}
		g.Go(func() error {
			b, err := d.sharer.Call(ctx, p.Address, usageCountsKind, nil)
			var counts []sharer.Report
			if err == nil {
				err = cbor.Unmarshal(b, &counts)
			}
			if err != nil {
				d.log("msg", "cannot fetch usage counts of peer", "peer", p.Name, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, counts)
			return nil
		})
	}
	// The calls log their errors and return none.
	_ = g.Wait()
	return out
}
