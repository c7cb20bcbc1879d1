package soaker

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/traffic/refuser"
)

const (
	// propagationTime is the maximum time until all daemons apply a change of the configuration or
	// the announcement that an endpoint leaves.
	propagationTime = 2 * time.Second
	// answerSlack is the time after the timeout of the route within which an answer must arrive. It
	// allows for a machine that is busy with many processes.
	answerSlack = 3 * time.Second
	// allowanceWindow is the sliding window over which an allowance is checked. In it an organisation
	// may exceed its allowance by 10% and allowanceExtra requests.
	allowanceWindow = 8 * time.Second
	allowanceExtra  = 60
	// timeFormat is the format of times in messages: seconds and milliseconds.
	timeFormat = "05.000"
)

// invariant is one property of the system. Its check looks for violations in what the callers, endpoints
// and platform observed.
type invariant struct {
	name  string
	check func(w *testbed, h *history, reportViolation func(format string, args ...any))
}

// invariants lists all properties that runSoak checks.
var invariants = []invariant{
	{"at most once", checkMaxRuns},
	{"a refused request has not run", checkRefusals},
	{"answers are complete", checkAnswerBodies},
	{"streams hold their events in order and nothing else", checkStreamOrder},
	{"each request gets an answer in time", checkAnswerTimes},
	{"a planned stop cuts no request that may have run", checkPlannedStops},
	{"leaving endpoints get no new requests", checkLeavingEndpoints},
	{"the newest configuration is in force", checkConfig},
	{"allowances hold over all daemons", checkAllowance},
	{"retries stay within their budget", checkRetryBudget},
	{"each window of usage is reported once", checkUsageReports},
	{"an evacuated domain gets no requests", checkEvacuations},
	{"cold endpoints get no more than their bound", checkColdEndpoints},
	{"requests are served after each fault of a domain", checkServedAgain},
}

// history holds all requests of the callers and all runs at the endpoints.
type history struct {
	records []callRecord
	// daemons holds the daemon that each request was sent to, by the request's ID.
	daemons map[string]*daemon
	// runs holds the runs of each request, by its ID.
	runs map[string][]endpointRun
	// allRuns holds the runs of all requests in the order of their times.
	allRuns []endpointRun
}

// endpointRun is one execution of a request at an endpoint.
type endpointRun struct {
	responder.Run
	endpoint *endpoint
}

// history collects the records of the callers and the runs of all endpoints.
func (w *testbed) history() *history {
	h := &history{records: w.observations.records, daemons: make(map[string]*daemon), runs: make(map[string][]endpointRun)}
	for _, r := range h.records {
		h.daemons[r.id] = r.daemon
	}
	for _, e := range w.currentEndpoints() {
		for _, r := range e.Runs() {
			h.allRuns = append(h.allRuns, endpointRun{r, e})
			h.runs[r.ID] = append(h.runs[r.ID], endpointRun{r, e})
		}
	}
	slices.SortFunc(h.allRuns, func(a, b endpointRun) int { return a.At.Compare(b.At) })
	return h
}

// checkMaxRuns checks that a request of kind "once" runs at most once, and others at most maxAttempts
// times.
func checkMaxRuns(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		most := maxAttempts
		if r.kind == "once" {
			most = 1
		}
		if got := len(h.runs[r.id]); got > most {
			reportViolation("request %s (%s) at %s ran %d times, want %d at most", r.id, r.kind, r.daemon.name, got, most)
		}
	}
}

// checkRefusals checks that no request ran whose answer promised that it did not. What may be repeated keeps the
// failure of its endpoint, whatever the status.
func checkRefusals(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		isEndpointFailure := r.kind != "once" && r.answer.Body == responder.Failure
		if refuser.PromisesNotRun(r.answer.Status) && !isEndpointFailure && len(h.runs[r.id]) > 0 {
			reportViolation("request %s got status %d at %s although it ran at %s", r.id, r.answer.Status, r.daemon.name, h.runs[r.id][0].endpoint.id)
		}
	}
}

