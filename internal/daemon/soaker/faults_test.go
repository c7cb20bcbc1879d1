package soaker

import (
	"slices"
	"syscall"
	"time"

	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/standin/steward"
)

// fault is one kind of fault. Those that last run beside others; the rest are
// over at once.
type fault struct {
	name   string
	weight int
	lasts  bool
	inject func(w *world, p pick)
}

// pick is what chance chose for one fault, before it runs.
type pick struct {
	daemon   *daemon
	endpoint *endpoint
	// long is how long the fault lasts.
	long time.Duration
	// variant chooses among the forms of a fault.
	variant int
}

// faults is the table of all kinds of faults.
var faults = []fault{
	{"kill", 2, true, killDaemon},
	{"stop", 3, true, stopDaemon},
	{"pause", 3, true, pauseDaemon},
	{"reload", 2, false, func(w *world, p pick) { w.signal(p.daemon, syscall.SIGHUP) }},
	{"store link", 3, true, func(w *world, p pick) { w.breakLink(p, storeLinkFaults, p.daemon.store, p.daemon) }},
	{"peer link", 3, true, breakPeerLink},
	{"store", 2, true, breakStore},
	{"endpoint link", 3, true, func(w *world, p pick) { w.breakLink(p, linkFaults, p.endpoint.link) }},
	{"answers", 6, false, failAnswers},
	{"leaving", 2, false, replaceEndpoint},
	{"configuration", 3, false, func(w *world, p pick) { w.configure(p.variant%2 == 0) }},
}

// answerFaults are those of single answers.
var answerFaults = []responder.Fault{
	responder.FaultFull, responder.FaultError, responder.FaultReset, responder.FaultMute, responder.FaultCut, responder.FaultForeign,
	responder.FaultExtra, responder.FaultUnframed, responder.FaultUnframedReset, responder.FaultSplit,
}

// manyAnswers is how many answers in a row fail now and then, so that retries
// press on their budget.
const manyAnswers = 60

// failAnswers makes one answer of an endpoint fail, or many in a row.
func failAnswers(_ *world, p pick) {
	n := 1
	if p.variant%3 == 0 {
		n = manyAnswers
	}
	p.endpoint.Fail(slices.Repeat([]responder.Fault{answerFaults[p.variant%len(answerFaults)]}, n)...)
}

// linkFaults are those of TCP links.
var linkFaults = []faulter.Behaviour{
	{Mode: faulter.ModeCut},
	{Mode: faulter.ModeBlackhole},
	{Mode: faulter.ModeSilent},
	{Mode: faulter.ModePass, Delay: 150 * time.Millisecond},
	{Mode: faulter.ModeReset, Bytes: 400, Count: 3},
}

// storeLinkFaults has truncation besides: an endpoint's answer without a length
// would look whole.
var storeLinkFaults = slices.Concat(linkFaults, []faulter.Behaviour{{Mode: faulter.ModeTruncate, Bytes: 300, Count: 3}})

// next returns the next fault and what it is about.
func (w *world) next() (fault, pick) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := w.rand.IntN(total)
	f := faults[slices.IndexFunc(faults, func(f fault) bool { n -= f.weight; return n < 0 })]
	return f, pick{
		daemon: w.daemons[w.rand.IntN(len(w.daemons))], endpoint: w.endpoints[w.rand.IntN(len(w.endpoints))],
		long: 200*time.Millisecond + time.Duration(w.rand.Int64N(int64(4*time.Second))), variant: w.rand.IntN(1000),
	}
}

// signal sends a signal to the daemon's process; one that has ended takes none.
func (w *world) signal(d *daemon, s syscall.Signal) {
	cmd, done := d.process()
	select {
	case <-done:
	default:
		// It may end this moment.
		_ = cmd.Process.Signal(s)
	}
}

// killDaemon kills a daemon's process and starts it again.
func killDaemon(w *world, p pick) {
	if !p.daemon.life.TryLock() {
		return
	}
	defer p.daemon.life.Unlock()
	over := p.daemon.halt()
	w.signal(p.daemon, syscall.SIGKILL)
	w.restart(p.daemon)
	over()
}

// stopDaemon stops a daemon as planned and starts it again. Now and then it is
// killed before it has ended.
func stopDaemon(w *world, p pick) {
	d := p.daemon
	if !d.life.TryLock() {
		return
	}
	defer d.life.Unlock()
	d.mu.Lock()
	d.stops = append(d.stops, time.Now())
	d.mu.Unlock()
	w.signal(d, syscall.SIGTERM)
	// Callers that are on their way still come for a while.
	time.Sleep(takeTime)
	over := d.halt()
	if p.variant%4 == 0 {
		time.Sleep(p.long)
		w.signal(d, syscall.SIGKILL)
	}
	cmd, done := d.process()
	select {
	case <-done:
	case <-time.After(grace + stopSlack):
		w.t.Errorf("daemon %s: a planned stop has not ended after %s", d.name, grace+stopSlack)
		w.signal(d, syscall.SIGKILL)
	}
	w.restart(d)
	// A process that a signal ended has no exit code.
	if code := cmd.ProcessState.ExitCode(); code > 0 {
		w.t.Errorf("daemon %s: got exit code %d from a planned stop, want 0", d.name, code)
	}
	over()
}

// restart waits for the end of a daemon's process and starts it again.
func (w *world) restart(d *daemon) {
	_, done := d.process()
	<-done
	time.Sleep(restartDelay)
	w.start(d)
	w.awaitReady(d)
}

func pauseDaemon(w *world, p pick) {
	over := p.daemon.halt()
	w.signal(p.daemon, syscall.SIGSTOP)
	time.Sleep(p.long)
	w.signal(p.daemon, syscall.SIGCONT)
	over()
}

// breakPeerLink cuts the way of others to a daemon, or makes it lossy or slow.
func breakPeerLink(_ *world, p pick) {
	over := p.daemon.disturb()
	p.daemon.peers.Set([]faulter.Behaviour{
		{Mode: faulter.ModeBlackhole}, {Mode: faulter.ModePass, Loss: 0.3}, {Mode: faulter.ModePass, Delay: 200 * time.Millisecond},
	}[p.variant%3])
	time.Sleep(p.long)
	p.daemon.peers.Set(faulter.Behaviour{Mode: faulter.ModePass})
	over()
}

// breakStore makes the store misbehave towards all.
func breakStore(w *world, p pick) {
	if p.variant%4 == 0 {
		w.platform.Compact()
		return
	}
	var over []func()
	for _, d := range w.daemons {
		over = append(over, d.disturb())
	}
	w.platform.SetFault([]steward.Fault{steward.FaultBusy, steward.FaultSilent, steward.FaultLose}[p.variant%4-1])
	time.Sleep(p.long)
	w.platform.SetFault(steward.FaultNone)
	for _, f := range over {
		f()
	}
}

// breakLink breaks a link for a while, which disturbs some daemons.
func (w *world) breakLink(p pick, forms []faulter.Behaviour, l *faulter.Link, disturbed ...*daemon) {
	var over []func()
	for _, d := range disturbed {
		over = append(over, d.disturb())
	}
	l.Set(forms[p.variant%len(forms)])
	time.Sleep(p.long)
	l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	for _, f := range over {
		f()
	}
}

// replaceEndpoint adds an endpoint in place of one, which leaves.
func replaceEndpoint(w *world, p pick) {
	if !p.endpoint.leaving.IsZero() {
		return
	}
	w.addEndpoint(p.endpoint.service)
	w.announce(p.endpoint, steward.StateDraining)
	p.endpoint.leaving = time.Now()
}
