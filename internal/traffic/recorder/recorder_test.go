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

func testSubmission(async bool) Submission {
	return Submission{
		Organisation: "granite", Route: "ledger", Key: testKey, Async: async,
		Request: Request{Method: "POST", Path: "/orders", Body: []byte("lamps")},
	}
}

// runInFleet runs a test with a fakeFleet in virtual time.
func runInFleet(t *testing.T, f func(t *testing.T, fleet *fakeFleet)) {
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

func (f *fakeFleet) readRecord(t *testing.T) Order {
	t.Helper()
	e, err := f.store.Get(t.Context(), KeyPrefix+OrderID("granite", "ledger", testKey))
	if err != nil {
		t.Fatal(err)
	}
	o, err := decodeRecord(e)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// The result of an order's first write is unknown: its answer is lost, or it takes effect late. The
// reply to the caller must stay true in both cases, and the key must be usable again.
func TestUnresolvedFirstWrite(t *testing.T) {
	for _, tc := range []struct {
		name      string
		async     bool
		setFaults func(*fakeStore)
		want      refuser.RunState
	}{
		{"dispatched, late", false, func(s *fakeStore) { s.writesToDelay = 1 }, refuser.NotRun},
		{"dispatched, answer lost", false, func(s *fakeStore) { s.answersToLose = 1 }, refuser.NotRun},
		{"accepted, late", true, func(s *fakeStore) { s.writesToDelay = 1 }, refuser.Unknown},
		{"accepted, answer lost", true, func(s *fakeStore) { s.answersToLose = 1 }, refuser.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, f *fakeFleet) {
				runner := f.daemons[0].runner
				f.services.setUnavailable(tc.async)
				// The journal uses a store of its own, so that the fault hits the write of the
				// record.
				runner.journal.store = newFakeStore()
				f.store.setFaults(tc.setFaults)
				_, err := runner.Submit(t.Context(), testSubmission(tc.async))
				var refusal *refuser.Refusal
				if !errors.As(err, &refusal) || refusal.Run != tc.want || refusal.RetryAfter <= 0 {
					t.Fatalf("got error %v, want a refusal with run state %s and Retry-After", err, tc.want)
				}
				time.Sleep(2 * defaultWriteDelay)
				f.services.setUnavailable(false)
				time.Sleep(time.Minute)
				if o := f.readRecord(t); o.State != StateRefused || f.services.runs[testKey] != 0 {
					t.Errorf("got order %s and %d runs, want refused and 0", o.State, f.services.runs[testKey])
				}
				o, err := runner.Submit(t.Context(), testSubmission(false))
				if err != nil || o.State != StateDone || f.services.runs[testKey] != 1 {
					t.Errorf("got order %s (%v) and %d runs on another try, want done and 1", o.State, err, f.services.runs[testKey])
				}
			})
		})
	}
}

// A daemon whose first write of an order has an unknown result must not change what another daemon
// has recorded for the same order and attempt.
func TestUnresolvedWriteOfRunningOrder(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fakeFleet) {
		f.services.faults = []sendFault{sendSlow}
		first := make(chan Order, 1)
		go func() {
			o, err := f.daemons[0].runner.Submit(t.Context(), testSubmission(false))
			if err != nil {
				t.Error(err)
			}
			first <- o
		}()
		time.Sleep(time.Second)
		f.store.setFaults(func(s *fakeStore) { s.writesToDelay = 1 })
		if o, err := f.daemons[1].runner.Submit(t.Context(), testSubmission(false)); err == nil {
			t.Errorf("got order %s while its write is unresolved, want a refusal", o.State)
		}
		if o := <-first; o.State != StateDone {
			t.Errorf("got order %s, want done", o.State)
		}
		if o := f.readRecord(t); o.State != StateDone || f.services.runs[testKey] != 1 {
			t.Errorf("got order %s and %d runs, want done and 1", o.State, f.services.runs[testKey])
		}
	})
}

