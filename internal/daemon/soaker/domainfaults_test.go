package soaker

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// domainFaultStream is the random stream from which the faults of failure domains are drawn. It is
	// separate, so that the other faults of a seed do not depend on it.
	domainFaultStream = 1 << 34
	// maxDomainFaultPause is the longest pause between the starts of two faults of domains beside other
	// faults.
	maxDomainFaultPause = 3 * time.Second
	// domainRecoveryTime is the time after a fault of a domain until requests are served as before:
	// coldStart and the steps in which daemons raise the rate afterwards. servedAgainTime is the time
	// after that over which answers are checked.
	domainRecoveryTime = coldStart + 3*time.Second
	servedAgainTime    = time.Second
)

// domainFaultKinds lists the kinds of faults of failure domains and of cold endpoints. Evacuations are
// picked twice as often as the others.
var domainFaultKinds = []struct {
	name   string
	inject func(w *testbed, p domainFaultChoice)
}{
	{"evacuation", evacuateDomain},
	{"evacuation", evacuateDomain},
	{"restore", restoreStore},
	{"outage", failDomain},
	{"cold again", makeEndpointCold},
}

// domainFaultChoice holds the parameters drawn at random for one fault of a domain.
type domainFaultChoice struct {
	domain   string
	duration time.Duration
	// variant selects one of several forms of the fault.
	variant int
}

// domainFaultState holds what the faults of domains need and what the invariants check.
type domainFaultState struct {
	rand *rand.Rand
	// areAlone is set in runs that inject no other faults.
	areAlone bool
	// otherFaultsEnded is closed once the other faults have ended.
	otherFaultsEnded chan struct{}

	// evacuationMu and outageMu are held during an evacuation and an outage, so that one domain remains.
	evacuationMu, outageMu *sync.Mutex
	// current is the evacuation in force. The testbed's operatorMu guards it and evacuations.
	current     *evacuation
	evacuations []*evacuation
	// quietSpans are the times after a fault in which all requests must be served.
	quietSpans []timeSpan
}

func newDomainFaultState(seed uint64) domainFaultState {
	s := domainFaultState{
		rand:             rand.New(rand.NewPCG(seed, domainFaultStream)),
		otherFaultsEnded: make(chan struct{}), evacuationMu: &sync.Mutex{}, outageMu: &sync.Mutex{},
	}
	s.areAlone = s.rand.IntN(3) == 0
	return s
}

// injectAllFaults injects faults of domains and, unless these are alone, all others for a time, and waits
// until the last has ended.
func (w *testbed) injectAllFaults(duration time.Duration) {
	var running sync.WaitGroup
	if w.domains.areAlone {
		close(w.domains.otherFaultsEnded)
		w.injectDomainFaultsAlone()
		return
	}
	running.Go(func() { w.injectDomainFaults(duration) })
	running.Go(func() { w.injectOperatorFaults(duration) })
	w.injectFaults(duration)
	close(w.domains.otherFaultsEnded)
	running.Wait()
}

// injectDomainFaults injects an evacuation, and then random faults of domains, which may overlap.
func (w *testbed) injectDomainFaults(duration time.Duration) {
	var running sync.WaitGroup
	kind := 0
	for end := time.Now().Add(duration); time.Now().Before(end); {
		running.Go(w.pickDomainFault(kind))
		kind = w.domains.rand.IntN(len(domainFaultKinds))
		time.Sleep(time.Duration(w.domains.rand.Int64N(int64(maxDomainFaultPause))))
	}
	running.Wait()
}

// injectDomainFaultsAlone injects all kinds of faults of domains one after the other, and lets the daemons
// recover after each.
func (w *testbed) injectDomainFaultsAlone() {
	for _, kind := range w.domains.rand.Perm(len(domainFaultKinds)) {
		w.pickDomainFault(kind)()
		time.Sleep(domainRecoveryTime)
		from := time.Now()
		time.Sleep(servedAgainTime)
		w.domains.quietSpans = append(w.domains.quietSpans, timeSpan{from, time.Now()})
	}
}

// pickDomainFault draws the parameters of a fault and returns a function that injects it.
func (w *testbed) pickDomainFault(kind int) (inject func()) {
	f, r := domainFaultKinds[kind], w.domains.rand
	p := domainFaultChoice{
		domain: domainName(r.IntN(domainCount)), duration: time.Second + time.Duration(r.Int64N(int64(3*time.Second))), variant: r.IntN(1000),
	}
	return func() {
		w.t.Logf("%s %s: domain %s, for %s, variant %d", time.Now().Format(timeFormat), f.name, p.domain, p.duration, p.variant)
		f.inject(w, p)
	}
}

// checkServedAgain checks that each daemon serves at least 90% of the requests that it gets after a fault
// of a domain and its recovery, in runs without other faults.
func checkServedAgain(w *testbed, h *history, reportViolation func(string, ...any)) {
	for _, s := range w.domains.quietSpans {
		served, asked := make(map[string]int), make(map[string]int)
		for _, r := range h.records {
			if r.from.Before(s.from) || r.from.After(s.to) || r.organisation != "open" || r.kind == "further" || r.bodyPause > 0 {
				continue
			}
			asked[r.daemon.name]++
			if r.answer.Status == http.StatusOK && r.answer.Err == nil {
				served[r.daemon.name]++
			}
		}
		for _, d := range w.daemons {
			if asked[d.name] == 0 || served[d.name]*10 < asked[d.name]*9 {
				reportViolation("daemon %s served %d of %d requests from %s on, want at least 90%%", d.name, served[d.name], asked[d.name], s.from.Format(timeFormat))
			}
		}
	}
}
