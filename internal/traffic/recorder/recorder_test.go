package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/traffic/refuser"
)

const testKey = "key-1"

func submission(async bool) Submission {
	return Submission{
		Organisation: "granite", Route: "ledger", Key: testKey, Async: async,
		Request: Request{Method: "POST", Path: "/orders", Body: []byte("lamps")},
	}
}

// inFleet runs a test on a fleet in virtual time.
func inFleet(t *testing.T, f func(t *testing.T, fleet *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(nil)
		defer func() {
			for _, d := range fleet.daemons {
				fleet.stop(d)
			}
			synctest.Wait()
		}()
		f(t, fleet)
	})
}

func (f *fakeFleet) record(t *testing.T) Order {
	t.Helper()
	e, err := f.store.Get(t.Context(), KeyPrefix+OrderID("granite", "ledger", testKey))
	if err != nil {
		t.Fatal(err)
	}
	o, err := decode(e)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// The first write of an order is not settled. What the caller is told holds,
// whenever the write takes effect, and the same key can be used again.
func TestFirstWriteUnsettled(t *testing.T) {
	for _, tc := range []struct {
		name  string
		async bool
		set   func(*fakeStore)
		want  refuser.RunState
	}{
		{"dispatched, late", false, func(s *fakeStore) { s.delay = 1 }, refuser.NotRun},
		{"dispatched, answer lost", false, func(s *fakeStore) { s.lose = 1 }, refuser.NotRun},
		{"accepted, late", true, func(s *fakeStore) { s.delay = 1 }, refuser.Unknown},
		{"accepted, answer lost", true, func(s *fakeStore) { s.lose = 1 }, refuser.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				runner := f.daemons[0].runner
				f.services.set(tc.async)
				// The journal is written before; its writes succeed.
				runner.journal.store = newFakeStore()
				f.store.set(tc.set)
				_, err := runner.Submit(t.Context(), submission(tc.async))
				var refusal *refuser.Refusal
				if !errors.As(err, &refusal) || refusal.Run != tc.want || refusal.RetryAfter <= 0 {
					t.Fatalf("got error %v, want a refusal with run state %s and Retry-After", err, tc.want)
				}
				time.Sleep(2 * lateTime)
				f.services.set(false)
				time.Sleep(time.Minute)
				if o := f.record(t); o.State != StateRefused || f.services.runs[testKey] != 0 {
					t.Errorf("got order %s and %d runs, want refused and 0", o.State, f.services.runs[testKey])
				}
				o, err := runner.Submit(t.Context(), submission(false))
				if err != nil || o.State != StateDone || f.services.runs[testKey] != 1 {
					t.Errorf("got order %s (%v) and %d runs on another try, want done and 1", o.State, err, f.services.runs[testKey])
				}
			})
		})
	}
}

// A daemon whose first write of an order is not settled must leave alone what
// another daemon has recorded for the same attempt.
func TestUnsettledWriteOfOrderThatRuns(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.services.faults = []sendFault{sendSlow}
		first := make(chan Order, 1)
		go func() {
			o, err := f.daemons[0].runner.Submit(t.Context(), submission(false))
			if err != nil {
				t.Error(err)
			}
			first <- o
		}()
		time.Sleep(time.Second)
		f.store.set(func(s *fakeStore) { s.delay = 1 })
		if o, err := f.daemons[1].runner.Submit(t.Context(), submission(false)); err == nil {
			t.Errorf("got order %s while its write is not settled, want a refusal", o.State)
		}
		if o := <-first; o.State != StateDone {
			t.Errorf("got order %s, want done", o.State)
		}
		if o := f.record(t); o.State != StateDone || f.services.runs[testKey] != 1 {
			t.Errorf("got order %s and %d runs, want done and 1", o.State, f.services.runs[testKey])
		}
	})
}

// A write of a daemon that is lost takes effect after its orders were taken
// over: it must not bring an order to life that nobody looks after.
func TestLateWriteOfLostDaemon(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.store.set(func(s *fakeStore) { s.delay, s.late = 1, time.Minute })
		f.services.set(true)
		go func() {
			// The daemon is lost before its caller is told anything.
			_, _ = f.daemons[0].runner.Submit(context.Background(), submission(true))
		}()
		time.Sleep(3 * callTime)
		f.stop(f.daemons[0])
		time.Sleep(2 * time.Minute)
		if o := f.record(t); o.State != StateRefused {
			t.Errorf("got order %s, want refused", o.State)
		}
	})
}

// An owner that is paused during its dispatch write, until others have given
// the order up, sends nothing when it wakes up.
func TestOwnerPausedInDispatch(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		d := f.daemons[0]
		time.AfterFunc(3*callTime/2, func() {
			f.hush(d, true)
			wake := d.gate.pause()
			time.AfterFunc(10*time.Second, func() {
				wake()
				f.heard(d)
			})
		})
		_, err := d.runner.Submit(t.Context(), submission(false))
		if n := f.services.runs[testKey]; n != 0 {
			t.Errorf("got %d runs (%v), want 0", n, err)
		}
		time.Sleep(time.Minute)
		if o := f.record(t); o.State != StateUnknown {
			t.Errorf("got order %s, want unknown", o.State)
		}
	})
}

