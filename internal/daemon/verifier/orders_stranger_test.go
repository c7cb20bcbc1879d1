package verifier

import (
	"net/http"
	"syscall"
	"testing"

	"pomelotiller/internal/traffic/recorder"
)

// TestOrderOwnerNeverMet kills a daemon that no other has ever heard of: its
// orders are found in the store.
func TestOrderOwnerNeverMet(t *testing.T) {
	t.Parallel()
	d := &desk{cluster: newCluster(t)}
	d.daemon("entry-portland", "portland", daemonOptions{})
	d.seeds = nil
	d.daemon("entry-worcester", "worcester", daemonOptions{})
	d.publish(d.daemons[0], testSet()+orderRoutes)
	d.awaitGeneration(1)
	r := post(d.daemons[0], "ledger", "alone", "respond-async")
	if r.status != http.StatusAccepted {
		t.Fatalf("got status %d: %s (%v), want 202", r.status, r.body, r.err)
	}
	d.daemons[0].signal(t, syscall.SIGKILL)
	<-d.daemons[0].done
	d.open("desk-0")
	d.awaitState(r.location, recorder.StateDone)
	if n := d.runs("alone"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}
