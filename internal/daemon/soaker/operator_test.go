package soaker

import (
	"math/rand/v2"
	"time"
)

const (
	// operatorStream is the random stream of the operator's orders and of deleted entries.
	operatorStream = 1 << 34
	// orderTime is the time limit of an order. It is longer than a run, so that a daemon which takes
	// all releases for unproved until then still refuses requests at the end.
	orderTime = time.Minute
	// entryReturnTime is the time within which a daemon writes its entry among the members again.
	entryReturnTime = 12 * time.Second
	// entryPollPeriod is the time between two looks at the entries.
	entryPollPeriod = 200 * time.Millisecond
)

// injectOperatorFaults deletes the entry of a daemon among the members, and later orders for each service
// the release that all its endpoints run.
func (w *testbed) injectOperatorFaults(duration time.Duration) {
	r := rand.New(rand.NewPCG(w.seed, operatorStream))
	time.Sleep(time.Duration(r.Int64N(int64(duration / 2))))
	d := w.daemons[r.IntN(len(w.daemons))]
	w.t.Logf("%s entry of %s deleted", time.Now().Format(timeFormat), d.name)
	w.changeStore(func() { w.platform.Remove(entryKey(d)) })
	time.Sleep(time.Duration(r.Int64N(int64(duration / 2))))
	for _, service := range []string{"desk", "pool"} {
		w.t.Logf("%s release in force of %s ordered", time.Now().Format(timeFormat), service)
		w.changeStore(func() { w.platform.OrderMove(service, "v1", orderTime) })
	}
}

// changeStore changes the store in the role of the operator.
func (w *testbed) changeStore(change func()) {
	w.operatorMu.Lock()
	defer w.operatorMu.Unlock()
	change()
}

func entryKey(d *daemon) string { return "fleet/members/" + d.name }

// checkEntries checks that each daemon, all of which live at the end, has an entry among the members.
func (w *testbed) checkEntries() {
	w.t.Helper()
	for _, d := range w.daemons {
		present := false
		for end := time.Now().Add(entryReturnTime); !present && time.Now().Before(end); time.Sleep(entryPollPeriod) {
			_, present = w.platform.Get(entryKey(d))
		}
		if !present {
			w.t.Errorf("seed %d: got no entry of daemon %s among the members, want it written again", w.seed, d.name)
		}
	}
}
