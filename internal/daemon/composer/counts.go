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
	// countsKind is the kind of message by which the holder of the duty asks for
	// counts of usage.
	countsKind = "counts"
	// countsTimeout bounds the answer, and countsAtOnce the daemons asked side by
	// side.
	countsTimeout = 400 * time.Millisecond
	countsAtOnce  = 16
)

// answerCounts tells another daemon what this one knows of the usage of all.
func (d *Daemon) answerCounts(context.Context, []byte) ([]byte, error) {
	return cbor.Marshal(d.counter.Export(0))
}

// othersCounts returns what the daemons that are heard know of the usage of all.
func (d *Daemon) othersCounts(ctx context.Context) [][]sharer.Report {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	var mu sync.Mutex
	var out [][]sharer.Report
	var g errgroup.Group
	g.SetLimit(countsAtOnce)
	for _, p := range d.sharer.Peers() {
		if p.Unreachable {
			continue
		}
		g.Go(func() error {
			b, err := d.sharer.Call(ctx, p.Address, countsKind, nil)
			var counts []sharer.Report
			if err == nil {
				err = cbor.Unmarshal(b, &counts)
			}
			if err != nil {
				d.log("msg", "no counts", "peer", p.Name, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, counts)
			return nil
		})
	}
	// A daemon that does not answer is logged.
	_ = g.Wait()
	return out
}
