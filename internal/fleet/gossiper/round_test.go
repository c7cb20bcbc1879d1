package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/viewer"
)

// discardMessenger is a Sender and Caller that drops all datagrams and calls.
type discardMessenger struct{}

func (discardMessenger) SendDatagram(context.Context, string, string, []byte) error { return nil }

func (discardMessenger) HandleDatagram(string, func([]byte)) {}

func (discardMessenger) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errUnreachable
}

func (discardMessenger) Handle(string, messenger.Handler) {}

// BenchmarkRound measures one round and the processing of the six datagrams that a daemon receives
// in the same time, at several sizes of the fleet.
func BenchmarkRound(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81, 420} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			g := New(Config{Self: viewer.Member{Name: "self", Domain: domains[0]}, Sender: discardMessenger{}, Caller: discardMessenger{}})
			g.mu.Lock()
			var records []record
			for i := range size - 1 {
				r := newRecord(viewer.Member{Name: daemonName(i), Domain: domains[i%3], Peers: daemonName(i) + ":1", Incarnation: 1})
				records = append(records, r)
				g.mergeRecord(r, time.Now())
			}
			g.mu.Unlock()
			for b.Loop() {
				g.runRound(b.Context())
				for i := range min(len(records), defaultFanout) {
					records[i].Revision++
					g.receiveDatagram(b.Context(), encode(packet{From: records[i]}))
				}
			}
		})
	}
}