// checkAnswerBodies checks that each answer with status 200 and without an error has the full body.
func checkAnswerBodies(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		want := responder.Plain
		if r.kind == "stream" {
			want = responder.Stream(eventsPerStream)
		}
		if r.answer.Status == http.StatusOK && r.answer.Err == nil && r.answer.Body != want {
			reportViolation("request %s got a complete answer with a body of %d bytes at %s, want %d", r.id, len(r.answer.Body), r.daemon.name, len(want))
		}
	}
}

// checkStreamOrder checks that what a caller received of a stream, whole or broken off, is the start of the
// stream: no event is missing or comes twice, and nothing stands between them.
func checkStreamOrder(_ *testbed, h *history, reportViolation func(string, ...any)) {
	whole := responder.Stream(eventsPerStream)
	for _, r := range h.records {
		if r.kind == "stream" && r.answer.Status == http.StatusOK && !strings.HasPrefix(whole, r.answer.Body) {
			reportViolation("request %s got %q (%v) at %s, want the start of the stream", r.id, r.answer.Body, r.answer.Err, r.daemon.name)
		}
	}
}

// checkAnswerTimes checks that each request gets an answer in time from a daemon whose process runs, and
// an answer from one that still accepts requests during a graceful stop.
func checkAnswerTimes(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		if r.answer.Status == 0 && (r.daemon.ranThroughout(r.from, r.to) || r.daemon.acceptedWhileStopping(r.from, r.to)) {
			reportViolation("request %s of %s got no answer at %s: %v", r.id, r.from.Format(timeFormat), r.daemon.name, r.answer.Err)
		}
		if took := r.to.Sub(r.from) - r.bodyPause; took > routeTimeout+answerSlack && r.daemon.ranThroughout(r.from, r.to) {
			reportViolation("request %s took %s at %s, want %s at most", r.id, took, r.daemon.name, routeTimeout+answerSlack)
		}
	}
}

// acceptedWhileStopping reports whether a request sent at this time, which ended at another, must be answered
// although the daemon got a stop signal: the signal came at most routeTimeout later or the daemon's time to accept earlier, less
// acceptMargin, and the process ran until the daemon may refuse requests, and was not killed before the end of
// the request.
func (d *daemon) acceptedWhileStopping(at, to time.Time) bool {
	accept := d.acceptTime() - acceptMargin
	d.mu.Lock()
	stopTimes := slices.Clone(d.stopTimes)
	d.mu.Unlock()
	for _, s := range stopTimes {
		if at.After(s.Add(-routeTimeout)) && at.Before(s.Add(accept)) && d.ranThroughout(at, s.Add(accept)) && d.hadNoFailure(at, to) {
			return true
		}
	}
	return false
}

// checkPlannedStops checks that each request that ran gets an answer unless its daemon was killed or paused
// meanwhile: a daemon that stops passes a request on only if it can answer it.
func checkPlannedStops(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		if r.answer.Status == 0 && len(h.runs[r.id]) > 0 && r.daemon.hadNoFailure(r.from, r.to) {
			reportViolation("request %s (%s) of %s ran at %s and got no answer at %s: %v",
				r.id, r.kind, r.from.Format(timeFormat), h.runs[r.id][0].At.Format(timeFormat), r.daemon.name, r.answer.Err)
		}
	}
}

// checkLeavingEndpoints checks that no request runs at an endpoint whose leaving its daemon had time to
// learn before the request.
func checkLeavingEndpoints(_ *testbed, h *history, reportViolation func(string, ...any)) {
	for _, r := range h.records {
		for _, n := range h.runs[r.id] {
			left := n.endpoint.leavingSince
			if !left.IsZero() && r.daemon.hadTimeToLearn(left, r.from, propagationTime) {
				reportViolation("request %s of %s ran at %s, which had announced its leaving %s before", r.id, r.daemon.name, n.endpoint.id, r.from.Sub(left))
			}
		}
	}
}