// A write of a lost daemon takes effect after its orders were taken over. It must not create an
// order that no daemon processes.
func TestLateWriteOfLostDaemon(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fakeFleet) {
		f.store.setFaults(func(s *fakeStore) { s.writesToDelay, s.writeDelay = 1, time.Minute })
		f.services.setUnavailable(true)
		go func() {
			// The result is ignored: the daemon is lost before it replies.
			_, _ = f.daemons[0].runner.Submit(context.Background(), testSubmission(true))
		}()
		time.Sleep(3 * callLatency)
		f.stop(f.daemons[0])
		time.Sleep(2 * time.Minute)
		if o := f.readRecord(t); o.State != StateRefused {
			t.Errorf("got order %s, want refused", o.State)
		}
	})
}

// An owner that is paused during its dispatch write, until other daemons have taken over the order,
// must not send the order when it resumes.
func TestOwnerPausedInDispatch(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fakeFleet) {
		d := f.daemons[0]
		time.AfterFunc(3*callLatency/2, func() {
			f.setUnreachable(d, true)
			wake := d.processGate.pause()
			time.AfterFunc(10*time.Second, func() {
				wake()
				f.setReachable(d)
			})
		})
		_, err := d.runner.Submit(t.Context(), testSubmission(false))
		if n := f.services.runs[testKey]; n != 0 {
			t.Errorf("got %d runs (%v), want 0", n, err)
		}
		time.Sleep(time.Minute)
		if o := f.readRecord(t); o.State != StateUnknown {
			t.Errorf("got order %s, want unknown", o.State)
		}
	})
}

// A draining daemon hands over its queued orders immediately, and also the results that it cannot
// write while the store is unavailable.
func TestDrainHandsOver(t *testing.T) {
	for _, tc := range []struct {
		name string
		// started means that the order is running when the drain begins.
		started bool
	}{{"queued", false}, {"answered while the store is away", true}} {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, f *fakeFleet) {
				f.services.faults = []sendFault{sendSlow}
				f.services.setUnavailable(!tc.started)
				if _, err := f.daemons[0].runner.Submit(t.Context(), testSubmission(true)); err != nil {
					t.Fatal(err)
				}
				f.store.setFaults(func(s *fakeStore) { s.unavailable = tc.started })
				f.drain(f.daemons[0])
				f.wg.Wait()
				f.services.setUnavailable(false)
				f.store.setFaults(func(s *fakeStore) { s.unavailable = false })
				// The wait is too short for the drained daemon to be considered gone, so only a
				// handover can pass on the order.
				time.Sleep(failureDetectionTime / 2)
				if o := f.readRecord(t); o.State != StateDone && tc.started || o.Owner == f.daemons[0].runner.cfg.Recorder.cfg.Owner && !tc.started {
					t.Errorf("got order %s owned by %s, want it with another daemon", o.State, o.Owner)
				}
			})
		})
	}
}

