package recorder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/traffic/refuser"
)

const (
	minOrderPollPeriod = 50 * time.Millisecond
	maxOrderPollPeriod = time.Second
)

// job is an order that this daemon is processing. Concurrent callers that submit the same order
// share one job.
type job struct {
	id, digest string
	// recordedCh is closed once the order is in the store, outcomeCh once the outcome for the
	// callers is known, and finishedCh once this daemon has stopped processing the order.
	recordedCh, outcomeCh, finishedCh chan struct{}

	mu    sync.Mutex
	order Order
	err   error
}

// joinJob returns the job of an order, creating it if there is none, and reports whether it is new.
func (r *Runner) joinJob(id, digest string) (*job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return j, false
	}
	j := &job{
		id: id, digest: digest, recordedCh: make(chan struct{}), outcomeCh: make(chan struct{}), finishedCh: make(chan struct{}),
	}
	r.jobs[id] = j
	return j, true
}

// removeJob removes a job that this daemon no longer processes. Callers that have no outcome yet
// receive errUnfinished.
func (r *Runner) removeJob(j *job) {
	j.publishError(errUnfinished)
	r.mu.Lock()
	delete(r.jobs, j.id)
	r.mu.Unlock()
	close(j.finishedCh)
}

var errUnfinished = errors.New("the daemon has stopped before the order's end")

// setRecorded stores the recorded order and wakes the callers that wait until it is in the store.
func (j *job) setRecorded(o Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.order = o
	closeOnce(j.recordedCh)
}

// publishOrder returns the order in its present state to all waiting callers.
func (j *job) publishOrder(o Order) { j.publishOutcome(o, nil) }

// publishError returns an error to all waiting callers.
func (j *job) publishError(err error) { j.publishOutcome(Order{}, err) }

// publishExisting returns the existing record of the order to the callers, or refuses them if the
// record has the same key and a different request.
func (j *job) publishExisting(record, o Order) {
	if !isSameRequest(record, o) {
		j.publishError(keyReusedRefusal(o.Key))
		return
	}
	j.publishOrder(record)
}

func (j *job) publishOutcome(o Order, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-j.outcomeCh:
		return
	default:
	}
	if err == nil {
		j.order = o
	}
	j.err = err
	closeOnce(j.recordedCh)
	closeOnce(j.outcomeCh)
}

// closeOnce closes c unless it is already closed. The caller must hold the mutex that guards c.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// waitForOutcome waits until the order's outcome is known or, if async is set, until the order is
// recorded. It returns a refusal if ctx ends before the order is recorded.
func (j *job) waitForOutcome(ctx context.Context, async bool) (Order, error) {
	c := j.outcomeCh
	if async {
		c = j.recordedCh
	}
	select {
	case <-c:
	case <-ctx.Done():
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.order.ID != "" || j.err != nil {
		return j.order, j.err
	}
	return Order{}, &refuser.Refusal{
		Status: http.StatusGatewayTimeout, Title: "deadline", Run: refuser.Unknown,
		Detail: "the order was not recorded within the caller's time; read /v1/orders/" + j.id,
	}
}

// awaitEnd polls the store until an order that another daemon owns has ended, and resumes the order
// here if its owner is gone. It returns the last known state when ctx ends.
func (r *Runner) awaitEnd(ctx context.Context, o Order) (Order, error) {
	for delay := minOrderPollPeriod; !o.HasEnded(); delay = min(2*delay, maxOrderPollPeriod) {
		if r.isOwnerGone(o.Owner) {
			r.resumeOrder(o)
		}
		select {
		case <-ctx.Done():
			return o, nil
		case <-time.After(delay):
		}
		if next, err := r.cfg.Recorder.Get(ctx, o.ID); err == nil {
			o = next
		}
	}
	return o, nil
}