// hadTimeToLearn reports whether the daemon was undisturbed for a period between an event and a later
// time. One such period suffices: the daemon keeps what it learnt, and after a restart it reads the
// state before it serves.
func (d *daemon) hadTimeToLearn(since, until time.Time, period time.Duration) bool {
	for from := since; !from.Add(period).After(until); from = from.Add(period / 20) {
		if d.wasUndisturbed(from, from.Add(period)) {
			return true
		}
	}
	return false
}

// checkConfig checks that the route "further" exists exactly if it is in the latest configuration that
// the daemon had time to learn.
func checkConfig(w *testbed, h *history, reportViolation func(string, ...any)) {
	for i, c := range w.observations.configChanges {
		until := time.Now()
		if i+1 < len(w.observations.configChanges) {
			until = w.observations.configChanges[i+1].at
		}
		for _, r := range h.records {
			if r.kind != "further" || r.to.After(until) || r.answer.Status == 0 || !r.daemon.hadTimeToLearn(c.at, r.from, propagationTime) {
				continue
			}
			if r.answer.Status == http.StatusServiceUnavailable && !r.daemon.wasUndisturbed(r.from, r.to) {
				// A stopping daemon refuses a request before it looks up the route.
				continue
			}
			if got := r.answer.Status != http.StatusNotFound; got != c.hasFurtherRoute {
				reportViolation("request %s got status %d at %s %s after a change of the configuration (has the route: %t)", r.id, r.answer.Status, r.daemon.name, r.from.Sub(c.at), c.hasFurtherRoute)
			}
		}
	}
}

// checkAllowance checks that in no window the limited organisation exceeds its allowance over all daemons.
func checkAllowance(_ *testbed, h *history, reportViolation func(string, ...any)) {
	most := int((limitedRate*allowanceWindow.Seconds()+limitedBurst)*1.1) + allowanceExtra
	var at []time.Time
	for _, r := range h.allRuns {
		if r.Header.Get("Pomelotiller-Tenant") != "small" {
			continue
		}
		at = append(at, r.At)
		for r.At.Sub(at[0]) > allowanceWindow {
			at = at[1:]
		}
		if len(at) > most {
			reportViolation("%d requests of the limited organisation ran in %s until %s, want %d at most", len(at), allowanceWindow, r.At.Format(timeFormat), most)
			return
		}
	}
}

// checkRetryBudget checks that in no window the retries of all daemons exceed the retry budget.
func checkRetryBudget(w *testbed, h *history, reportViolation func(string, ...any)) {
	seen := make(map[string]bool)
	var retries []time.Time
	for _, r := range h.allRuns {
		if !seen[r.ID] {
			seen[r.ID] = true
			continue
		}
		retries = append(retries, r.At)
		for r.At.Sub(retries[0]) > retryWindow {
			retries = retries[1:]
		}
		asked := 0
		for _, rec := range h.records {
			if age := r.At.Sub(rec.from); age > 0 && age < retryWindow+routeTimeout {
				asked++
			}
		}
		if most := int(w.retryBudget.ratio*float64(asked)) + w.retryBudget.extra; len(retries) > most {
			reportViolation("%d retries in %s for %d requests, want %d at most", len(retries), retryWindow, asked, most)
			return
		}
	}
}

// checkUsageReports checks that all reports of one window are the same, that no fencing token was used by
// two holders, and that there are reports.
func checkUsageReports(w *testbed, _ *history, reportViolation func(string, ...any)) {
	counts := make(map[int64]map[string]int)
	holders := make(map[uint64]string)
	for _, r := range w.platform.Reports() {
		if first, ok := counts[r.Window]; ok && !maps.Equal(first, r.Counts) {
			reportViolation("window %d was reported as %v and as %v", r.Window, first, r.Counts)
		}
		counts[r.Window] = r.Counts
		if first, ok := holders[r.Fence]; ok && first != r.Holder {
			reportViolation("fencing token %d was used by %s and by %s", r.Fence, first, r.Holder)
		}
		holders[r.Fence] = r.Holder
	}
	if len(counts) == 0 {
		reportViolation("no usage was reported")
	}
}