func TestIsOwnerGone(t *testing.T) {
	member := viewer.Member{Name: "entry-1", Boot: 7}
	for _, tc := range []struct {
		name    string
		members []viewer.Member
		after   time.Duration
		want    bool
	}{
		{"alive", []viewer.Member{member}, time.Hour, false},
		{"refuted a suspicion", []viewer.Member{{Name: "entry-1", Boot: 7, Incarnation: 9}}, time.Hour, false},
		{"just gone", []viewer.Member{{Name: "entry-1", Boot: 7, State: viewer.StateGone}}, goneGracePeriod / 2, false},
		{"gone", []viewer.Member{{Name: "entry-1", Boot: 7, State: viewer.StateGone}}, goneGracePeriod, true},
		{"started anew", []viewer.Member{{Name: "entry-1", Boot: 8}}, 0, true},
		{"never seen", nil, unknownOwnerGracePeriod / 2, false},
		{"not seen for long", nil, unknownOwnerGracePeriod, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := NewRunner(t.Context(), RunnerConfig{
				Recorder: New(Config{Owner: "entry-2/1"}), View: func() viewer.View { return viewer.View{}.WithMembers(tc.members) },
			})
			r.isOwnerGone("entry-1/7")
			time.Sleep(tc.after)
			if got := r.isOwnerGone("entry-1/7"); got != tc.want {
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
		s, err := rec.finishStep(o, Answer{Status: 200, Body: make([]byte, tc.answer)})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encodeRecord(s.NextOrder)
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

// BenchmarkStoreWrites measures the number of store writes for each order with a number of
// concurrent callers that submit one order after another.
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
						s := testSubmission(false)
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
			f.store.setFaults(func(s *fakeStore) {
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

// An answer that becomes available after an order has ended as unknown is recorded.
func TestLateAnswerOfUnknownOrder(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fakeFleet) {
		f.services.faults = []sendFault{sendCutBeforeRun}
		runner := f.daemons[0].runner
		s := testSubmission(false)
		s.Route = "desk"
		o, err := runner.Submit(t.Context(), s)
		if err != nil || o.State != StateUnknown {
			t.Fatalf("got order %s (%v), want unknown", o.State, err)
		}
		f.services.runOrder(testKey, 0)
		again, err := f.daemons[1].runner.Submit(t.Context(), s)
		read, readErr := runner.ReadOrder(t.Context(), o.ID)
		for _, o := range []Order{again, read} {
			if o.State != StateDone || string(o.Answer.Body) != testKey+" run 1" {
				t.Errorf("got order %s (%v, %v), want done with the answer", o.State, err, readErr)
			}
		}
	})
}

// While the store is unavailable, no daemon refuses an order as not run that another daemon may
// have run, and each refusal is quick.
func TestRefusalsWhileStoreIsUnavailable(t *testing.T) {
	const atOnce = 10 * time.Millisecond
	for _, tc := range []struct {
		name      string
		setFaults func(*fakeStore)
		key       string
		daemon    int
		paused    bool
		want      refuser.RunState
		limit     time.Duration
	}{
		{"fresh key", func(s *fakeStore) { s.unavailable = true }, "fresh", 1, false, refuser.NotRun, atOnce},
		{"key that ran here", func(s *fakeStore) { s.unavailable = true }, testKey, 0, false, refuser.Unknown, atOnce},
		{"key that ran elsewhere", func(s *fakeStore) { s.unavailable = true }, testKey, 1, false, refuser.Unknown, atOnce},
		{"daemon does not answer", func(s *fakeStore) { s.unavailable = true }, "fresh", 1, true, refuser.Unknown, seenQueryTimeout + atOnce},
		{"silent store", func(s *fakeStore) { s.hangs = true }, "fresh", 1, false, refuser.NotRun, recordTimeout + atOnce},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, f *fakeFleet) {
				if o, err := f.daemons[0].runner.Submit(t.Context(), testSubmission(false)); err != nil || o.State != StateDone {
					t.Fatalf("got order %s (%v), want done", o.State, err)
				}
				f.store.setFaults(tc.setFaults)
				if tc.paused {
					defer f.daemons[0].processGate.pause()()
				}
				s := testSubmission(false)
				s.Key = tc.key
				began := time.Now()
				for i, limit := range []time.Duration{tc.limit, min(tc.limit, seenQueryTimeout+atOnce)} {
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

// Ended orders expire with the lease that they share, and a lapsed lease is replaced.
func TestRetention(t *testing.T) {
	srv := httptest.NewServer(keeper.New().Handler())
	defer srv.Close()
	store := storer.NewClient(storer.ClientConfig{Address: srv.Listener.Addr().String()})
	rec := New(Config{Store: store, Owner: "entry-1/1"})
	refuse := func(key string) Step {
		o := rec.newOrder(Submission{Route: "ledger", Key: key}, time.Minute)
		s, err := rec.newStep(o, triggerRefuse, nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first, second := refuse("first"), refuse("second")
	if _, err := rec.ApplyStep(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	if err := store.Revoke(t.Context(), rec.leaseID); err != nil {
		t.Fatal(err)
	}
	if _, err := rec.Get(t.Context(), first.NextOrder.ID); !errors.Is(err, storer.ErrNotFound) {
		t.Errorf("got error %v for an order whose lease is gone, want %v", err, storer.ErrNotFound)
	}
	if _, err := rec.ApplyStep(t.Context(), second); !errors.Is(err, storer.ErrLeaseLapsed) {
		t.Errorf("got error %v, want %v", err, storer.ErrLeaseLapsed)
	}
	if o, err := rec.ApplyStep(t.Context(), second); err != nil || o.State != StateRefused {
		t.Errorf("got order %s (%v) on another try, want refused", o.State, err)
	}
}
