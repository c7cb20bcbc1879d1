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

// silentLimit bounds the time to a refusal while the store is silent.
const silentLimit = 3 * time.Second

// The connection to the service fails once at each moment, or the answer to a
// store write is lost. The service counts the runs; where it offers a status
// look-up, an answer that was lost is found.
func TestOrderServiceFaults(t *testing.T) {
	t.Parallel()
	d := newDesk(t, 2, nil)
	_, addr := standin(t, "service", "--status")
	d.services = append(d.services, addr)
	link := d.link("tcp", addr)
	d.host(lister.Host{
		Name: "desk-0", Domain: "portland", Pool: "portland-desk", Role: lister.RoleService,
		Address: link.Address(), State: lister.StateLive,
	})
	d.awaitService("desk-0", "alive")
	reset := func(n int64) faulter.Behaviour { return faulter.Behaviour{Mode: faulter.ModeReset, Bytes: n, Count: 1} }
	truncate := func(n int64) faulter.Behaviour {
		return faulter.Behaviour{Mode: faulter.ModeTruncate, Bytes: n, Count: 1}
	}
	for i, tc := range []struct {
		name   string
		fault  faulter.Behaviour
		store  keeper.Faults
		looked recorder.State // With a status look-up.
		lost   recorder.State // Without one.
		runs   int
	}{
		{"reset before the header", reset(0), keeper.Faults{}, recorder.StateUnknown, recorder.StateUnknown, 0},
		{"reset in the header", reset(30), keeper.Faults{}, recorder.StateUnknown, recorder.StateUnknown, 0},
		{"cut before the answer", truncate(0), keeper.Faults{}, recorder.StateDone, recorder.StateUnknown, 1},
		{"cut in the answer's header", truncate(20), keeper.Faults{}, recorder.StateDone, recorder.StateUnknown, 1},
		{"store answer lost", faulter.Behaviour{Mode: faulter.ModePass}, keeper.Faults{LoseAnswers: 1}, recorder.StateDone, recorder.StateDone, 1},
		{"store answers lost", faulter.Behaviour{Mode: faulter.ModePass}, keeper.Faults{LoseAnswers: 2}, recorder.StateDone, recorder.StateDone, 1},
	} {
		for route, want := range map[string]recorder.State{"desk": tc.looked, "ledger": tc.lost} {
			t.Run(tc.name+", "+route, func(t *testing.T) {
				key := fmt.Sprintf("%s-%d", route, i)
				d.faults(tc.store)
				link.Set(tc.fault)
				r := post(d.daemons[i%2], route, key, "")
				link.Set(faulter.Behaviour{Mode: faulter.ModePass})
				again := post(d.daemons[1-i%2], route, key, "")
				if r.err != nil || r.status != again.status || !bytes.Equal(r.body, again.body) {
					t.Errorf("got status %d: %s (%v), and %d: %s at the other daemon, want the same", r.status, r.body, r.err, again.status, again.body)
				}
				if v, err := readOrder(d.daemons[0], r.location); err != nil || v.State != want {
					t.Errorf("got order %+v (%v), want %s", v, err, want)
				}
				if ok := r.status == http.StatusOK; ok != (want == recorder.StateDone) || !ok && !bytes.Contains(r.body, []byte(`"run":"unknown"`)) {
					t.Errorf("got status %d: %s for an order that is %s", r.status, r.body, want)
				}
				if n := d.runs(key); n != tc.runs {
					t.Errorf("got %d runs, want %d", n, tc.runs)
				}
			})
		}
	}
}

// BenchmarkOrders posts orders through one of three daemons, with real processes
// on loopback.
func BenchmarkOrders(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			d := newDesk(b, 3, nil)
			d.open("desk-0")
			before := d.calls()
			b.ResetTimer()
			orders := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for n := range orders {
						if r := post(d.daemons[0], "ledger", fmt.Sprint(n), ""); r.status != http.StatusOK {
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
			after := d.calls()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/order")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/order")
		})
	}
}

// Connections to the store go silent. Orders are refused soon, as not run; the
// same key is taken once the store answers again.
func TestOrderSilentStore(t *testing.T) {
	t.Parallel()
	var link *faulter.Link
	d := newDesk(t, 2, func(c *cluster) string {
		link = c.link("tcp", c.address)
		return link.Address()
	})
	d.open("desk-0")
	link.Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
	for i := range 4 {
		began := time.Now()
		r := post(d.daemons[i%2], "ledger", "silent", "")
		if r.status != http.StatusServiceUnavailable || !bytes.Contains(r.body, []byte(`"run":"not-run"`)) || !bytes.Contains(r.body, []byte("retry_after")) {
			t.Errorf("got status %d: %s (%v), want 503, not-run and retry_after", r.status, r.body, r.err)
		}
		if took := time.Since(began); took > silentLimit {
			t.Errorf("refused after %s, want at most %s", took, silentLimit)
		}
	}
	// The link forwards nothing on the connections that were open, for good.
	link.Set(faulter.Behaviour{Mode: faulter.ModeCut})
	link.Set(faulter.Behaviour{Mode: faulter.ModePass})
	eventually(t, startTimeout, "the order done", func() bool {
		return post(d.daemons[0], "ledger", "silent", "").status == http.StatusOK
	})
	if n := d.runs("silent"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}
