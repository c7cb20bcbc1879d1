package verifier

import (
	"bytes"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/traffic/recorder"
)

// TestOrderOwnerKilled kills daemons that own orders. Another daemon must run an order that was not
// sent yet. For a sent one it must look up the result, or record it as unknown if the service offers
// no status look-up.
func TestOrderOwnerKilled(t *testing.T) {
	t.Parallel()
	d := newOrderCluster(t, 3, nil)
	queued := postOrder(d.daemons[0], "ledger", "queued", "respond-async")
	if queued.status != http.StatusAccepted {
		t.Fatalf("got status %d: %s (%v), want 202", queued.status, queued.body, queued.err)
	}
	d.daemons[0].signal(t, syscall.SIGKILL)
	<-d.daemons[0].done
	d.startAndAwaitService("desk-0", "--status", "--delay", "1s")
	d.awaitOrderState(queued.location, recorder.StateDone)
	looked := postInBackground(d.daemons[1], "desk", "looked-up", "")
	lost := postInBackground(d.daemons[1], "ledger", "lost", "")
	d.awaitRun("looked-up")
	d.awaitRun("lost")
	d.daemons[1].signal(t, syscall.SIGKILL)
	<-looked
	<-lost
	<-d.daemons[1].done
	for _, tc := range []struct {
		key, route string
		want       recorder.State
	}{
		{"queued", "ledger", recorder.StateDone},
		{"looked-up", "desk", recorder.StateDone},
		{"lost", "ledger", recorder.StateUnknown},
	} {
		d.awaitOrderState("/v1/orders/"+recorder.OrderID("dispatch", tc.route, tc.key), tc.want)
		if n := d.runCount(tc.key); n != 1 {
			t.Errorf("got %d runs of %s, want 1", n, tc.key)
		}
	}
}

