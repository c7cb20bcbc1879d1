package verifier

import (
	"net/http"
	"syscall"
	"testing"

	"pomelotiller/internal/traffic/recorder"
)

// TestOrderOwnerUnknownToPeers kills a daemon that no other daemon has ever received a message from.
// Another daemon must find its orders in the store and adopt them.
func TestOrderOwnerUnknownToPeers(t *testing.T) {
	t.Parallel()
	d := &orderCluster{cluster: newCluster(t)}
	d.startDaemon("entry-portland", "portland", settingsOverrides{})
	d.seeds = nil
	d.startDaemon("entry-worcester", "worcester", settingsOverrides{})
	d.publishConfig(d.daemons[0], testConfig()+orderRoutes)
	d.awaitGeneration(1)
	r := postOrder(d.daemons[0], "ledger", "alone", "respond-async")
	if r.status != http.StatusAccepted {
		t.Fatalf("got status %d: %s (%v), want 202", r.status, r.body, r.err)
	}
	d.daemons[0].signal(t, syscall.SIGKILL)
	<-d.daemons[0].done
	d.startAndAwaitService("desk-0")
	d.awaitOrderState(r.location, recorder.StateDone)
	if n := d.runCount("alone"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}