// A draining daemon leaves what is queued to another one at once, and what it
// cannot write while the store is away.
func TestDrainHandsOver(t *testing.T) {
	for _, tc := range []struct {
		name string
		// started says that the order runs when the drain begins.
		started bool
	}{{"queued", false}, {"answered while the store is away", true}} {
		t.Run(tc.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				f.services.faults = []sendFault{sendSlow}
				f.services.set(!tc.started)
				if _, err := f.daemons[0].runner.Submit(t.Context(), submission(true)); err != nil {
					t.Fatal(err)
				}
				f.store.set(func(s *fakeStore) { s.down = tc.started })
				f.drain(f.daemons[0])
				f.wg.Wait()
				f.services.set(false)
				f.store.set(func(s *fakeStore) { s.down = false })
				// Below the time after which the daemon counts as gone.
				time.Sleep(unheardTime / 2)
				if o := f.record(t); o.State != StateDone && tc.started || o.Owner == f.daemons[0].runner.cfg.Recorder.cfg.Owner && !tc.started {
					t.Errorf("got order %s owned by %s, want it with another daemon", o.State, o.Owner)
				}
			})
		})
	}
}

func TestDeadOwner(t *testing.T) {
	member := viewer.Member{Name: "entry-1", Boot: 7}
	for _, tc := range []struct {
		name    string
		members []viewer.Member
		after   time.Duration
		want    bool
	}{
		{"alive", []viewer.Member{member}, time.Hour, false},
		{"refuted a suspicion", []viewer.Member{{Name: "entry-1", Boot: 7, Incarnation: 9}}, time.Hour, false},
		{"just gone", []viewer.Member{{Name: "entry-1", Boot: 7, State: viewer.StateGone}}, goneTime / 2, false},
		{"gone", []viewer.Member{{Name: "entry-1", Boot: 7, State: viewer.StateGone}}, goneTime, true},
		{"started anew", []viewer.Member{{Name: "entry-1", Boot: 8}}, 0, true},
		{"never seen", nil, strangerTime / 2, false},
		{"not seen for long", nil, strangerTime, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := NewRunner(t.Context(), RunnerConfig{
				Recorder: New(Config{Owner: "entry-2/1"}), View: func() viewer.View { return viewer.View{}.WithMembers(tc.members) },
			})
			r.dead("entry-1/7")
			time.Sleep(tc.after)
			if got := r.dead("entry-1/7"); got != tc.want {
				t.Errorf("%s: got dead %t, want %t", tc.name, got, tc.want)
			}
		})
	}
}

func TestRecordFitsTheStore(t *testing.T) {
	const maxBody, keptAnswer = 256 << 10, 512 << 10
	o := Order{ID: "order", State: StateDispatched, Request: Request{Body: make([]byte, maxBody)}}
	rec := New(Config{})
	for _, tc := range []struct {
		name   string
		answer int
		want   bool
	}{
		{"kept", keptAnswer, false},
		{"omitted", maxAnswerBytes, true},
	} {
		s, err := rec.finish(o, Answer{Status: 200, Body: make([]byte, tc.answer)})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encodeRecord(s.Next)
		if err != nil || len(b) > MaxRecordBytes {
			t.Errorf("%s: got %d bytes (%v), want at most %d", tc.name, len(b), err, MaxRecordBytes)
		}
		if got := bytes.Contains(b, []byte(`"omitted":true`)); got != tc.want {
			t.Errorf("%s: got omitted %t, want %t", tc.name, got, tc.want)
		}
	}
	if b, err := encodeRecord(o); err != nil || len(b) > MaxRecordBytes {
		t.Errorf("got %d bytes (%v) before the answer, want at most %d", len(b), err, MaxRecordBytes)
	}
	o.Request.Path = string(make([]byte, MaxRecordBytes))
	var refusal *refuser.Refusal
	if _, err := encodeRecord(o); !errors.As(err, &refusal) || refusal.Run != refuser.NotRun {
		t.Errorf("got error %v for a record that is too large, want a refusal", err)
	}
}