func TestOrderSameKeyWhileRunning(t *testing.T) {
	d := newOrderCluster(t, 3, nil)
	d.startAndAwaitService("desk-0", "--delay", "500ms")
	var replies []<-chan orderReply
	for _, entry := range slices.Concat(d.daemons, d.daemons) {
		replies = append(replies, postInBackground(entry, "ledger", "same", ""))
	}
	first := <-replies[0]
	for i, c := range replies[1:] {
		r := <-c
		if r.status != http.StatusOK || !bytes.Equal(r.body, first.body) {
			t.Errorf("caller %d got status %d: %s, want the answer %s", i+1, r.status, r.body, first.body)
		}
	}
	if again := postOrder(d.daemons[2], "ledger", "same", ""); !bytes.Equal(again.body, first.body) {
		t.Errorf("got %s after the end, want %s", again.body, first.body)
	}
	header := http.Header{"Idempotency-Key": {"same"}}
	if got, b := sendRequest(t, http.MethodPost, "http://"+d.daemons[1].callerAddress+"/services/ledger/orders", []byte("other"), header); got != http.StatusUnprocessableEntity {
		t.Errorf("got status %d: %s for another body, want 422", got, b)
	}
	if n := d.runCount("same"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
	late := postOrder(d.daemons[0], "ledger", "late", "wait=0.1")
	if late.status != http.StatusAccepted {
		t.Errorf("got status %d: %s at the caller's deadline, want 202", late.status, late.body)
	}
	d.awaitOrderState(late.location, recorder.StateDone)
}

// TestOrderAnswerDuringStoreOutage makes the service answer while the store is unreachable. The
// caller must get the answer, and the record of the order must contain it after the outage.
func TestOrderAnswerDuringStoreOutage(t *testing.T) {
	d := newOrderCluster(t, 2, nil)
	d.startAndAwaitService("desk-0", "--delay", "1s")
	c := postInBackground(d.daemons[0], "ledger", "away", "")
	d.awaitRun("away")
	d.setPlatformFaults(keeper.Faults{Down: true})
	began := time.Now()
	refused := postOrder(d.daemons[1], "ledger", "fresh", "")
	if refused.status != http.StatusServiceUnavailable || !bytes.Contains(refused.body, []byte(`"not-run"`)) || !bytes.Contains(refused.body, []byte("retry_after")) {
		t.Errorf("got status %d: %s during the outage, want 503, not-run and retry_after", refused.status, refused.body)
	}
	r := <-c
	if r.status != http.StatusOK || !bytes.Contains(r.body, []byte(`"run":1`)) {
		t.Errorf("got status %d: %s, want the answer", r.status, r.body)
	}
	time.Sleep(time.Until(began.Add(3 * time.Second)))
	d.setPlatformFaults(keeper.Faults{})
	v := d.awaitOrderState(r.location, recorder.StateDone)
	if !bytes.Equal(v.Answer.Body, r.body) {
		t.Errorf("got recorded answer %s, want %s", v.Answer.Body, r.body)
	}
	if d.runCount("away") != 1 || d.runCount("fresh") != 0 {
		t.Errorf("got %d and %d runs, want 1 and 0", d.runCount("away"), d.runCount("fresh"))
	}
}

func TestOrderIdempotentRouteIsNotRecorded(t *testing.T) {
	d := newOrderCluster(t, 2, nil)
	first := d.startAndAwaitService("desk-0")
	d.startAndAwaitService("desk-1")
	for i := range 6 {
		if i == 3 {
			first.signal(t, syscall.SIGKILL)
			<-first.done
		}
		if r := postOrder(d.daemons[0], "quote", "", ""); r.status != http.StatusOK || r.location != "" {
			t.Errorf("call %d got status %d: %s, location %q, want 200 and no order", i, r.status, r.body, r.location)
		}
	}
	if got := d.storedOrderKeys(); len(got) != 0 {
		t.Errorf("got entries %v in the store, want none", got)
	}
	if r := postOrder(d.daemons[0], "ledger", "recorded", ""); r.status != http.StatusOK {
		t.Errorf("got status %d: %s, want 200", r.status, r.body)
	}
	if got := d.storedOrderKeys(); len(got) == 0 {
		t.Error("got no entries of a route that is not idempotent, want some")
	}
}

// TestOrderOwnerPaused pauses the owner of an order until another daemon has adopted and run it. When
// the old owner resumes, it must not send the order again.
func TestOrderOwnerPaused(t *testing.T) {
	t.Parallel()
	d := newOrderCluster(t, 2, nil)
	r := postOrder(d.daemons[0], "ledger", "paused", "respond-async")
	if r.status != http.StatusAccepted {
		t.Fatalf("got status %d: %s, want 202", r.status, r.body)
	}
	d.daemons[0].signal(t, syscall.SIGSTOP)
	_, addr := d.startService("desk-0", "portland")
	d.serviceAddresses = append(d.serviceAddresses, addr)
	location := "/v1/orders/" + recorder.OrderID("dispatch", "ledger", "paused")
	eventually(t, orderTimeout, "the order done at the other daemon", func() bool {
		v, err := readOrder(d.daemons[1], location)
		return err == nil && v.State == recorder.StateDone
	})
	d.daemons[0].signal(t, syscall.SIGCONT)
	d.awaitServiceState("desk-0", "alive")
	d.awaitOrderState(location, recorder.StateDone)
	time.Sleep(time.Second)
	if n := d.runCount("paused"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}

// TestOrderReclaims has the platform reclaim an endpoint and its entry daemon with notice at the same
// time, then a second daemon, with the store unreachable for 10 s in between. Every order must run
// exactly once.
func TestOrderReclaims(t *testing.T) {
	t.Parallel()
	d := newOrderCluster(t, 3, nil)
	d.startAndAwaitService("desk-0", "--delay", "1s")
	var all []string
	postAll := func(entry *daemon, keys ...string) {
		for _, key := range keys {
			d.postUntilAccepted(entry, "ledger", key)
			all = append(all, key)
		}
	}
	postAll(d.daemons[0], "run-0", "run-1")
	d.awaitRun("run-1")
	d.markServiceLeaving("desk-0", d.serviceAddresses[0])
	postAll(d.daemons[0], "queue-0", "queue-1")
	d.daemons[0].signal(t, syscall.SIGTERM)
	d.setPlatformFaults(keeper.Faults{Down: true})
	time.Sleep(10 * time.Second)
	d.setPlatformFaults(keeper.Faults{})
	postAll(d.daemons[1], "queue-2")
	d.daemons[1].signal(t, syscall.SIGTERM)
	for _, entry := range d.daemons[:2] {
		if code := entry.awaitExit(t); code != 0 {
			t.Errorf("%s: got exit code %d, want 0", entry.name, code)
		}
	}
	d.startAndAwaitService("desk-1")
	for _, key := range all {
		d.awaitOrderState("/v1/orders/"+recorder.OrderID("dispatch", "ledger", key), recorder.StateDone)
		if n := d.runCount(key); n != 1 {
			t.Errorf("got %d runs of %s, want 1", n, key)
		}
	}
}
