package soaker

import (
	"slices"
	"syscall"
	"time"

	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/standin/steward"
)

// faultKind is one kind of fault. One with a duration runs concurrently with other faults; the others
// end at once. The weight sets how often a kind is picked.
type faultKind struct {
	name        string
	weight      int
	hasDuration bool
	inject      func(w *testbed, p faultChoice)
}

// faultChoice holds the parameters drawn at random for one fault.
type faultChoice struct {
	daemon   *daemon
	endpoint *endpoint
	// duration applies only to faults with a duration.
	duration time.Duration
	// variant selects one of several forms of the fault.
	variant int
}

// faultKinds lists all kinds of faults.
var faultKinds = []faultKind{
	{"kill", 2, true, killDaemon},
	{"stop", 3, true, stopDaemon},
	{"pause", 3, true, pauseDaemon},
	{"reload", 2, false, func(w *testbed, p faultChoice) { w.sendSignal(p.daemon, syscall.SIGHUP) }},
	{"store link", 3, true, func(w *testbed, p faultChoice) { w.breakLink(p, storeLinkBehaviours, p.daemon.store, p.daemon) }},
	{"peer link", 3, true, breakPeerLink},
	{"store", 2, true, breakStore},
	{"endpoint link", 3, true, breakEndpointLink},
	{"answers", 6, false, failAnswers},
	{"leaving", 2, false, replaceEndpoint},
	{"configuration", 3, false, func(w *testbed, p faultChoice) { w.publishConfig(p.variant%2 == 0) }},
}

// answerFaults are the faults that an endpoint may inject into a single answer.
var answerFaults = []responder.Fault{
	responder.FaultRefuse, responder.FaultError, responder.FaultReset, responder.FaultNoAnswer, responder.FaultCut, responder.FaultForeign,
	responder.FaultExtra, responder.FaultUnframed, responder.FaultUnframedReset, responder.FaultSplit, responder.FaultStalledRefusal,
	responder.FaultHeadCut, responder.FaultEarly, responder.FaultReject, responder.FaultOddStatus, responder.FaultOddName,
}

// streamFaults are the further faults that an endpoint may inject into a single stream.
var streamFaults = []responder.Fault{
	responder.FaultUnframedCut, responder.FaultUnframedEmpty, responder.FaultOtherAnswer, responder.FaultErrorInside, responder.FaultWrongLength,
	responder.FaultRestart, responder.FaultSkip, responder.FaultTrickle,
}

// failedAnswersInRow is the number of consecutive answers that fail in one of three variants of the fault
// "answers", so that retries reach their budget.
const failedAnswersInRow = 60

// failAnswers makes one answer of an endpoint fail, or failedAnswersInRow answers.
func failAnswers(_ *testbed, p faultChoice) {
	n := 1
	if p.variant%3 == 0 {
		n = failedAnswersInRow
	}
	faults := answerFaults
	if p.endpoint.service == "pool" {
		faults = slices.Concat(answerFaults, streamFaults)
	}
	fault := faults[p.variant%len(faults)]
	if fault == responder.FaultError && p.variant/len(faults)%2 == 1 {
		// Kept seeds play their other faults as before.
		fault = responder.FaultFalsePromise
	}
	p.endpoint.QueueFaults(slices.Repeat([]responder.Fault{fault}, n)...)
}

// linkBehaviours are the faults of TCP links.
var linkBehaviours = []faulter.Behaviour{
	{Mode: faulter.ModeCut},
	{Mode: faulter.ModeBlackhole},
	{Mode: faulter.ModeStalled},
	{Mode: faulter.ModePass, Delay: 150 * time.Millisecond},
	{Mode: faulter.ModeReset, Bytes: 400, Count: 3},
}

// storeLinkBehaviours adds truncation to linkBehaviours. Links of endpoints must not truncate: an answer
// without a length would look complete.
var storeLinkBehaviours = slices.Concat(linkBehaviours, []faulter.Behaviour{{Mode: faulter.ModeTruncate, Bytes: 300, Count: 3}})

// pickFault draws the next fault and its parameters at random.
func (w *testbed) pickFault() (faultKind, faultChoice) {
	endpoints := slices.DeleteFunc(w.currentEndpoints(), (*endpoint).hasEnded)
	total := 0
	for _, f := range faultKinds {
		total += f.weight
	}
	n := w.rand.IntN(total)
	f := faultKinds[slices.IndexFunc(faultKinds, func(f faultKind) bool { n -= f.weight; return n < 0 })]
	return f, faultChoice{
		daemon: w.daemons[w.rand.IntN(len(w.daemons))], endpoint: endpoints[w.rand.IntN(len(endpoints))],
		duration: 200*time.Millisecond + time.Duration(w.rand.Int64N(int64(4*time.Second))), variant: w.rand.IntN(1000),
	}
}

// sendSignal sends a signal to the daemon's process, unless the process has ended.
func (w *testbed) sendSignal(d *daemon, s syscall.Signal) {
	cmd, done := d.process()
	select {
	case <-done:
	default:
		// Signal fails if the process ends after the check.
		_ = cmd.Process.Signal(s)
	}
}

