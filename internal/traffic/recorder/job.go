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
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
)

// job is one order in the hands of this daemon. Callers that post the same
// order share it.
type job struct {
	id, digest string
	// durable is closed once the order is recorded, done once its callers can
	// be told the outcome, and over once nothing is left to do.
	durable, done, over chan struct{}

	mu    sync.Mutex
	order Order
	err   error
}

// join returns the job of an order, and whether it is new.
func (r *Runner) join(id, digest string) (*job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return j, false
	}
	j := &job{
		id: id, digest: digest, durable: make(chan struct{}), done: make(chan struct{}), over: make(chan struct{}),
	}
	r.jobs[id] = j
	return j, true
}

// leave ends a job.
func (r *Runner) leave(j *job) {
	j.fail(errUnfinished)
	r.mu.Lock()
	delete(r.jobs, j.id)
	r.mu.Unlock()
	close(j.over)
}

var errUnfinished = errors.New("the daemon has stopped before the order's end")

// recorded notes that the order is durable.
func (j *job) recorded(o Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.order = o
	closeOnce(j.durable)
}

// finish tells the callers how far the order has come.
func (j *job) finish(o Order) { j.tell(o, nil) }

// fail tells the callers that the order is refused.
func (j *job) fail(err error) { j.tell(Order{}, err) }

// known tells the callers of an order that was recorded before.
func (j *job) known(record, o Order) {
	if !sameRequest(record, o) {
		j.fail(keyReused(o.Key))
		return
	}
	j.finish(record)
}

func (j *job) tell(o Order, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-j.done:
		return
	default:
	}
	if err == nil {
		j.order = o
	}
	j.err = err
	closeOnce(j.durable)
	closeOnce(j.done)
}

// closeOnce closes c unless it is closed. The caller holds the lock that
// guards c.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// wait returns when the order is durable or its outcome known, or when the
// caller's time is over.
func (j *job) wait(ctx context.Context, async bool) (Order, error) {
	c := j.done
	if async {
		c = j.durable
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

// await waits for the end of an order that another daemon has, and takes it
// over if that daemon is gone. It returns what is known when ctx ends.
func (r *Runner) await(ctx context.Context, o Order) (Order, error) {
	for delay := firstPoll; !o.Ended(); delay = min(2*delay, maxPoll) {
		if r.dead(o.Owner) {
			r.resume(o)
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