// BenchmarkStoreWrites counts the store writes of an order, for callers that
// post one after another.
func BenchmarkStoreWrites(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFakeFleet(nil)
			runner := f.daemons[0].runner
			orders := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for n := range orders {
						s := submission(false)
						s.Key = fmt.Sprintf("%d-%d", b.N, n)
						if o, err := runner.Submit(context.Background(), s); err != nil || o.State != StateDone {
							b.Errorf("got order %s (%v), want done", o.State, err)
						}
					}
				})
			}
			for n := range b.N {
				orders <- n
			}
			close(orders)
			wg.Wait()
			f.store.set(func(s *fakeStore) {
				records, journals := float64(s.writes["orders"]), float64(s.writes["order-owners"])
				b.ReportMetric(records/float64(b.N), "records/order")
				b.ReportMetric(journals/float64(b.N), "journals/order")
				b.ReportMetric((records+journals)/float64(b.N), "writes/order")
			})
			for _, d := range f.daemons {
				f.stop(d)
			}
		})
	}
}

// An answer that turns up after the end of an order was given up is recorded.
func TestLateAnswerOfUnknownOrder(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.services.faults = []sendFault{sendCutBefore}
		runner := f.daemons[0].runner
		s := submission(false)
		s.Route = "desk"
		o, err := runner.Submit(t.Context(), s)
		if err != nil || o.State != StateUnknown {
			t.Fatalf("got order %s (%v), want unknown", o.State, err)
		}
		f.services.run(testKey, 0)
		again, err := f.daemons[1].runner.Submit(t.Context(), s)
		read, readErr := runner.Read(t.Context(), o.ID)
		for _, o := range []Order{again, read} {
			if o.State != StateDone || string(o.Answer.Body) != testKey+" run 1" {
				t.Errorf("got order %s (%v, %v), want done with the answer", o.State, err, readErr)
			}
		}
	})
}

// While the store is away, an order that a daemon may have run is not refused as
// not run by another one, and nobody is held up for long.
func TestRefusalsWhileStoreIsAway(t *testing.T) {
	const atOnce = 10 * time.Millisecond
	for _, tc := range []struct {
		name   string
		set    func(*fakeStore)
		key    string
		daemon int
		paused bool
		want   refuser.RunState
		limit  time.Duration
	}{
		{"fresh key", func(s *fakeStore) { s.down = true }, "fresh", 1, false, refuser.NotRun, atOnce},
		{"key that ran here", func(s *fakeStore) { s.down = true }, testKey, 0, false, refuser.Unknown, atOnce},
		{"key that ran elsewhere", func(s *fakeStore) { s.down = true }, testKey, 1, false, refuser.Unknown, atOnce},
		{"daemon does not answer", func(s *fakeStore) { s.down = true }, "fresh", 1, true, refuser.Unknown, witnessTimeout + atOnce},
		{"silent store", func(s *fakeStore) { s.silent = true }, "fresh", 1, false, refuser.NotRun, recordTimeout + atOnce},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				if o, err := f.daemons[0].runner.Submit(t.Context(), submission(false)); err != nil || o.State != StateDone {
					t.Fatalf("got order %s (%v), want done", o.State, err)
				}
				f.store.set(tc.set)
				if tc.paused {
					defer f.daemons[0].gate.pause()()
				}
				s := submission(false)
				s.Key = tc.key
				began := time.Now()
				for i, limit := range []time.Duration{tc.limit, min(tc.limit, witnessTimeout+atOnce)} {
					_, err := f.daemons[tc.daemon].runner.Submit(t.Context(), s)
					var refusal *refuser.Refusal
					if !errors.As(err, &refusal) || refusal.Run != tc.want {
						t.Errorf("try %d: got error %v, want a refusal with run state %s", i, err, tc.want)
					}
					if got := time.Since(began); got > limit {
						t.Errorf("try %d: refused after %s, want at most %s", i, got, limit)
					}
					began = time.Now()
				}
			})
		})
	}
}

// Ended orders go with the lease that they share; a lease that is gone is
// replaced.
func TestRetention(t *testing.T) {
	srv := httptest.NewServer(keeper.New().Handler())
	defer srv.Close()
	store := storer.NewClient(storer.ClientConfig{Address: srv.Listener.Addr().String()})
	rec := New(Config{Store: store, Owner: "entry-1/1"})
	refuse := func(key string) Step {
		o := rec.newOrder(Submission{Route: "ledger", Key: key}, time.Minute)
		s, err := rec.step(o, triggerRefuse, nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first, second := refuse("first"), refuse("second")
	if _, err := rec.Apply(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	if err := store.Revoke(t.Context(), rec.lease); err != nil {
		t.Fatal(err)
	}
	if _, err := rec.Get(t.Context(), first.Next.ID); !errors.Is(err, storer.ErrNotFound) {
		t.Errorf("got error %v for an order whose lease is gone, want %v", err, storer.ErrNotFound)
	}
	if _, err := rec.Apply(t.Context(), second); !errors.Is(err, storer.ErrLeaseLapsed) {
		t.Errorf("got error %v, want %v", err, storer.ErrLeaseLapsed)
	}
	if o, err := rec.Apply(t.Context(), second); err != nil || o.State != StateRefused {
		t.Errorf("got order %s (%v) on another try, want refused", o.State, err)
	}
}
