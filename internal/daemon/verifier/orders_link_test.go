package verifier

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/traffic/recorder"
)

// storeRefusalLimit bounds the time to a refusal while connections to the store are stalled.
const storeRefusalLimit = 3 * time.Second

// TestOrderServiceFaults breaks the connection to the service once at different points of an order,
// or loses answers to store writes. An order must never run twice; if the service's answer is lost,
// the daemon must find the result where the service offers a status look-up.
func TestOrderServiceFaults(t *testing.T) {
	t.Parallel()
	d := newOrderCluster(t, 2, nil)
	_, addr := startStandin(t, "service", "--status")
	d.serviceAddresses = append(d.serviceAddresses, addr)
	link := d.openLink("tcp", addr)
	d.putHost(lister.Host{
		Name: "desk-0", Domain: "portland", Pool: "portland-desk", Role: lister.RoleService,
		Address: link.Address(), State: lister.StateLive,
	})
	d.awaitServiceState("desk-0", "alive")
	reset := func(n int64) faulter.Behaviour { return faulter.Behaviour{Mode: faulter.ModeReset, Bytes: n, Count: 1} }
	truncate := func(n int64) faulter.Behaviour {
		return faulter.Behaviour{Mode: faulter.ModeTruncate, Bytes: n, Count: 1}
	}
	for i, tc := range []struct {
		name          string
		fault         faulter.Behaviour
		store         keeper.Faults
		withLookup    recorder.State // the wanted state on a route with status look-up
		withoutLookup recorder.State // the wanted state on a route without it
		runCount      int
	}{
		{"reset before the header", reset(0), keeper.Faults{}, recorder.StateUnknown, recorder.StateUnknown, 0},
		{"reset in the header", reset(30), keeper.Faults{}, recorder.StateUnknown, recorder.StateUnknown, 0},
		{"cut before the answer", truncate(0), keeper.Faults{}, recorder.StateDone, recorder.StateUnknown, 1},
		{"cut in the answer's header", truncate(20), keeper.Faults{}, recorder.StateDone, recorder.StateUnknown, 1},
		{"store answer lost", faulter.Behaviour{Mode: faulter.ModePass}, keeper.Faults{LoseAnswers: 1, LosePrefix: "order"}, recorder.StateDone, recorder.StateDone, 1},
		{"store answers lost", faulter.Behaviour{Mode: faulter.ModePass}, keeper.Faults{LoseAnswers: 2, LosePrefix: "order"}, recorder.StateDone, recorder.StateDone, 1},
	} {
		for route, want := range map[string]recorder.State{"desk": tc.withLookup, "ledger": tc.withoutLookup} {
			t.Run(tc.name+", "+route, func(t *testing.T) {
				key := fmt.Sprintf("%s-%d", route, i)
				d.setPlatformFaults(tc.store)
				link.Set(tc.fault)
				r := postOrder(d.daemons[i%2], route, key, "")
				link.Set(faulter.Behaviour{Mode: faulter.ModePass})
				again := postOrder(d.daemons[1-i%2], route, key, "")
				if r.err != nil || r.status != again.status || !bytes.Equal(r.body, again.body) {
					t.Errorf("got status %d: %s (%v), and %d: %s at the other daemon, want the same", r.status, r.body, r.err, again.status, again.body)
				}
				if v, err := readOrder(d.daemons[0], r.location); err != nil || v.State != want {
					t.Errorf("got order %+v (%v), want %s", v, err, want)
				}
				if ok := r.status == http.StatusOK; ok != (want == recorder.StateDone) || !ok && !bytes.Contains(r.body, []byte(`"run":"unknown"`)) {
					t.Errorf("got status %d: %s for an order that is %s", r.status, r.body, want)
				}
				if n := d.runCount(key); n != tc.runCount {
					t.Errorf("got %d runs, want %d", n, tc.runCount)
				}
			})
		}
	}
}

// BenchmarkOrders posts orders through one of three daemons and reports the store calls per order.
func BenchmarkOrders(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			d := newOrderCluster(b, 3, nil)
			d.startAndAwaitService("desk-0")
			before := d.storeCalls()
			b.ResetTimer()
			orders := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for n := range orders {
						if r := postOrder(d.daemons[0], "ledger", fmt.Sprint(n), ""); r.status != http.StatusOK {
							b.Errorf("got status %d: %s (%v), want 200", r.status, r.body, r.err)
						}
					}
				})
			}
			for n := range b.N {
				orders <- n
			}
			close(orders)
			wg.Wait()
			b.StopTimer()
			after := d.storeCalls()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/order")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/order")
		})
	}
}

// TestOrderStalledStore stalls the connections to the store. The daemons must refuse orders as not
// run within storeRefusalLimit, and run the same key once when the store answers again.
func TestOrderStalledStore(t *testing.T) {
	t.Parallel()
	var link *faulter.Link
	d := newOrderCluster(t, 2, func(c *cluster) string {
		link = c.openLink("tcp", c.platformAddress)
		return link.Address()
	})
	d.startAndAwaitService("desk-0")
	link.Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
	for i := range 4 {
		began := time.Now()
		r := postOrder(d.daemons[i%2], "ledger", "silent", "")
		if r.status != http.StatusServiceUnavailable || !bytes.Contains(r.body, []byte(`"run":"not-run"`)) || !bytes.Contains(r.body, []byte("retry_after")) {
			t.Errorf("got status %d: %s (%v), want 503, not-run and retry_after", r.status, r.body, r.err)
		}
		if took := time.Since(began); took > storeRefusalLimit {
			t.Errorf("refused after %s, want at most %s", took, storeRefusalLimit)
		}
	}
	// The link never forwards again on connections that were open during the blackhole, so it closes
	// them first.
	link.Set(faulter.Behaviour{Mode: faulter.ModeCut})
	link.Set(faulter.Behaviour{Mode: faulter.ModePass})
	eventually(t, startTimeout, "the order done", func() bool {
		return postOrder(d.daemons[0], "ledger", "silent", "").status == http.StatusOK
	})
	if n := d.runCount("silent"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}
