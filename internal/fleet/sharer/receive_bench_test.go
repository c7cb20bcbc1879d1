package sharer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/messenger"
)

// discardingTransport is a transport on which all messages are lost.
type discardingTransport struct{}

func (discardingTransport) SendDatagram(context.Context, string, string, []byte) error { return nil }

func (discardingTransport) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, nil
}

func (discardingTransport) CloseConn(string) {}

func (discardingTransport) Handle(string, messenger.Handler) {}

func (discardingTransport) HandleDatagram(string, func([]byte)) {}

// benchmarkFleet holds the statuses of the other daemons of a large fleet.
type benchmarkFleet struct {
	hub      *Sharer
	statuses []Status
}

func newBenchmarkFleet(n, broken int) *benchmarkFleet {
	f := &benchmarkFleet{hub: New(Config{
		Name: "d0", Domain: "z0", Address: "a0", Boot: 1, Size: 1, FillStatus: func(*Status) {}, StatusReceived: func(_, _ *Peer) {}, PeerUnreachable: func(string) {},
		TotalsReceived: func(OthersTotals) {}, ReportReceived: func(Report) {}, Duty: "duty", Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})}
	f.hub.Attach(discardingTransport{})
	for i := 1; i < n; i++ {
		st := Status{Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%5), Address: fmt.Sprint("a", i), Boot: 1, Size: 0.2, LoadThroughHub: true}
		for j := range broken {
			r := BrokenRequest{Blocks: []string{fmt.Sprintf("%016x", j), fmt.Sprintf("%016x", i*1000+j)}, Began: true}
			st.Suspicions.Crashes = append(st.Suspicions.Crashes, Crash{Endpoint: fmt.Sprintf("i-%010d", j), Born: 1, Requests: []BrokenRequest{r}})
		}
		f.statuses = append(f.statuses, st)
	}
	return f
}

// exchange gives the hub a status of each other daemon, the first of which have restarted, and lets it
// send what is due.
func (f *benchmarkFleet) exchange(b *testing.B, restarted int) {
	for i := range f.statuses {
		st := &f.statuses[i]
		st.Number++
		if i < restarted {
			st.Boot++
		}
		encoded, err := cbor.Marshal(st)
		if err != nil {
			b.Fatal(err)
		}
		message, err := cbor.Marshal(statusMessage{From: st.Name, WantsStatuses: i%13 == 0, Entries: []statusEntry{{Status: encoded}}})
		if err != nil {
			b.Fatal(err)
		}
		f.hub.receive(message)
	}
	now := time.Now()
	p, _ := f.hub.planSends(now, true)
	f.hub.messagesDue(now, f.hub.encodeOwnMessages(now, p))
}

// BenchmarkExchange measures what a hub of a large fleet does with one status of each other daemon,
// with and without broken requests and restarts of a fifth of the daemons. It includes the encoding of
// these statuses.
func BenchmarkExchange(b *testing.B) {
	const daemons = 195
	for _, tc := range []struct {
		name              string
		broken, restarted int
	}{{"calm", 0, 0}, {"5 broken requests", 5, 0}, {"20 broken requests", 20, 0}, {"restarts", 0, daemons / 5}, {"restarts and 20 broken requests", 20, daemons / 5}} {
		b.Run(tc.name, func(b *testing.B) {
			f := newBenchmarkFleet(daemons, tc.broken)
			for b.Loop() {
				f.exchange(b, tc.restarted)
			}
		})
	}
}