// killDaemon kills a daemon's process without a warning and starts it again.
func killDaemon(w *testbed, p faultChoice) {
	if !p.daemon.processMu.TryLock() {
		return
	}
	defer p.daemon.processMu.Unlock()
	over, restarted := p.daemon.recordHalt(), p.daemon.recordFailure()
	w.sendSignal(p.daemon, syscall.SIGKILL)
	w.restart(p.daemon)
	restarted()
	over()
}

// stopDaemon stops a daemon gracefully and starts it again. In one of four variants it kills the process
// before the stop has ended.
func stopDaemon(w *testbed, p faultChoice) {
	d := p.daemon
	if !d.processMu.TryLock() {
		return
	}
	defer d.processMu.Unlock()
	d.mu.Lock()
	d.stopTimes = append(d.stopTimes, time.Now())
	d.mu.Unlock()
	w.sendSignal(d, syscall.SIGTERM)
	// The daemon still accepts the requests that arrive within its time to accept after the signal.
	time.Sleep(d.acceptTime())
	over := d.recordHalt()
	if p.variant%4 == 0 {
		time.Sleep(p.duration)
		defer d.recordFailure()()
		w.sendSignal(d, syscall.SIGKILL)
	}
	cmd, done := d.process()
	select {
	case <-done:
	case <-time.After(d.grace + stopSlack):
		w.t.Errorf("daemon %s: the graceful stop did not end within %s", d.name, d.grace+stopSlack)
		w.sendSignal(d, syscall.SIGKILL)
	}
	w.restart(d)
	// ExitCode is -1 for a process that a signal ended.
	if code := cmd.ProcessState.ExitCode(); code > 0 {
		w.t.Errorf("daemon %s: got exit code %d from a graceful stop, want 0", d.name, code)
	}
	over()
}

// restart waits until the process of a daemon ends, and starts it again.
func (w *testbed) restart(d *daemon) {
	_, done := d.process()
	<-done
	time.Sleep(restartDelay)
	w.startDaemon(d)
	w.awaitReady(d)
}

// pauseDaemon suspends the process of a daemon for a time.
func pauseDaemon(w *testbed, p faultChoice) {
	over, resumed := p.daemon.recordHalt(), p.daemon.recordFailure()
	w.sendSignal(p.daemon, syscall.SIGSTOP)
	time.Sleep(p.duration)
	w.sendSignal(p.daemon, syscall.SIGCONT)
	resumed()
	over()
}

// breakPeerLink drops, loses or delays the datagrams that other daemons send to a daemon.
func breakPeerLink(_ *testbed, p faultChoice) {
	over := p.daemon.recordDisturbance()
	p.daemon.peers.Set([]faulter.Behaviour{
		{Mode: faulter.ModeBlackhole}, {Mode: faulter.ModePass, Loss: 0.3}, {Mode: faulter.ModePass, Delay: 200 * time.Millisecond},
	}[p.variant%3])
	time.Sleep(p.duration)
	p.daemon.peers.Set(faulter.Behaviour{Mode: faulter.ModePass})
	over()
}

// breakStore compacts the store, or injects a fault of the store that affects all daemons.
func breakStore(w *testbed, p faultChoice) {
	if p.variant%4 == 0 {
		w.platform.Compact()
		return
	}
	var over []func()
	for _, d := range w.daemons {
		over = append(over, d.recordDisturbance())
	}
	w.platform.SetFault([]steward.Fault{steward.FaultBusy, steward.FaultNoAnswer, steward.FaultLoseAnswer}[p.variant%4-1])
	time.Sleep(p.duration)
	w.platform.SetFault(steward.FaultNone)
	for _, f := range over {
		f()
	}
}

// breakLink injects one of several faults into a link and records a disturbance of the given daemons
// while it lasts.
func (w *testbed) breakLink(p faultChoice, forms []faulter.Behaviour, l *faulter.Link, disturbed ...*daemon) {
	var over []func()
	for _, d := range disturbed {
		over = append(over, d.recordDisturbance())
	}
	l.Set(forms[p.variant%len(forms)])
	time.Sleep(p.duration)
	l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	for _, f := range over {
		f()
	}
}

// breakEndpointLink injects a fault into the link to an endpoint.
func breakEndpointLink(w *testbed, p faultChoice) {
	defer p.endpoint.recordLinkFault()()
	w.breakLink(p, linkBehaviours, p.endpoint.link)
}

// replaceEndpoint adds an endpoint and announces that the chosen one of the same service leaves.
func replaceEndpoint(w *testbed, p faultChoice) {
	if !p.endpoint.isServing() {
		return
	}
	w.addEndpoint(p.endpoint.service, p.endpoint.domain, w.rand.Uint64(), coldStart)
	p.endpoint.mu.Lock()
	p.endpoint.leavingSince = time.Now()
	p.endpoint.mu.Unlock()
	w.announce(p.endpoint)
}
