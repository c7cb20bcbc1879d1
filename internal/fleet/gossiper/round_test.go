package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

// discard is a Sender and Caller that drops everything.
type discard struct{}

func (discard) Send(context.Context, string, string, []byte) error { return nil }

func (discard) HandleDatagram(string, func([]byte)) {}

func (discard) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, errCut }

func (discard) Handle(string, messenger.Handler) {}

// BenchmarkRound measures one round, and the receipt of the six datagrams that a
// daemon gets in the same time, at several sizes of the fleet.
func BenchmarkRound(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81, 420} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			g := New(Config{Self: viewer.Member{Name: "self", Domain: domains[0]}, Sender: discard{}, Caller: discard{}})
			g.mu.Lock()
			var records []record
			for i := range size - 1 {
				r := newRecord(viewer.Member{Name: name(i), Domain: domains[i%3], Peers: name(i) + ":1", Incarnation: 1})
				records = append(records, r)
				g.mergeRecord(r, time.Now())
			}
			g.mu.Unlock()
			for b.Loop() {
				g.round(b.Context())
				for i := range min(len(records), defaultFanout) {
					records[i].Beat++
					g.receive(b.Context(), encode(packet{From: records[i]}))
				}
			}
		})
	}
}
